//! What has become of a query to a dispatcher.

use crate::{
    PeerStream,
    entry::{
        dispatching::{dispatcher_suspects::DispatcherFailure, placement_grant::PlacementGrant},
        placement_request::PlacementRefusal,
        upstream_lease::UpstreamLease,
    },
};

/// A dispatcher's answer to a query.
#[derive(Debug)]
pub(crate) enum DispatcherAnswer {
    /// A slot, which is held while the stream is open.
    Granted { grant: PlacementGrant, stream: Box<dyn PeerStream> },
    /// A slot that this host has taken itself while the request would have had to wait.
    Taken(UpstreamLease),
    /// The request gets no slot.
    Refused(PlacementRefusal),
    /// The dispatcher has failed, so that another one is to be asked.
    Failed(DispatcherFailure),
}
