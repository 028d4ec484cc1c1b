//! How long work takes on an upstream's machine now, as the upstream has last stated.

use tokio::time::{Duration, Instant};

/// Time in which the weight of a statement declines from 1 to 0. The figure changes many times a second.
const LIFETIME: Duration = Duration::from_millis(400);

/// Range of the factor, so that a wrong figure does bounded harm.
const RANGE: (f64, f64) = (0.5, 4.0);

/// Statement of an upstream: the factor by which work takes longer than usual.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SlownessReport {
    factor: f64,
    reported_at: Instant,
}

impl SlownessReport {
    /// Takes a stated factor. One that is not a number counts as usual.
    pub(crate) fn new(factor: f32, reported_at: Instant) -> Self {
        let factor = if factor.is_nan() { 1.0 } else { f64::from(factor) };
        Self { factor: factor.clamp(RANGE.0, RANGE.1), reported_at }
    }

    /// The factor by which work takes longer now; nearer to 1 the older the statement is.
    pub(crate) fn factor(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.reported_at);
        let weight = (1.0 - age.as_secs_f64() / LIFETIME.as_secs_f64()).max(0.0);
        1.0 + (self.factor - 1.0) * weight
    }
}
