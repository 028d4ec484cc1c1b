//! Constants of the dispatch policy, and switches by which the benchmark takes single rules out.

use serde::{Deserialize, Serialize};

/// Rules and bounds of a cell's queue. The defaults are what runs; see docs/design/dispatch.md.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
#[expect(clippy::struct_excessive_bools, reason = "each switch takes one rule out")]
pub(crate) struct CellPolicy {
    /// Time for which a program that does nothing keeps its place in a cache, in milliseconds.
    pub(crate) keep_ms: u64,
    /// Part of a cache that is kept free for the growth of histories, in percent.
    pub(crate) headroom_percent: u64,
    /// Weight of prefill against waiting, in percent: what is prefilled again is paid for by all.
    pub(crate) prefill_percent: u64,
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
    /// Whether upstreams are chosen by cached prefix, or by load alone.
    pub(crate) uses_prefixes: bool,
    /// Whether a request may wait for a warm upstream.
    pub(crate) uses_holds: bool,
    /// Whether a program without a prefix waits until some cache has room for it.
    pub(crate) uses_memory: bool,
}

impl Default for CellPolicy {
    fn default() -> Self {
        Self {
            prefill_percent: 300,
            keep_ms: 90_000,
            headroom_percent: 25,
            hold_limit_ms: 120_000,
            wait_limit_ms: 120_000,
            scan_limit: 64,
            lag_limit_tokens: 50_000,
            token_time_target_us: 72_000,
            crash_limit: 2,
            uses_fair_share: true,
            uses_prefixes: true,
            uses_holds: true,
            uses_memory: true,
        }
    }
}
