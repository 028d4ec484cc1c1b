//! When a request that is refused for crashes may run again, as a trial.
//!
//! See docs/design/platform.md, "Requests that crash upstreams".

use std::collections::BTreeMap;

use tokio::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// Time without another crash after which a refused request may be tried. It doubles with each trial that ends in a crash.
const FIRST_INTERVAL: Duration = Duration::from_mins(1);

/// Number of times that the interval doubles.
const MAX_DOUBLINGS: u32 = 6;

/// Refused requests for which the time is kept.
const MAX_REFUSALS: usize = 4_096;

/// A refused request, by a hash of what it has in common with others.
#[derive(Debug)]
struct RefusedRequest {
    /// Crashes that were known last.
    count: u32,
    /// Crashes that followed a trial, here or on another host.
    failed_trials: u32,
    /// The last crash or trial.
    since: Instant,
    /// Whether a trial on this host came after the last crash.
    is_tried: bool,
}

/// The refused requests of a host. Hosts don't agree on trials: each adds a time of its own, and a crash that any of them has
/// seen begins the wait of all of them anew.
#[derive(Debug)]
pub(crate) struct RefusalTrials {
    /// Makes this host's additional times differ from those of others.
    salt: u64,
    refused: BTreeMap<u64, RefusedRequest>,
}

impl Default for RefusalTrials {
    fn default() -> Self {
        Self { salt: rand::random(), refused: BTreeMap::new() }
    }
}

impl RefusalTrials {
    /// Time until the next trial of a request under which `count` upstreams have ended; zero if it may run now.
    pub(crate) fn time_left(&mut self, now: Instant, hash: u64, count: u32) -> Duration {
        let new = RefusedRequest { count, failed_trials: 0, since: now, is_tried: false };
        let refused = self.refused.entry(hash).or_insert(new);

        if refused.count != count {
            // Otherwise the crash was one of several that came at once.
            let is_trial =
                refused.is_tried || now.saturating_duration_since(refused.since) >= FIRST_INTERVAL;
            refused.failed_trials += u32::from(is_trial && count > refused.count);
            refused.count = count;
            refused.since = now;
            refused.is_tried = false;
        }

        let interval = FIRST_INTERVAL * (1 << refused.failed_trials.min(MAX_DOUBLINGS));
        let due_at = refused.since + interval + self.additional_time(hash);
        self.evict_oldest();
        due_at.saturating_duration_since(now)
    }

    /// Records that a request runs as a trial, so that the next one has to wait.
    pub(crate) fn record_trial(&mut self, now: Instant, hash: u64) {
        if let Some(refused) = self.refused.get_mut(&hash) {
            refused.since = now;
            refused.is_tried = true;
        }
    }

    fn additional_time(&self, hash: u64) -> Duration {
        let spread = xxh3_64(&(hash ^ self.salt).to_le_bytes());
        FIRST_INTERVAL.mul_f64(spread as f64 / u64::MAX as f64)
    }

    fn evict_oldest(&mut self) {
        if self.refused.len() > MAX_REFUSALS {
            let oldest = self.refused.iter().min_by_key(|(_, it)| it.since).map(|(hash, _)| *hash);
            oldest.map(|hash| self.refused.remove(&hash));
        }
    }
}
