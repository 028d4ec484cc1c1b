//! Load, health and prompt cache of one upstream, as seen by one entry host.

use std::sync::Arc;

use tokio::time::{Duration, Instant};

use crate::entry::{
    PromptPart, UpstreamPhase, UpstreamRecord,
    prompt_cache::PromptCache,
    slot_obstacle::SlotObstacle,
    upstream_channel::ReportedLoad,
    upstream_departures::UpstreamDepartures,
    upstream_load::{
        answer_times::AnswerSpeed,
        granted_load::GrantedLoad,
        memory_account::MemoryAccount,
        pace_window::{PaceCause, PaceWindow},
        request_costs::RequestCosts,
        slowness_report::SlownessReport,
    },
};

/// Time in which the weight of a load report declines from 1 to 0. Requests run for half a second or less, so an older
/// report says nothing.
const LOAD_REPORT_LIFETIME: Duration = Duration::from_millis(800);

/// Consecutive failures after which an upstream is avoided; a single failed response says little about it.
const FAILURE_LIMIT: u32 = 2;

/// Time for which an upstream is avoided after it has reached [`FAILURE_LIMIT`]; it doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);

/// Longest time for which an upstream is avoided before it is tried again.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// How a lease has ended, as far as that says something about the upstream's health.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LeaseOutcome {
    /// The upstream gave a valid response.
    Answered,
    /// The connection broke, or the response was invalid or late.
    Failed,
    /// No connection could be made, or another upstream has taken over the address.
    Unreachable,
    /// The upstream rejected the request because it was full.
    Full,
    /// The request ended for a reason unrelated to the upstream.
    Cancelled,
}

/// Load that other hosts put on the upstream, as last reported by it or inferred from a rejection.
#[derive(Clone, Copy, Debug)]
struct OtherLoad {
    /// Running and waiting requests of other hosts.
    other_requests: u32,
    reported_at: Instant,
}

/// An upstream with its load, health and prompt cache.
#[derive(Clone, Debug)]
pub(crate) struct PooledUpstream {
    pub(crate) record: Arc<UpstreamRecord>,
    /// Number of slots that this host has leased.
    pub(crate) in_flight: u32,
    pub(crate) cache: PromptCache,
    pub(crate) costs: RequestCosts,
    memory: MemoryAccount,
    /// Until when the upstream is kept although its entry is missing from the store, since the entry may only have expired.
    pub(crate) kept_until: Option<Instant>,
    /// Revision of the store at which the entry was last found to be missing, or 0.
    pub(crate) missing_revision: u64,
    other_load: Option<OtherLoad>,
    slowness: Option<SlownessReport>,
    failures: u32,
    backoff_until: Option<Instant>,
    pace: Option<PaceWindow>,
    has_slow_start: bool,
}

impl PooledUpstream {
    pub(crate) fn new(record: Arc<UpstreamRecord>, cache_tokens: u64) -> Self {
        let mut cache = PromptCache::default();
        cache.set_capacity(cache_tokens);

        Self {
            record,
            in_flight: 0,
            cache,
            costs: RequestCosts::default(),
            memory: MemoryAccount::default(),
            kept_until: None,
            missing_revision: 0,
            other_load: None,
            slowness: None,
            failures: 0,
            backoff_until: None,
            pace: None,
            has_slow_start: true,
        }
    }

    /// Sets whether the upstream gets few requests at first when it has just started or failed.
    #[must_use]
    pub(crate) fn with_slow_start(self, has_slow_start: bool) -> Self {
        Self { has_slow_start, ..self }
    }

    /// A copy whose prompt cache knows of `parts` alone.
    pub(crate) fn copy_for(&self, parts: &[PromptPart]) -> Self {
        Self { record: Arc::clone(&self.record), cache: self.cache.copy_for(parts), ..*self }
    }

