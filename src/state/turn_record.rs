//! Record of a finished turn.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::TokenUsage;

/// A finished turn: the new messages, the answer, and its token usage.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct TurnRecord {
    /// Hash of the request's messages, which distinguishes a repeat from another request under the same number.
    pub(crate) fingerprint: u64,
    /// The new messages, each as JSON text.
    pub(crate) messages: Vec<Arc<str>>,
    /// The assistant's message, as JSON text.
    pub(crate) answer: Arc<str>,
    /// Reason that the engine gave for the end of the answer.
    pub(crate) finish_reason: Arc<str>,
    pub(crate) usage: TokenUsage,
    /// Time of the end of the turn, in milliseconds since the Unix epoch.
    pub(crate) at_ms: u64,
}
