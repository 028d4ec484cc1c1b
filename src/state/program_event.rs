//! What an owner answers.

use std::sync::Arc;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use crate::{EndReason, ModelName, Problem, ProgramEntry, ProgramId, TeamName, TokenUsage};

/// One part of an answer. A stream of these ends with `Answer`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum ProgramEvent {
    /// A chunk of the engine's stream, as JSON text.
    Delta(Arc<str>),
    Answer(ProgramAnswer),
    /// The host does not own the program's shard; nothing was done.
    NotOwner,
}

/// The final part of an answer.
#[derive(Clone, Debug, Deserialize, From, Serialize)]
pub(crate) enum ProgramAnswer {
    Call(CallAnswer),
    History(ProgramHistory),
    Problem(Problem),
    Status(ProgramStatus),
    Turn(TurnAnswer),
}

/// How safe an answer is.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum AnswerDurability {
    /// It is in the log.
    #[display("logged")]
    Logged,
    /// The platform is unavailable; the caller holds a receipt that gives it back to any later owner.
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
    pub(crate) receipt: Option<Arc<str>>,
    /// Whether every part that was streamed has reached the caller.
    pub(crate) is_stream_whole: bool,
    /// Whether the turn had ended before and its answer is given again.
    pub(crate) is_replay: bool,
}

/// A finished call.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct CallAnswer {
    pub(crate) status: u16,
    pub(crate) body: Arc<str>,
}

/// State and spend of a program.
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
    /// Part of the spent tokens that an owner's death left unsettled.
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
