//! Lookup of a fault record that a test may replace at any time.

use parking_lot::RwLock;

/// Holds the faults in force; readers copy them out, so that no lock is held while a request waits.
#[derive(Debug, Default)]
pub(crate) struct FaultGate<T> {
    faults: RwLock<T>,
}

impl<T: Clone> FaultGate<T> {
    pub(crate) fn get(&self) -> T {
        self.faults.read().clone()
    }

    pub(crate) fn set(&self, faults: T) {
        *self.faults.write() = faults;
    }
}
