//! A shard that this host owns: its state, and the queue of records on their way to the log.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use parking_lot::{Mutex, MutexGuard};
use tokio::{
    sync::{Notify, watch},
    time::{Instant, timeout},
};

use crate::{
    BackoffPolicy, CallLimiter, LogError, LogReader, LogRecord, NodeMetrics, Problem, ProblemKind,
    ProgramId, ProgramSlot, ShardId, ShardLog, ShardState, WriterId, encode_frame,
    platform_calls::snapshot_store::MAX_OBJECT_BYTES,
};

/// Batches after which a snapshot is written, which bounds what the next owner replays.
const SNAPSHOT_BATCHES: u64 = 256;

/// Pause between two deletions of what a snapshot has replaced.
const TRIM_PAUSE: Duration = Duration::from_millis(50);

/// Bytes of records that may wait for the log; beyond them nothing new is taken in.
const QUEUE_LIMIT_BYTES: usize = 16 << 20;

/// Looks at the log for one confirmation.
const CONFIRM_ATTEMPTS: u32 = 5;

/// Time for the answer to an append that is known to have taken effect.
const CONFIRM_PATIENCE: Duration = Duration::from_secs(1);

/// Pause between tries of an append that the platform did not answer.
const APPEND_BACKOFF: BackoffPolicy =
    BackoffPolicy { first: Duration::from_millis(25), limit: Duration::from_secs(1) };

/// Number of a record in the order in which this owner has taken it in.
pub(crate) type CommitTicket = u64;

/// How far the log has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct LogProgress {
    durable: CommitTicket,
    /// Sequence number of the last batch that this owner knows of.
    sequence: u64,
    /// When the last successful append was begun.
    appended: Instant,
    is_closed: bool,
}

/// Whether this host is still the owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OwnerConfirmation {
    Confirmed,
    Deposed,
    /// The platform gave no answer.
    Unconfirmed,
}

/// What became of a record within the time that was given.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CommitOutcome {
    Durable,
    /// It may still become durable.
    Pending,
    /// Another host has the shard; the record is not in the log and won't be.
    Deposed,
}

#[derive(Debug)]
struct QueuedRecord {
    record: LogRecord,
    bytes: usize,
}

#[derive(Debug, Default)]
struct OwnerState {
    shard: ShardState,
    queue: VecDeque<QueuedRecord>,
    queue_bytes: usize,
    submitted: CommitTicket,
    /// Reservations that may not be durable yet.
    reservations: BTreeMap<ProgramId, PendingReservation>,
    is_leaving: bool,
    is_closed: bool,
}

/// A reservation on its way to the log. Until it is there, only the one before may be spent.
#[derive(Clone, Copy, Debug)]
struct PendingReservation {
    ticket: CommitTicket,
    durable_limit: u64,
}

struct DrainedBatch {
    records: Vec<LogRecord>,
    last: CommitTicket,
    /// The state after the batch, where a snapshot is due.
    snapshot: Option<Bytes>,
}

/// Owner of one shard. The state runs ahead of the log: whoever must not, waits for its ticket. Lock order: `slots`
/// before `state`; neither is held while a task waits.
#[derive(Debug)]
pub(crate) struct ShardOwner {
    shard: ShardId,
    state: Mutex<OwnerState>,
    slots: Mutex<BTreeMap<ProgramId, Arc<ProgramSlot>>>,
    wake: Notify,
    progress: watch::Sender<LogProgress>,
    reader: LogReader,
    writer: WriterId,
    /// When the last look at the log that confirmed the ownership was begun.
    confirmed: tokio::sync::Mutex<Instant>,
    metrics: Arc<NodeMetrics>,
}

