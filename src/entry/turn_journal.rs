//! Makes turns and spends durable: each run of a host writes them to the store in batches, and each batch once.
//!
//! See docs/design/platform.md, "Turns" and "Budgets".

use std::{
    fmt::Debug,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
};

use async_trait::async_trait;
use bytes::Bytes;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use tokio::{
    sync::{Notify, oneshot},
    time::{Duration, Instant, sleep, sleep_until, timeout, timeout_at},
};

use crate::{
    BackoffPolicy,
    entry::{
        BudgetLedger, ObjectStore, StoreError, WriteOutcome,
        budget_ledger::SpendRecord,
        entry_metrics::EntryMetrics,
        journal_queue::{JournalQueue, PendingBatch, QueuedEntries, is_too_large},
        recent_spends::RecentSpends,
        record_retention::RecordRetention,
        segment_index::INDEX_KIND,
        turn_history::{HistoryTurn, base64_size},
        written_batches::{BatchSlot, WrittenBatches},
    },
};

/// Time between two probes of the store while it does not answer this host.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Name of the object that a probe reads. It need not exist, since only whether the store answers matters.
const PROBE_NAME: &str = "probe";

/// Timeout of a write where another host can record instead. A slow store takes 240 ms.
const FAILOVER_WRITE_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout of a write where no other host can record instead.
const SOLE_WRITE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Object kind of the batches in the store.
pub(crate) const JOURNAL_KIND: &str = "turn-batches";

/// Shortest time for which a batch waits for more turns after the first one. Calls to the store are priced, and larger
/// batches need fewer of them.
const MIN_BATCH_DELAY: Duration = Duration::from_millis(30);

/// Longest time for which a batch waits for more turns, since the responses of the turns wait as well.
const MAX_BATCH_DELAY: Duration = Duration::from_millis(75);

/// Time for which a batch waits for each host that shares its recorder, between the two bounds.
const BATCH_DELAY_PER_HOST: Duration = Duration::from_millis(6);

/// Time for which a batch waits for more turns before it is forwarded to the host that records for this one. It is
/// short, since that host gathers the turns of several hosts for [`MIN_BATCH_DELAY`] at least.
const FORWARD_DELAY: Duration = Duration::from_millis(2);

/// Time between two records of spends while no turn is recorded. Until then the headroom of the last record and the one
/// turn that the rules allow beyond a budget cover them.
const SPEND_INTERVAL: Duration = Duration::from_secs(1);

/// Largest value of the store if the platform states none, in bytes.
const DEFAULT_VALUE_BYTES: usize = 1 << 20;

/// Delay between attempts of a write.
const WRITE_BACKOFF: BackoffPolicy =
    BackoffPolicy { first: Duration::from_millis(60), limit: Duration::from_millis(500) };

/// Content of a batch in the store.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct JournalBatch {
    /// Number of the batch in its writer's run. It distinguishes the batch from an older one in the same object.
    pub(crate) number: u64,
    pub(crate) writer: Arc<str>,
    pub(crate) turns: Vec<HistoryTurn>,
    pub(crate) spends: Vec<SpendRecord>,
}

/// Asks other hosts to record turns and spends.
#[async_trait]
pub(crate) trait TurnRecorder: Debug + Send + Sync {
    /// Returns the host that records for this one, unless that is this host itself.
    fn preferred_host(&self) -> Option<Arc<str>>;

    /// Number of hosts that share one recorder.
    fn sharing_host_count(&self) -> u32;

    /// Returns other hosts that may record, those of this region first.
    fn fallback_hosts(&self) -> Vec<Arc<str>>;

    /// Asks a host to record turns and spends. Returns whether it has made them durable.
    async fn record(&self, host: &Arc<str>, turns: &[HistoryTurn], records: &[SpendRecord])
    -> bool;
}

/// Time for which a recorder that `host_count` hosts share gathers turns. In a larger group, turns follow each other more
/// closely, so that the same number of calls to the store carries them with a longer wait.
pub(crate) fn batch_delay(host_count: u32) -> Duration {
    (BATCH_DELAY_PER_HOST * host_count).clamp(MIN_BATCH_DELAY, MAX_BATCH_DELAY)
}

/// Queues turns and spends, and writes them to the store in batches.
#[derive(Debug)]
pub(crate) struct TurnJournal {
    store: Arc<dyn ObjectStore>,
    ledger: Arc<Mutex<BudgetLedger>>,
    metrics: Arc<EntryMetrics>,
    /// Identity of this run, with which the names of its batches begin.
    writer: Arc<str>,
    queue: Mutex<JournalQueue>,
    work_added: Notify,
    is_store_reachable: AtomicBool,
    recent_spends: Mutex<RecentSpends>,
    retention: Arc<RecordRetention>,
    /// Largest value that the store takes.
    value_bytes: AtomicUsize,
}

