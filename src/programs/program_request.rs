//! What a caller asks of a program, on its way from the entry host to the owner.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{ModelName, ProgramId, TeamName};

/// A request that the owner of a program serves.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ProgramRequest {
    pub(crate) team: TeamName,
    pub(crate) program: ProgramId,
    pub(crate) operation: ProgramOperation,
}

/// What is asked.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum ProgramOperation {
    Call(CallRequest),
    Create(CreateRequest),
    End,
    History,
    Status,
    Turn(TurnRequest),
}

impl ProgramOperation {
    /// Name of the operation in metrics and logs.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Call(_) => "call",
            Self::Create(_) => "create",
            Self::End => "end",
            Self::History => "history",
            Self::Status => "status",
            Self::Turn(_) => "turn",
        }
    }
}

/// Terms that the caller asks for.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct CreateRequest {
    pub(crate) model: ModelName,
    pub(crate) budget_tokens: u64,
    pub(crate) deadline_ms: Option<u64>,
    pub(crate) parent: Option<ProgramId>,
}

/// A turn: its number is its key.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct TurnRequest {
    pub(crate) number: u32,
    /// New messages, each as JSON text.
    pub(crate) messages: Vec<Arc<str>>,
    /// Other parameters of the body, which go to the engine as they are: a JSON object.
    pub(crate) parameters: Arc<str>,
    pub(crate) answer_tokens: Option<u64>,
    /// Whether the caller takes the answer as a stream.
    pub(crate) is_stream: bool,
    /// Receipts of turns that were answered while the platform was unavailable.
    pub(crate) receipts: Vec<Arc<str>>,
}

/// A call to a plain service: its number is its key.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct CallRequest {
    pub(crate) number: u32,
    pub(crate) service: ModelName,
    pub(crate) path: Arc<str>,
    pub(crate) body: Arc<str>,
    pub(crate) is_repeatable: bool,
}
