//! What is known of a request's program.

use tokio::time::{Duration, Instant};

use super::{
    program_progress::ProgramProgress, queue_rank::QueueClass, route_estimate::RouteEstimate,
};
use crate::entry::placement_request::PlacementRequest;

/// Part of the predicted time still needed that has to fit for a turn to count as in time. A turn that is wrongly taken for
/// late costs its program; one that is wrongly taken for in time costs a slot.
const NEEDED_MARGIN: f64 = 0.8;

/// A request's program at one time: its progress, if it is remembered, and what is learned of similar programs.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProgramView<'a> {
    pub(super) request: &'a PlacementRequest,
    pub(super) progress: Option<&'a ProgramProgress>,
    pub(super) estimate: RouteEstimate,
    /// Size as in the key of the estimate.
    pub(super) size: u32,
    pub(super) now: Instant,
}

impl ProgramView<'_> {
    /// When the program should have finished.
    pub(super) fn finish_by(&self) -> Instant {
        let stated = self.request.finish_by;
        self.progress.map_or(stated, |progress| progress.finish_by.min(stated))
    }

    /// Time until the program should have finished.
    pub(super) fn time_left(&self) -> Duration {
        self.finish_by().saturating_duration_since(self.now)
    }

    /// Time that was left at the program's first request, or that is left now if that is not known.
    pub(super) fn first_left(&self) -> Duration {
        self.progress.and_then(|it| it.first_left).unwrap_or_else(|| self.time_left())
    }

    /// Whether a refusal would lose work of the program.
    pub(super) fn is_under_way(&self) -> bool {
        // A sub-agent's first turn continues no other.
        self.request.is_continuation || self.progress.is_some_and(|it| it.has_started)
    }

    /// Class of the request. Requests without a finish time are never late.
    pub(super) fn class(&self) -> QueueClass {
        let is_under_way = self.is_under_way();

        if self.request.program.is_some() {
            let expires_at = self.progress.and_then(ProgramProgress::expires_at);
            if expires_at.is_some_and(|at| at < self.now) {
                return QueueClass::Expired;
            }

            if self.time_left() < self.needed_time().mul_f64(NEEDED_MARGIN) {
                return if is_under_way { QueueClass::Late } else { QueueClass::LateNew };
            }
        }

        if is_under_way { QueueClass::UnderWay } else { QueueClass::New }
    }

    /// Time that the program still needs on idle upstreams, or that of this turn if no more is known.
    fn needed_time(&self) -> Duration {
        let estimate = &self.estimate;
        let known = self.progress.and_then(|it| it.first_left.map(|left| (left, it.answered)));
        let Some((first_left, answered)) = known.filter(|_| estimate.is_learned()) else {
            return estimate.idle_lease();
        };

        let turns = estimate.turns(first_left);
        let done = if self.is_under_way() { f64::from(answered) / turns } else { 0.0 };
        let rest = estimate.idle_time(first_left).mul_f64((1.0 - done).max(0.0));
        rest.max(estimate.idle_lease())
    }
}