impl TurnJournal {
    pub(crate) fn new(
        store: Arc<dyn ObjectStore>,
        ledger: Arc<Mutex<BudgetLedger>>,
        metrics: Arc<EntryMetrics>,
        writer: Arc<str>,
    ) -> Self {
        Self {
            store,
            ledger,
            metrics,
            writer,
            queue: Mutex::default(),
            work_added: Notify::new(),
            is_store_reachable: AtomicBool::new(true),
            recent_spends: Mutex::default(),
            retention: Arc::default(),
            value_bytes: AtomicUsize::new(DEFAULT_VALUE_BYTES),
        }
    }

    /// Sets the size of the largest value that the store takes.
    pub(crate) fn set_value_limit(&self, value_bytes: usize) {
        self.value_bytes.store(value_bytes, Ordering::Relaxed);
    }

    /// Whether the record of a turn is larger than the values of the store, whatever its output is.
    pub(crate) fn is_input_too_large(&self, input: &Bytes) -> bool {
        is_too_large(base64_size(input.len()), self.value_bytes.load(Ordering::Relaxed))
    }

    /// For how long records are kept.
    pub(crate) fn retention(&self) -> &Arc<RecordRetention> {
        &self.retention
    }

    /// Whether the store answered this host's last write or probe.
    pub(crate) fn is_store_reachable(&self) -> bool {
        self.is_store_reachable.load(Ordering::Relaxed)
    }

    /// Returns the spends that this run has recorded in the segments after the one with the number `sequence`, or `None` if
    /// it no longer has them all. Whoever waits for a record is notified only after the record is among them.
    pub(crate) fn recent_spends(&self, sequence: u64) -> Option<Vec<SpendRecord>> {
        self.recent_spends.lock().after(sequence)
    }

    /// Queues what another host has forwarded. The receiver is notified once it is durable, or fails if this host can't
    /// record it.
    pub(crate) fn append_forwarded(
        &self,
        turns: Vec<HistoryTurn>,
        spends: Vec<SpendRecord>,
    ) -> oneshot::Receiver<()> {
        let receiver = self.queue.lock().push_forwarded(turns, spends);
        self.work_added.notify_one();
        receiver
    }

    /// Queues a turn. The receiver is notified once it is durable.
    pub(crate) fn append(&self, turn: Arc<HistoryTurn>) -> oneshot::Receiver<()> {
        let receiver = self.queue.lock().push_turn(turn);
        self.work_added.notify_one();
        receiver
    }

    /// Requests a batch with the spends that are unrecorded now, even if no turn waits. The receiver is notified once
    /// they are durable.
    pub(crate) fn flush_spends(&self) -> oneshot::Receiver<()> {
        let receiver = self.queue.lock().push_spend_waiter();
        self.work_added.notify_one();
        receiver
    }

    /// Records batches until the task is dropped, and keeps records for turns that are kept for `retention` or longer.
    pub(crate) async fn run(self: Arc<Self>, recorder: Arc<dyn TurnRecorder>, retention: Duration) {
        tokio::spawn(Arc::clone(&self).probe_store());
        self.retention.extend(retention);
        self.ledger.lock().set_retention(Arc::clone(&self.retention));
        let mut written = WrittenBatches::new(&self.writer, Arc::clone(&self.retention));

        loop {
            self.wait_for_work(&*recorder).await;
            let value_bytes = self.value_bytes.load(Ordering::Relaxed);
            let QueuedEntries { turns, forwarded, spend_waiters } =
                self.queue.lock().take(value_bytes);
            let records = self.ledger.lock().take_unrecorded();
            let contents = turns.iter().map(|it| HistoryTurn::clone(&it.turn)).collect();
            let mut pending = PendingBatch { turns: contents, records, forwarded };
            let spend_batches = pending.split_records(value_bytes);
            let are_turns_recorded =
                self.record_pending(&mut pending, &*recorder, &mut written).await;
            let mut are_spends_recorded = are_turns_recorded;

            for mut batch in spend_batches {
                are_spends_recorded &=
                    self.record_pending(&mut batch, &*recorder, &mut written).await;
            }

            self.remove_expired_index(&mut written).await;

            // Waiters that are dropped without a notification know that nothing was recorded.
            if are_turns_recorded {
                let forward_waiters = pending.forwarded.into_iter().map(|it| it.done);
                let turn_waiters = turns.into_iter().map(|it| it.done);
                turn_waiters.chain(forward_waiters).for_each(notify_done);
            }
            if are_spends_recorded {
                spend_waiters.into_iter().for_each(notify_done);
            }
        }
    }