    /// Applies a new entry. A restarted upstream has lost its cache, and its load report and failures no longer apply.
    pub(crate) fn update(&mut self, record: Arc<UpstreamRecord>) {
        if record.started_at_ms != self.record.started_at_ms {
            self.cache.clear();
            self.costs = RequestCosts::default();
            self.other_load = None;
            self.slowness = None;
            self.failures = 0;
            self.backoff_until = None;
            self.pace = None;
        }

        self.record = record;
        self.kept_until = None;
    }

    /// Whether the upstream takes new requests, by its entry and by what any host knows of its departure. An upstream without
    /// an entry is open if `decided_at` lies before the end of its grace period.
    pub(crate) fn is_open(&self, decided_at: Instant, departures: &UpstreamDepartures) -> bool {
        let is_valid = match self.kept_until {
            // A host that sees a removal can't tell either whether the entry has lapsed, so its word does not count here.
            Some(until) => decided_at < until,
            None => !departures.is_withdrawn(&self.record),
        };

        is_valid
            && self.record.phase == UpstreamPhase::Serving
            && !departures.is_leaving(&self.record)
            && !departures.is_unsettled(&self.record, decided_at)
    }

    pub(crate) fn is_in_backoff(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }

    /// Requests of this host, plus those of other hosts by the last report, weighted by its age.
    pub(crate) fn load(&self, now: Instant) -> u32 {
        let other_requests = match self.other_load {
            Some(other_load) => {
                let age = now.duration_since(other_load.reported_at).as_secs_f64();
                let weight = 1.0 - age / LOAD_REPORT_LIFETIME.as_secs_f64();
                (f64::from(other_load.other_requests) * weight.max(0.0)).round() as u32
            }
            None => 0,
        };

        self.in_flight.saturating_add(other_requests)
    }

    /// Counts a granted request.
    pub(crate) fn record_grant(&mut self, granted: GrantedLoad) {
        self.in_flight += 1;
        self.memory.record_grant(granted.memory_tokens);
    }

