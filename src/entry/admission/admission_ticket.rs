//! What a lease remembers of its request.

use std::sync::Arc;

use tokio::time::{Duration, Instant};

use super::estimate_key::EstimateKey;
use crate::entry::placement_request::PlacementRequest;

/// The program, route and arrival of a placed request, from which the end of its lease is learned.
#[derive(Clone, Debug)]
pub(crate) struct AdmissionTicket {
    pub(super) team: Option<Arc<str>>,
    pub(super) program: Arc<str>,
    pub(super) estimate: EstimateKey,
    pub(super) arrived_at: Instant,
}

impl AdmissionTicket {
    /// The ticket of a request that arrives now; `None` if its program states no finish time.
    pub(super) fn new(
        now: Instant,
        request: &PlacementRequest,
        estimate: EstimateKey,
    ) -> Option<Self> {
        let program = Arc::clone(request.program.as_ref()?);
        Some(Self { team: request.team.clone(), program, estimate, arrived_at: now })
    }

    /// Time since the request has arrived.
    pub(super) fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.arrived_at)
    }
}
