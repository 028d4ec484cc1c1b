//! Attempts of requests that may have run without leaving an entry in the log.

use std::collections::BTreeMap;

use parking_lot::Mutex;

use crate::{NumberKey, ProgramId, ShardState};

/// Numbers of a program under which requests may have run without an entry. See docs/design/outcomes.md.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AttemptHistory {
    /// First number all of whose attempts this owner knows. The log tells nothing of attempts of earlier owners, except
    /// of requests whose intent is logged before they are sent.
    known_from: u32,
    /// Last number that was sent. A program runs its numbers in order, so no other one can be without an entry.
    number: u32,
    /// Attempts under `number` that may have run.
    open_attempts: u32,
}

impl AttemptHistory {
    /// History of a program that an owner has taken over. Owners that released the shard had nothing that is not in
    /// the log, so they can have sent the next number and none after it. One that did not release it may have answered
    /// turns with receipts, and have sent any number (`is_unlogged`).
    fn inherited(next_number: u32, is_unlogged: bool) -> Self {
        let known_from = if is_unlogged { u32::MAX } else { next_number + 1 };
        Self { known_from, ..Self::default() }
    }

    /// Records that an attempt under `number` may run from now on.
    pub(crate) fn add(&mut self, number: u32) {
        if self.number != number {
            self.number = number;
            self.open_attempts = 0;
        }

        self.open_attempts += 1;
    }

    /// Records that an attempt that was added has not run.
    pub(crate) fn withdraw(&mut self, number: u32) {
        if self.number == number {
            self.open_attempts = self.open_attempts.saturating_sub(1);
        }
    }

    /// Tells whether an attempt under the key may have run.
    pub(crate) fn may_have_run(&self, key: NumberKey) -> bool {
        let is_known = key.is_intent_logged || key.number >= self.known_from;
        !is_known || (self.number == key.number && self.open_attempts > 0)
    }
}

/// Histories of the programs of one shard.
#[derive(Debug, Default)]
pub(crate) struct AttemptTable {
    histories: Mutex<BTreeMap<ProgramId, AttemptHistory>>,
}

impl AttemptTable {
    /// Histories of the programs of a shard that was claimed.
    pub(crate) fn inherited(state: &ShardState) -> Self {
        let histories = state.programs.iter().map(|(id, program)| {
            let is_unlogged = state.unlogged_programs.contains(id);
            (*id, AttemptHistory::inherited(program.next_number(), is_unlogged))
        });

        Self { histories: Mutex::new(histories.collect()) }
    }

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
