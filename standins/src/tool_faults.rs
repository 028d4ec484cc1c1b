//! Faults of a tool service.

use serde::{Deserialize, Serialize};

/// What the stand-in tool service does wrong. The default does nothing wrong.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ToolFaults {
    /// Calls take effect and are then never answered.
    pub hang: bool,
    /// Calls take effect, but their answers are lost: the call ends with 504.
    pub lose_answers: bool,
    /// Calls are refused with 503 and have no effect.
    pub down: bool,
    /// Delay before a call takes effect, in milliseconds.
    pub delay_ms: u64,
}
