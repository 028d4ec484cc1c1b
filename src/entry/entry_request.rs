//! A request of a client, decoded.

use std::sync::Arc;

use bytes::Bytes;
use hyper::{HeaderMap, Method};
use tokio::time::Instant;

/// A part of a prompt. Equal ids mean equal content after equal earlier parts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Identity of the part's content.
    pub id: u64,
    /// Length of the part.
    pub tokens: u64,
}

/// What a request says of the program that it belongs to.
#[derive(Clone, Debug)]
pub struct ProgramContext {
    /// The program.
    pub id: Arc<str>,
    /// The line of turns inside the program.
    pub session: Option<Arc<str>>,
    /// When the program as a whole should have ended.
    pub finish_by: Option<Instant>,
    /// Tokens that all turns of the program may generate.
    pub token_budget: Option<u64>,
    /// The turn that this one continues.
    pub previous_turn: Option<Arc<str>>,
}

/// A request of a client with its whole body.
#[derive(Clone, Debug)]
pub struct EntryRequest {
    /// Identity of this attempt of the client.
    pub id: Arc<str>,
    /// Method.
    pub method: Method,
    /// Host that the request names.
    pub host: Arc<str>,
    /// Path without the query.
    pub path: Arc<str>,
    /// Path and query, as the client sent them.
    pub target: Arc<str>,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// When the request had been read.
    pub received: Instant,
    /// When the client gives up.
    pub deadline: Option<Instant>,
    /// The program, where the request belongs to one.
    pub program: Option<ProgramContext>,
    /// Tokens of the prompt, as the client counts them.
    pub prompt_tokens: u64,
    /// Most tokens that the answer may have.
    pub max_completion_tokens: u64,
    /// Parts of the prompt, in order.
    pub prompt_parts: Vec<PromptPart>,
    /// The last event that the client has of this stream.
    pub last_event_id: Option<Arc<str>>,
}
