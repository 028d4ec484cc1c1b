//! Queue and fair-share accounting of one team in a cell.

use std::collections::BTreeSet;

use crate::{RequestKey, TeamName, TicketNumber};

/// Position of a request in its team's queue: by age, the oldest first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct RequestPosition {
    pub(crate) queued_ms: u64,
    pub(crate) ticket: TicketNumber,
    pub(crate) request: RequestKey,
}

/// Queued requests and received service of one team.
#[derive(Clone, Debug)]
pub(crate) struct TeamQueue {
    pub(crate) name: TeamName,
    pub(crate) weight: u32,
    /// Served tokens divided by the weight, in thousandths of a token.
    pub(crate) service: u64,
    /// Requests that arrived while some upstream had their program's prefix cached.
    pub(crate) warm: BTreeSet<RequestPosition>,
    /// Requests that arrived while no upstream had their program's prefix cached.
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

    /// Position of the oldest queued request.
    pub(crate) fn oldest(&self) -> Option<&RequestPosition> {
        self.warm.first().into_iter().chain(self.cold.first()).min()
    }

    /// Queue of the warm requests, or of the cold ones.
    pub(crate) fn queue_mut(&mut self, is_warm: bool) -> &mut BTreeSet<RequestPosition> {
        if is_warm { &mut self.warm } else { &mut self.cold }
    }

    /// Number of queued requests.
    pub(crate) fn waiting(&self) -> usize {
        self.warm.len() + self.cold.len()
    }

    /// Service that a number of tokens amounts to, in the unit of [`TeamQueue::service`].
    pub(crate) fn weighted_service(&self, tokens: u64) -> u64 {
        tokens * 1_000 / u64::from(self.weight)
    }
}
