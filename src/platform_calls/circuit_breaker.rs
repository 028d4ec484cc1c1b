//! Circuit breaker of the platform's client.

use std::time::Duration;

use tokio::time::Instant;

/// Failures in a row after which the breaker opens.
const FAILURE_LIMIT: u32 = 3;

/// Time that the breaker stays open before it lets one probe through.
const OPEN_TIME: Duration = Duration::from_millis(500);

/// Stops calls to a platform that does not answer, so that requests learn at once what they can't have.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CircuitBreaker {
    failures: u32,
    opened_at: Option<Instant>,
}

impl CircuitBreaker {
    /// Tells whether a call may be made. While open, one probe is let through each [`OPEN_TIME`].
    pub(crate) fn admit(&mut self, now: Instant) -> bool {
        match self.opened_at {
            Some(opened_at) if now < opened_at + OPEN_TIME => false,
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

    pub(crate) fn record_failure(&mut self, now: Instant) {
        self.failures += 1;

        if self.failures >= FAILURE_LIMIT {
            self.opened_at = Some(now);
        }
    }

    pub(crate) fn record_success(&mut self) {
        *self = Self::default();
    }
}
