//! A request in a cell.

use crate::{CellRequest, TeamKey, TicketNumber, UpstreamKey};

/// A request that waits in a cell or runs on one of its upstreams.
#[derive(Clone, Debug)]
pub(crate) struct QueuedRequest {
    pub(crate) ticket: TicketNumber,
    pub(crate) request: CellRequest,
    pub(crate) team: TeamKey,
    /// Since when it is held for a warm upstream.
    pub(crate) held_since_ms: Option<u64>,
    pub(crate) grant: Option<RequestGrant>,
    /// Whether the program had a prefix somewhere when the request came.
    pub(crate) is_warm: bool,
}

/// Where a request runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestGrant {
    pub(crate) upstream: UpstreamKey,
    pub(crate) at_ms: u64,
    /// Tokens of the prompt that should have been cached.
    pub(crate) cached_tokens: u64,
    /// Tokens that the team was charged ahead, corrected by the report.
    pub(crate) charged_tokens: u64,
}
