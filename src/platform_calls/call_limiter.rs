//! Budget of calls to the platform.

use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

/// A token bucket. The platform counts every call, so each host keeps to its share and waits beyond it.
#[derive(Debug)]
pub(crate) struct CallLimiter {
    calls_per_second: f64,
    /// Time up to which calls have been given away, at most one second behind now.
    given_until: Mutex<Instant>,
}

impl CallLimiter {
    pub(crate) fn new(calls_per_second: u32) -> Self {
        let calls_per_second = f64::from(calls_per_second.max(1));
        Self { calls_per_second, given_until: Mutex::new(Instant::now()) }
    }

    /// Waits until the next call is within the budget.
    pub(crate) async fn acquire(&self) {
        let due = self.reserve(Instant::now());
        tokio::time::sleep_until(due).await;
    }

    fn reserve(&self, now: Instant) -> Instant {
        let mut given_until = self.given_until.lock();
        let burst_start = now.checked_sub(Duration::from_secs(1)).unwrap_or(now);
        let start = (*given_until).max(burst_start);
        *given_until = start + Duration::from_secs_f64(1.0 / self.calls_per_second);
        *given_until
    }
}
