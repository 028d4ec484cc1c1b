//! Report of a program's owner to a cell on how a granted request ended.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::TokenUsage;

/// How a granted request ended.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum CellResult {
    /// The connection broke after the request was sent.
    #[display("broken")]
    Broken,
    #[display("completed")]
    Completed,
    /// The owner disconnected or returned the grant unused, or the upstream rejected the request as invalid.
    #[display("lost")]
    Lost,
    /// No connection could be made, so nothing was sent.
    #[display("not_sent")]
    NotSent,
    /// The upstream did not answer in time.
    #[display("overdue")]
    Overdue,
    /// The upstream refused the request without running it.
    #[display("refused")]
    Refused,
}

impl CellResult {
    /// Whether the upstream may have failed, so that it has to be probed.
    pub(crate) fn indicates_failure(self) -> bool {
        match self {
            Self::Broken | Self::NotSent | Self::Overdue | Self::Refused => true,
            Self::Completed | Self::Lost => false,
        }
    }
}

/// Result of a grant, with the tokens and time that it used.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct CellReport {
    pub(crate) result: CellResult,
    pub(crate) usage: TokenUsage,
    /// Time from the first token to the last, in microseconds.
    pub(crate) decode_us: u64,
}

impl CellReport {
    pub(crate) fn without_usage(result: CellResult) -> Self {
        Self { result, usage: TokenUsage::default(), decode_us: 0 }
    }
}