    /// Makes a batch durable and counts its spends as recorded. Returns false if the store never takes it.
    async fn record_pending(
        &self,
        pending: &mut PendingBatch,
        recorder: &dyn TurnRecorder,
        written: &mut WrittenBatches,
    ) -> bool {
        if pending.is_empty() {
            return true;
        }

        let is_recorded = self.record(pending, recorder, written).await;
        let mut ledger = self.ledger.lock();

        if is_recorded {
            ledger.mark_recorded(&pending.records);
        } else {
            ledger.restore_unrecorded(&pending.records);
        }
        is_recorded
    }

    /// Waits until the delay of a batch has passed since the first entry was queued, or until unrecorded spends are due
    /// although the queue is empty.
    async fn wait_for_work(&self, recorder: &dyn TurnRecorder) {
        let mut spends_due = Instant::now() + SPEND_INTERVAL;

        loop {
            let pending_since = self.queue.lock().pending_since();

            if let Some(pending_since) = pending_since {
                let delay = match recorder.preferred_host() {
                    Some(_) => FORWARD_DELAY,
                    None => batch_delay(recorder.sharing_host_count()),
                };
                sleep_until(pending_since + delay).await;
                return;
            }

            if timeout_at(spends_due, self.work_added.notified()).await.is_err() {
                if self.ledger.lock().has_unrecorded() {
                    return;
                }
                spends_due = Instant::now() + SPEND_INTERVAL;
            }
        }
    }

    /// Makes a batch durable: through the preferred host, else by a write of this host, else through a fallback host
    /// that reaches the store. Retries until one has succeeded, unless the store rejects the content; then it returns false.
    /// Batches that were forwarded to this host are not forwarded again.
    async fn record(
        &self,
        pending: &mut PendingBatch,
        recorder: &dyn TurnRecorder,
        written: &mut WrittenBatches,
    ) -> bool {
        let started = Instant::now();
        let records: Vec<SpendRecord> =
            pending.records.iter().map(|it| it.with_writer(&self.writer)).collect();
        let mut may_forward = pending.forwarded.is_empty();

        if may_forward
            && let Some(host) = recorder.preferred_host()
            && recorder.record(&host, &pending.turns, &records).await
        {
            self.report_recorded(pending, &host, started, 0);
            return true;
        }

        let batch = written.next_batch(pending);
        let content = serde_json::value::to_raw_value(&batch).expect("a batch can be encoded");
        let mut slot = None;
        let mut attempt = 0;

        loop {
            // While the store does not answer this host, it forwards the batch before it tries its own write.
            if may_forward
                && !self.is_store_reachable()
                && let Some(host) = self.forward(pending, &records, recorder).await
            {
                if let Some(slot) = slot.take() {
                    written.return_slot(slot);
                }
                self.report_recorded(pending, &host, started, attempt);
                return true;
            }

            let has_fallback = may_forward && !recorder.fallback_hosts().is_empty();
            let write_timeout =
                if has_fallback { FAILOVER_WRITE_TIMEOUT } else { SOLE_WRITE_TIMEOUT };
            let writing = async {
                if slot.is_none() {
                    self.write_index(written).await?;
                }
                let slot = slot.get_or_insert_with(|| written.take_slot(&batch));
                self.write(slot, &content).await
            };
            let result = match timeout(write_timeout, writing).await {
                Ok(result) => result,
                Err(_) => Err(StoreError::Unanswered { reason: "no answer in time".into() }),
            };
            let is_rejected = result.as_ref().is_err_and(StoreError::is_rejection);
            self.is_store_reachable.store(result.is_ok() || is_rejected, Ordering::Relaxed);

            match result {
                Ok(true) => {
                    if let Some(slot) = slot.take() {
                        self.recent_spends.lock().add(written.open_sequence(), &batch.spends);
                        written.add(slot, &batch);
                    }
                    self.report_recorded(pending, &self.writer, started, attempt);
                    return true;
                }
                // The reused object can't be replaced any more, so the batch is written under a new name without delay.
                Ok(false) => (),
                Err(error) if is_rejected => {
                    if let Some(slot) = slot.take() {
                        written.return_slot(slot);
                    }
                    log::error!(
                        batch = batch.number, turns = batch.turns.len(), bytes = content.get().len();
                        "the store rejects a batch, so its turns are given up: {error}"
                    );
                    return false;
                }
                Err(error) => {
                    log::warn!(
                        batch = batch.number, turns = batch.turns.len(), attempts = attempt + 1;
                        "a batch can't be recorded: {error}"
                    );
                    // Dropping the forwarded batches tells their hosts at once to record elsewhere, so that no turns
                    // wait for a store that does not answer this host.
                    pending.forwarded.clear();
                    may_forward = true;

                    // After the first failure the batch is forwarded without delay.
                    if attempt > 0 {
                        self.back_off(attempt).await;
                    }
                }
            }

            attempt += 1;
        }
    }

