//! Limits the retries of turns to a share of the turns, so that they can't amplify an overload.

use parking_lot::Mutex;

/// Largest balance: 20 retries, in percent of one retry.
const MAX_BALANCE_PERCENT: u64 = 2_000;

/// Balance of retries: each turn deposits a fraction of a retry, and each retry withdraws a whole one.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    balance_percent: Mutex<u64>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { balance_percent: Mutex::new(MAX_BALANCE_PERCENT) }
    }
}

impl RetryBudget {
    /// Deposits `percent` of a retry for one turn, up to the largest balance.
    pub(crate) fn deposit(&self, percent: u64) {
        let mut balance_percent = self.balance_percent.lock();
        *balance_percent = (*balance_percent + percent).min(MAX_BALANCE_PERCENT);
    }

    /// Withdraws a retry. Returns false if the balance is too small.
    pub(crate) fn try_withdraw(&self) -> bool {
        let mut balance_percent = self.balance_percent.lock();

        match balance_percent.checked_sub(100) {
            Some(remaining) => {
                *balance_percent = remaining;
                true
            }
            None => false,
        }
    }
}
