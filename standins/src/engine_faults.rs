//! Faults of an engine.

use serde::{Deserialize, Serialize};

/// What the stand-in engine does wrong. The default does nothing wrong.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Every request is answered with 503, as an engine does that is about to leave.
    pub leaving: bool,
    /// Requests are accepted and then never answered.
    pub hang: bool,
    /// A request whose text holds this word ends the process, or closes every connection where the engine shares one.
    pub crash_on: Option<String>,
    /// Streams are cut after this many tokens.
    pub cut_after_tokens: Option<u64>,
    /// Extra delay before the first token, in milliseconds.
    pub delay_ms: u64,
}
