//! What the pool sees of a service's queue and slots.

use tokio::time::Duration;

use super::queue_rank::{QueueClass, QueueRank};

/// The queue and the slots from the place of one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct QueueView {
    /// Requests of programs under way that are served before it.
    pub(crate) under_way_ahead: usize,
    /// Requests of new programs that are served before it.
    pub(crate) new_ahead: usize,
    /// Slots that this host frees for its queue, per second.
    pub(crate) slots_per_s: f64,
    /// Longest time for which one of the latter has waited.
    pub(crate) longest_wait: Duration,
    /// Time for which the queue has not been empty.
    pub(crate) queue_age: Duration,
}

impl QueueView {
    /// The view of a request with `rank`, from the ranks of those that wait and the times for which they have.
    pub(crate) fn new(
        rank: QueueRank,
        waiting: impl Iterator<Item = (QueueRank, Duration)>,
        slots_per_s: f64,
        queue_age: Duration,
    ) -> Self {
        let mut view = Self {
            under_way_ahead: 0,
            new_ahead: 0,
            longest_wait: Duration::ZERO,
            slots_per_s,
            queue_age,
        };

        for (other, wait) in waiting.filter(|(other, _)| *other < rank) {
            if other.class == QueueClass::UnderWay {
                view.under_way_ahead += 1;
            } else {
                view.new_ahead += 1;
                view.longest_wait = view.longest_wait.max(wait);
            }
        }

        view
    }
}
