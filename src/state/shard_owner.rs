//! A shard that this host owns: its state, and the queue of records that are not in the log yet.

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
    AttemptTable, BackoffPolicy, CallLimiter, LogError, LogReader, LogRecord, NodeMetrics, Problem,
    ProblemKind, ProgramId, ProgramSlot, ShardId, ShardLog, ShardState, WriterId, encode_frame,
    platform_calls::snapshot_store::MAX_OBJECT_BYTES,
};

/// Batches after which a snapshot is written, which bounds what the next owner replays.
const BATCHES_PER_SNAPSHOT: u64 = 256;

/// Pause between two deletions of objects that a snapshot has replaced.
const TRIM_PAUSE: Duration = Duration::from_millis(50);

/// Size of the queued records beyond which new records are refused.
const QUEUE_LIMIT_BYTES: usize = 16 << 20;

/// Most reads of the log for one confirmation.
const MAX_CONFIRM_ATTEMPTS: u32 = 5;

/// Time for the response to an append that has taken effect.
const APPEND_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Delays between attempts of an append that failed.
const APPEND_BACKOFF: BackoffPolicy =
    BackoffPolicy { first: Duration::from_millis(25), limit: Duration::from_secs(1) };

/// Number of a record in the order of submission to this owner.
pub(crate) type CommitTicket = u64;

/// Progress of the log's writer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct LogProgress {
    /// Ticket of the last durable record.
    durable_ticket: CommitTicket,
    /// Sequence number of the last committed batch.
    last_sequence: u64,
    /// Start of the last successful append, or of the claim.
    append_started: Instant,
    /// Whether nothing more is appended.
    is_closed: bool,
}

/// Result of a check whether this host is still the owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OwnerConfirmation {
    Confirmed,
    Deposed,
    /// The platform did not respond, or not in time.
    Unconfirmed,
}

/// State of a record after a wait for it to become durable.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CommitOutcome {
    Durable,
    /// It may still become durable.
    Pending,
    /// Another host has claimed the shard. The record is not in the log and never will be.
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
    /// Ticket of the last submitted record.
    last_ticket: CommitTicket,
    /// Reservations that may not be durable yet.
    reservations: BTreeMap<ProgramId, PendingReservation>,
    /// Whether new requests are refused, since the shard is about to be released.
    is_leaving: bool,
    /// Whether records are refused, since the shard is given up or another host has claimed it.
    is_closed: bool,
}

/// A reservation that is not in the log yet. Until it is, only the one before it may be spent.
#[derive(Clone, Copy, Debug)]
struct PendingReservation {
    ticket: CommitTicket,
    /// Chunk limit of the last durable reservation.
    durable_limit: u64,
}

/// Records that were taken from the queue for one batch.
struct DrainedBatch {
    records: Vec<LogRecord>,
    last_ticket: CommitTicket,
    /// Encoded state after the batch, if a snapshot is due.
    snapshot: Option<Bytes>,
}

/// Owner of one shard. The state is ahead of the log; a caller that needs a record to be durable waits for its ticket.
/// Lock order: `slots` before `state`; neither is locked across an await.
#[derive(Debug)]
pub(crate) struct ShardOwner {
    shard: ShardId,
    state: Mutex<OwnerState>,
    slots: Mutex<BTreeMap<ProgramId, Arc<ProgramSlot>>>,
    /// Attempts that may have run, of this owner and of those before it.
    pub(crate) attempts: AttemptTable,
    /// Wakes the writer after records were queued or the owner was closed.
    writer_wake: Notify,
    progress: watch::Sender<LogProgress>,
    reader: LogReader,
    writer: WriterId,
    /// Start of the last read of the log that confirmed the ownership, or of the claim. Locked during a confirmation.
    confirmed_at: tokio::sync::Mutex<Instant>,
    metrics: Arc<NodeMetrics>,
}

