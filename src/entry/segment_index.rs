//! Index of one segment of a run's batches.
//!
//! Batches hold the content of turns, which is large, so a host that starts must not read all of them. A run therefore
//! writes its batches in segments, and after each segment an index with the ids of its turns and the spends. The index
//! also names the position of the next segment, so that a reader finds the batches that no index covers yet. See
//! docs/design/platform.md, "Turns".

use std::{collections::HashMap, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::entry::{
    batch_index::IndexedBatch, budget_ledger::SpendRecord, turn_journal::JournalBatch,
};

/// Object kind of the indexes in the store.
pub(crate) const INDEX_KIND: &str = "turn-indexes";

/// Content of an index in the store. It never changes once it is written.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct SegmentIndex {
    pub(crate) writer: Arc<str>,
    /// Number of the segment in its writer's run. The index with number 0 is written before the first batch.
    pub(crate) sequence: u64,
    /// Number of the last batch that this index or an earlier one covers.
    pub(crate) last_number: u64,
    /// Position of the segment that follows.
    pub(crate) next_position: u32,
    pub(crate) batches: Vec<IndexedBatch>,
    pub(crate) spends: Vec<SpendRecord>,
}

impl SegmentIndex {
    pub(crate) fn new(writer: &Arc<str>, sequence: u64, last_number: u64) -> Self {
        Self {
            writer: Arc::clone(writer),
            sequence,
            last_number,
            next_position: 0,
            batches: Vec::new(),
            spends: Vec::new(),
        }
    }

    /// Name of the index in the store. Only its writer uses it, and once.
    pub(crate) fn name(&self) -> Arc<str> {
        format!("{}.{:08}", self.writer, self.sequence).into()
    }

    /// Adds a batch that has been written under a name.
    pub(crate) fn add(&mut self, name: &Arc<str>, batch: &JournalBatch) {
        self.last_number = self.last_number.max(batch.number);
        let turns = batch.turns.iter().map(|turn| Arc::clone(&turn.id)).collect();
        self.batches.push(IndexedBatch { batch: Arc::clone(name), turns });
        self.spends.extend(batch.spends.iter().cloned());
    }

    /// Most bytes that the index takes in the store.
    pub(crate) fn size(&self) -> usize {
        let ids =
            |batch: &IndexedBatch| batch.turns.iter().map(|it| it.len() * 6 + 3).sum::<usize>();
        let batches = self.batches.iter().map(|batch| batch.batch.len() + 32 + ids(batch));
        batches.sum::<usize>() + self.spends.iter().map(SpendRecord::record_size).sum::<usize>()
    }

    /// Drops spends that a later record of the same writer and program replaces. Totals only grow.
    pub(crate) fn drop_replaced_spends(&mut self) {
        let mut latest: HashMap<(Option<Arc<str>>, Arc<str>), SpendRecord> = HashMap::new();

        for record in self.spends.drain(..) {
            let key = (record.writer.clone(), Arc::clone(&record.program));
            let kept = latest.entry(key).or_insert_with(|| record.clone());
            kept.tokens = record.tokens.max(kept.tokens);
            kept.spent = record.spent.max(kept.spent);
        }

        self.spends = latest.into_values().collect();
    }
}

/// Beginning of the names of all batches in the segment at a position.
pub(crate) fn segment_prefix(writer: &str, position: u32) -> String {
    format!("{writer}.{position:06}.")
}
