//! How a scheduler answers the offer of a request, and the head of its response.

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{
    entry::upstream_departures::UpstreamDeparture, gateway::forwarded_request::HeaderList,
};

/// Why a host does not take a request that another one offers. Nothing of the request has run.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub(crate) enum DeclineReason {
    /// The host is no scheduler.
    #[display("not a scheduler")]
    NotScheduler,
    /// The host is about to stop.
    #[display("draining")]
    Draining,
    /// The host has no configuration, or has not loaded the recorded turns and budgets yet.
    #[display("not ready")]
    NotReady,
    /// The host has an older configuration than the one that the offering host has seen in force.
    #[display("its configuration is older")]
    StaleConfig,
    /// The request is not valid in HTTP.
    #[display("malformed")]
    Malformed,
    /// The host reaches no upstream of the service that the request needs.
    #[display("out of reach of the service")]
    OutOfReach,
}

/// Head of an upstream's response, with the body if it is not streamed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ForwardedHead {
    pub(crate) status: u16,
    pub(crate) headers: HeaderList,
    /// The whole body; `None` if it follows as a stream.
    pub(crate) body: Option<Bytes>,
    /// The upstream's departure, if the response states that it leaves.
    pub(crate) departure: Option<UpstreamDeparture>,
}
