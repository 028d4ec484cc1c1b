//! Decoded requests of clients.

use std::sync::Arc;

use bytes::Bytes;
use hyper::{HeaderMap, Method};
use tokio::time::Instant;

use crate::entry::{ClientKey, PossibleRuns};

/// A part of a prompt. Two parts with the same id have the same content if all parts before them are equal as well.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Id of the part's content.
    pub id: u64,
    /// Length of the part in tokens.
    pub tokens: u64,
}

/// The program that a request belongs to, and the request's place in it.
#[derive(Clone, Debug)]
pub struct ProgramContext {
    /// Id of the program.
    pub id: Arc<str>,
    /// Session inside the program: a sequence of turns that continue each other.
    pub session: Option<Arc<str>>,
    /// When the whole program should have finished.
    pub finish_by: Option<Instant>,
    /// Number of tokens that all turns of the program together may generate.
    pub token_budget: Option<u64>,
    /// Id of the turn that the request continues.
    pub previous_turn: Option<Arc<str>>,
}

/// A request of a client, with its whole body.
#[derive(Clone, Debug)]
pub struct EntryRequest {
    /// Id of one attempt of the client; a retry has an id of its own.
    pub id: Arc<str>,
    /// HTTP method.
    pub method: Method,
    /// Host name from the Host header, without the port.
    pub host: Arc<str>,
    /// Path without the query.
    pub path: Arc<str>,
    /// Path and query as sent by the client.
    pub target: Arc<str>,
    /// Key of the client.
    pub key: ClientKey,
    /// Headers to forward. They contain no key.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// When the whole request had been read.
    pub received: Instant,
    /// When the client stops waiting.
    pub deadline: Option<Instant>,
    /// The program that the request belongs to, if any.
    pub program: Option<ProgramContext>,
    /// Number of tokens in the prompt, as counted by the client.
    pub prompt_tokens: u64,
    /// Largest number of tokens in the response.
    pub max_completion_tokens: u64,
    /// Parts of the prompt, in order.
    pub prompt_parts: Vec<PromptPart>,
    /// Id of the last event of this stream that the client has received.
    pub last_event_id: Option<Arc<str>>,
    /// Id of the client's attempt that has brought the stream's first event, if this attempt takes the stream up.
    pub resumed_request: Option<Arc<str>>,
    /// Attempts in which the request may have run, on this host and on those that were lost with it before.
    pub possible_runs: PossibleRuns,
    /// Whether another host has forwarded the request to this one.
    pub is_forwarded: bool,
}
