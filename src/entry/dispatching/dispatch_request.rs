//! A request for a slot, with what only the exchange between hosts needs.

use std::sync::Arc;

use tokio::time::Instant;

use crate::entry::{placement_request::PlacementRequest, routed_request::RoutedRequest};

/// A request for a slot that a dispatcher may be asked for.
#[derive(Clone, Debug)]
pub(crate) struct DispatchRequest {
    /// Id of the client's request, by which the log lines of both hosts are found.
    pub(crate) id: Arc<str>,
    /// Name of the route.
    pub(crate) route: Arc<str>,
    /// Since when the request waits for a slot. A request that goes to another dispatcher keeps it.
    pub(crate) waiting_since: Instant,
    /// Whether the request may wait in a queue. If not, it is only granted a slot that is free now.
    pub(crate) may_wait: bool,
    pub(crate) placement: PlacementRequest,
}

impl DispatchRequest {
    pub(crate) fn new(routed: &RoutedRequest, excluded: &[Arc<str>], may_wait: bool) -> Self {
        Self {
            id: Arc::clone(&routed.request.id),
            route: Arc::clone(&routed.route.name),
            waiting_since: Instant::now(),
            may_wait,
            placement: routed.placement_request(excluded),
        }
    }
}
