//! Refusals by admission control.

use tokio::time::Duration;

/// Why a request is not admitted to the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RefusalReason {
    /// A new program has no chance to end in time.
    NoChance,
    /// The request would wait for more than half of the time that its client or its program has.
    QueueTooLong,
}

impl RefusalReason {
    /// The reason as it is given to clients and counted.
    pub(crate) fn text(self) -> &'static str {
        match self {
            Self::NoChance => "the new program would not end in time",
            Self::QueueTooLong => "the queue is too long",
        }
    }
}

/// A refusal, with the inputs of the decision for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct AdmissionRefusal {
    pub(crate) reason: RefusalReason,
    pub(crate) retry_after: Duration,
    /// Time that the request would wait.
    pub(crate) expected_wait: Duration,
    /// Longest wait with which it would have been admitted.
    pub(crate) allowed_wait: Duration,
    /// Time until the program should have finished.
    pub(crate) time_left: Duration,
    /// Part of that which the program does not need on idle upstreams.
    pub(crate) slack: Duration,
    /// Turns that are expected of the program.
    pub(crate) turns: f64,
    /// Time that each turn's lease takes beyond that on idle upstreams.
    pub(crate) lease_excess: Duration,
}
