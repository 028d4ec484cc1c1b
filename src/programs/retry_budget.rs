//! Retries as a share of the traffic, so that they can't multiply an overload.

use parking_lot::Mutex;

/// Retries that may be saved up, in hundredths.
const SAVING_LIMIT: u64 = 2_000;

/// Each request adds a share of a retry; each retry takes a whole one.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    hundredths: Mutex<u64>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { hundredths: Mutex::new(SAVING_LIMIT) }
    }
}

impl RetryBudget {
    /// Counts a request, which allows `percent` of a retry.
    pub(crate) fn deposit(&self, percent: u64) {
        let mut hundredths = self.hundredths.lock();
        *hundredths = (*hundredths + percent).min(SAVING_LIMIT);
    }

    /// Takes a retry, if one is allowed.
    pub(crate) fn try_withdraw(&self) -> bool {
        let mut hundredths = self.hundredths.lock();

        match hundredths.checked_sub(100) {
            Some(rest) => {
                *hundredths = rest;
                true
            }
            None => false,
        }
    }
}
