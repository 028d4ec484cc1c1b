//! Faults that the stand-in tool service injects.

use serde::{Deserialize, Serialize};

/// Faults that the stand-in tool service injects; none by default.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ToolFaults {
    /// Calls take effect and are never answered.
    pub hang: bool,
    /// Calls take effect but are answered with 504, as if their responses had been lost.
    pub lose_answers: bool,
    /// Calls are refused with 503 and have no effect.
    pub down: bool,
    /// Delay before a call takes effect, in milliseconds.
    pub delay_ms: u64,
}
