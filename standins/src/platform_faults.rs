//! Faults that the stand-in platform injects.

use serde::{Deserialize, Serialize};

/// Faults that the stand-in platform injects; none by default.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every call is answered with 503 and has no effect.
    pub down: bool,
    /// Delay before each call takes effect, in milliseconds.
    pub delay_ms: u64,
    /// This many of the next `PUT`s take effect but are answered with 504, as if their responses had been lost.
    pub lose_answers: u32,
}
