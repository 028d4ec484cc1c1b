//! Why a request gets no upstream.

use derive_more::{Display, From};

use crate::entry::{AccessRefusal, EntryResponse, placement_request::PlacementRefusal};

/// Refusal of a request that was routed.
#[derive(Clone, Debug, Display, From)]
pub(super) enum RunRefusal {
    /// No slot is granted.
    #[display("{}", _0.reason)]
    Placement(PlacementRefusal),
    /// The request may no longer use its route.
    #[display("{_0}")]
    Access(AccessRefusal),
}

impl RunRefusal {
    /// The response to a request that has not run.
    pub(super) fn response(self) -> EntryResponse {
        match self {
            Self::Placement(refusal) => EntryResponse::not_run(refusal.retry_after, refusal.reason),
            Self::Access(refusal) => refusal.response(),
        }
    }
}
