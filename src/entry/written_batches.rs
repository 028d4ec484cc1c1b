//! Batches that this run has written to the store, and which of their objects it may reuse.

use std::{collections::VecDeque, sync::Arc};

use tokio::time::{Duration, Instant};

use crate::entry::turn_journal::{JournalBatch, PendingBatch};

/// Time for which a batch is kept beyond the retention of its turns.
const REUSE_MARGIN: Duration = Duration::from_secs(15);

/// A batch in the store, whose object may be overwritten from `reusable_from` on.
#[derive(Debug)]
struct WrittenBatch {
    name: Arc<str>,
    revision: u64,
    reusable_from: Instant,
}

/// Object of the store that a batch is written to.
#[derive(Debug)]
pub(crate) struct BatchSlot {
    pub(crate) name: Arc<str>,
    /// Name of a new object, for when the reused one turns out to be changed or removed.
    pub(crate) new_name: Arc<str>,
    /// Revision of the reused object before the write; none for a new object.
    pub(crate) reused_revision: Option<u64>,
    /// Revision of the object after the write, as far as the store has confirmed it.
    pub(crate) revision: Option<u64>,
}

/// Batches of this run in the store, the oldest first. Their objects are reused once no request can continue their
/// turns, since removing them would take further calls to the store.
#[derive(Debug)]
pub(crate) struct WrittenBatches {
    /// Time for which a request may continue a turn of a batch.
    retention: Duration,
    batches: VecDeque<WrittenBatch>,
    last_number: u64,
}

impl WrittenBatches {
    pub(crate) fn new(retention: Duration) -> Self {
        Self { retention, batches: VecDeque::new(), last_number: 0 }
    }

    /// Makes the content of the next batch, including what other hosts have forwarded.
    pub(crate) fn next_batch(&mut self, writer: &Arc<str>, pending: &PendingBatch) -> JournalBatch {
        self.last_number += 1;
        let forwarded = pending.forwarded.iter();
        let forwarded_turns = forwarded.clone().flat_map(|it| it.turns.iter().cloned());
        let forwarded_spends = forwarded.flat_map(|it| it.spends.iter().cloned());

        JournalBatch {
            number: self.last_number,
            writer: Arc::clone(writer),
            turns: pending.turns.iter().cloned().chain(forwarded_turns).collect(),
            spends: pending.records.iter().cloned().chain(forwarded_spends).collect(),
        }
    }

    /// Returns the object for a batch: the oldest one that may be reused, else a new one.
    pub(crate) fn take_slot(&mut self, batch: &JournalBatch) -> BatchSlot {
        let new_name: Arc<str> = format!("{}.{:08}", batch.writer, batch.number).into();
        let now = Instant::now();

        let reused = match self.batches.front() {
            Some(oldest) if oldest.reusable_from <= now => self.batches.pop_front(),
            _ => None,
        };

        BatchSlot {
            name: reused.as_ref().map_or(&new_name, |old| &old.name).clone(),
            reused_revision: reused.map(|old| old.revision),
            new_name,
            revision: None,
        }
    }

    /// Adds the object of a batch that was written. An object of unknown revision can't be replaced, so it is left out.
    pub(crate) fn add(&mut self, slot: BatchSlot, started: Instant) {
        if let Some(revision) = slot.revision {
            let reusable_from = started + self.retention + REUSE_MARGIN;
            self.batches.push_back(WrittenBatch { name: slot.name, revision, reusable_from });
        }
    }
}
