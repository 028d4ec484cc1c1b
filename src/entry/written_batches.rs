//! Segments and batches that this run has written to the store, and which of their objects it may reuse.

use std::{collections::VecDeque, sync::Arc};

use tokio::time::{Duration, Instant};

use crate::entry::{
    journal_queue::PendingBatch,
    record_retention::RecordRetention,
    segment_index::{SegmentIndex, segment_prefix},
    turn_journal::JournalBatch,
};

/// Age from which a segment is closed before the next batch. A reader has to read the batches of the open segment whole.
const MAX_SEGMENT_AGE: Duration = Duration::from_secs(1);

/// Size of an index from which its segment is closed, since an index is one value of the store.
const MAX_INDEX_BYTES: usize = 256 << 10;

/// An object of the store with a batch, and its revision.
#[derive(Clone, Debug)]
struct WrittenObject {
    name: Arc<str>,
    revision: u64,
}

/// A segment whose batches are covered by an index. Its objects may be reused, all at once, after the lifetime of a record.
#[derive(Debug)]
struct ClosedSegment {
    position: u32,
    objects: Vec<WrittenObject>,
    last_written_at: Instant,
}

/// The segment to which batches are added.
#[derive(Debug)]
struct OpenSegment {
    position: u32,
    index: SegmentIndex,
    opened_at: Instant,
    last_written_at: Instant,
    objects: Vec<WrittenObject>,
    /// Objects of the closed segment that was at this position before.
    reusable: VecDeque<WrittenObject>,
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

/// Segments of this run in the store, the oldest first. Their objects are reused once no request can continue their
/// turns, since removing them would take further calls to the store.
#[derive(Debug)]
pub(crate) struct WrittenBatches {
    writer: Arc<str>,
    retention: Arc<RecordRetention>,
    closed: VecDeque<ClosedSegment>,
    open: OpenSegment,
    /// The index that has to be written before the next batch.
    pending_index: Option<SegmentIndex>,
    /// Indexes in the store and when they were written. They are removed once their batches may be overwritten.
    indexes: VecDeque<(WrittenObject, Instant)>,
    last_number: u64,
    last_position: u32,
}

impl WrittenBatches {
    pub(crate) fn new(writer: &Arc<str>, retention: Arc<RecordRetention>) -> Self {
        let now = Instant::now();

        Self {
            writer: Arc::clone(writer),
            retention,
            closed: VecDeque::new(),
            open: OpenSegment {
                position: 0,
                index: SegmentIndex::new(writer, 1, 0),
                opened_at: now,
                last_written_at: now,
                objects: Vec::new(),
                reusable: VecDeque::new(),
            },
            // Without an index of a run, a reader does not know that there are batches of it.
            pending_index: Some(SegmentIndex::new(writer, 0, 0)),
            indexes: VecDeque::new(),
            last_number: 0,
            last_position: 0,
        }
    }

    /// Makes the content of the next batch, including what other hosts have forwarded.
    pub(crate) fn next_batch(&mut self, pending: &PendingBatch) -> JournalBatch {
        self.last_number += 1;
        let forwarded = pending.forwarded.iter();
        let forwarded_turns = forwarded.clone().flat_map(|it| it.turns.iter().cloned());
        let forwarded_spends = forwarded.flat_map(|it| it.spends.iter().cloned());

        JournalBatch {
            number: self.last_number,
            writer: Arc::clone(&self.writer),
            turns: pending.turns.iter().cloned().chain(forwarded_turns).collect(),
            spends: pending.records.iter().cloned().chain(forwarded_spends).collect(),
        }
    }

    /// Returns the index that has to be written before the next batch, if there is one. Closes the open segment if it
    /// is old enough. The content stays the same until [`WrittenBatches::confirm_index`], as a write without an answer
    /// may have been applied.
    pub(crate) fn index_to_write(&mut self) -> Option<SegmentIndex> {
        let now = Instant::now();
        let is_due = now.duration_since(self.open.opened_at) >= MAX_SEGMENT_AGE
            || self.open.index.size() > MAX_INDEX_BYTES;

        if self.pending_index.is_none() && is_due && !self.open.index.batches.is_empty() {
            self.close_segment(now);
        }

        self.pending_index.clone()
    }

