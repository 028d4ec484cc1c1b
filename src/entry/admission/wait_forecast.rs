//! What a request that finds no free slot has to expect.

use tokio::time::Duration;

use super::queue_rank::QueueClass;
use crate::entry::placement_request::PlacementRefusal;

/// Forecast for a request that finds no free slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct WaitForecast {
    /// Time that it would wait; `None` if it can't be told, as no upstream may take the request.
    pub(crate) expected_wait: Option<Duration>,
    /// Longest wait with which it is admitted if its program is new; `None` without admission control.
    pub(crate) allowed_wait: Option<Duration>,
    /// Its class in the queue; `None` without admission control.
    pub(crate) class: Option<QueueClass>,
    /// Set if it may not wait.
    pub(crate) refusal: Option<PlacementRefusal>,
}
