//! What is asked of the placement pool, and why it may be refused.

use std::sync::Arc;

use tokio::time::{Duration, Instant};

use crate::entry::PromptPart;

/// A request for a place.
#[derive(Clone, Debug)]
pub(crate) struct PlacementRequest {
    pub(crate) service: Arc<str>,
    /// Rank of the route; 0 is the most urgent.
    pub(crate) priority: u32,
    /// Whether the request continues work that has been done; such work is lost if it is refused.
    pub(crate) is_continuation: bool,
    pub(crate) finish_by: Instant,
    pub(crate) deadline: Instant,
    pub(crate) parts: Vec<PromptPart>,
    pub(crate) prompt_tokens: u64,
    /// Upstreams that have failed this request.
    pub(crate) excluded: Vec<Arc<str>>,
}

/// Why no place was given.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct PlacementRefusal {
    pub(crate) reason: &'static str,
    pub(crate) retry_after: Duration,
}
