//! State of a request in a cell.

use crate::{CellRequest, TeamKey, TicketNumber, UpstreamKey};

/// A request that is queued in a cell or runs on one of its upstreams.
#[derive(Clone, Debug)]
pub(crate) struct QueuedRequest {
    pub(crate) ticket: TicketNumber,
    pub(crate) request: CellRequest,
    pub(crate) team: TeamKey,
    /// When the request was first passed over, in milliseconds since the Unix epoch; the hold limit counts from it.
    pub(crate) held_since_ms: Option<u64>,
    pub(crate) grant: Option<RequestGrant>,
    /// Whether any upstream had the program's prefix cached when the request arrived.
    pub(crate) is_warm: bool,
}

/// Grant of an upstream to a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestGrant {
    pub(crate) upstream: UpstreamKey,
    pub(crate) at_ms: u64,
    /// Tokens of the prompt that the prefix model expected in the upstream's cache.
    pub(crate) cached_tokens: u64,
    /// Tokens that the team was charged at the grant; the report corrects the charge.
    pub(crate) charged_tokens: u64,
}
