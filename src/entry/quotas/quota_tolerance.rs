//! Tolerance of the rule by which quotas are checked.

use std::time::Duration;

/// What the platform tolerates beyond a team's rate and burst: in each window, at most
/// (`rate` x `window` + `burst`) x (1 + `excess`) + `slack` requests may run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTolerance {
    /// Length of the sliding window.
    pub window: Duration,
    /// Tolerated part of the limit.
    pub excess: f64,
    /// Tolerated number of requests.
    pub slack: f64,
}

impl QuotaTolerance {
    /// Tokens that all buckets and allowances of a team may hold beyond its burst. It lets many schedulers hold a token of
    /// a team with a small burst, and two programs of a small team overlap. The rest of the slack is left for handovers between
    /// owners; in the model, 1,000 schedules fill no window beyond 0.921 with this part.
    pub(crate) fn extra_tokens(&self) -> f64 {
        self.slack * 0.9
    }

    /// Tokens that may be accrued and not reported yet while the bucket is full. A quarter of the tolerated part of the
    /// rate, since an unreported time lasts 0.1 to 0.4 s and must not make the bucket smaller than the burst.
    pub(crate) fn unreported_tokens(&self, rate: f64) -> f64 {
        rate * self.window.as_secs_f64() * self.excess / 4.0
    }

    /// Requests of a team that may run in one window.
    #[cfg(test)]
    pub(crate) fn window_limit(&self, rate: f64, burst: f64) -> f64 {
        (rate * self.window.as_secs_f64() + burst) * (1.0 + self.excess) + self.slack
    }
}

impl Default for QuotaTolerance {
    fn default() -> Self {
        Self { window: Duration::from_secs(5), excess: 0.1, slack: 20.0 }
    }
}
