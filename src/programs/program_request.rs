//! Requests of callers, as the host that received them sends them to the owner of the program.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{ModelName, ProgramId, TeamName};

/// A request of a team to one program, which the owner of the program serves.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ProgramRequest {
    pub(crate) team: TeamName,
    pub(crate) program: ProgramId,
    pub(crate) operation: ProgramOperation,
}

/// Idempotency key of a turn or a call within its program.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct NumberKey {
    pub(crate) number: u32,
    /// Whether the log has the intent before the request is sent, as for a call that isn't repeatable.
    pub(crate) is_intent_logged: bool,
}

/// What a request does to its program.
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

    /// Key of a turn or a call.
    pub(crate) fn key(&self) -> Option<NumberKey> {
        match self {
            Self::Call(call) => {
                Some(NumberKey { number: call.number, is_intent_logged: !call.is_repeatable })
            }
            Self::Turn(turn) => Some(NumberKey { number: turn.number, is_intent_logged: false }),
            Self::Create(_) | Self::End | Self::History | Self::Status => None,
        }
    }
}

/// Creates a program on the terms that the caller requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct CreateRequest {
    pub(crate) model: ModelName,
    pub(crate) budget_tokens: u64,
    /// When the program ends at the latest, in milliseconds since the Unix epoch.
    pub(crate) deadline_ms: Option<u64>,
    pub(crate) parent: Option<ProgramId>,
}

/// Runs a turn. Its number is its idempotency key within the program.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct TurnRequest {
    pub(crate) number: u32,
    /// New messages since the last turn, each as JSON text.
    pub(crate) messages: Vec<Arc<str>>,
    /// Other fields of the body, which go to the engine unchanged, as the text of a JSON object.
    pub(crate) parameters: Arc<str>,
    /// Most tokens of the answer, if the caller states a limit.
    pub(crate) answer_tokens: Option<u64>,
    /// Whether the caller receives the answer as a stream.
    pub(crate) is_stream: bool,
    /// Receipts of turns that were answered while the platform was unavailable.
    pub(crate) receipts: Vec<Arc<str>>,
}

/// Calls a plain service. Its number is its idempotency key within the program.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct CallRequest {
    pub(crate) number: u32,
    pub(crate) service: ModelName,
    pub(crate) path: Arc<str>,
    /// Body of the service's request, as JSON text.
    pub(crate) body: Arc<str>,
    /// Whether the call may be sent more than once.
    pub(crate) is_repeatable: bool,
}
