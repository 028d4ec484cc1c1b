//! Makes turns and spends durable: batches in the store that one run of one host writes, each created once.
//!
//! See docs/design/platform.md, "Turns" and "Budgets".

use std::{
    collections::VecDeque,
    fmt::Debug,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use async_trait::async_trait;
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
        budget_ledger::{SpendNote, SpendRecord},
        entry_metrics::EntryMetrics,
        turn_history::HistoryTurn,
        written_batches::{BatchSlot, WrittenBatches},
    },
};

/// Time between two tries to reach the store while other hosts record for this one.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Name of an object that is asked for to find out whether the store answers; it need not be there.
const PROBE_NAME: &str = "probe";

/// Time for a write before another host is asked. A slow store takes 240 ms.
const OWN_PATIENCE: Duration = Duration::from_millis(400);

/// Time for a write where no other host can be asked.
const LONE_PATIENCE: Duration = Duration::from_millis(1_500);

/// Kind of the batches in the store.
pub(crate) const JOURNAL_KIND: &str = "turn-batches";

/// Bytes of turns in a batch at most. A host reads whole batches back, and has little memory; one turn alone may be
/// longer, up to the 1 MiB of a value.
const BATCH_LIMIT_BYTES: usize = 192 << 10;

/// Time for which a batch is gathered after its first turn. Calls to the store are priced.
const GATHER_TIME: Duration = Duration::from_millis(30);

/// Time for which turns are gathered before they are sent to the host that records for the region.
const FORWARD_TIME: Duration = Duration::from_millis(2);

/// Time after which spends are recorded although no turn waits. Until then headroom and one turn's slack cover them.
const SPEND_INTERVAL: Duration = Duration::from_secs(1);

/// Pause between tries of a write.
const WRITE_BACKOFF: BackoffPolicy =
    BackoffPolicy { first: Duration::from_millis(60), limit: Duration::from_millis(500) };

/// Content of a batch.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct JournalBatch {
    /// Number of the batch in its writer's run; it tells this batch from an older one under the same name.
    pub(crate) number: u64,
    pub(crate) writer: Arc<str>,
    pub(crate) turns: Vec<HistoryTurn>,
    pub(crate) spends: Vec<SpendRecord>,
}

#[derive(Debug)]
struct WaitingTurn {
    turn: Arc<HistoryTurn>,
    done: oneshot::Sender<()>,
}

/// What another host has asked to have recorded.
#[derive(Debug)]
pub(crate) struct ForeignBatch {
    pub(crate) turns: Vec<HistoryTurn>,
    pub(crate) spends: Vec<SpendRecord>,
    done: oneshot::Sender<()>,
}

#[derive(Debug, Default)]
struct JournalQueue {
    foreign: Vec<ForeignBatch>,
    turns: VecDeque<WaitingTurn>,
    /// Waiters for the spends that are unrecorded now.
    spends: Vec<oneshot::Sender<()>>,
    since: Option<Instant>,
}

/// A way to have turns and spends recorded by another host.
#[async_trait]
pub(crate) trait TurnRecorder: Debug + Send + Sync {
    /// The host that records for this one, unless that is this host itself.
    fn preferred_host(&self) -> Option<Arc<str>>;

    /// Any other host that answers, the nearest first.
    fn fallback_hosts(&self) -> Vec<Arc<str>>;

    /// Has a host record. Gives whether it did.
    async fn record(&self, host: &Arc<str>, turns: &[HistoryTurn], notes: &[SpendNote]) -> bool;
}

