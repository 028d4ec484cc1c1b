//! Maps recorded turns to their batches in the store.

use std::{collections::HashMap, sync::Arc};

use serde::{Deserialize, Serialize};

/// A batch and the ids of its turns, as hosts send them to each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct IndexedBatch {
    pub(crate) batch: Arc<str>,
    pub(crate) turns: Vec<Arc<str>>,
}

/// Index of the batches that were listed or received from a peer. Turns that this run has recorded are found in
/// [`TurnHistory`](crate::entry::turn_history::TurnHistory) instead.
#[derive(Debug, Default)]
pub(crate) struct BatchIndex {
    /// Names of the batches of each turn, the last one found at the end. A turn that is continued late in its retention
    /// is recorded again, so that an earlier batch of it may have been overwritten.
    batches: HashMap<Arc<str>, Vec<Arc<str>>>,
    /// Revision at which this host has read each batch.
    revisions: HashMap<Arc<str>, u64>,
}

impl BatchIndex {
    /// Returns the name of the last found batch of a turn.
    pub(crate) fn batch(&self, turn: &str) -> Option<Arc<str>> {
        self.batches.get(turn)?.last().cloned()
    }

    pub(crate) fn turn_count(&self) -> usize {
        self.batches.len()
    }

    /// Whether this host has read a batch at this revision.
    pub(crate) fn is_read(&self, batch: &str, revision: u64) -> bool {
        self.revisions.get(batch) == Some(&revision)
    }

    pub(crate) fn mark_read(&mut self, batch: &Arc<str>, revision: u64) {
        self.revisions.insert(Arc::clone(batch), revision);
    }

    pub(crate) fn insert(&mut self, batch: &Arc<str>, turn: Arc<str>) {
        let batches = self.batches.entry(turn).or_default();

        if !batches.contains(batch) {
            batches.push(Arc::clone(batch));
        }
    }

    /// Removes a batch that no longer has a turn. Its object is read again when it is listed.
    pub(crate) fn remove(&mut self, turn: &str, batch: &str) {
        self.revisions.remove(batch);

        if let Some(batches) = self.batches.get_mut(turn) {
            batches.retain(|it| **it != *batch);
        }
        if self.batches.get(turn).is_some_and(Vec::is_empty) {
            self.batches.remove(turn);
        }
    }

    /// Returns the whole index, for a host that starts.
    pub(crate) fn all_batches(&self) -> Vec<IndexedBatch> {
        let mut by_batch: HashMap<&Arc<str>, Vec<Arc<str>>> = HashMap::new();

        for (turn, batches) in &self.batches {
            for batch in batches {
                by_batch.entry(batch).or_default().push(Arc::clone(turn));
            }
        }

        by_batch
            .into_iter()
            .map(|(batch, turns)| IndexedBatch { batch: Arc::clone(batch), turns })
            .collect()
    }

    /// Merges another host's index.
    pub(crate) fn merge(&mut self, batches: Vec<IndexedBatch>) {
        for IndexedBatch { batch, turns } in batches {
            turns.into_iter().for_each(|turn| self.insert(&batch, turn));
        }
    }
}
