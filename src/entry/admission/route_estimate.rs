//! What is learned of similar programs of a route.

use tokio::time::Duration;

/// Turns of a program until programs have been observed.
const INITIAL_TURNS: f64 = 4.0;

/// Part of the time left at a program's first turn that the program takes on idle upstreams, until it is learned. Objectives
/// are usually 1.4 to 1.7 times the idle time, plus 250 ms or more.
const INITIAL_IDLE_SHARE: f64 = 0.6;

/// Lease time until leases have been measured.
const INITIAL_LEASE_MS: f64 = 300.0;

/// Programs after which the learned number of turns is used.
const MIN_PROGRAMS: u32 = 8;

/// Largest number of turns that is expected of a program.
const MAX_TURNS: f64 = 64.0;

/// Bounds of the idle share. Objectives below 1.1 times the idle time leave nothing to decide.
const IDLE_SHARE_BOUNDS: (f64, f64) = (0.2, 0.9);

/// Reciprocal of a sample's weight.
const SAMPLE_DIVISOR: f64 = 16.0;

/// Largest relative change of an estimate by one sample, so that a few odd samples change no decision.
const MAX_CHANGE: f64 = 0.1;

/// Relative step of the quantile estimate of the idle lease time.
const QUANTILE_STEP: f64 = 0.02;

/// The quantile of lease times that stands for idle upstreams. Under load the shortest leases are those that got an upstream
/// with few other requests and a cached prompt.
const IDLE_QUANTILE: f64 = 0.25;

/// Estimates of a route's programs, with sane values from the start. The samples are bounded, and each moves an estimate
/// by a tenth at most.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RouteEstimate {
    programs: u32,
    leases: u32,
    turns: f64,
    /// Mean time left at a program's first turn, in milliseconds.
    first_left_ms: f64,
    idle_share: f64,
    lease_ms: f64,
    idle_lease_ms: f64,
}

impl Default for RouteEstimate {
    fn default() -> Self {
        Self {
            programs: 0,
            leases: 0,
            turns: INITIAL_TURNS,
            first_left_ms: 0.0,
            idle_share: INITIAL_IDLE_SHARE,
            lease_ms: INITIAL_LEASE_MS,
            idle_lease_ms: INITIAL_LEASE_MS,
        }
    }
}

impl RouteEstimate {
    /// Whether enough programs have been observed to predict how much of a program is left.
    pub(crate) fn is_learned(&self) -> bool {
        self.programs >= MIN_PROGRAMS
    }

    /// Turns expected of a program that has `first_left` at its first turn. Programs of a route differ in length, and their
    /// objectives show it.
    pub(crate) fn turns(&self, first_left: Duration) -> f64 {
        if !self.is_learned() {
            return INITIAL_TURNS;
        }
        let length = first_left.as_secs_f64() * 1_000.0 / self.first_left_ms.max(1.0);
        (self.turns * length).clamp(1.0, MAX_TURNS)
    }

    /// Time that a program with `first_left` at its first turn takes on idle upstreams.
    pub(crate) fn idle_time(&self, first_left: Duration) -> Duration {
        first_left.mul_f64(self.idle_share)
    }

    /// Time for which a turn leases a slot on an idle upstream.
    pub(crate) fn idle_lease(&self) -> Duration {
        Duration::from_secs_f64(self.idle_lease_ms.min(self.lease_ms) / 1_000.0)
    }

    /// Time that a turn's lease takes now beyond that on an idle upstream.
    pub(crate) fn lease_excess(&self) -> Duration {
        Duration::from_secs_f64((self.lease_ms - self.idle_lease_ms).max(0.0) / 1_000.0)
    }

    /// Learns from the lease of an answered turn.
    pub(crate) fn record_lease(&mut self, lease_time: Duration) {
        // Longer leases are those of stuck upstreams.
        let sample = (lease_time.as_secs_f64() * 1_000.0).clamp(1.0, 60_000.0);

        if self.leases == 0 {
            (self.lease_ms, self.idle_lease_ms) = (sample, sample);
        } else {
            // Lease times differ many times over, so the mean needs no bound beyond its weight.
            self.lease_ms += (sample - self.lease_ms) / SAMPLE_DIVISOR;
            let is_shorter = sample < self.idle_lease_ms;
            let step = if is_shorter { IDLE_QUANTILE - 1.0 } else { IDLE_QUANTILE };
            self.idle_lease_ms *= 1.0 + step * QUANTILE_STEP;
        }
        self.leases = self.leases.saturating_add(1);
    }

    /// Learns from a program: its answered turns, the time left at the first, and the time that it has taken without waits
    /// and without what leases took beyond those on idle upstreams.
    pub(crate) fn record_program(&mut self, turns: u32, first_left: Duration, idle_time: Duration) {
        let left_ms = (first_left.as_secs_f64() * 1_000.0).clamp(1.0, 3_600_000.0);
        let turns = f64::from(turns).clamp(1.0, MAX_TURNS);
        let share = idle_time.as_secs_f64() * 1_000.0 / left_ms;

        if self.programs == 0 {
            (self.turns, self.first_left_ms) = (turns, left_ms);
        } else {
            self.turns = adapt(self.turns, turns);
            self.first_left_ms = adapt(self.first_left_ms, left_ms);
        }
        let (min, max) = IDLE_SHARE_BOUNDS;
        self.idle_share = adapt(self.idle_share, share.clamp(min, max));
        self.programs = self.programs.saturating_add(1);
    }
}

/// Moves an estimate towards a sample by a bounded step.
fn adapt(estimate: f64, sample: f64) -> f64 {
    let max_step = estimate * MAX_CHANGE;
    estimate + ((sample - estimate) / SAMPLE_DIVISOR).clamp(-max_step, max_step)
}
