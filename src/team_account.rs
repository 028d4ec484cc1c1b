//! What a cell knows of a team.

use std::collections::BTreeSet;

use crate::{RequestKey, TeamName, TicketNumber};

/// Place of a request among its team's; the smallest goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct RequestRank {
    /// Tokens that the program has attained, or 0 where order of arrival counts alone.
    pub(crate) attained_tokens: u64,
    pub(crate) queued_ms: u64,
    pub(crate) ticket: TicketNumber,
    pub(crate) request: RequestKey,
}

/// Place of a request by age alone.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct RequestAge {
    pub(crate) queued_ms: u64,
    pub(crate) ticket: TicketNumber,
    pub(crate) request: RequestKey,
}

/// Waiting requests and served tokens of one team.
#[derive(Clone, Debug)]
pub(crate) struct TeamAccount {
    pub(crate) name: TeamName,
    pub(crate) weight: u32,
    /// Served tokens divided by the weight, in thousandths of a token.
    pub(crate) service: u64,
    /// Work of the waiting requests, in tokens.
    pub(crate) waiting_tokens: u64,
    pub(crate) by_rank: BTreeSet<RequestRank>,
    pub(crate) by_age: BTreeSet<RequestAge>,
}

impl TeamAccount {
    pub(crate) fn new(name: TeamName, weight: u32) -> Self {
        Self {
            name,
            weight: weight.max(1),
            service: 0,
            waiting_tokens: 0,
            by_rank: BTreeSet::new(),
            by_age: BTreeSet::new(),
        }
    }

    pub(crate) fn is_waiting(&self) -> bool {
        !self.by_rank.is_empty()
    }

    /// Gives tokens in the unit of `service`.
    pub(crate) fn weighted(&self, tokens: u64) -> u64 {
        tokens * 1_000 / u64::from(self.weight)
    }
}
