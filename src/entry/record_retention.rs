//! For how long records of turns and spends stay in the store, and when they are written again.
//!
//! A record is needed until the history retention has passed since its last use, not since it was written. So whoever uses
//! an old record makes a new one. See docs/design/platform.md, "Retention".

use std::sync::atomic::{AtomicU64, Ordering};

use tokio::time::{Duration, Instant};

/// Shortest history retention for which records are kept, whatever the routes ask for.
pub(crate) const MIN_RETENTION: Duration = Duration::from_mins(1);

/// Time for which a record is kept beyond the retention, for turns that end while it expires.
const LIFETIME_MARGIN: Duration = Duration::from_secs(15);

/// Time for which hosts keep their records that don't state it.
pub(crate) const UNSTATED_LIFETIME: Duration = Duration::from_secs(75);

/// Time that the write of a new record may take before the old one ends.
const REWRITE_TIME: Duration = Duration::from_secs(5);

/// Retention of the routes, and the lifetimes of records that follow from it.
#[derive(Debug)]
pub(crate) struct RecordRetention {
    /// Longest history retention of any route so far, in milliseconds. It never shrinks, as peers rely on the lifetime that
    /// this run has stated.
    longest_ms: AtomicU64,
    /// Shortest time for which any host that may record for this one keeps its records, in milliseconds.
    peers_lifetime_ms: AtomicU64,
}

impl Default for RecordRetention {
    fn default() -> Self {
        Self {
            longest_ms: AtomicU64::new(MIN_RETENTION.as_millis() as u64),
            peers_lifetime_ms: AtomicU64::new(UNSTATED_LIFETIME.as_millis() as u64),
        }
    }
}

impl RecordRetention {
    /// Keeps records at least for a route's history retention.
    pub(crate) fn extend(&self, retention: Duration) {
        self.longest_ms.fetch_max(retention.as_millis() as u64, Ordering::Relaxed);
    }

    /// Longest history retention of any route so far.
    pub(crate) fn longest(&self) -> Duration {
        Duration::from_millis(self.longest_ms.load(Ordering::Relaxed))
    }

    /// Time for which this run keeps its records. It is longer than the retention, so that a record need not be written again
    /// with every use.
    pub(crate) fn lifetime(&self) -> Duration {
        self.longest() * 3 / 2 + LIFETIME_MARGIN
    }

    /// Sets the shortest time for which any host that may record for this one keeps its records.
    pub(crate) fn set_peers_lifetime(&self, lifetime: Duration) {
        self.peers_lifetime_ms
            .store(u64::try_from(lifetime.as_millis()).unwrap_or(u64::MAX), Ordering::Relaxed);
    }

    /// Age from which a record is written again when it is used, so that it lasts for `retention` from then on.
    pub(crate) fn refresh_age(&self, retention: Duration) -> Duration {
        let peers_lifetime = Duration::from_millis(self.peers_lifetime_ms.load(Ordering::Relaxed));
        self.lifetime().min(peers_lifetime).saturating_sub(retention + REWRITE_TIME)
    }

    /// Time since which a record has to be written for it to last for `retention` from `now` on. `None` if no record of this
    /// run is that old.
    pub(crate) fn refresh_before(&self, retention: Duration, now: Instant) -> Option<Instant> {
        now.checked_sub(self.refresh_age(retention))
    }
}
