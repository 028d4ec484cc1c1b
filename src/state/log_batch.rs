//! Batch of records, stored as one object of a shard's log.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::LogRecord;

/// Random identity of a process as a writer of logs. A restarted process gets another one.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[display("{_0:016x}")]
pub(crate) struct WriterId(pub(crate) u64);

/// Records that were appended together. By `writer` and `batch`, a writer recognises a batch that it wrote itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct LogBatch {
    pub(crate) writer: WriterId,
    /// Number of the batch among those that its writer encoded since it claimed the shard.
    pub(crate) batch: u64,
    pub(crate) records: Vec<LogRecord>,
}

impl LogBatch {
    /// Tells whether the batch claims the shard.
    pub(crate) fn has_claim(&self) -> bool {
        self.records.iter().any(|record| matches!(record, LogRecord::ShardClaimed { .. }))
    }
}
