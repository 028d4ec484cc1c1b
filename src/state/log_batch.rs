//! One object of a shard's log.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::LogRecord;

/// Identity of one run of one process as a writer of logs. No two are alike, also not after a restart.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[display("{_0:016x}")]
pub(crate) struct WriterId(pub(crate) u64);

/// Records that were appended together. `writer` and `batch` tell a writer whether an object is its own.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct LogBatch {
    pub(crate) writer: WriterId,
    pub(crate) batch: u64,
    pub(crate) records: Vec<LogRecord>,
}

impl LogBatch {
    pub(crate) fn has_claim(&self) -> bool {
        self.records.iter().any(|record| matches!(record, LogRecord::ShardClaimed { .. }))
    }
}
