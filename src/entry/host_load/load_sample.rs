//! What a host uses at one time.

use tokio::time::{Duration, Instant};

/// What a host uses. What has no limit is `None`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct LoadSample {
    pub(crate) taken_at: Instant,
    /// Bytes of counted buffers, and the most there may be.
    pub(crate) buffers: Option<(usize, usize)>,
    /// Resident memory of the process, and the most that it may use.
    pub(crate) resident: Option<(u64, u64)>,
    /// Open descriptors, and the most that connections may use.
    pub(crate) descriptors: Option<(usize, usize)>,
    /// By how much a timer has fired late.
    pub(crate) lag: Duration,
}
