//! A program as its shard's log tells it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{EndReason, ProgramEntry, ProgramTerms, StateError, TokenUsage};

/// How far ahead of the next number a request may come and wait.
pub(crate) const EARLY_LIMIT: u32 = 8;

/// What the state says to a request under a number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ProgramAdmission {
    /// The program has ended, and nothing ran under this number.
    Ended(EndReason),
    /// Earlier numbers are missing; the request may wait for them.
    Early,
    /// The number is too far ahead, or 0.
    OutOfRange,
    /// Another request was made under this number.
    Mismatch,
    /// This number is the next one.
    Next,
    /// The call under this number is intended and has no result yet.
    Open,
    /// The entry has its final result.
    Settled,
}

/// Budget, history and lifecycle of a program. It changes only by log records.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Program {
    pub(crate) terms: ProgramTerms,
    pub(crate) entries: Vec<ProgramEntry>,
    /// Tokens that count as taken, by its own turns and by children that have ended.
    pub(crate) spent_tokens: u64,
    /// Part of `spent_tokens` that nobody saw: unsettled chunks of owners that died.
    pub(crate) presumed_tokens: u64,
    /// Tokens up to which spending is logged ahead.
    pub(crate) chunk_limit: u64,
    /// Budgets of the children that live.
    pub(crate) child_tokens: u64,
    pub(crate) end_reason: Option<EndReason>,
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

    /// Says what may be done with a request under `number`.
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
            Some(ahead) if ahead <= EARLY_LIMIT => ProgramAdmission::Early,
            _ => ProgramAdmission::OutOfRange,
        }
    }

    /// Tokens that neither spending, reservations nor children have taken.
    pub(crate) fn free_tokens(&self) -> u64 {
        self.terms.budget_tokens.saturating_sub(self.chunk_limit + self.child_tokens)
    }

    /// Tokens that may be spent without another reservation.
    pub(crate) fn remaining_chunk_tokens(&self) -> u64 {
        self.chunk_limit - self.spent_tokens
    }

    pub(crate) fn entry(&self, number: u32) -> Option<&ProgramEntry> {
        self.entries.get(number.checked_sub(1)? as usize)
    }

    /// Usage of the last finished turn, by which the next prompt is sized.
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

    /// All messages so far, in order, each as JSON text.
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

    /// Tells whether no call is waiting for its result.
    pub(crate) fn is_settled(&self) -> bool {
        self.entries.last().is_none_or(ProgramEntry::is_settled)
    }

    /// Counts tokens as spent, which must lie inside the logged chunk.
    pub(crate) fn spend(&mut self, tokens: u64) -> Result<(), StateError> {
        let spent = self.spent_tokens + tokens;

        if spent > self.chunk_limit {
            return Err(StateError::Overspent { program: self.terms.id, tokens });
        }

        self.spent_tokens = spent;
        Ok(())
    }

    /// Counts the rest of the chunk as spent, since its owner died without settling it.
    pub(crate) fn presume_spent(&mut self) {
        let tokens = self.remaining_chunk_tokens();
        self.spent_tokens += tokens;
        self.presumed_tokens += tokens;
    }
}
