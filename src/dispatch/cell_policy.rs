//! Parameters of the dispatch policy, with switches by which the benchmark disables single rules.

use serde::{Deserialize, Serialize};

/// Rules and limits of a cell's queue, from the configuration. Rules that it omits have the defaults; see
/// docs/design/dispatch.md.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
#[expect(clippy::struct_excessive_bools, reason = "each switch disables one rule")]
pub(crate) struct CellPolicy {
    /// Time after its last use for which an idle program's cached prefix counts as in use, in milliseconds.
    pub(crate) keep_ms: u64,
    /// Share of each cache that is kept free for growing histories, in percent.
    pub(crate) headroom_percent: u64,
    /// Weight of prefill time against waiting time, in percent. Above 100, since prefilling a prompt again also slows
    /// the upstream's other requests.
    pub(crate) prefill_percent: u64,
    /// Longest time for which a request is held for a busy upstream that has its prefix cached, in milliseconds.
    pub(crate) hold_limit_ms: u64,
    /// Longest expected wait at which a request is still admitted to the queue, in milliseconds.
    pub(crate) wait_limit_ms: u64,
    /// Requests that one decision may examine without placing one; the next event or tick tries again.
    pub(crate) scan_limit: usize,
    /// Difference in service between waiting teams above which the least served team's requests are no longer held,
    /// in tokens.
    pub(crate) lag_limit_tokens: u64,
    /// Target time between two tokens of an answer; an upstream's window shrinks above it, in microseconds.
    pub(crate) token_time_target_us: u64,
    /// Number of upstream crashes after which a request is refused as poisonous.
    pub(crate) crash_limit: u32,
    /// Whether teams are served by weighted fair share instead of in order of arrival.
    pub(crate) uses_fair_share: bool,
    /// Whether placement considers cached prefixes instead of load alone.
    pub(crate) uses_prefixes: bool,
    /// Whether a request may be held for a busy upstream that has its prefix cached.
    pub(crate) uses_holds: bool,
    /// Whether a program without a cached prefix waits until a cache has room for it.
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