    /// Counts the end of a granted request.
    pub(crate) fn record_end(&mut self, granted: GrantedLoad) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.memory.record_end(granted.memory_tokens);
    }

    /// Whether another request of `tokens` would exceed the upstream's memory.
    pub(crate) fn is_memory_exceeded_by(&self, now: Instant, tokens: u64) -> bool {
        let other_requests = self.load(now).saturating_sub(self.in_flight);
        self.memory.is_exceeded_by(tokens, other_requests, self.cache.capacity_tokens())
    }

    /// Whether this host's requests fill most of the upstream's memory.
    pub(crate) fn is_memory_nearly_full(&self) -> bool {
        self.memory.is_nearly_full(self.cache.capacity_tokens())
    }

    /// Factor by which work takes longer on the upstream's machine now than usual, by its last statement.
    pub(crate) fn slowness(&self, now: Instant) -> f64 {
        self.slowness.map_or(1.0, |it| it.factor(now))
    }

    /// Load as a share of the slots; above 1 if requests wait inside the upstream.
    pub(crate) fn load_share(&self, now: Instant) -> f64 {
        f64::from(self.load(now)) / f64::from(self.record.slots.max(1))
    }

    /// Whether the upstream may get another request: by its slots, and by its window if slow start holds at its service.
    pub(crate) fn has_room(&self, now: Instant, applies_pace: bool) -> bool {
        self.room_obstacle(now, applies_pace).is_none()
    }

    /// What keeps the upstream from another request of any kind.
    pub(crate) fn room_obstacle(&self, now: Instant, applies_pace: bool) -> Option<SlotObstacle> {
        let load = self.load(now);
        let window = self.pace.filter(|it| applies_pace && !it.is_over(now, self.record.slots));

        if load >= self.record.slots.max(1) {
            Some(SlotObstacle::Full)
        } else if window.is_some_and(|it| load >= it.limit(now)) {
            Some(SlotObstacle::SlowStart)
        } else {
            None
        }
    }

    /// Whether the upstream is in slow start.
    pub(crate) fn is_paced(&self, now: Instant) -> bool {
        self.pace.is_some_and(|it| !it.is_over(now, self.record.slots))
    }

    /// Whether the upstream has failed and not answered since.
    pub(crate) fn is_unproven(&self, now: Instant) -> bool {
        self.pace.is_some_and(|it| it.is_unproven(now))
    }

    /// Begins slow start.
    pub(crate) fn begin_pace(&mut self, now: Instant, cause: PaceCause) {
        if !self.has_slow_start {
            return;
        }
        log::info!(
            upstream:% = self.record.id, born_ms = self.record.started_at_ms, cause:? = cause, slots = self.record.slots;
            "slow start of an upstream begins"
        );
        self.pace = Some(PaceWindow::new(cause, now));
    }

    /// Records the speed of an answer to a request that was granted at `granted_at`.
    pub(crate) fn record_speed(&mut self, now: Instant, granted_at: Instant, speed: AnswerSpeed) {
        let Some(pace) = &mut self.pace else {
            return;
        };
        pace.record_answer(now, granted_at, speed);
        let window = pace.limit(now);

        if pace.is_over(now, self.record.slots) {
            log::info!(upstream:% = self.record.id, window, speed:? = speed; "slow start of an upstream ends");
            self.pace = None;
        } else if speed == AnswerSpeed::Late {
            log::info!(upstream:% = self.record.id, window; "an upstream in slow start answers late");
        }
    }

    pub(crate) fn cached_tokens(&self, prompt_parts: &[PromptPart]) -> u64 {
        self.cache.cached_tokens(prompt_parts)
    }

    /// When the latest load report was made that counts.
    pub(crate) fn load_reported_at(&self) -> Option<Instant> {
        self.other_load.map(|it| it.reported_at)
    }

    pub(crate) fn record_load(&mut self, now: Instant, load: ReportedLoad) {
        let other_requests =
            load.running.saturating_add(load.waiting).saturating_sub(self.in_flight);
        self.other_load = Some(OtherLoad { other_requests, reported_at: now });
        self.slowness = load.slowness.map(|it| SlownessReport::new(it, now));
    }

    pub(crate) fn record_outcome(&mut self, now: Instant, outcome: LeaseOutcome) {
        match outcome {
            LeaseOutcome::Answered => {
                self.failures = 0;
                self.backoff_until = None;
            }
            // In slow start one failure is enough, since the upstream has not shown yet that it bears requests.
            LeaseOutcome::Failed if self.is_paced(now) => self.record_failures(now, FAILURE_LIMIT),
            LeaseOutcome::Failed => self.record_failures(now, 1),
            LeaseOutcome::Unreachable => self.record_failures(now, FAILURE_LIMIT),
            LeaseOutcome::Full => {
                // All slots that this host has not leased must be in use by other hosts.
                let other_requests = self.record.slots.saturating_sub(self.in_flight);
                self.other_load = Some(OtherLoad { other_requests, reported_at: now });

                if let Some(pace) = &mut self.pace {
                    pace.record_rejection(now);
                }
            }
            LeaseOutcome::Cancelled => (),
        }
    }

    /// Forgets failures that were not the upstream's own.
    pub(crate) fn forget_failures(&mut self) {
        self.failures = 0;
        self.backoff_until = None;
        self.pace = self.pace.filter(|it| it.cause == PaceCause::Started);
    }

    fn record_failures(&mut self, now: Instant, count: u32) {
        self.failures += count;

        if let Some(pace) = &mut self.pace {
            pace.record_failure(now);
        }

        if self.failures >= FAILURE_LIMIT {
            let exponent = (self.failures - FAILURE_LIMIT).min(8);
            let backoff = INITIAL_BACKOFF.saturating_mul(1 << exponent).min(MAX_BACKOFF);
            self.backoff_until = Some(now + backoff);

            if self.pace.is_none_or(|it| it.is_over(now, self.record.slots)) {
                self.begin_pace(now, PaceCause::Recovering);
            }
        }
    }
}
