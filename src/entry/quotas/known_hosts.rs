//! How many schedulers share the limits. Pure.

use std::{collections::HashMap, sync::Arc};

use tokio::time::{Duration, Instant};

/// Time for which a scheduler counts after it has disappeared without a drain. It may be cut off and still serve clients by
/// its part of each rate, which it does for 50 s (`LONE_TIME`); the rest is for hosts that notice the cut later.
const KEEP_TIME: Duration = Duration::from_mins(1);

/// Schedulers that may serve requests, reachable or not.
#[derive(Debug, Default)]
pub(crate) struct KnownHosts {
    listed_at: HashMap<Arc<str>, Instant>,
}

impl KnownHosts {
    /// Records the schedulers that are listed now, and whether each is draining. Returns how many count.
    pub(crate) fn update(
        &mut self,
        now: Instant,
        listed: impl Iterator<Item = (Arc<str>, bool)>,
    ) -> u32 {
        let mut draining_count = 0;
        for (host, is_draining) in listed {
            // One that drains counts while it is listed, and no longer.
            if is_draining {
                self.listed_at.remove(&host);
                draining_count += 1;
            } else {
                self.listed_at.insert(host, now);
            }
        }
        self.listed_at.retain(|_, at| now.duration_since(*at) < KEEP_TIME);
        self.listed_at.len() as u32 + draining_count
    }
}
