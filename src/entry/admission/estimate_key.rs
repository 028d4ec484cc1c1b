//! Which programs are taken for similar.

use std::sync::Arc;

use tokio::time::Duration;

/// Largest size, which stands for programs of nine hours and more.
const MAX_SIZE: u32 = 25;

/// Programs of one route with about the same time left at their first turn. Short and long programs of a route differ in
/// turns, and in the part of their objective that they need.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct EstimateKey {
    pub(super) route: Arc<str>,
    /// Logarithm of the time left to the base of 2.
    pub(super) size: u32,
}

impl EstimateKey {
    pub(super) fn new(route: &Arc<str>, first_left: Duration) -> Self {
        let left_ms = u64::try_from(first_left.as_millis()).unwrap_or(u64::MAX);
        let size = left_ms.checked_ilog2().unwrap_or(0).min(MAX_SIZE);
        Self { route: Arc::clone(route), size }
    }
}
