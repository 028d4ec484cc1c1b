//! Timings of the stand-in engine.

use std::time::Duration;

/// Simulated processing times of the engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineTimings {
    /// Prefill time of each prompt token that is not cached.
    pub prefill_per_token: Duration,
    /// Time between two generated tokens.
    pub decode_per_token: Duration,
}

impl Default for EngineTimings {
    fn default() -> Self {
        Self {
            prefill_per_token: Duration::from_micros(20),
            decode_per_token: Duration::from_millis(2),
        }
    }
}