    /// Closes the open segment and opens the next one, at the position of the oldest segment that may be overwritten or
    /// at a new one.
    fn close_segment(&mut self, now: Instant) {
        // Objects that were not needed this time stay with the position.
        let objects = self.open.objects.drain(..).chain(self.open.reusable.drain(..)).collect();
        self.closed.push_back(ClosedSegment {
            position: self.open.position,
            objects,
            last_written_at: self.open.last_written_at,
        });

        let reused = match self.closed.front() {
            Some(oldest) if self.is_expired(oldest.last_written_at, now) => self.closed.pop_front(),
            _ => None,
        };
        let (position, reusable) = if let Some(segment) = reused {
            (segment.position, segment.objects.into())
        } else {
            self.last_position += 1;
            (self.last_position, VecDeque::new())
        };

        let sequence = self.open.index.sequence + 1;
        let open = OpenSegment {
            position,
            index: SegmentIndex::new(&self.writer, sequence, self.last_number),
            opened_at: now,
            last_written_at: now,
            objects: Vec::new(),
            reusable,
        };
        let mut index = std::mem::replace(&mut self.open, open).index;
        index.next_position = position;
        index.drop_replaced_spends();
        self.pending_index = Some(index);
    }

    /// Records that the index is in the store, with its revision as far as that is known.
    pub(crate) fn confirm_index(&mut self, revision: Option<u64>) {
        let Some(index) = self.pending_index.take() else {
            return;
        };

        if let Some(revision) = revision {
            let object = WrittenObject { name: index.name(), revision };
            self.indexes.push_back((object, Instant::now()));
        }
    }

    /// Whether a record that was written at a time is no longer needed.
    fn is_expired(&self, written_at: Instant, now: Instant) -> bool {
        now.duration_since(written_at) >= self.retention.lifetime()
    }

    /// Takes the oldest index whose batches are no longer needed: its name and revision. The newest index is never
    /// removed, as readers find the open segment by it.
    pub(crate) fn take_expired_index(&mut self) -> Option<(Arc<str>, u64)> {
        let now = Instant::now();
        let is_expired =
            self.indexes.front().is_some_and(|(_, written_at)| self.is_expired(*written_at, now));

        if self.indexes.len() > 1 && is_expired {
            return self.indexes.pop_front().map(|(object, _)| (object.name, object.revision));
        }

        None
    }

    /// Returns the object for a batch: one of the position's earlier segment, else a new one. Must not be called while
    /// an index has to be written.
    pub(crate) fn take_slot(&mut self, batch: &JournalBatch) -> BatchSlot {
        let prefix = segment_prefix(&self.writer, self.open.position);
        let new_name: Arc<str> = format!("{prefix}{:08}", batch.number).into();
        let reused = self.open.reusable.pop_front();

        BatchSlot {
            name: reused.as_ref().map_or(&new_name, |old| &old.name).clone(),
            reused_revision: reused.map(|old| old.revision),
            new_name,
            revision: None,
        }
    }

    /// Takes back a slot whose batch another host has recorded. A write to it may still be applied, in which case the
    /// next batch that gets the slot meets a conflict and is written under a new name.
    pub(crate) fn return_slot(&mut self, slot: BatchSlot) {
        if let Some(revision) = slot.reused_revision {
            self.open.reusable.push_back(WrittenObject { name: slot.name, revision });
        }
    }

    /// Number of the open segment.
    pub(crate) fn open_sequence(&self) -> u64 {
        self.open.index.sequence
    }

    /// Adds a batch that was written. An object of unknown revision can't be replaced, so it is not reused.
    pub(crate) fn add(&mut self, slot: BatchSlot, batch: &JournalBatch) {
        self.open.index.add(&slot.name, batch);
        self.open.last_written_at = Instant::now();

        if let Some(revision) = slot.revision {
            self.open.objects.push(WrittenObject { name: slot.name, revision });
        }
    }
}