/// Writer of batches.
#[derive(Debug)]
pub(crate) struct TurnJournal {
    store: Arc<dyn ObjectStore>,
    ledger: Arc<Mutex<BudgetLedger>>,
    metrics: Arc<EntryMetrics>,
    /// Identity of this run; names of batches begin with it.
    writer: Arc<str>,
    queue: Mutex<JournalQueue>,
    wake: Notify,
    is_reachable: AtomicBool,
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
            wake: Notify::new(),
            is_reachable: AtomicBool::new(true),
        }
    }

    /// Whether the last write of this host was answered by the store.
    pub(crate) fn is_store_reachable(&self) -> bool {
        self.is_reachable.load(Ordering::Relaxed)
    }

    /// Queues what another host asks to have recorded. The receiver hears when it is durable.
    pub(crate) fn append_forwarded(
        &self,
        turns: Vec<HistoryTurn>,
        spends: Vec<SpendRecord>,
    ) -> oneshot::Receiver<()> {
        let (done, receiver) = oneshot::channel();
        let mut queue = self.queue.lock();
        queue.foreign.push(ForeignBatch { turns, spends, done });
        queue.since.get_or_insert_with(Instant::now);
        self.wake.notify_one();
        receiver
    }

    /// Queues a turn. The receiver hears when it is durable.
    pub(crate) fn append(&self, turn: Arc<HistoryTurn>) -> oneshot::Receiver<()> {
        let (done, receiver) = oneshot::channel();
        let mut queue = self.queue.lock();
        queue.turns.push_back(WaitingTurn { turn, done });
        queue.since.get_or_insert_with(Instant::now);
        self.wake.notify_one();
        receiver
    }

    /// Asks for the spends that are unrecorded now to be recorded at once.
    pub(crate) fn flush_spends(&self) -> oneshot::Receiver<()> {
        let (done, receiver) = oneshot::channel();
        let mut queue = self.queue.lock();
        queue.spends.push(done);
        queue.since.get_or_insert_with(Instant::now);
        self.wake.notify_one();
        receiver
    }

    /// Records batches until the task is dropped.
    pub(crate) async fn run(self: Arc<Self>, recorder: Arc<dyn TurnRecorder>, retention: Duration) {
        tokio::spawn(Arc::clone(&self).probe_store());
        let mut written = WrittenBatches::new(retention);

        loop {
            self.wait_for_work(&*recorder).await;
            let (waiting, foreign, spends) = self.take_batch();
            let records = self.ledger.lock().take_unrecorded();
            let turns: Vec<HistoryTurn> =
                waiting.iter().map(|it| HistoryTurn::clone(&it.turn)).collect();
            let mut work = JournalWork { turns, records, foreign };

            if !work.is_empty() {
                self.record(&mut work, &*recorder, &mut written).await;
                self.ledger.lock().mark_recorded(&work.records);
            }

            let foreign = work.foreign.into_iter().map(|it| it.done);
            let waiting = waiting.into_iter().map(|it| it.done);
            waiting.chain(foreign).chain(spends).for_each(tell_done);
        }
    }

    async fn wait_for_work(&self, recorder: &dyn TurnRecorder) {
        let mut lazy_due = Instant::now() + SPEND_INTERVAL;

        loop {
            let since = self.queue.lock().since;

            if let Some(since) = since {
                // The host that records for the region gathers the batches of all.
                let gather =
                    if recorder.preferred_host().is_some() { FORWARD_TIME } else { GATHER_TIME };
                sleep_until(since + gather).await;
                return;
            }

            if timeout_at(lazy_due, self.wake.notified()).await.is_err() {
                if self.ledger.lock().has_unrecorded() {
                    return;
                }
                lazy_due = Instant::now() + SPEND_INTERVAL;
            }
        }
    }

    fn take_batch(&self) -> (Vec<WaitingTurn>, Vec<ForeignBatch>, Vec<oneshot::Sender<()>>) {
        let mut queue = self.queue.lock();
        let mut turns = Vec::new();
        let mut foreign = Vec::new();
        let mut size = 0;

        while let Some(batch) = queue.foreign.pop() {
            size += batch.turns.iter().map(HistoryTurn::size).sum::<usize>();
            foreign.push(batch);
            if size > BATCH_LIMIT_BYTES {
                break;
            }
        }

        while let Some(waiting) = queue.turns.front() {
            size += waiting.turn.size();
            if size > BATCH_LIMIT_BYTES && !(turns.is_empty() && foreign.is_empty()) {
                break;
            }
            turns.extend(queue.turns.pop_front());
        }

        let is_empty = queue.turns.is_empty() && queue.foreign.is_empty();
        queue.since = (!is_empty).then(Instant::now);
        (turns, foreign, std::mem::take(&mut queue.spends))
    }

    /// Makes a batch durable: by the host that records for the region, else by this host, else by any host that
    /// reaches the store. What another host has asked for is not passed on again.
    async fn record(
        &self,
        work: &mut JournalWork,
        recorder: &dyn TurnRecorder,
        written: &mut WrittenBatches,
    ) {
        let started = Instant::now();
        let notes: Vec<SpendNote> = work.records.iter().filter_map(SpendRecord::own_note).collect();
        let mut may_forward = work.foreign.is_empty();

        if may_forward
            && let Some(host) = recorder.preferred_host()
            && recorder.record(&host, &work.turns, &notes).await
        {
            self.note_recorded(work, &host, started, 0);
            return;
        }

        let batch = written.next_batch(&self.writer, work);
        let content = serde_json::value::to_raw_value(&batch).expect("a batch can be encoded");
        let mut slot = written.take_slot(&batch);
        let mut attempt = 0;

        loop {
            // While the store does not answer this host, others are asked first.
            if may_forward
                && !self.is_store_reachable()
                && let Some(host) = self.record_elsewhere(work, &notes, recorder).await
            {
                self.note_recorded(work, &host, started, attempt);
                return;
            }

            let has_others = may_forward && !recorder.fallback_hosts().is_empty();
            let patience = if has_others { OWN_PATIENCE } else { LONE_PATIENCE };
            let result = match timeout(patience, self.write(&mut slot, &content)).await {
                Ok(result) => result,
                Err(_) => Err(StoreError::Unanswered { reason: "no answer in time".into() }),
            };
            self.is_reachable.store(result.is_ok(), Ordering::Relaxed);

            match result {
                Ok(true) => {
                    written.keep_slot(slot, started);
                    self.note_recorded(work, &self.writer, started, attempt);
                    return;
                }
                // The name was taken; the next one is tried at once.
                Ok(false) => (),
                Err(error) => {
                    log::warn!(
                        batch = batch.number, turns = batch.turns.len(), attempts = attempt + 1;
                        "a batch can't be recorded: {error}"
                    );
                    // Hosts that have asked this one hear at once that it can't, so that nobody's turns wait for a
                    // store that does not answer this host.
                    work.foreign.clear();
                    may_forward = true;

                    // Another host is asked at once after the first try.
                    if attempt > 0 {
                        self.pause(attempt).await;
                    }
                }
            }

            attempt += 1;
        }
    }

    async fn pause(&self, attempt: u32) {
        sleep(WRITE_BACKOFF.delay(attempt, 0.5 + rand::random::<f64>() / 2.0)).await;
    }

    /// Finds out when the store answers this host again, while others record for it.
    async fn probe_store(self: Arc<Self>) {
        loop {
            sleep(PROBE_INTERVAL).await;

            if !self.is_store_reachable() {
                let is_answered = self.store.get(JOURNAL_KIND, PROBE_NAME).await.is_ok();
                self.metrics.count_store_call("probe", is_answered);
                self.is_reachable.store(is_answered, Ordering::Relaxed);
            }
        }
    }

    async fn record_elsewhere(
        &self,
        work: &JournalWork,
        notes: &[SpendNote],
        recorder: &dyn TurnRecorder,
    ) -> Option<Arc<str>> {
        for host in recorder.fallback_hosts() {
            if recorder.record(&host, &work.turns, notes).await {
                return Some(host);
            }
        }

        None
    }

    /// Tries one write. A write whose answer is lost may still be done later; it is the same batch, so that doing it
    /// twice is harmless. Gives whether the store has the batch.
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
            // Only this run uses these names, so an earlier try of the same batch has been done.
            WriteOutcome::Conflict if slot.reused_revision.is_none() => Ok(true),
            // Either an earlier try was done, or somebody has removed the old batch: a new name settles it.
            WriteOutcome::Conflict => {
                slot.reused_revision = None;
                slot.name = Arc::clone(&slot.own_name);
                Ok(false)
            }
        }
    }

    fn note_recorded(&self, work: &JournalWork, by: &Arc<str>, started: Instant, attempt: u32) {
        let turns = work.turns.len();
        self.metrics.record_journal_write(started.elapsed(), turns);
        log::info!(
            by:% = by, turns, foreign = work.foreign.len(), spends = work.records.len(), attempts = attempt + 1,
            took_ms = started.elapsed().as_millis() as u64;
            "recorded a batch"
        );
    }
}

/// What one batch is made of.
#[derive(Debug)]
pub(crate) struct JournalWork {
    pub(crate) turns: Vec<HistoryTurn>,
    pub(crate) records: Vec<SpendRecord>,
    pub(crate) foreign: Vec<ForeignBatch>,
}

impl JournalWork {
    fn is_empty(&self) -> bool {
        self.turns.is_empty() && self.records.is_empty() && self.foreign.is_empty()
    }
}

fn tell_done(done: oneshot::Sender<()>) {
    if done.send(()).is_err() {
        log::debug!("nobody waits for the batch any more");
    }
}
