//! What waits to be recorded by the journal of turns.

use std::{collections::VecDeque, sync::Arc};

use tokio::{sync::oneshot, time::Instant};

use crate::entry::{budget_ledger::SpendRecord, turn_history::HistoryTurn};

/// Most bytes of turns in a batch, since a host has little memory and reads whole batches back. A single turn may be
/// larger, up to the store's limit of 1 MiB for a value.
const MAX_BATCH_BYTES: usize = 192 << 10;

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

/// Turns and spends of a batch that is not durable yet.
#[derive(Debug)]
pub(crate) struct PendingBatch {
    pub(crate) turns: Vec<HistoryTurn>,
    pub(crate) records: Vec<SpendRecord>,
    pub(crate) forwarded: Vec<ForwardedBatch>,
}

impl PendingBatch {
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
    /// turns as far as they fit, and all waiters for spends.
    pub(crate) fn take(&mut self) -> QueuedEntries {
        let mut turns = Vec::new();
        let mut forwarded = Vec::new();
        let mut size = 0;

        while let Some(batch) = self.forwarded.pop_front() {
            size += batch.turns.iter().map(HistoryTurn::size).sum::<usize>();
            forwarded.push(batch);
            if size > MAX_BATCH_BYTES {
                break;
            }
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
}
