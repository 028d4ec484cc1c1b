//! Constants of the dispatch policy, and switches by which the benchmark takes single rules out.

use serde::{Deserialize, Serialize};

/// Rules and bounds of a cell's queue. The defaults are what runs; see docs/design/dispatch.md.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
#[expect(clippy::struct_excessive_bools, reason = "each switch takes one rule out")]
pub(crate) struct CellPolicy {
    /// Age at which a request goes before its team's other programs, in milliseconds.
    pub(crate) ageing_ms: u64,
    /// Longest time that a request is held for a warm upstream, in milliseconds.
    pub(crate) hold_limit_ms: u64,
    /// Longest expected wait with which a request is taken into the queue, in milliseconds.
    pub(crate) wait_limit_ms: u64,
    /// Requests that one decision looks at before it gives up until the next event.
    pub(crate) scan_limit: usize,
    /// Service by which teams may differ before a team's held request is placed at once, in tokens.
    pub(crate) lag_limit_tokens: u64,
    /// Time between tokens that windows are adapted to, in microseconds.
    pub(crate) token_time_target_us: u64,
    /// Upstreams that may crash under a request before it is refused.
    pub(crate) crash_limit: u32,
    /// Whether teams are served by weighted fair share, or in order of arrival.
    pub(crate) uses_fair_share: bool,
    /// Whether a team's programs are served by least attained service, or in order of arrival.
    pub(crate) uses_attained_service: bool,
    /// Whether upstreams are chosen by cached prefix, or by load alone.
    pub(crate) uses_prefixes: bool,
    /// Whether a request may wait for a warm upstream.
    pub(crate) uses_holds: bool,
}

impl Default for CellPolicy {
    fn default() -> Self {
        Self {
            ageing_ms: 30_000,
            hold_limit_ms: 2_000,
            wait_limit_ms: 120_000,
            scan_limit: 64,
            lag_limit_tokens: 50_000,
            token_time_target_us: 72_000,
            crash_limit: 2,
            uses_fair_share: true,
            uses_attained_service: true,
            uses_prefixes: true,
            uses_holds: true,
        }
    }
}
