//! For how long an upstream is kept whose entry is missing from the store.

use tokio::time::{Duration, Instant};

use crate::entry::FollowGap;

/// Time after a store outage within which an upstream that still runs has written its entry again.
const RETURN_TIME: Duration = Duration::from_millis(2_100);

/// Heartbeat intervals of silence after which an entry may be missing. It expires after three, of which one may have
/// passed when the outage began.
const SAFE_HEARTBEATS: u32 = 2;

/// Heartbeat intervals after which an entry that no process renews is missing from the store.
const EXPIRY_HEARTBEATS: u32 = 4;

/// Part of the contact time in which no request is placed any more, so that the last one arrives in time.
const CONTACT_MARGIN: Duration = Duration::from_millis(100);

/// Contact time if the platform states none.
const DEFAULT_CONTACT_TIME: Duration = Duration::from_secs(3);

/// What the platform states of its upstreams' entries. See docs/design/platform.md, "Upstreams that leave".
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ExpiryBounds {
    /// Interval at which an upstream renews its entry. With zero, an entry may expire in any gap.
    pub heartbeat_interval: Duration,
    /// Time after the end of a disturbance from which a host has to act on all that the store has acknowledged.
    pub contact_time: Duration,
}

impl Default for ExpiryBounds {
    fn default() -> Self {
        Self { heartbeat_interval: Duration::ZERO, contact_time: DEFAULT_CONTACT_TIME }
    }
}

impl ExpiryBounds {
    /// Returns until when an upstream is kept whose entry is missing after a gap, since it may only have expired. `None` if
    /// the gap was too short for that, so that the upstream must have left.
    pub(crate) fn grace_end(&self, gap: FollowGap, now: Instant) -> Option<Instant> {
        let can_have_expired = now - gap.last_contact >= self.heartbeat_interval * SAFE_HEARTBEATS;
        let latest = gap.last_failure + self.contact_time.saturating_sub(CONTACT_MARGIN);
        can_have_expired.then(|| latest.min(now + RETURN_TIME))
    }

    /// Returns the time after an upstream's statement that it leaves until the store shows which run has made it: that one
    /// has changed its entry, or has not renewed it.
    pub(crate) fn settle_time(&self) -> Duration {
        self.contact_time.max(self.heartbeat_interval * EXPIRY_HEARTBEATS)
    }
}
