//! What is kept of a finished turn.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::TokenUsage;

/// A finished turn: the new messages, the answer, and what it took.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct TurnRecord {
    /// Hash of the request's messages, by which a repeat is told from another request.
    pub(crate) fingerprint: u64,
    /// The new messages, each as JSON text.
    pub(crate) messages: Vec<Arc<str>>,
    /// The assistant's message, as JSON text.
    pub(crate) answer: Arc<str>,
    /// The engine's reason for ending the answer.
    pub(crate) finish_reason: Arc<str>,
    pub(crate) usage: TokenUsage,
    pub(crate) at_ms: u64,
}
