//! What a cell's queue decides.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{TicketNumber, UpstreamName};

/// Why an upstream was chosen.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum GrantReason {
    /// The program has no prefix anywhere, or none that pays.
    #[display("least_loaded")]
    LeastLoaded,
    /// The program's prefix is cached there.
    #[display("warm_prefix")]
    WarmPrefix,
    /// A warm upstream was waited for, and the wait has become too long.
    #[display("hold_expired")]
    HoldExpired,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RefusalReason {
    /// Its deadline has passed while it waited.
    #[display("deadline_passed")]
    DeadlinePassed,
    /// Its team's share of the capacity can't serve it in time.
    #[display("team_share_exhausted")]
    TeamShareExhausted,
    /// Upstreams crashed under it.
    #[display("poisonous")]
    Poisonous,
    /// No upstream of the cell is left for it.
    #[display("no_upstream")]
    NoUpstream,
}

/// One decision about one request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum CellDecision {
    Grant {
        ticket: TicketNumber,
        upstream: UpstreamName,
        reason: GrantReason,
        /// Tokens of the prompt that should be cached there.
        cached_tokens: u64,
        /// Expected prefill time there, in microseconds.
        cost_us: u64,
        /// Requests that were waiting, this one included.
        waiting: usize,
    },
    Refuse {
        ticket: TicketNumber,
        reason: RefusalReason,
        /// When to come back, in milliseconds from now.
        retry_after_ms: u64,
    },
}

impl CellDecision {
    /// What was decided, in a word or two: the upstream, or that the request is refused.
    pub(crate) fn choice(&self) -> String {
        match self {
            Self::Grant { upstream, .. } => upstream.to_string(),
            Self::Refuse { .. } => "refused".into(),
        }
    }

    pub(crate) fn reason(&self) -> String {
        match self {
            Self::Grant { reason, .. } => reason.to_string(),
            Self::Refuse { reason, .. } => reason.to_string(),
        }
    }

    pub(crate) fn ticket(&self) -> TicketNumber {
        match self {
            Self::Grant { ticket, .. } | Self::Refuse { ticket, .. } => *ticket,
        }
    }
}
