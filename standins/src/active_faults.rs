//! Faults that a stand-in currently injects.

use parking_lot::RwLock;

/// Faults that a test may replace at any time. Requests work on a copy, so that none holds the lock while it waits.
#[derive(Debug, Default)]
pub(crate) struct ActiveFaults<T> {
    faults: RwLock<T>,
}

impl<T: Clone> ActiveFaults<T> {
    pub(crate) fn get(&self) -> T {
        self.faults.read().clone()
    }

    pub(crate) fn set(&self, faults: T) {
        *self.faults.write() = faults;
    }
}
