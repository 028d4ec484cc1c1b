//! A time in which a kind of objects could not be followed.

use tokio::time::Instant;

/// A time in which a kind of objects could not be followed, and which a listing has ended. During it the store was
/// disturbed, or the way to it; which of the two this host can't tell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FollowGap {
    /// Last time at which the store is known to have answered this host.
    pub last_contact: Instant,
    /// Earliest time at which the disturbance can have ended: the start of the last call that failed.
    pub last_failure: Instant,
}
