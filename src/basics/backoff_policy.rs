//! Delays between retries.

use std::time::Duration;

/// Exponential backoff with full jitter, so that hosts that failed at the same time do not retry at the same time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BackoffPolicy {
    /// Upper bound of the first delay. It doubles with each attempt.
    pub(crate) first: Duration,
    /// Upper bound of all delays.
    pub(crate) limit: Duration,
}

impl BackoffPolicy {
    /// Returns the delay before retry `attempt`, counted from 0. `jitter` lies in 0..1 and scales the delay's upper
    /// bound.
    pub(crate) fn delay(self, attempt: u32, jitter: f64) -> Duration {
        let ceiling = self.first.saturating_mul(1 << attempt.min(16)).min(self.limit);
        ceiling.mul_f64(jitter.clamp(0.0, 1.0))
    }

    /// Sleeps for a random delay before retry `attempt`, counted from 0.
    pub(crate) async fn sleep(self, attempt: u32) {
        tokio::time::sleep(self.delay(attempt, rand::random())).await;
    }
}
