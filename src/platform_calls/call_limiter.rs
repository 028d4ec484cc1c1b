//! Rate limit of calls to the platform.

use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

/// A token bucket that holds the calls of one second. The platform counts every call, so each host delays those beyond
/// its share.
#[derive(Debug)]
pub(crate) struct CallLimiter {
    calls_per_second: f64,
    /// Time up to which calls have been granted. A reservation raises it to one second before the current time if it is
    /// earlier, which limits bursts.
    granted_until: Mutex<Instant>,
}

impl CallLimiter {
    pub(crate) fn new(calls_per_second: u32) -> Self {
        let calls_per_second = f64::from(calls_per_second.max(1));
        Self { calls_per_second, granted_until: Mutex::new(Instant::now()) }
    }

    /// Waits until the next call is within the rate.
    pub(crate) async fn acquire(&self) {
        let due = self.reserve(Instant::now());
        tokio::time::sleep_until(due).await;
    }

    /// Reserves a call, and returns the time from which it may be made.
    fn reserve(&self, now: Instant) -> Instant {
        let mut granted_until = self.granted_until.lock();
        let burst_start = now.checked_sub(Duration::from_secs(1)).unwrap_or(now);
        let start = (*granted_until).max(burst_start);
        *granted_until = start + Duration::from_secs_f64(1.0 / self.calls_per_second);
        *granted_until
    }
}
