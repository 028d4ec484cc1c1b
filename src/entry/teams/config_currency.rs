//! Whether a host can know that its configuration is current.

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::entry::StoreMonitor;

/// How the configuration is followed in the store.
#[derive(Clone, Copy, Debug, Default)]
enum FollowState {
    /// Not followed through the store, so nothing can be missed.
    #[default]
    Unfollowed,
    /// Listed at this time, and watched since.
    Listed(Instant),
    /// The watch has failed, and the configuration has not been listed since.
    Lost,
}

/// Tells whether the store answers and the configuration has been listed since it does. While it has not, a newer version may
/// exist that this host has not seen.
#[derive(Debug)]
pub(crate) struct ConfigCurrency {
    monitor: StoreMonitor,
    state: Mutex<FollowState>,
}

impl ConfigCurrency {
    pub(crate) fn new(monitor: StoreMonitor) -> Self {
        Self { monitor, state: Mutex::default() }
    }

    /// Records that the configuration has been listed now.
    pub(crate) fn record_listing(&self) {
        *self.state.lock() = FollowState::Listed(Instant::now());
    }

    /// Records that changes may be missed until the next listing.
    pub(crate) fn record_loss(&self) {
        *self.state.lock() = FollowState::Lost;
    }

    pub(crate) fn is_current(&self) -> bool {
        let Some(answered_since) = self.monitor.answered_since() else {
            return false;
        };

        match *self.state.lock() {
            FollowState::Unfollowed => true,
            FollowState::Listed(listed_at) => listed_at >= answered_since,
            FollowState::Lost => false,
        }
    }
}
