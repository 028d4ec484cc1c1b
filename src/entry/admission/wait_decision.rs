//! The decision on a request that finds no free slot.

use tokio::time::Duration;

use super::admission_refusal::AdmissionRefusal;

/// Whether a request may wait, and for how long it is expected to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct WaitDecision {
    /// Time that the request would wait.
    pub(crate) expected_wait: Duration,
    /// Longest wait with which a new program is admitted.
    pub(crate) allowed_wait: Duration,
    /// Set if the request may not wait.
    pub(crate) refusal: Option<AdmissionRefusal>,
}
