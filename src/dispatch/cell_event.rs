//! What a cell's queue is told.

use serde::{Deserialize, Serialize};

use crate::{CellReport, CellRequest, CrashNote, ProgramId, UpstreamName};

/// Number of a request in one dispatcher's time of office.
pub(crate) type TicketNumber = u64;

/// One input of the queue. With the decisions they are all that the audit needs to replay a dispatcher.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum CellEvent {
    /// A request has come.
    Arrived { ticket: TicketNumber, request: CellRequest },
    /// An upstream is in the configuration, or its terms have changed.
    Joined { upstream: UpstreamName, window: u32, cache_tokens: u64, prefill_us: u64 },
    /// An upstream has reported its load, some time ago.
    #[serde(rename = "loaded")]
    LoadReported { upstream: UpstreamName, running: u32, waiting: u32 },
    /// An upstream is gone for good.
    Left { upstream: UpstreamName },
    /// An upstream takes requests, or takes none at present.
    Serving { upstream: UpstreamName, is_serving: bool },
    /// An upstream died with what ran on it.
    Crashed { upstream: UpstreamName },
    /// Another cell has found out about requests that crash upstreams.
    CrashesNoted { notes: Vec<CrashNote> },
    /// A granted request has ended.
    Finished { ticket: TicketNumber, report: CellReport },
    /// A waiting request is of no use any more.
    Withdrawn { ticket: TicketNumber },
    /// A program has ended, and its prefixes are worth nothing.
    ProgramEnded { program: ProgramId },
    /// An upstream has dropped a program's prefix from its cache.
    PrefixDropped { upstream: UpstreamName, program: ProgramId },
}
