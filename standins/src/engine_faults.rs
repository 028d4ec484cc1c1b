//! Faults that the stand-in engine injects.

use serde::{Deserialize, Serialize};

/// Faults that the stand-in engine injects; none by default.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Chat requests and health checks are answered with 503, as by an engine that is about to shut down.
    pub leaving: bool,
    /// Chat requests are accepted and never answered.
    pub hang: bool,
    /// A chat request whose body contains this text crashes the engine; see `EngineOptions::exits_on_crash`.
    pub crash_on: Option<String>,
    /// Responses break off after this many tokens; one that is not streamed becomes a 502.
    pub cut_after_tokens: Option<u64>,
    /// Requests a second that the engine states to take from all callers, in its load report. It does not enforce them.
    pub requests_per_second: Option<f64>,
    /// Extra delay before the first token, in milliseconds.
    pub delay_ms: u64,
}
