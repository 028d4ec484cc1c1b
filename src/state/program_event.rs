//! Answer of a shard's owner to a request, as a stream of events.

use std::sync::Arc;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use crate::{EndReason, ModelName, Problem, ProgramEntry, ProgramId, TeamName, TokenUsage};

/// One event of an answer. The last one of a stream is `Answer`, or `NotOwner`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum ProgramEvent {
    /// A chunk of the engine's stream, as JSON text.
    Delta(Arc<str>),
    /// The final result.
    Answer(ProgramAnswer),
    /// The host does not own the program's shard, or is giving it up; nothing was done.
    NotOwner,
}

/// Final result of a request.
#[derive(Clone, Debug, Deserialize, From, Serialize)]
pub(crate) enum ProgramAnswer {
    Call(CallAnswer),
    History(ProgramHistory),
    Problem(Problem),
    Status(ProgramStatus),
    Turn(TurnAnswer),
}

/// How an answer is stored durably.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum AnswerDurability {
    /// It is in the shard's log.
    #[display("logged")]
    Logged,
    /// It could not be logged in time. The caller gets a receipt from which any later owner can restore it.
    #[display("receipt")]
    Receipt,
}

/// A finished turn.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct TurnAnswer {
    pub(crate) program: ProgramId,
    pub(crate) number: u32,
    pub(crate) model: ModelName,
    /// The assistant's message, as JSON text.
    pub(crate) message: Arc<str>,
    pub(crate) finish_reason: Arc<str>,
    pub(crate) usage: TokenUsage,
    pub(crate) durability: AnswerDurability,
    /// Sealed [`crate::TurnReceipt`], if the turn is not in the log.
    pub(crate) receipt: Option<Arc<str>>,
    /// Whether no chunk was dropped from the stream to the caller.
    pub(crate) is_stream_whole: bool,
    /// Whether the turn had finished earlier and its answer is returned again.
    pub(crate) is_replay: bool,
}

/// A finished call.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct CallAnswer {
    pub(crate) status: u16,
    pub(crate) body: Arc<str>,
}

/// State and spending of a program.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ProgramStatus {
    pub(crate) program: ProgramId,
    pub(crate) team: TeamName,
    pub(crate) model: ModelName,
    pub(crate) state: Arc<str>,
    pub(crate) end_reason: Option<EndReason>,
    pub(crate) parent: Option<ProgramId>,
    pub(crate) children: Vec<ProgramId>,
    pub(crate) budget_tokens: u64,
    pub(crate) spent_tokens: u64,
    /// Part of `spent_tokens` that is presumed, since an owner was replaced without having released the shard.
    pub(crate) presumed_tokens: u64,
    pub(crate) reserved_tokens: u64,
    pub(crate) next_number: u32,
    pub(crate) is_durable: bool,
}

/// All numbered entries of a program.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ProgramHistory {
    pub(crate) program: ProgramId,
    pub(crate) entries: Vec<ProgramEntry>,
}
