//! A count of recent events.

use tokio::time::{Duration, Instant};

/// A count whose events lose weight exponentially with age.
#[derive(Clone, Copy, Debug)]
pub(super) struct DecayedCount {
    time_constant: Duration,
    value: f64,
    updated_at: Option<Instant>,
}

impl DecayedCount {
    /// Creates an empty count. An event of age `time_constant` counts 1/e.
    pub(super) fn new(time_constant: Duration) -> Self {
        Self { time_constant, value: 0.0, updated_at: None }
    }

    pub(super) fn value(&self, now: Instant) -> f64 {
        self.updated_at.map_or(0.0, |updated_at| {
            let age = now.saturating_duration_since(updated_at).as_secs_f64();
            self.value * (-age / self.time_constant.as_secs_f64()).exp()
        })
    }

    pub(super) fn add(&mut self, now: Instant) {
        self.value = self.value(now) + 1.0;
        self.updated_at = Some(now);
    }
}