    async fn back_off(&self, attempt: u32) {
        sleep(WRITE_BACKOFF.delay(attempt, 0.5 + rand::random::<f64>() / 2.0)).await;
    }

    /// Probes the store while it does not answer this host, until the task is dropped. Meanwhile other hosts record for
    /// this one.
    async fn probe_store(self: Arc<Self>) {
        loop {
            sleep(PROBE_INTERVAL).await;

            if !self.is_store_reachable() {
                let is_answered = self.store.get(JOURNAL_KIND, PROBE_NAME).await.is_ok();
                self.metrics.count_store_call("probe", is_answered);
                self.is_store_reachable.store(is_answered, Ordering::Relaxed);
            }
        }
    }

    /// Asks the fallback hosts in turn to record the batch. Returns the one that did.
    async fn forward(
        &self,
        pending: &PendingBatch,
        records: &[SpendRecord],
        recorder: &dyn TurnRecorder,
    ) -> Option<Arc<str>> {
        for host in recorder.fallback_hosts() {
            if recorder.record(&host, &pending.turns, records).await {
                return Some(host);
            }
        }

        None
    }

    /// Writes the index of the last segment, if that has not been done. A write whose response is lost is made again; it
    /// then meets its own object.
    async fn write_index(&self, written: &mut WrittenBatches) -> Result<(), StoreError> {
        let Some(index) = written.index_to_write() else {
            return Ok(());
        };

        let content = serde_json::value::to_raw_value(&index).expect("an index can be encoded");
        let result = self.store.create(INDEX_KIND, &index.name(), &content).await;
        self.metrics.count_store_call("index", result.is_ok());

        match result? {
            WriteOutcome::Written { revision } => written.confirm_index(Some(revision)),
            // Only this run uses these names, so an earlier attempt has created the object.
            WriteOutcome::Conflict => written.confirm_index(None),
        }
        Ok(())
    }

    /// Removes at most one index whose batches are no longer needed. A failure leaves an index that names batches which
    /// no request asks for.
    async fn remove_expired_index(&self, written: &mut WrittenBatches) {
        let Some((name, revision)) = written.take_expired_index() else {
            return;
        };

        let result = self.store.remove(INDEX_KIND, &name, revision).await;
        self.metrics.count_store_call("index_removal", result.is_ok());

        if let Err(error) = result {
            log::warn!(index:% = name; "an expired index can't be removed: {error}");
        }
    }

    /// Makes one attempt to write a batch. A write whose response is lost may still take effect later, which is
    /// harmless, since each attempt writes the same batch. Returns whether the store has the batch; if not, the slot
    /// has a new name for the next attempt.
    async fn write(&self, slot: &mut BatchSlot, content: &RawValue) -> Result<bool, StoreError> {
        let result = match slot.reused_revision {
            Some(revision) => self.store.replace(JOURNAL_KIND, &slot.name, content, revision).await,
            None => self.store.create(JOURNAL_KIND, &slot.name, content).await,
        };
        self.metrics.count_store_call("journal", result.is_ok());

        match result? {
            WriteOutcome::Written { revision } => {
                slot.revision = Some(revision);
                Ok(true)
            }
            // Only this run uses these names, so an earlier attempt has created the object with the same batch.
            WriteOutcome::Conflict if slot.reused_revision.is_none() => Ok(true),
            // Either an earlier attempt has replaced the object, or it has been removed. A new name is safe in both
            // cases.
            WriteOutcome::Conflict => {
                slot.reused_revision = None;
                slot.name = Arc::clone(&slot.new_name);
                Ok(false)
            }
        }
    }

    fn report_recorded(
        &self,
        pending: &PendingBatch,
        recorded_by: &Arc<str>,
        started: Instant,
        attempt: u32,
    ) {
        let turns = pending.turns.len();
        self.metrics.record_journal_write(started.elapsed(), turns);
        log::info!(
            by:% = recorded_by, turns, foreign = pending.forwarded.len(), spends = pending.records.len(), attempts = attempt + 1,
            took_ms = started.elapsed().as_millis() as u64;
            "recorded a batch"
        );
    }
}

fn notify_done(done: oneshot::Sender<()>) {
    if done.send(()).is_err() {
        log::debug!("a receiver was dropped before its batch was recorded");
    }
}
