//! Border between a host and the upstreams.

use std::{fmt::Debug, sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use derive_more::Display;

use crate::CellResult;

/// Why an upstream gave no answer of use.
#[derive(Clone, Debug, Display, Eq, PartialEq, derive_more::Error)]
pub(crate) enum UpstreamError {
    /// No connection could be made, so nothing was sent.
    #[display("no connection: {reason}")]
    NotSent { reason: String },
    /// The upstream takes no requests at present and ran nothing.
    #[display("refused with status {status}")]
    Refused { status: u16 },
    /// The upstream finds fault with the request.
    #[display("rejected with status {status}: {reason}")]
    Rejected { status: u16, reason: String },
    /// The connection broke after the request was sent.
    #[display("the connection broke: {reason}")]
    Broken { reason: String },
    #[display("no answer in time")]
    Overdue,
}

impl UpstreamError {
    /// What the dispatcher is told.
    pub(crate) fn cell_result(&self) -> CellResult {
        match self {
            Self::NotSent { .. } => CellResult::NotSent,
            Self::Refused { .. } => CellResult::Refused,
            Self::Rejected { .. } => CellResult::Lost,
            Self::Broken { .. } => CellResult::Broken,
            Self::Overdue => CellResult::Overdue,
        }
    }

    /// Tells whether the upstream certainly ran nothing.
    pub(crate) fn is_not_run(&self) -> bool {
        matches!(self, Self::NotSent { .. } | Self::Refused { .. })
    }
}

/// A whole answer of a service.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamReply {
    pub(crate) status: u16,
    pub(crate) body: Arc<str>,
}

/// What a probe has found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ProbeOutcome {
    /// It takes requests; the load is missing where it reports none.
    Well { load: Option<UpstreamLoad> },
    /// It says that it takes no requests.
    Refusing,
    /// It gives no answer at all.
    Silent,
}

/// Load that an upstream reports, with a lag.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize)]
pub(crate) struct UpstreamLoad {
    pub(crate) running: u32,
    pub(crate) waiting: u32,
}

/// Bounds on a stream of an answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StreamTimeouts {
    pub(crate) first_token: Duration,
    pub(crate) between_tokens: Duration,
}

/// A streamed answer.
#[async_trait]
pub(crate) trait UpstreamStream: Send {
    /// Gives the next chunk as JSON text, or nothing at the proper end of the answer.
    async fn next(&mut self) -> Result<Option<Arc<str>>, UpstreamError>;
}

/// An order to an engine. It states what is wanted, so that repeating it is harmless.
#[derive(Clone, Debug, serde::Serialize)]
pub(crate) struct EngineOrder {
    pub(crate) kind: &'static str,
    pub(crate) cache_key: String,
    /// Fencing number of the cell's term of office.
    pub(crate) fence: u64,
}

/// Way to engines and plain services.
#[async_trait]
pub(crate) trait UpstreamClient: Debug + Send + Sync {
    /// Sends a call once. Nothing is tried again here, whatever happens.
    async fn call(
        &self,
        url: &str,
        path: &str,
        body: Bytes,
        key: &str,
        limit: Duration,
    ) -> Result<UpstreamReply, UpstreamError>;

    /// Starts a chat completion.
    async fn chat(
        &self,
        url: &str,
        body: Bytes,
        timeouts: StreamTimeouts,
    ) -> Result<Box<dyn UpstreamStream>, UpstreamError>;

    /// Lists the cache keys that an engine holds memory for.
    async fn cache_keys(&self, url: &str) -> Result<Vec<String>, UpstreamError>;

    async fn order(&self, url: &str, order: &EngineOrder) -> Result<(), UpstreamError>;

    async fn probe(&self, url: &str) -> ProbeOutcome;

    /// Reads a path, as for the status of a call.
    async fn read(&self, url: &str, path: &str) -> Result<UpstreamReply, UpstreamError>;
}
