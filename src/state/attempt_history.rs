//! Attempts of requests that may have run without leaving an entry in the log.

use std::collections::BTreeMap;

use parking_lot::Mutex;

use crate::ProgramId;

/// Counts the attempts under one number that may have run. A program runs its numbers in order, so only the last one
/// that was sent can be without an entry. See docs/design/outcomes.md.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AttemptHistory {
    number: u32,
    open_attempts: u32,
}

impl AttemptHistory {
    /// Records that an attempt under `number` may run from now on.
    pub(crate) fn add(&mut self, number: u32) {
        if self.number != number {
            *self = Self { number, open_attempts: 0 };
        }

        self.open_attempts += 1;
    }

    /// Records that an attempt that was added has not run.
    pub(crate) fn withdraw(&mut self, number: u32) {
        if self.number == number {
            self.open_attempts = self.open_attempts.saturating_sub(1);
        }
    }

    /// Tells whether an attempt under `number` may have run.
    pub(crate) fn may_have_run(&self, number: u32) -> bool {
        self.number == number && self.open_attempts > 0
    }
}

/// Histories of the programs of one shard, since its claim.
#[derive(Debug, Default)]
pub(crate) struct AttemptTable {
    histories: Mutex<BTreeMap<ProgramId, AttemptHistory>>,
}

impl AttemptTable {
    /// Returns the history of a program.
    pub(crate) fn history(&self, program: ProgramId) -> AttemptHistory {
        self.histories.lock().get(&program).copied().unwrap_or_default()
    }

    /// Changes the history of a program.
    pub(crate) fn update(&self, program: ProgramId, change: impl FnOnce(&mut AttemptHistory)) {
        change(self.histories.lock().entry(program).or_default());
    }

    /// Removes the history of a program that the log has forgotten.
    pub(crate) fn remove(&self, program: ProgramId) {
        self.histories.lock().remove(&program);
    }
}
