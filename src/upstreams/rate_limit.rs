//! How many requests an upstream gets that has stated a limit, and how hosts share that limit.
//!
//! Pure decisions, which both front doors use. See docs/design/platform.md, "Limits of upstreams".

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Thousandths of a request in one request.
const MILLI: f64 = 1_000.0;

/// Lowest rate at which an upstream gets requests. Somebody has to hear when the limit ends.
const MIN_RATE: RequestRate = RequestRate { milli_per_second: 200 };

/// Lowest share of a limit that is of use to a host. Fewer hosts share a lower limit.
const MIN_SHARE: RequestRate = RequestRate { milli_per_second: 500 };

/// Requests that a host may save up, as the time in which its share of the limit allows them. One can always be saved up.
const BURST_TIME: Duration = Duration::from_secs(1);

/// Number of requests in a second.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{}/s", f64::from(*milli_per_second) / MILLI)]
pub struct RequestRate {
    milli_per_second: u32,
}

impl RequestRate {
    /// Makes a rate of a number of requests in a second. Returns `None` for a number that is negative or not finite. Rates
    /// that can't be represented become the highest one.
    pub fn from_per_second(requests: f64) -> Option<Self> {
        let is_valid = requests.is_finite() && requests >= 0.0;
        // A cast of a larger number saturates.
        is_valid.then_some(Self { milli_per_second: (requests * MILLI) as u32 })
    }

    /// Number of requests in a second.
    pub(crate) fn per_second(self) -> f64 {
        f64::from(self.milli_per_second) / MILLI
    }

    /// Number of hosts that share this limit, of `host_count` at most.
    pub(crate) fn sharing_count(self, host_count: usize) -> usize {
        let useful_shares = self.milli_per_second / MIN_SHARE.milli_per_second;
        (useful_shares as usize).clamp(1, host_count.max(1))
    }

    /// The rate at which one host uses an upstream that no other one uses.
    pub(crate) fn sole_share(self) -> Self {
        self.share(1)
    }

    /// Share of one of `count` hosts.
    pub(crate) fn share(self, count: usize) -> Self {
        let count = u32::try_from(count).unwrap_or(u32::MAX).max(1);
        Self { milli_per_second: self.max(MIN_RATE).milli_per_second / count }
    }
}

/// Requests that may be sent to an upstream at a limited rate. Times count from an origin that the caller chooses.
#[derive(Clone, Debug)]
pub(crate) struct RateBucket {
    rate: RequestRate,
    /// Requests that may be sent, at `updated_at`.
    saved: f64,
    updated_at: Duration,
}

impl RateBucket {
    /// A bucket from which one request may be sent at once.
    pub(crate) fn new(rate: RequestRate, now: Duration) -> Self {
        Self { rate, saved: 1.0, updated_at: now }
    }

    /// Changes the rate from now on.
    pub(crate) fn set_rate(&mut self, rate: RequestRate, now: Duration) {
        if rate != self.rate {
            self.saved = self.saved_at(now);
            self.updated_at = now;
            self.rate = rate;
        }
    }

    fn saved_at(&self, now: Duration) -> f64 {
        let rate = self.rate.per_second();
        let limit = (rate * BURST_TIME.as_secs_f64()).max(1.0);
        let time = now.saturating_sub(self.updated_at).as_secs_f64();
        (self.saved + time * rate).min(limit)
    }

    /// Whether a request may be sent.
    pub(crate) fn is_ready(&self, now: Duration) -> bool {
        self.saved_at(now) >= 1.0
    }

    /// When the next request may be sent, if none may be now.
    pub(crate) fn ready_at(&self, now: Duration) -> Duration {
        let missing = (1.0 - self.saved_at(now)).max(0.0);
        let rate = self.rate.per_second().max(1.0 / MILLI);
        // A timer that fires a moment early would find nothing.
        now + Duration::from_secs_f64(missing / rate) + Duration::from_millis(1)
    }

    /// Counts a request that is sent.
    pub(crate) fn take(&mut self, now: Duration) {
        self.saved = self.saved_at(now) - 1.0;
        self.updated_at = now;
    }
}
