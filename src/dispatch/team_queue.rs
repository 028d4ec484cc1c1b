//! What a cell knows of a team.

use std::collections::BTreeSet;

use crate::{RequestKey, TeamName, TicketNumber};

/// Place of a request among its team's; the oldest goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct RequestPosition {
    pub(crate) queued_ms: u64,
    pub(crate) ticket: TicketNumber,
    pub(crate) request: RequestKey,
}

/// Waiting requests and served tokens of one team.
#[derive(Clone, Debug)]
pub(crate) struct TeamQueue {
    pub(crate) name: TeamName,
    pub(crate) weight: u32,
    /// Served tokens divided by the weight, in thousandths of a token.
    pub(crate) service: u64,
    /// Requests whose programs have a prefix somewhere.
    pub(crate) warm: BTreeSet<RequestPosition>,
    /// Requests whose programs have none.
    pub(crate) cold: BTreeSet<RequestPosition>,
}

impl TeamQueue {
    pub(crate) fn new(name: TeamName, weight: u32) -> Self {
        Self {
            name,
            weight: weight.max(1),
            service: 0,
            warm: BTreeSet::new(),
            cold: BTreeSet::new(),
        }
    }

    pub(crate) fn is_waiting(&self) -> bool {
        self.waiting() > 0
    }

    /// The request that has waited longest.
    pub(crate) fn oldest(&self) -> Option<&RequestPosition> {
        self.warm.first().into_iter().chain(self.cold.first()).min()
    }

    /// Requests that are ordered with the one that is warm or not.
    pub(crate) fn ages_mut(&mut self, is_warm: bool) -> &mut BTreeSet<RequestPosition> {
        if is_warm { &mut self.warm } else { &mut self.cold }
    }

    /// Number of requests that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.warm.len() + self.cold.len()
    }

    /// Gives tokens in the unit of `service`.
    pub(crate) fn weighted(&self, tokens: u64) -> u64 {
        tokens * 1_000 / u64::from(self.weight)
    }
}
