//! Events that a cell's queue handles.

use serde::{Deserialize, Serialize};

use crate::{CellReport, CellRequest, CrashNote, ProgramId, RequestRate, UpstreamName};

/// Number of a request within one dispatcher's term.
pub(crate) type TicketNumber = u64;

/// One input of the queue. The journal records all events and decisions, so that the audit can replay a dispatcher.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum CellEvent {
    /// A request was submitted.
    Arrived { ticket: TicketNumber, request: CellRequest },
    /// An upstream was added to the configuration, or its terms have changed.
    Joined { upstream: UpstreamName, window: u32, cache_tokens: u64, prefill_us: u64 },
    /// An upstream reported its load. The report lags behind the current state.
    #[serde(rename = "loaded")]
    LoadReported {
        upstream: UpstreamName,
        running: u32,
        waiting: u32,
        /// Requests a second that it takes, if it states a limit.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        limit: Option<RequestRate>,
    },
    /// An upstream was removed from the configuration.
    Left { upstream: UpstreamName },
    /// An upstream started or stopped accepting requests.
    Serving { upstream: UpstreamName, is_serving: bool },
    /// An upstream does not answer probes; requests in flight and its cache are presumed lost.
    Crashed { upstream: UpstreamName },
    /// The crash counts of all cells when the dispatcher starts; later each change in another cell.
    CrashesNoted { notes: Vec<CrashNote> },
    /// A granted request ended.
    Finished { ticket: TicketNumber, report: CellReport },
    /// The caller of a queued request no longer waits for it.
    Withdrawn { ticket: TicketNumber },
    /// A program ended, so its cached prefixes won't be used again.
    ProgramEnded { program: ProgramId },
    /// An upstream evicted a program's prefix from its cache.
    PrefixDropped { upstream: UpstreamName, program: ProgramId },
}
