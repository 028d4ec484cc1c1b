//! Interface between a host and its upstreams.

use std::{fmt::Debug, sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use derive_more::Display;

use crate::{CellResult, RequestRate};

/// Why a request to an upstream failed.
#[derive(Clone, Debug, Display, Eq, PartialEq, derive_more::Error)]
pub(crate) enum UpstreamError {
    /// No connection could be made, so nothing was sent.
    #[display("no connection: {reason}")]
    NotSent { reason: String },
    /// The upstream does not accept requests at present. It has probably not run this one; the status may come from a
    /// proxy that lost the upstream after the request was sent.
    #[display("refused with status {status}")]
    Refused { status: u16 },
    /// The upstream rejected the request as invalid.
    #[display("rejected with status {status}: {reason}")]
    Rejected { status: u16, reason: String },
    /// The connection broke after the request was sent.
    #[display("the connection broke: {reason}")]
    Broken { reason: String },
    #[display("no answer in time")]
    Overdue,
}

impl UpstreamError {
    /// The result that is reported to the dispatcher. A rejected request is reported as lost, which does not count
    /// against the upstream.
    pub(crate) fn cell_result(&self) -> CellResult {
        match self {
            Self::NotSent { .. } => CellResult::NotSent,
            Self::Refused { .. } => CellResult::Refused,
            Self::Rejected { .. } => CellResult::Lost,
            Self::Broken { .. } => CellResult::Broken,
            Self::Overdue => CellResult::Overdue,
        }
    }

    /// Whether the upstream did not run the request, or presumably not, so that another attempt costs nothing.
    pub(crate) fn is_presumed_not_run(&self) -> bool {
        matches!(self, Self::NotSent { .. } | Self::Refused { .. })
    }

    /// Whether the upstream certainly did not run the request.
    pub(crate) fn is_not_run(&self) -> bool {
        matches!(self, Self::NotSent { .. })
    }
}

/// Status and complete body of an upstream's response.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamResponse {
    pub(crate) status: u16,
    pub(crate) body: Arc<str>,
}

/// Outcome of a health probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ProbeOutcome {
    /// The upstream accepts requests. The load is `None` if it does not report one.
    Healthy { load: Option<UpstreamLoad> },
    /// The upstream responded that it accepts no requests.
    Unhealthy,
    /// The upstream did not respond.
    Unresponsive,
}

/// Load that an upstream reports. It may lag behind the current state.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize)]
pub(crate) struct UpstreamLoad {
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    /// Number of requests a second that it takes from all callers, if it states one.
    #[serde(default, rename = "requests_per_second", deserialize_with = "deserialize_limit")]
    pub(crate) limit: Option<RequestRate>,
}

/// Reads a number of requests a second. One that is no rate counts as none.
fn deserialize_limit<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<RequestRate>, D::Error> {
    let number: Option<f64> = serde::Deserialize::deserialize(deserializer)?;
    Ok(number.and_then(RequestRate::from_per_second))
}

/// Timeouts of a streamed response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StreamTimeouts {
    /// Time to the response's head, and from there to the first token.
    pub(crate) first_token: Duration,
    /// Time between two tokens.
    pub(crate) between_tokens: Duration,
}

/// A response that is streamed in chunks.
#[async_trait]
pub(crate) trait UpstreamStream: Send {
    /// Returns the next chunk as JSON text, or `None` once the stream has ended with its end marker. A stream that ends
    /// without one is an [`UpstreamError::Broken`].
    async fn next(&mut self) -> Result<Option<Arc<str>>, UpstreamError>;
}

/// An order to an engine. Orders are idempotent.
#[derive(Clone, Debug, serde::Serialize)]
pub(crate) struct EngineOrder {
    pub(crate) kind: &'static str,
    pub(crate) cache_key: String,
    /// Fencing number of the dispatcher's term. An engine that checks fencing refuses lower ones.
    pub(crate) fence: u64,
}

/// Client of engines and plain services.
#[async_trait]
pub(crate) trait UpstreamClient: Debug + Send + Sync {
    /// Sends a call to a service exactly once; the caller decides on retries.
    async fn call(
        &self,
        url: &str,
        path: &str,
        body: Bytes,
        idempotency_key: &str,
        call_timeout: Duration,
    ) -> Result<UpstreamResponse, UpstreamError>;

    /// Starts a chat completion and returns its streamed response.
    async fn chat(
        &self,
        url: &str,
        body: Bytes,
        timeouts: StreamTimeouts,
    ) -> Result<Box<dyn UpstreamStream>, UpstreamError>;

    /// Lists the keys of the prefixes in an engine's cache.
    async fn cache_keys(&self, url: &str) -> Result<Vec<String>, UpstreamError>;

    /// Sends an order to an engine.
    async fn send_order(&self, url: &str, order: &EngineOrder) -> Result<(), UpstreamError>;

    /// Probes an upstream's health and load. Failures are outcomes, not errors.
    async fn probe(&self, url: &str) -> ProbeOutcome;

    /// Sends a GET request to a path, such as the status path of a call.
    async fn read(&self, url: &str, path: &str) -> Result<UpstreamResponse, UpstreamError>;
}
