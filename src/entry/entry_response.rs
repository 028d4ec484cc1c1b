//! Responses of an entry host to its clients.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use derive_more::{Debug, Display};
use hyper::{HeaderMap, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use crate::entry::upstream_departures::UpstreamDeparture;

/// Largest number of items of a stream that are buffered for a client. While the buffer is full, nothing is read from
/// the upstream, so a slow client slows its upstream down.
pub(crate) const MAX_BUFFERED_ITEMS: usize = 16;

/// Time after which a client is asked to retry when no host reaches the service. Hosts try to reach it at shorter intervals.
const OUT_OF_REACH_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Time after which a client of a host that can't decode a refusal is asked to retry. Another host may decode it.
const OLDER_BUILD_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Body of a relayed response.
#[derive(Debug)]
pub enum RelayedBody {
    /// A whole body.
    Whole(Bytes),
    /// Events as they arrive. A channel that ends without [`StreamItem::End`] marks an incomplete stream.
    Events(#[debug(skip)] mpsc::Receiver<StreamItem>),
}

/// An item of a stream to a client.
#[derive(Clone, Debug)]
pub enum StreamItem {
    /// Bytes of whole events.
    Bytes(Bytes),
    /// The stream is complete.
    End,
}

/// An upstream's response, relayed unchanged.
#[derive(Debug)]
pub struct RelayedResponse {
    /// HTTP status of the upstream's response.
    pub status: StatusCode,
    /// Headers of the upstream's response.
    pub headers: HeaderMap,
    /// Body of the upstream's response.
    pub body: RelayedBody,
    /// The upstream's departure, if the response states that it leaves. A host that passes the response on must know it as
    /// well, since it may place requests itself later.
    pub(crate) departure: Option<UpstreamDeparture>,
}

/// Kind of a refusal, which the entry host sends instead of an upstream's response.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum EntryRefusal {
    /// The request's framing or one of its headers is invalid.
    #[display("malformed")]
    Malformed,
    /// The program's token budget has no room for the turn, which was not run.
    #[display("budget_spent")]
    BudgetSpent,
    /// No route matches the request's host and path.
    #[display("no_route")]
    NoRoute,
    /// The turn that the request continues does not exist.
    #[display("unknown_turn")]
    UnknownTurn,
    /// The body is larger than the configuration allows.
    #[display("too_large")]
    TooLarge,
    /// The request has not run and will not run; the client may retry it.
    #[display("not_run")]
    NotRun {
        /// Time after which the client should retry.
        retry_after: Duration,
    },
    /// The request may have run, and its response is lost.
    #[display("answer_lost")]
    ResponseLost,
    /// The deadline passed after the request was sent to an upstream.
    #[display("overdue")]
    DeadlineExceeded,
    /// The host reaches no upstream of the request's service, and another host may go on with the request. If none does, a
    /// client has to take its response for lost if the request may have run before.
    #[display("{}", if *may_have_run { "answer_lost" } else { "out_of_reach" })]
    OutOfReach {
        /// Whether the request may have run in an earlier attempt.
        may_have_run: bool,
        /// Time after which the client should retry if no other host takes the request.
        retry_after: Duration,
    },
    /// The route needs the key of a team, and the request has none that is known. Not sent to a build that knows no teams.
    #[display("unauthorized")]
    Unauthorized,
    /// The request would exceed its team's quota; it has not run and will not run. Not sent to a build that knows no teams.
    #[display("quota_exceeded")]
    QuotaExceeded {
        /// Time after which the request would be accepted.
        retry_after: Duration,
    },
}

impl EntryRefusal {
    /// The refusal as a build understands it that knows no teams.
    pub(crate) fn for_older_build(self) -> Self {
        match self {
            Self::Unauthorized => Self::NotRun { retry_after: OLDER_BUILD_RETRY_AFTER },
            Self::QuotaExceeded { retry_after } => Self::NotRun { retry_after },
            refusal => refusal,
        }
    }

    /// Whether a client may conclude from the refusal that the request has not run and will not run.
    pub(crate) fn states_not_run(self) -> bool {
        match self {
            Self::Malformed
            | Self::BudgetSpent
            | Self::NoRoute
            | Self::UnknownTurn
            | Self::TooLarge
            | Self::NotRun { .. }
            | Self::Unauthorized
            | Self::QuotaExceeded { .. } => true,
            Self::OutOfReach { may_have_run, .. } => !may_have_run,
            Self::ResponseLost | Self::DeadlineExceeded => false,
        }
    }
}

/// A response to a client.
#[derive(Debug)]
pub enum EntryResponse {
    /// An upstream's response.
    Relayed(RelayedResponse),
    /// A refusal by the entry host.
    Refused {
        /// Kind of the refusal.
        refusal: EntryRefusal,
        /// Reason, for the log and the client.
        reason: Arc<str>,
    },
}

impl EntryResponse {
    pub(crate) fn refused(refusal: EntryRefusal, reason: impl Into<Arc<str>>) -> Self {
        Self::Refused { refusal, reason: reason.into() }
    }

    /// Whether the response states that the request has not run and will not run.
    pub(crate) fn states_not_run(&self) -> bool {
        match self {
            Self::Relayed(response) => {
                let status = response.status;
                status == StatusCode::TOO_MANY_REQUESTS || status == StatusCode::SERVICE_UNAVAILABLE
            }
            Self::Refused { refusal, .. } => refusal.states_not_run(),
        }
    }

    /// Whether another host may go on with the request.
    pub(crate) fn is_out_of_reach(&self) -> bool {
        matches!(self, Self::Refused { refusal: EntryRefusal::OutOfReach { .. }, .. })
    }

    pub(crate) fn out_of_reach(may_have_run: bool) -> Self {
        let refusal =
            EntryRefusal::OutOfReach { may_have_run, retry_after: OUT_OF_REACH_RETRY_AFTER };
        Self::refused(refusal, "no upstream of the service can be reached")
    }

    pub(crate) fn not_run(retry_after: Duration, reason: impl Into<Arc<str>>) -> Self {
        Self::refused(EntryRefusal::NotRun { retry_after }, reason)
    }
}
