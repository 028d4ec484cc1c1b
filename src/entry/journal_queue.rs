//! What waits to be recorded by the journal of turns.

use std::{collections::VecDeque, sync::Arc};

use tokio::{sync::oneshot, time::Instant};

use crate::entry::{budget_ledger::SpendRecord, turn_history::HistoryTurn};

/// Most bytes of turns in a batch, since a host has little memory and reads whole batches back. A single turn, or what another
/// host has forwarded together, may be larger, up to the size of the store's values.
const MAX_BATCH_BYTES: usize = 192 << 10;

/// Bytes of a value of the store that are left for the fields of a batch itself.
const BATCH_FIELD_BYTES: usize = 1 << 10;

/// A turn that waits to be recorded.
#[derive(Debug)]
pub(crate) struct PendingTurn {
    pub(crate) turn: Arc<HistoryTurn>,
    pub(crate) done: oneshot::Sender<()>,
}

/// Turns and spends that another host has forwarded to be recorded by this one.
#[derive(Debug)]
pub(crate) struct ForwardedBatch {
    pub(crate) turns: Vec<HistoryTurn>,
    pub(crate) spends: Vec<SpendRecord>,
    pub(crate) done: oneshot::Sender<()>,
}

impl ForwardedBatch {
    /// Most bytes that the batch takes in the store.
    fn record_size(&self) -> usize {
        let spends = self.spends.iter().map(SpendRecord::record_size).sum::<usize>();
        self.turns.iter().map(HistoryTurn::record_size).sum::<usize>() + spends
    }
}

/// Whether a value of the store with this many bytes is too small for what takes `record_size` bytes in a batch.
pub(crate) fn is_too_large(record_size: usize, value_bytes: usize) -> bool {
    record_size > value_bytes.saturating_sub(BATCH_FIELD_BYTES)
}

/// Turns and spends of a batch that is not durable yet.
#[derive(Debug)]
pub(crate) struct PendingBatch {
    pub(crate) turns: Vec<HistoryTurn>,
    pub(crate) records: Vec<SpendRecord>,
    pub(crate) forwarded: Vec<ForwardedBatch>,
}

impl PendingBatch {
    /// Most bytes that the turns and forwarded spends take in the store.
    fn content_size(&self) -> usize {
        let forwarded = self.forwarded.iter().map(ForwardedBatch::record_size).sum::<usize>();
        self.turns.iter().map(HistoryTurn::record_size).sum::<usize>() + forwarded
    }

    /// Takes out the spends that don't fit into a value of `value_bytes` together with the turns, as batches of their own. The
    /// spends of a batch take half of a value at most, as the index of its segment has them as well.
    pub(crate) fn split_records(&mut self, value_bytes: usize) -> Vec<PendingBatch> {
        let limit = value_bytes / 2;
        let free = value_bytes.saturating_sub(BATCH_FIELD_BYTES + self.content_size());
        let mut left = free.min(limit);
        let mut batches: Vec<Self> = Vec::new();

        for record in std::mem::take(&mut self.records) {
            let size = record.record_size();

            if size > left {
                let next = Self { turns: Vec::new(), records: Vec::new(), forwarded: Vec::new() };
                batches.push(next);
                left = limit;
            }
            left = left.saturating_sub(size);
            batches.last_mut().map_or(&mut self.records, |it| &mut it.records).push(record);
        }

        batches
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.turns.is_empty() && self.records.is_empty() && self.forwarded.is_empty()
    }
}

/// Entries that are recorded together.
#[derive(Debug)]
pub(crate) struct QueuedEntries {
    pub(crate) turns: Vec<PendingTurn>,
    pub(crate) forwarded: Vec<ForwardedBatch>,
    pub(crate) spend_waiters: Vec<oneshot::Sender<()>>,
}

/// Entries in the order in which they came.
#[derive(Debug, Default)]
pub(crate) struct JournalQueue {
    forwarded: VecDeque<ForwardedBatch>,
    turns: VecDeque<PendingTurn>,
    /// Callers that wait until the spends which are unrecorded now are durable.
    spend_waiters: Vec<oneshot::Sender<()>>,
    /// When the first entry was queued, or when the last batch was taken if that left entries behind.
    pending_since: Option<Instant>,
}

impl JournalQueue {
    pub(crate) fn pending_since(&self) -> Option<Instant> {
        self.pending_since
    }

    pub(crate) fn push_forwarded(
        &mut self,
        turns: Vec<HistoryTurn>,
        spends: Vec<SpendRecord>,
    ) -> oneshot::Receiver<()> {
        let (done, receiver) = oneshot::channel();
        self.forwarded.push_back(ForwardedBatch { turns, spends, done });
        self.pending_since.get_or_insert_with(Instant::now);
        receiver
    }

    pub(crate) fn push_turn(&mut self, turn: Arc<HistoryTurn>) -> oneshot::Receiver<()> {
        let (done, receiver) = oneshot::channel();
        self.turns.push_back(PendingTurn { turn, done });
        self.pending_since.get_or_insert_with(Instant::now);
        receiver
    }

    pub(crate) fn push_spend_waiter(&mut self) -> oneshot::Receiver<()> {
        let (done, receiver) = oneshot::channel();
        self.spend_waiters.push(done);
        self.pending_since.get_or_insert_with(Instant::now);
        receiver
    }

    /// Takes the entries of one batch: forwarded batches first, since their hosts have waited longest, then this host's
    /// turns as far as they fit, and all waiters for spends. What is larger than a value of the store is dropped, so that its
    /// receivers fail, since it can't ever be recorded.
    pub(crate) fn take(&mut self, value_bytes: usize) -> QueuedEntries {
        self.drop_too_large(value_bytes);
        let mut turns = Vec::new();
        let mut forwarded = Vec::new();
        let mut size = 0;

        while let Some(batch) = self.forwarded.front() {
            size += batch.turns.iter().map(HistoryTurn::size).sum::<usize>();
            if size > MAX_BATCH_BYTES && !forwarded.is_empty() {
                break;
            }
            forwarded.extend(self.forwarded.pop_front());
        }

        while let Some(pending) = self.turns.front() {
            size += pending.turn.size();
            if size > MAX_BATCH_BYTES && !(turns.is_empty() && forwarded.is_empty()) {
                break;
            }
            turns.extend(self.turns.pop_front());
        }

        let is_empty = self.turns.is_empty() && self.forwarded.is_empty();
        self.pending_since = (!is_empty).then(Instant::now);
        QueuedEntries { turns, forwarded, spend_waiters: std::mem::take(&mut self.spend_waiters) }
    }

    fn drop_too_large(&mut self, value_bytes: usize) {
        self.turns.retain(|pending| {
            let size = pending.turn.record_size();
            let fits = !is_too_large(size, value_bytes);
            if !fits {
                log::warn!(turn:% = pending.turn.id, size, value_bytes; "a turn is larger than the values of the store, so it can't be recorded");
            }
            fits
        });
        self.forwarded.retain(|batch| {
            let size = batch.record_size();
            let fits = !is_too_large(size, value_bytes);
            if !fits {
                log::warn!(turns = batch.turns.len(), size, value_bytes; "a forwarded batch is larger than the values of the store, so it can't be recorded");
            }
            fits
        });
    }
}
