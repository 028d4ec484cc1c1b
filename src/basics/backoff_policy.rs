//! Delays between tries.

use std::time::Duration;

/// Exponential backoff with full jitter, so that hosts that failed together don't come back together.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BackoffPolicy {
    pub(crate) first: Duration,
    pub(crate) limit: Duration,
}

impl BackoffPolicy {
    /// Gives the delay before try `attempt` (from 0), where `jitter` lies in 0..1.
    pub(crate) fn delay(self, attempt: u32, jitter: f64) -> Duration {
        let ceiling = self.first.saturating_mul(1 << attempt.min(16)).min(self.limit);
        ceiling.mul_f64(jitter.clamp(0.0, 1.0))
    }

    /// Sleeps for the delay before try `attempt`.
    pub(crate) async fn sleep(self, attempt: u32) {
        tokio::time::sleep(self.delay(attempt, rand::random())).await;
    }
}