impl ShardOwner {
    /// Creates the owner of a shard whose claim was started at `claim_started`.
    pub(crate) fn new(
        shard: ShardId,
        state: ShardState,
        log: &ShardLog,
        claim_started: Instant,
        metrics: Arc<NodeMetrics>,
    ) -> Self {
        let progress = LogProgress {
            durable_ticket: 0,
            last_sequence: log.last_sequence(),
            append_started: claim_started,
            is_closed: false,
        };

        let attempts = AttemptTable::inherited(&state);

        Self {
            shard,
            state: Mutex::new(OwnerState { shard: state, ..OwnerState::default() }),
            slots: Mutex::default(),
            attempts,
            writer_wake: Notify::new(),
            progress: watch::Sender::new(progress),
            reader: log.reader().clone(),
            writer: log.writer(),
            confirmed_at: tokio::sync::Mutex::new(claim_started),
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

    /// Returns the slot that coordinates the requests of a program.
    pub(crate) fn slot(&self, program: ProgramId) -> Arc<ProgramSlot> {
        Arc::clone(self.slots.lock().entry(program).or_default())
    }

    /// Tells whether a request of a program runs.
    pub(crate) fn is_running(&self, program: ProgramId) -> bool {
        self.slots.lock().get(&program).is_some_and(|slot| slot.is_running())
    }

    /// Tells whether a request under a number of a program runs, or may still run after its wait.
    pub(crate) fn has_number(&self, program: ProgramId, number: u32) -> bool {
        self.slots.lock().get(&program).is_some_and(|slot| slot.has_number(number))
    }

    /// Removes the slot of a program unless a request uses it.
    pub(crate) fn remove_idle_slot(&self, program: ProgramId) {
        let mut slots = self.slots.lock();

        if slots.get(&program).is_some_and(|slot| Arc::strong_count(slot) == 1) {
            slots.remove(&program);
        }
    }

    /// Derives records from the state and submits them, atomically. Returns the ticket of the last submitted record.
    /// Fails if the owner is closed, too many records are queued, or `derive_records` fails.
    pub(crate) fn update(
        &self,
        derive_records: impl FnOnce(&ShardState) -> Result<Vec<LogRecord>, Problem>,
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

        let records = derive_records(&state.shard)?;
        let ticket = self.submit(&mut state, records);
        drop(state);
        self.writer_wake.notify_one();
        Ok(ticket)
    }

    /// Applies records to the state and queues them for the log.
    fn submit(&self, state: &mut MutexGuard<OwnerState>, records: Vec<LogRecord>) -> CommitTicket {
        for record in records {
            self.track_reservation(state, &record);

            if let Err(error) = state.shard.apply(&record) {
                panic!("shard {}: a record was submitted that does not fit: {error}", self.shard);
            }

            if let LogRecord::ProgramForgotten { program } = &record {
                self.attempts.remove(*program);
            }

            let bytes = encode_frame(&record).len();
            state.queue_bytes += bytes;
            state.last_ticket += 1;
            state.queue.push_back(QueuedRecord { record, bytes });
        }

        state.last_ticket
    }

    /// Remembers the durable limit of a program whose reservation is about to be submitted.
    fn track_reservation(&self, state: &mut MutexGuard<OwnerState>, record: &LogRecord) {
        let (program, durable_limit) = match record {
            LogRecord::BudgetReserved { program, .. } => {
                (*program, self.durable_limit(state, *program))
            }
            LogRecord::ProgramCreated { terms } => (terms.id, 0),
            _ => return,
        };

        let ticket = state.last_ticket + 1;
        state.reservations.insert(program, PendingReservation { ticket, durable_limit });
    }

    /// Chunk limit of a program that its durable reservations allow.
    fn durable_limit(&self, state: &mut MutexGuard<OwnerState>, program: ProgramId) -> u64 {
        match state.reservations.get(&program).copied() {
            Some(pending) if !self.is_durable(pending.ticket) => pending.durable_limit,
            _ => {
                state.reservations.remove(&program);
                state.shard.program(program).map_or(0, |it| it.chunk_limit)
            }
        }
    }

    /// Tokens that a program may spend within reservations that are in the log.
    pub(crate) fn spendable_tokens(&self, program: ProgramId) -> u64 {
        let mut state = self.state.lock();
        let limit = self.durable_limit(&mut state, program);
        let spent_tokens = state.shard.program(program).map_or(0, |it| it.spent_tokens);
        limit.saturating_sub(spent_tokens)
    }

    /// Waits until a record is durable, the owner is closed, or `max_wait` has passed.
    pub(crate) async fn wait_durable(
        &self,
        ticket: CommitTicket,
        max_wait: Duration,
    ) -> CommitOutcome {
        let mut progress = self.progress.subscribe();
        let committed = progress.wait_for(|it| it.durable_ticket >= ticket || it.is_closed);

        match timeout(max_wait, committed).await {
            Ok(Ok(progress)) if progress.durable_ticket >= ticket => CommitOutcome::Durable,
            Ok(_) => CommitOutcome::Deposed,
            Err(_) => CommitOutcome::Pending,
        }
    }

    pub(crate) fn is_durable(&self, ticket: CommitTicket) -> bool {
        self.progress.borrow().durable_ticket >= ticket
    }

    /// Checks that no other host had claimed the shard by `since`. A host that was paused or cut off may have been
    /// deposed without noticing, and its state may lack what has run since; so it must not answer that something did
    /// not run before the log has confirmed that it is still the owner.
    pub(crate) async fn confirm(&self, since: Instant) -> OwnerConfirmation {
        let mut confirmed_at = self.confirmed_at.lock().await;

        for _ in 0..MAX_CONFIRM_ATTEMPTS {
            let progress = *self.progress.borrow();

            if progress.is_closed {
                return OwnerConfirmation::Deposed;
            }

            if progress.append_started >= since || *confirmed_at >= since {
                return OwnerConfirmation::Confirmed;
            }

            let read_started = Instant::now();

            match self.reader.batch(progress.last_sequence + 1).await {
                Ok(None) => {
                    *confirmed_at = read_started;
                    return OwnerConfirmation::Confirmed;
                }
                Ok(Some(batch)) if batch.writer == self.writer => {
                    // This host's append has taken effect; its response has not arrived yet.
                    let mut changes = self.progress.subscribe();
                    let advanced = changes.wait_for(|it| it.last_sequence > progress.last_sequence);
                    let _ = timeout(APPEND_RESPONSE_TIMEOUT, advanced).await;
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

    /// Tells whether every submitted record is durable.
    pub(crate) fn is_fully_durable(&self) -> bool {
        let last_ticket = self.state.lock().last_ticket;
        self.is_durable(last_ticket)
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.state.lock().is_closed
    }

    /// Tells whether any request of a program runs here.
    pub(crate) fn is_busy(&self) -> bool {
        self.slots.lock().values().any(|slot| slot.is_running())
    }

    /// Refuses new requests, while running ones finish.
    pub(crate) fn stop_admission(&self) {
        self.state.lock().is_leaving = true;
        self.slots.lock().values().for_each(|slot| slot.wake_waiters());
    }

    /// Accepts new requests again if the shard could not be released.
    pub(crate) fn resume_admission(&self) {
        self.state.lock().is_leaving = false;
    }

    /// Tells whether new requests are refused.
    pub(crate) fn is_leaving(&self) -> bool {
        self.state.lock().is_leaving
    }

    /// Gives up the shard while requests run. Their records are refused from now on.
    pub(crate) fn abandon(&self) -> CommitOutcome {
        self.state.lock().is_closed = true;
        self.writer_wake.notify_one();
        CommitOutcome::Pending
    }

    /// Releases the shard when no request runs, and waits up to `max_wait` until the release is in the log.
    pub(crate) async fn release(&self, max_wait: Duration) -> CommitOutcome {
        let ticket = {
            let mut state = self.state.lock();

            if state.is_closed {
                return CommitOutcome::Deposed;
            }

            let ticket = self.submit(&mut state, vec![LogRecord::ShardReleased]);
            state.is_closed = true;
            ticket
        };

        self.writer_wake.notify_one();
        self.wait_durable(ticket, max_wait).await
    }

    /// Appends submitted records, at most `append_rate` batches per second, until the shard is released or another host
    /// has claimed it.
    pub(crate) async fn run_writer(self: Arc<Self>, mut log: ShardLog, append_rate: u32) {
        let append_budget = CallLimiter::new(append_rate);

        while let Some(batch) = self.next_batch(log.tail_batches(), &append_budget).await {
            if self.append(&mut log, batch).await.is_err() {
                log::warn!(shard:% = self.shard; "another host has taken the shard");
                break;
            }
        }

        self.close();
    }

    fn close(&self) {
        self.state.lock().is_closed = true;
        self.writer_wake.notify_one();
        self.progress.send_modify(|progress| progress.is_closed = true);
    }

    /// Waits for records, and takes all that fit into one object. If the log is idle, they are taken at once. While
    /// an append is in progress or the append rate is used up, records accumulate, so a busy log writes larger batches
    /// rather than more of them.
    async fn next_batch(
        &self,
        tail_batches: u64,
        append_budget: &CallLimiter,
    ) -> Option<DrainedBatch> {
        loop {
            let wake = self.writer_wake.notified();

            {
                let state = self.state.lock();

                if state.queue.is_empty() && state.is_closed {
                    return None;
                }
            }

            if !self.state.lock().queue.is_empty() {
                append_budget.acquire().await;
                return Some(Self::drain(&mut self.state.lock(), tail_batches));
            }

            wake.await;
        }
    }

    /// Takes the records of one batch from the queue. A snapshot is only encoded if that empties the queue, since the
    /// state is then the one after the batch.
    fn drain(state: &mut OwnerState, tail_batches: u64) -> DrainedBatch {
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
        let is_snapshot_due = state.queue.is_empty() && tail_batches >= BATCHES_PER_SNAPSHOT;
        let snapshot = is_snapshot_due.then(|| encode_frame(&state.shard));
        let last_ticket = state.last_ticket - state.queue.len() as u64;
        DrainedBatch { records, last_ticket, snapshot }
    }

    /// Commits a batch, with as many attempts as it takes. Fails only if another host has claimed the shard.
    async fn append(&self, log: &mut ShardLog, drained: DrainedBatch) -> Result<(), LogError> {
        let batch = log.encode(drained.records);
        let mut attempt = 0;
        let mut append_started = Instant::now();

        while let Err(error) = log.commit(&batch).await {
            if error == LogError::Deposed {
                return Err(error);
            }

            log::debug!(shard:% = self.shard; "an append failed, retrying: {error}");
            APPEND_BACKOFF.sleep(attempt).await;
            attempt += 1;
            append_started = Instant::now();
        }

        self.metrics.count_log_batch(batch.bytes());

        self.progress.send_modify(|progress| {
            progress.durable_ticket = drained.last_ticket;
            progress.last_sequence = log.last_sequence();
            progress.append_started = append_started;
        });

        if let Some(snapshot) = drained.snapshot {
            self.write_snapshot(log, &snapshot).await;
        }

        Ok(())
    }

    /// Writes a snapshot. If that fails, it is tried again after a later batch.
    async fn write_snapshot(&self, log: &mut ShardLog, state: &[u8]) {
        let shard = self.shard;

        match log.write_snapshot(log.last_sequence(), state).await {
            Ok(trim) => {
                tokio::spawn(async move {
                    if let Err(error) = trim.delete(TRIM_PAUSE).await {
                        log::warn!(shard:% = shard; "failed to delete replaced batches: {error}");
                    }
                });
            }
            Err(error) => log::warn!(shard:% = shard; "failed to write a snapshot: {error}"),
        }
    }
}
