//! Token usage of one turn.

use serde::{Deserialize, Serialize};

/// Tokens of one turn, as counted by the engine.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct TokenUsage {
    pub(crate) prompt: u64,
    /// Part of `prompt` that was in the engine's prefix cache.
    pub(crate) cached: u64,
    pub(crate) completion: u64,
}

impl TokenUsage {
    /// Tokens that count against a budget.
    pub(crate) fn total(self) -> u64 {
        self.prompt.saturating_add(self.completion)
    }
}
