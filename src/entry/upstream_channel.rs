//! Interface to the upstreams, implemented by the deployment.

use std::{fmt::Debug, sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use derive_more::{Display, Error};
use hyper::{HeaderMap, Method, StatusCode};

use crate::{RequestRate, entry::UpstreamRecord};

/// A request to an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamRequest {
    /// Id of the client's request. The response must carry the same id.
    pub id: Arc<str>,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: Arc<str>,
    /// Host name for the Host header, as named by the client.
    pub host: Arc<str>,
    /// Name of the team for which the request runs; it replaces what the headers state of a team.
    pub team: Option<Arc<str>>,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Time that is left to the upstream until the request's deadline.
    pub time_left: Option<Duration>,
    /// Id of the event after which a stream is to resume.
    pub last_event_id: Option<Arc<str>>,
    /// Number of connections that the upstream accepts from all callers together.
    pub connection_limit: u32,
}

/// Load that an upstream has reported with a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests that wait inside the upstream.
    pub waiting: u32,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Factor by which work takes longer on the upstream's machine now than usual, if it states one; 1.0 is as usual.
    pub slowness: Option<f32>,
}

impl ReportedLoad {
    /// Reads the figures of a load report, which are separated by commas: running, waiting, slots, and optionally how long
    /// work takes, which is 100 as usual. A fourth figure that can't be read counts as none, so that the others still count.
    pub fn from_figures(text: &str) -> Option<Self> {
        let mut figures = text.split(',').map(str::trim);
        let mut number = || figures.next()?.parse::<u32>().ok();
        let (running, waiting, slots) = (number()?, number()?, number()?);
        let percent = figures.next().and_then(|it| it.parse::<f32>().ok());
        let slowness = percent.filter(|it| it.is_finite() && *it > 0.0).map(|it| it / 100.0);
        Some(Self { running, waiting, slots, slowness })
    }
}

/// An upstream's response whose head has been received.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Whether the upstream states that it has not run the request, so that the request can safely be sent again.
    pub has_not_run: bool,
    /// Whether the response carries the upstream's signature.
    pub is_signed: bool,
    /// Whether the upstream states that it is leaving, so that it must get no new request.
    pub is_leaving: bool,
    /// Number of requests a second that the upstream states to take from all hosts together.
    pub limit: Option<RequestRate>,
    /// Load of the upstream at the time of the response.
    pub load: Option<ReportedLoad>,
    /// Body.
    pub body: Box<dyn UpstreamBody>,
}

/// Body of an upstream's response, read as it arrives.
#[async_trait]
pub trait UpstreamBody: Debug + Send {
    /// Returns the next chunk, or `None` at the end of a complete body.
    async fn next(&mut self) -> Result<Option<Bytes>, ChannelError>;
}

/// Why a request got no response, or only part of one.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum ChannelError {
    /// No byte of the request was sent.
    #[display("not sent: {reason}")]
    NotSent {
        /// What went wrong.
        reason: Arc<str>,
    },
    /// No byte of the request was sent, since the upstream was found to leave.
    #[display("the upstream leaves")]
    Leaving,
    /// The response belongs to another request. The request may have run.
    #[display("the answer belongs to another request")]
    Mismatched {
        /// Whether the response states that the upstream is leaving.
        is_leaving: bool,
    },
    /// The connection broke. The request may have run.
    #[display("broken: {reason}")]
    Broken {
        /// What went wrong.
        reason: Arc<str>,
    },
}

/// Decides whether an upstream may still get a request that it was chosen for.
pub trait SendGuard: Debug + Send + Sync {
    /// Whether the request may be sent now.
    fn may_send(&self) -> bool;

    /// Called when a new connection has been made for the request, which shows that the upstream can be reached.
    fn record_connected(&self) {}
}

/// Sends requests to upstreams.
#[async_trait]
pub trait UpstreamChannel: Debug + Send + Sync {
    /// Sends a request once and returns the response as soon as its head has arrived. Dropping the future, or the body
    /// before its end, closes the connection, so that the upstream stops working on the request. Asks `guard` each time
    /// before it writes the first byte, since a connect takes time.
    async fn send(
        &self,
        upstream: &UpstreamRecord,
        request: UpstreamRequest,
        guard: &dyn SendGuard,
    ) -> Result<UpstreamResponse, ChannelError>;

    /// Makes a connection to an upstream and keeps it for a later request.
    ///
    /// # Errors
    ///
    /// Returns [`ChannelError::NotSent`] if no connection can be made in the time that a request has for it.
    async fn connect(&self, upstream: &UpstreamRecord) -> Result<(), ChannelError>;

    /// Closes idle connections that are too old to be reused. The host calls this at regular intervals.
    fn close_expired(&self);
}
