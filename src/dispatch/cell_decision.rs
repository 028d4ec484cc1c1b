//! Decisions of a cell's queue.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{TicketNumber, UpstreamName};

/// Why a request was placed on the upstream that it was granted.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum GrantReason {
    /// No eligible upstream has the program's prefix cached, or the policy ignores cached prefixes.
    #[display("least_loaded")]
    LeastLoaded,
    /// The upstream has the program's prefix cached.
    #[display("warm_prefix")]
    WarmPrefix,
    /// Another upstream has the prefix cached, but the request did not wait for it or no longer waits: the hold limit
    /// has passed, holds are disabled, the team lags too far, or waiting costs more than prefilling here.
    #[display("hold_expired")]
    HoldExpired,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RefusalReason {
    /// The deadline passed while the request was queued.
    #[display("deadline_passed")]
    DeadlinePassed,
    /// The expected wait behind the team's other queued requests exceeds what the deadline or the policy allows.
    #[display("team_share_exhausted")]
    TeamShareExhausted,
    /// As many upstreams as the policy allows crashed while they ran the request.
    #[display("poisonous")]
    Poisonous,
    /// The cell has no serving upstream that the request does not exclude, or its dispatcher can't be reached.
    #[display("no_upstream")]
    NoUpstream,
}

/// Decision of the queue about one request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum CellDecision {
    Grant {
        ticket: TicketNumber,
        upstream: UpstreamName,
        reason: GrantReason,
        /// Tokens of the prompt that the prefix model expects in the upstream's cache.
        cached_tokens: u64,
        /// Expected prefill time on the upstream, weighted by the policy, in microseconds.
        cost_us: u64,
        /// Length of the queue at the decision, this request included.
        waiting: usize,
    },
    Refuse {
        ticket: TicketNumber,
        reason: RefusalReason,
        /// Time after which the caller may retry, in milliseconds from now.
        retry_after_ms: u64,
    },
}

impl CellDecision {
    /// Label of the decision in the journal's log lines: the name of the upstream, or `refused`.
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
