//! What an entry host answers to a client.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use derive_more::{Debug, Display};
use hyper::{HeaderMap, StatusCode};
use tokio::sync::mpsc;

/// Pieces of a stream that wait for the client at most. A client that reads slowly slows its upstream.
pub(crate) const STREAM_DEPTH: usize = 16;

/// Body of an upstream's answer.
#[derive(Debug)]
pub enum RelayedBody {
    /// The whole body.
    Whole(Bytes),
    /// Events as they come. The channel ends after [`StreamItem::End`]; without it the stream is incomplete.
    Events(#[debug(skip)] mpsc::Receiver<StreamItem>),
}

/// An item of a stream on its way to the client.
#[derive(Clone, Debug)]
pub enum StreamItem {
    /// Bytes of whole events.
    Bytes(Bytes),
    /// The stream is complete.
    End,
}

/// An upstream's answer, passed on unchanged.
#[derive(Debug)]
pub struct RelayedResponse {
    /// Status of the upstream.
    pub status: StatusCode,
    /// Headers of the upstream.
    pub headers: HeaderMap,
    /// Body of the upstream.
    pub body: RelayedBody,
}

/// An answer of the entry host itself.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum EntryRefusal {
    /// The request's framing or a header is wrong.
    #[display("malformed")]
    Malformed,
    /// The program's budget does not hold another turn. The turn was not run.
    #[display("budget_spent")]
    BudgetSpent,
    /// No route has the request's host and path.
    #[display("no_route")]
    NoRoute,
    /// The turn to continue does not exist.
    #[display("unknown_turn")]
    UnknownTurn,
    /// The body is larger than the configuration allows.
    #[display("too_large")]
    TooLarge,
    /// The request has not run and will not; it may come again.
    #[display("not_run")]
    NotRun {
        /// When to come back.
        retry_after: Duration,
    },
    /// The request may have run, and its answer is lost.
    #[display("answer_lost")]
    ResponseLost,
    /// Time has run out after the request was sent to an upstream.
    #[display("overdue")]
    DeadlineExceeded,
}

/// Answer to a client.
#[derive(Debug)]
pub enum EntryResponse {
    /// An upstream's answer.
    Relayed(RelayedResponse),
    /// The entry host's own answer.
    Refused {
        /// What is answered.
        refusal: EntryRefusal,
        /// Why, for the log and the client.
        reason: Arc<str>,
    },
}

impl EntryResponse {
    pub(crate) fn refused(refusal: EntryRefusal, reason: impl Into<Arc<str>>) -> Self {
        Self::Refused { refusal, reason: reason.into() }
    }

    pub(crate) fn not_run(retry_after: Duration, reason: impl Into<Arc<str>>) -> Self {
        Self::refused(EntryRefusal::NotRun { retry_after }, reason)
    }
}
