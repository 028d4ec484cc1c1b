//! Speed of a stand-in engine.

use std::time::Duration;

/// Time that an engine takes for each unit of work.
#[derive(Clone, Copy, Debug)]
pub struct EngineTimings {
    /// Time to prefill one token that is not cached.
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
