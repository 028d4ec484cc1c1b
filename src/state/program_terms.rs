//! What a program is created with.

use serde::{Deserialize, Serialize};

use crate::{ModelName, ProgramId, TeamName};

/// Terms of a program, fixed for its life.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ProgramTerms {
    pub(crate) id: ProgramId,
    pub(crate) team: TeamName,
    pub(crate) model: ModelName,
    /// Tokens, prompts and answers together, that the program and its children may take.
    pub(crate) budget_tokens: u64,
    /// Tokens that the program may take before the next reservation is logged.
    pub(crate) first_chunk_tokens: u64,
    /// Time by which the program has to end, in milliseconds since the Unix epoch.
    pub(crate) deadline_ms: Option<u64>,
    /// Program that this one draws its budget from.
    pub(crate) parent: Option<ProgramId>,
    pub(crate) created_ms: u64,
}
