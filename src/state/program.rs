//! State of a program, as it follows from its shard's log.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{EndReason, ProgramEntry, ProgramTerms, StateError, TokenUsage};

/// Largest distance from the next number at which a request may wait for earlier ones.
pub(crate) const MAX_NUMBERS_AHEAD: u32 = 8;

/// Whether a request under a number is admitted, or why not.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ProgramAdmission {
    /// The program has ended, and its history has no entry under this number.
    Ended(EndReason),
    /// Earlier numbers are missing or have no result yet; the request may wait for them.
    Early,
    /// The number is too far ahead, or 0.
    OutOfRange,
    /// A request with another content was made under this number.
    Mismatch,
    /// This number is the next one.
    Next,
    /// The call under this number is in the log and has no result yet.
    Open,
    /// The entry under this number has its final result.
    Settled,
}

/// Budget, history and lifecycle of a program. Only log records change it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Program {
    pub(crate) terms: ProgramTerms,
    /// Entries by number, which starts at 1.
    pub(crate) entries: Vec<ProgramEntry>,
    /// Tokens that count as spent by the program's own turns and by children that have ended.
    pub(crate) spent_tokens: u64,
    /// Part of `spent_tokens` that is presumed, not logged: the rest of the chunk each time an owner was replaced
    /// without having released the shard.
    pub(crate) presumed_tokens: u64,
    /// Total up to which the program may spend, reserved in the log in advance.
    pub(crate) chunk_limit: u64,
    /// Budgets of the open children.
    pub(crate) child_tokens: u64,
    pub(crate) end_reason: Option<EndReason>,
    /// Time of the last change to the history, in milliseconds since the Unix epoch.
    pub(crate) active_ms: u64,
}

impl Program {
    pub(crate) fn new(terms: ProgramTerms) -> Self {
        Self {
            entries: Vec::new(),
            spent_tokens: 0,
            presumed_tokens: 0,
            chunk_limit: terms.first_chunk_tokens.min(terms.budget_tokens),
            child_tokens: 0,
            end_reason: None,
            active_ms: terms.created_ms,
            terms,
        }
    }

    /// Checks a request under `number`; `fingerprint` is the hash of its content.
    pub(crate) fn admit(&self, number: u32, fingerprint: u64) -> ProgramAdmission {
        if let Some(entry) = self.entry(number) {
            return match entry {
                it if it.fingerprint() != fingerprint => ProgramAdmission::Mismatch,
                it if it.is_settled() => ProgramAdmission::Settled,
                _ => ProgramAdmission::Open,
            };
        }

        if let Some(reason) = self.end_reason {
            return ProgramAdmission::Ended(reason);
        }

        match number.checked_sub(self.next_number()) {
            Some(0) if self.is_settled() => ProgramAdmission::Next,
            Some(ahead) if ahead <= MAX_NUMBERS_AHEAD => ProgramAdmission::Early,
            _ => ProgramAdmission::OutOfRange,
        }
    }

    /// Tokens of the budget that are reserved neither for the program's own spending nor for its children.
    pub(crate) fn free_tokens(&self) -> u64 {
        self.terms.budget_tokens.saturating_sub(self.chunk_limit + self.child_tokens)
    }

    /// Tokens that may be spent before another reservation is needed.
    pub(crate) fn remaining_chunk_tokens(&self) -> u64 {
        self.chunk_limit - self.spent_tokens
    }

    pub(crate) fn entry(&self, number: u32) -> Option<&ProgramEntry> {
        self.entries.get(number.checked_sub(1)? as usize)
    }

    /// Usage of the last finished turn, from which the size of the next prompt is estimated.
    pub(crate) fn last_usage(&self) -> TokenUsage {
        let usage = self.entries.iter().rev().find_map(|entry| match entry {
            ProgramEntry::Turn(turn) => Some(turn.usage),
            ProgramEntry::Call(_) => None,
        });

        usage.unwrap_or_default()
    }

    pub(crate) fn next_number(&self) -> u32 {
        self.entries.len() as u32 + 1
    }

    /// Messages and answers of all turns so far, in order, each as JSON text.
    pub(crate) fn messages(&self) -> Vec<Arc<str>> {
        let mut messages = Vec::new();

        for entry in &self.entries {
            if let ProgramEntry::Turn(turn) = entry {
                messages.extend(turn.messages.iter().cloned());
                messages.push(Arc::clone(&turn.answer));
            }
        }

        messages
    }

    /// Tells whether no call is without its result. Only the last entry can be such a call.
    pub(crate) fn is_settled(&self) -> bool {
        self.entries.last().is_none_or(ProgramEntry::is_settled)
    }

    /// Counts tokens as spent. Fails if they exceed what is reserved.
    pub(crate) fn spend(&mut self, tokens: u64) -> Result<(), StateError> {
        let spent_tokens = self.spent_tokens + tokens;

        if spent_tokens > self.chunk_limit {
            return Err(StateError::Overspent { program: self.terms.id, tokens });
        }

        self.spent_tokens = spent_tokens;
        Ok(())
    }

    /// Counts the rest of the chunk as spent, since an owner that did not release the shard may have spent it unlogged.
    pub(crate) fn presume_spent(&mut self) {
        let tokens = self.remaining_chunk_tokens();
        self.spent_tokens += tokens;
        self.presumed_tokens += tokens;
    }
}
