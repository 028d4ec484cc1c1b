//! Terms that a program is created with.

use serde::{Deserialize, Serialize};

use crate::{ModelName, ProgramId, TeamName};

/// Terms of a program, fixed at its creation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ProgramTerms {
    pub(crate) id: ProgramId,
    pub(crate) team: TeamName,
    pub(crate) model: ModelName,
    /// Tokens, prompts and answers together, that the program and its children may spend.
    pub(crate) budget_tokens: u64,
    /// Tokens that the program may spend before another reservation is logged.
    pub(crate) first_chunk_tokens: u64,
    /// Time by which the program has to end, in milliseconds since the Unix epoch.
    pub(crate) deadline_ms: Option<u64>,
    /// Program from whose budget this program's budget is reserved.
    pub(crate) parent: Option<ProgramId>,
    /// Time of the creation, in milliseconds since the Unix epoch.
    pub(crate) created_ms: u64,
}
