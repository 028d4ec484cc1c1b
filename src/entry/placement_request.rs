//! A request for a slot on an upstream, and its refusal.

use std::sync::Arc;

use tokio::time::{Duration, Instant};

use crate::entry::{
    PromptPart, object_affinity::object_key::ObjectKey, pooled_upstream::PooledUpstream,
    slot_obstacle::SlotObstacle, upstream_load::memory_account::MemoryAccount,
};

/// A request for a slot on an upstream of a service.
#[derive(Clone, Debug)]
pub(crate) struct PlacementRequest {
    pub(crate) service: Arc<str>,
    /// Name of the request's route; what is learned of programs is learned by route.
    pub(crate) route: Arc<str>,
    /// Id of the request, for logs and for the spread of retries.
    pub(crate) request: Arc<str>,
    /// Team of the request, if the deployment has teams.
    pub(crate) team: Option<Arc<str>>,
    /// Id of the request's program, if that states a finish time.
    pub(crate) program: Option<Arc<str>>,
    /// Priority of the team or the route; 0 is the most urgent.
    pub(crate) priority: u32,
    /// Whether the request continues earlier turns; their work is lost if the request is refused.
    pub(crate) is_continuation: bool,
    /// When the program should have finished; orders requests of the same priority.
    pub(crate) finish_by: Instant,
    /// When the request must have been answered.
    pub(crate) deadline: Instant,
    pub(crate) prompt_parts: Vec<PromptPart>,
    pub(crate) prompt_tokens: u64,
    /// Largest number of tokens in the response; 0 if not stated.
    pub(crate) completion_tokens: u64,
    /// What the request is about, if its route keeps requests about one object together.
    pub(crate) object: Option<ObjectKey>,
    /// Whether the request may be sent again after it may have run, so that its loss does little harm.
    pub(crate) may_repeat: bool,
    /// Software version of the upstream, if the request goes on with a stream that one has begun.
    pub(crate) software_version: Option<Arc<str>>,
    /// Upstreams that have failed or rejected this request.
    pub(crate) excluded: Vec<Arc<str>>,
}

impl PlacementRequest {
    /// Tokens that an upstream holds for the request.
    pub(crate) fn memory_tokens(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.completion_tokens)
    }

    /// Whether the request may run on an upstream, if that is open for new requests.
    pub(crate) fn may_use(&self, upstream: &PooledUpstream) -> bool {
        self.obstacle(upstream).is_none()
    }

    /// What keeps the request from an upstream at any load. A request that is larger than the upstream's memory would end it.
    pub(crate) fn obstacle(&self, upstream: &PooledUpstream) -> Option<SlotObstacle> {
        let version = &upstream.record.software_version;
        let capacity = upstream.cache.capacity_tokens();

        if MemoryAccount::default().is_exceeded_by(self.memory_tokens(), 0, capacity) {
            Some(SlotObstacle::TooLarge)
        } else if self.excluded.contains(&upstream.record.id) {
            Some(SlotObstacle::Excluded)
        } else if self.software_version.as_ref().is_some_and(|it| it != version) {
            Some(SlotObstacle::Version)
        } else {
            None
        }
    }
}

/// Reason of a refusal by a host that knows no upstream of the service.
pub(crate) const NO_UPSTREAM: &str = "the service has no upstream";

/// Reason of a refusal by a host that knows no upstream which may take the request.
pub(crate) const NO_USABLE_UPSTREAM: &str = "no upstream of the service may take the request";

/// Why no slot was granted, and when to retry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct PlacementRefusal {
    pub(crate) reason: &'static str,
    pub(crate) retry_after: Duration,
}