impl ShardOwner {
    /// Takes over a shard whose claim was begun at `claimed`.
    pub(crate) fn new(
        shard: ShardId,
        state: ShardState,
        log: &ShardLog,
        claimed: Instant,
        metrics: Arc<NodeMetrics>,
    ) -> Self {
        let progress =
            LogProgress { durable: 0, sequence: log.last(), appended: claimed, is_closed: false };

        Self {
            shard,
            state: Mutex::new(OwnerState { shard: state, ..OwnerState::default() }),
            slots: Mutex::default(),
            wake: Notify::new(),
            progress: watch::Sender::new(progress),
            reader: log.reader().clone(),
            writer: log.writer(),
            confirmed: tokio::sync::Mutex::new(claimed),
            metrics,
        }
    }

    pub(crate) fn shard(&self) -> ShardId {
        self.shard
    }

    /// Reads the state, which may be ahead of the log.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&ShardState) -> T) -> T {
        read(&self.state.lock().shard)
    }

    /// Slot of a program, where its requests meet.
    pub(crate) fn slot(&self, program: ProgramId) -> Arc<ProgramSlot> {
        Arc::clone(self.slots.lock().entry(program).or_default())
    }

    /// Tells whether a request of a program runs.
    pub(crate) fn is_running(&self, program: ProgramId) -> bool {
        self.slots.lock().get(&program).is_some_and(|slot| slot.is_running())
    }

    /// Forgets the slot of a program that nobody uses.
    pub(crate) fn release_slot(&self, program: ProgramId) {
        let mut slots = self.slots.lock();

        if slots.get(&program).is_some_and(|slot| Arc::strong_count(slot) == 1) {
            slots.remove(&program);
        }
    }

    /// Decides on records from the state and takes them in, as one step.
    pub(crate) fn update(
        &self,
        decide: impl FnOnce(&ShardState) -> Result<Vec<LogRecord>, Problem>,
    ) -> Result<CommitTicket, Problem> {
        let mut state = self.state.lock();

        if state.is_closed {
            let problem = Problem::unknown(
                ProblemKind::OwnerUnreachable,
                "the program has moved to another host",
            );
            return Err(problem.retry_after(1));
        }

        if state.queue_bytes > QUEUE_LIMIT_BYTES {
            let problem = Problem::not_run(
                ProblemKind::PlatformUnavailable,
                "too many records wait for the platform",
            );
            return Err(problem.retry_after(2));
        }

        let records = decide(&state.shard)?;
        let ticket = self.take_in(&mut state, records);
        drop(state);
        self.wake.notify_one();
        Ok(ticket)
    }

    fn take_in(&self, state: &mut MutexGuard<OwnerState>, records: Vec<LogRecord>) -> CommitTicket {
        for record in records {
            self.note_reservation(state, &record);

            if let Err(error) = state.shard.apply(&record) {
                panic!("shard {}: a record was submitted that does not fit: {error}", self.shard);
            }

            let bytes = encode_frame(&record).len();
            state.queue_bytes += bytes;
            state.submitted += 1;
            state.queue.push_back(QueuedRecord { record, bytes });
        }

        state.submitted
    }

    fn note_reservation(&self, state: &mut MutexGuard<OwnerState>, record: &LogRecord) {
        let (program, durable_limit) = match record {
            LogRecord::BudgetReserved { program, .. } => {
                (*program, self.durable_limit(state, *program))
            }
            LogRecord::ProgramCreated { terms } => (terms.id, 0),
            _ => return,
        };

        let ticket = state.submitted + 1;
        state.reservations.insert(program, PendingReservation { ticket, durable_limit });
    }

    fn durable_limit(&self, state: &mut MutexGuard<OwnerState>, program: ProgramId) -> u64 {
        match state.reservations.get(&program).copied() {
            Some(pending) if !self.is_durable(pending.ticket) => pending.durable_limit,
            _ => {
                state.reservations.remove(&program);
                state.shard.program(program).map_or(0, |it| it.chunk_limit)
            }
        }
    }

    /// Tokens that a program may spend inside reservations that are in the log.
    pub(crate) fn spendable_tokens(&self, program: ProgramId) -> u64 {
        let mut state = self.state.lock();
        let limit = self.durable_limit(&mut state, program);
        let spent = state.shard.program(program).map_or(0, |it| it.spent_tokens);
        limit.saturating_sub(spent)
    }

    /// Waits until a record is durable, for as long as `patience` lasts.
    pub(crate) async fn wait(&self, ticket: CommitTicket, patience: Duration) -> CommitOutcome {
        let mut progress = self.progress.subscribe();
        let settled = progress.wait_for(|it| it.durable >= ticket || it.is_closed);

        match timeout(patience, settled).await {
            Ok(Ok(progress)) if progress.durable >= ticket => CommitOutcome::Durable,
            Ok(_) => CommitOutcome::Deposed,
            Err(_) => CommitOutcome::Pending,
        }
    }

    pub(crate) fn is_durable(&self, ticket: CommitTicket) -> bool {
        self.progress.borrow().durable >= ticket
    }

    /// Makes sure that no other host had claimed the shard by `since`. A host that was paused or cut off may have been
    /// deposed without knowing it, and its state may lack what has run since; so it must not say that something did
    /// not run before the log has told that it is still the owner.
    pub(crate) async fn confirm(&self, since: Instant) -> OwnerConfirmation {
        let mut confirmed = self.confirmed.lock().await;

        for _ in 0..CONFIRM_ATTEMPTS {
            let progress = *self.progress.borrow();

            if progress.is_closed {
                return OwnerConfirmation::Deposed;
            }

            if progress.appended >= since || *confirmed >= since {
                return OwnerConfirmation::Confirmed;
            }

            let started = Instant::now();

            match self.reader.batch(progress.sequence + 1).await {
                Ok(None) => {
                    *confirmed = started;
                    return OwnerConfirmation::Confirmed;
                }
                Ok(Some(batch)) if batch.writer == self.writer => {
                    // The answer to this host's own append is still on its way.
                    let mut changes = self.progress.subscribe();
                    let moved = changes.wait_for(|it| it.sequence > progress.sequence);
                    let _ = timeout(CONFIRM_PATIENCE, moved).await;
                }
                Ok(Some(_)) => {
                    log::warn!(shard:% = self.shard; "another host has taken the shard");
                    self.close();
                    return OwnerConfirmation::Deposed;
                }
                Err(error) => {
                    log::debug!(shard:% = self.shard; "the ownership is not confirmed: {error}");
                    return OwnerConfirmation::Unconfirmed;
                }
            }
        }

        OwnerConfirmation::Unconfirmed
    }

    /// Tells whether everything taken in is durable.
    pub(crate) fn is_settled(&self) -> bool {
        let submitted = self.state.lock().submitted;
        self.is_durable(submitted)
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.state.lock().is_closed
    }

    /// Tells whether any request of a program runs here.
    pub(crate) fn is_busy(&self) -> bool {
        self.slots.lock().values().any(|slot| slot.is_running())
    }

    /// Turns new requests away, while those that run come to their end.
    pub(crate) fn stop_admission(&self) {
        self.state.lock().is_leaving = true;
        self.slots.lock().values().for_each(|slot| slot.wake_waiters());
    }

    /// Takes new requests again, where the shard could not be given up after all.
    pub(crate) fn resume_admission(&self) {
        self.state.lock().is_leaving = false;
    }

    /// Tells whether requests are turned away.
    pub(crate) fn is_leaving(&self) -> bool {
        self.state.lock().is_leaving
    }

    /// Gives the shard up while requests run. Their records will not be taken in.
    pub(crate) fn abandon(&self) -> CommitOutcome {
        self.state.lock().is_closed = true;
        self.wake.notify_one();
        CommitOutcome::Pending
    }

    /// Gives the shard up with everything settled, and waits until the log says so.
    pub(crate) async fn release(&self, patience: Duration) -> CommitOutcome {
        let ticket = {
            let mut state = self.state.lock();

            if state.is_closed {
                return CommitOutcome::Deposed;
            }

            let ticket = self.take_in(&mut state, vec![LogRecord::ShardReleased]);
            state.is_closed = true;
            ticket
        };

        self.wake.notify_one();
        self.wait(ticket, patience).await
    }

    /// Appends what is taken in, at most so often a second, until the shard is released or another host has it.
    pub(crate) async fn run_writer(self: Arc<Self>, mut log: ShardLog, append_rate: u32) {
        let pace = CallLimiter::new(append_rate);

        while let Some(batch) = self.next_batch(log.tail(), &pace).await {
            if self.append(&mut log, batch).await.is_err() {
                log::warn!(shard:% = self.shard; "another host has taken the shard");
                break;
            }
        }

        self.close();
    }

    fn close(&self) {
        self.state.lock().is_closed = true;
        self.wake.notify_one();
        self.progress.send_modify(|progress| progress.is_closed = true);
    }

    /// Waits for records, and takes all that fit into one object. An idle log takes them at once; while an append is
    /// under way, or the log's pace is used up, more come together, so a busy log writes larger batches and not more.
    async fn next_batch(&self, tail: u64, pace: &CallLimiter) -> Option<DrainedBatch> {
        loop {
            let wake = self.wake.notified();

            {
                let state = self.state.lock();

                if state.queue.is_empty() && state.is_closed {
                    return None;
                }
            }

            if !self.state.lock().queue.is_empty() {
                pace.acquire().await;
                return Some(Self::drain(&mut self.state.lock(), tail));
            }

            wake.await;
        }
    }

    fn drain(state: &mut OwnerState, tail: u64) -> DrainedBatch {
        let mut records = Vec::new();
        let mut bytes = 0;

        while let Some(queued) = state.queue.front() {
            if !records.is_empty() && bytes + queued.bytes > MAX_OBJECT_BYTES {
                break;
            }

            bytes += queued.bytes;
            records.extend(state.queue.pop_front().map(|queued| queued.record));
        }

        state.queue_bytes -= bytes;
        let is_due = state.queue.is_empty() && tail >= SNAPSHOT_BATCHES;
        let snapshot = is_due.then(|| encode_frame(&state.shard));
        let last = state.submitted - state.queue.len() as u64;
        DrainedBatch { records, last, snapshot }
    }

    async fn append(&self, log: &mut ShardLog, drained: DrainedBatch) -> Result<(), LogError> {
        let batch = log.encode(drained.records);
        let mut attempt = 0;
        let mut started = Instant::now();

        while let Err(error) = log.commit(&batch).await {
            if error == LogError::Deposed {
                return Err(error);
            }

            log::debug!(shard:% = self.shard; "an append is tried again: {error}");
            APPEND_BACKOFF.sleep(attempt).await;
            attempt += 1;
            started = Instant::now();
        }

        self.metrics.count_log_batch(batch.bytes());

        self.progress.send_modify(|progress| {
            progress.durable = drained.last;
            progress.sequence = log.last();
            progress.appended = started;
        });

        if let Some(snapshot) = drained.snapshot {
            self.write_snapshot(log, &snapshot).await;
        }

        Ok(())
    }

    /// Writes a snapshot. One that fails is made up for by the next.
    async fn write_snapshot(&self, log: &mut ShardLog, state: &[u8]) {
        let shard = self.shard;

        match log.write_snapshot(log.last(), state).await {
            Ok(trim) => {
                tokio::spawn(async move {
                    if let Err(error) = trim.delete(TRIM_PAUSE).await {
                        log::warn!(shard:% = shard; "replaced batches were not deleted: {error}");
                    }
                });
            }
            Err(error) => log::warn!(shard:% = shard; "a snapshot was not finished: {error}"),
        }
    }
}
