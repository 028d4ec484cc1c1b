//! Faults of the platform.

use serde::{Deserialize, Serialize};

/// What the stand-in platform does wrong. The default does nothing wrong.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every call is answered with 503 and has no effect.
    pub down: bool,
    /// Delay before each call takes effect, in milliseconds.
    pub delay_ms: u64,
    /// The next writes take effect, but their answers are lost: the call ends with 504.
    pub lose_answers: u32,
}
