//! Circuit breaker of the platform client.

use std::time::Duration;

use tokio::time::Instant;

/// Consecutive failures after which the breaker opens.
const FAILURE_LIMIT: u32 = 3;

/// Time between two calls that an open breaker admits as probes, and before the first of them.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Rejects calls to a platform that does not respond, so that requests fail at once instead of waiting for a timeout.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CircuitBreaker {
    failures: u32,
    opened_at: Option<Instant>,
}

impl CircuitBreaker {
    /// Whether a call may be made. An open breaker admits one call as a probe in each [`PROBE_INTERVAL`].
    pub(crate) fn admit(&mut self, now: Instant) -> bool {
        match self.opened_at {
            Some(opened_at) if now < opened_at + PROBE_INTERVAL => false,
            Some(_) => {
                self.opened_at = Some(now);
                true
            }
            None => true,
        }
    }

    pub(crate) fn is_open(&self) -> bool {
        self.opened_at.is_some()
    }

    /// Counts a failed call. Opens the breaker at the limit, and keeps it open after a failed probe.
    pub(crate) fn record_failure(&mut self, now: Instant) {
        self.failures += 1;

        if self.failures >= FAILURE_LIMIT {
            self.opened_at = Some(now);
        }
    }

    /// Closes the breaker and resets its count.
    pub(crate) fn record_success(&mut self) {
        *self = Self::default();
    }
}
