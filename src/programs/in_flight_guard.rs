//! Counts the requests in flight.

use std::sync::{Arc, atomic::Ordering};

use crate::Node;

/// Counts a request as in flight. The guard is dropped once the request has its answer.
pub(crate) struct InFlightGuard {
    pub(crate) node: Arc<Node>,
}

impl InFlightGuard {
    pub(crate) fn new(node: &Arc<Node>) -> Self {
        node.in_flight.fetch_add(1, Ordering::SeqCst);
        Self { node: Arc::clone(node) }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.node.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
