//! What a granted request puts on its upstream.

use tokio::time::{Duration, Instant};

use crate::entry::{object_affinity::object_gain::ObjectPlace, pooled_upstream::LeaseOutcome};

/// What a granted request puts on its upstream, as known at the grant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct GrantedLoad {
    pub(crate) granted_at: Instant,
    /// Prompt tokens that the upstream has to read.
    pub(crate) uncached_tokens: u64,
    /// Whether that number is well known: not if another host may have sent the first part of the prompt there.
    pub(crate) is_prefill_known: bool,
    /// Tokens that the upstream holds for the request: its prompt and its largest completion.
    pub(crate) memory_tokens: u64,
    /// Requests on the upstream with this one, at the first event: the load report of the response has just come then, so
    /// that those of other hosts are well known.
    pub(crate) requests: u32,
    /// Place of the upstream in the order of the request's object, if it has one.
    pub(crate) object_place: Option<ObjectPlace>,
}

/// How a lease has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct LeaseEnd {
    pub(crate) outcome: LeaseOutcome,
    pub(crate) granted: GrantedLoad,
    /// Time from the grant to the first event of a stream, if there was one.
    pub(crate) first_event_time: Option<Duration>,
}
