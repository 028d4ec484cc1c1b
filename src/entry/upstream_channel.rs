//! Border to the upstreams.

use std::{fmt::Debug, sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use derive_more::{Display, Error};
use hyper::{HeaderMap, Method, StatusCode};

use crate::entry::UpstreamRecord;

/// A request to one upstream.
#[derive(Clone, Debug)]
pub struct UpstreamRequest {
    /// Identity of the client's attempt; the answer has to carry it.
    pub id: Arc<str>,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: Arc<str>,
    /// Host that the client named.
    pub host: Arc<str>,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Time for which the upstream may work.
    pub time_left: Option<Duration>,
    /// Event after which a stream goes on.
    pub last_event_id: Option<Arc<str>>,
    /// Connections that the upstream takes from all callers together.
    pub connection_limit: u32,
}

/// Load that an upstream has reported with an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait inside the upstream.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// Head of an upstream's answer.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// Whether the upstream states that it has not run the request.
    pub has_not_run: bool,
    /// Whether the answer bears the upstream's signature.
    pub is_signed: bool,
    /// Load at the time of the answer.
    pub load: Option<ReportedLoad>,
    /// Body.
    pub body: Box<dyn UpstreamBody>,
}

/// Body of an upstream's answer as it arrives.
#[async_trait]
pub trait UpstreamBody: Debug + Send {
    /// Gives the next piece, or nothing at a proper end.
    async fn next(&mut self) -> Result<Option<Bytes>, ChannelError>;
}

/// Why a request has brought no answer.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum ChannelError {
    /// None of the request's bytes left this host.
    #[display("not sent: {reason}")]
    NotSent {
        /// What went wrong.
        reason: Arc<str>,
    },
    /// The connection broke, or what came is no answer to this request. It may have run.
    #[display("broken: {reason}")]
    Broken {
        /// What went wrong.
        reason: Arc<str>,
    },
}

/// Way to the upstreams.
#[async_trait]
pub trait UpstreamChannel: Debug + Send + Sync {
    /// Sends a request once, and gives the head of the answer. Dropping the future, or the answer's body before its
    /// end, closes the connection, so that the upstream stops its work.
    async fn send(
        &self,
        upstream: &UpstreamRecord,
        request: UpstreamRequest,
    ) -> Result<UpstreamResponse, ChannelError>;

    /// Closes kept connections that are too old to be used again. The host calls it regularly.
    fn close_expired(&self);
}
