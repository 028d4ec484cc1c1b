//! Readings of what silent hosts have recorded, beside hosts that answer.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
};

use async_trait::async_trait;
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::time::{Duration, Instant, advance, sleep, timeout};

use super::entry_fakes::{MemoryStore, ResponseStream, StoreFault, exchange_message};
use crate::{
    PeerError, PeerMessage, PeerStream, PeerTransport,
    entry::{
        BudgetLedger, ObjectStore,
        batch_index::BatchIndex,
        budget_ledger::{ReserveOutcome, SpendNote, SpendRecord, is_writer_of},
        entry_metrics::EntryMetrics,
        journal_queue::PendingBatch,
        mesh_peer::MeshIdentity,
        mesh_state::MeshState,
        peer_mesh::PeerMesh,
        recent_spends::RecentSpends,
        turn_budget::{BudgetContext, BudgetRefusal, TurnBudget},
        turn_history::TurnHistory,
        turn_journal::TurnJournal,
        turn_locator::TurnLocator,
        written_batches::WrittenBatches,
        written_reservations::{RESERVATION_KIND, WrittenReservations},
    },
};

pub(super) const RETENTION: Duration = Duration::from_mins(1);

/// Steps and seeds of the walk over segments.
const SEEDS: u64 = 200;
const STEPS: u64 = 60;

/// Transport to the hosts that answer.
#[derive(Debug, Default)]
pub(super) struct HostTransport {
    pub(super) hosts: Mutex<HashMap<SocketAddr, Arc<PeerMesh>>>,
    /// Time that each answer takes.
    pub(super) delay: Mutex<Duration>,
}

#[async_trait]
impl PeerTransport for HostTransport {
    fn disconnect(&self, _peer: SocketAddr) {}

    fn retire(&self, _peer: SocketAddr) {}

    fn is_connected(&self, _peer: SocketAddr) -> bool {
        true
    }

    async fn connect(&self, _peer: SocketAddr) -> Result<(), PeerError> {
        Ok(())
    }

    async fn open(
        &self,
        peer: SocketAddr,
        first: &PeerMessage,
    ) -> Result<Box<dyn PeerStream>, PeerError> {
        let host = self.hosts.lock().get(&peer).cloned().ok_or(PeerError::Overdue)?;
        let delay = *self.delay.lock();
        sleep(delay).await;
        Ok(Box::new(ResponseStream { response: exchange_message(&host, first.clone()).await }))
    }
}

impl HostTransport {
    /// Makes no host answer any more.
    pub(super) fn remove_all(&self) {
        self.hosts.lock().clear();
    }
}

pub(super) fn host_of(writer: &str) -> &str {
    writer.split_once('.').map_or(writer, |(host, _)| host)
}

/// A run of a host.
pub(super) struct HostRun {
    pub(super) address: SocketAddr,
    pub(super) mesh: Arc<PeerMesh>,
    pub(super) journal: Arc<TurnJournal>,
    pub(super) locator: Arc<TurnLocator>,
    pub(super) reservations: Arc<WrittenReservations>,
}

impl HostRun {
    pub(super) fn start(
        store: &Arc<MemoryStore>,
        transport: &Arc<HostTransport>,
        writer: &str,
        port: u16,
    ) -> Self {
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        store.list_host(host_of(writer));
        let store = Arc::clone(store) as Arc<dyn ObjectStore>;
        let state = MeshState::default();
        let ledger: Arc<Mutex<BudgetLedger>> = Arc::clone(&state.ledger);
        let history: Arc<Mutex<TurnHistory>> = Arc::clone(&state.history);
        let index: Arc<Mutex<BatchIndex>> = Arc::clone(&state.index);
        let readings = Arc::clone(&state.readings);
        let identity = MeshIdentity {
            host: host_of(writer).into(),
            address,
            region: "north".into(),
            writer: writer.into(),
        };
        let mesh = Arc::new(PeerMesh::new(
            identity,
            Arc::clone(transport) as Arc<dyn PeerTransport>,
            state,
        ));
        let metrics = Arc::new(EntryMetrics::new().expect("metrics"));
        let journal = Arc::new(TurnJournal::new(
            Arc::clone(&store),
            Arc::clone(&ledger),
            metrics,
            writer.into(),
        ));
        mesh.set_journal(Arc::clone(&journal));
        tokio::spawn(Arc::clone(&journal).run(Arc::clone(&mesh) as Arc<_>, RETENTION));
        transport.hosts.lock().insert(address, Arc::clone(&mesh));
        let reservations = Arc::new(WrittenReservations::new(
            Arc::clone(&store),
            Arc::clone(&ledger),
            Arc::clone(&mesh),
        ));
        let locator =
            Arc::new(TurnLocator::new(store, history, ledger, Arc::clone(&mesh), index, readings));
        Self { address, mesh, journal, locator, reservations }
    }

    /// Hears the first update of another run, which has just started.
    pub(super) async fn hear(&self, other: &Self, writer: &str) {
        self.hear_at_age(other, writer, 0).await;
    }

    pub(super) async fn hear_at_age(&self, other: &Self, writer: &str, run_age_ms: u64) {
        let update = PeerMessage::SpendsNoted {
            host: host_of(writer).into(),
            address: other.address,
            region: "north".into(),
            writer: writer.into(),
            sequence: 0,
            run_age_ms,
            is_draining: false,
            notes: Vec::new(),
            streams: Vec::new(),
            lost_services: Arc::default(),
        };
        assert!(exchange_message(&self.mesh, update).await.is_some());
    }

    /// Reserves 50 of 100 tokens for a turn that has three seconds.
    async fn reserve(&self, program: &Arc<str>) -> Result<TurnBudget, BudgetRefusal> {
        self.reserve_of(100, program, false).await
    }

    /// Reserves 50 tokens of a budget, for a request that another host may have forwarded.
    pub(super) async fn reserve_of(
        &self,
        budget: u64,
        program: &Arc<str>,
        is_forwarded: bool,
    ) -> Result<TurnBudget, BudgetRefusal> {
        let context = BudgetContext {
            ledger: Arc::clone(&self.locator.ledger),
            journal: Arc::clone(&self.journal),
            mesh: Arc::clone(&self.mesh),
            locator: Arc::clone(&self.locator),
            reservations: Arc::clone(&self.reservations),
        };
        let deadline = Instant::now() + Duration::from_millis(1_500);
        TurnBudget::reserve(&context, program, budget, 50, is_forwarded, deadline).await
    }

    /// Records 70 tokens that the silent host has spent.
    pub(super) async fn record_for_silent_host(&self, program: &Arc<str>) {
        let spend = SpendRecord {
            writer: Some("silent.1".into()),
            program: Arc::clone(program),
            tokens: 70,
            spent: 70,
        };
        let receiver = self.journal.append_forwarded(Vec::new(), vec![spend]);
        timeout(Duration::from_secs(1), receiver).await.expect("in time").expect("recorded");
    }

    /// Reads the records of the silent host, from which 10 tokens were heard. Returns the program's total and the calls
    /// to the store.
    async fn read_silent_host(&self, program: &Arc<str>, store: &MemoryStore) -> (u64, u64) {
        let note = SpendNote { program: Arc::clone(program), tokens: 10, recorded: 0 };
        self.locator.ledger.lock().merge_reported(&"silent.1".into(), &[note]);
        let calls = store.call_count();
        assert!(self.locator.read_spends(Instant::now(), Some(Instant::now())).await);
        let mut ledger = self.locator.ledger.lock();
        ledger.assume_recorded(program, |writer| is_writer_of("silent", writer));
        drop(ledger);
        (self.locator.ledger.lock().total(program), store.call_count() - calls)
    }
}

#[tokio::test(start_paused = true)]
async fn read_spends_asks_running_recorder_instead_of_reading_its_segment() {
    let (store, transport) = (Arc::new(MemoryStore::default()), Arc::default());
    let program: Arc<str> = "program".into();
    let recorder = HostRun::start(&store, &transport, "recorder.1", 1);
    let reader = HostRun::start(&store, &transport, "reader.1", 2);
    recorder.record_for_silent_host(&program).await;
    reader.hear(&recorder, "recorder.1").await;

    assert_eq!(reader.read_silent_host(&program, &store).await, (70, 1));
}

#[tokio::test(start_paused = true)]
async fn read_spends_reads_segment_of_recorder_that_is_gone() {
    let (store, transport) = (Arc::new(MemoryStore::default()), Arc::<HostTransport>::default());
    let program: Arc<str> = "program".into();
    let recorder = HostRun::start(&store, &transport, "recorder.1", 1);
    let reader = HostRun::start(&store, &transport, "reader.1", 2);
    recorder.record_for_silent_host(&program).await;
    reader.hear(&recorder, "recorder.1").await;
    transport.hosts.lock().remove(&recorder.address);

    assert_eq!(reader.read_silent_host(&program, &store).await, (70, 2));
}

#[tokio::test(start_paused = true)]
async fn read_spends_stops_reading_segment_of_a_run_that_another_has_replaced() {
    let (store, transport) = (Arc::new(MemoryStore::default()), Arc::<HostTransport>::default());
    let program: Arc<str> = "program".into();
    let recorder = HostRun::start(&store, &transport, "recorder.1", 1);
    let reader = HostRun::start(&store, &transport, "reader.1", 2);
    recorder.record_for_silent_host(&program).await;
    reader.hear(&recorder, "recorder.1").await;
    // The next run answers at the address of the old one.
    let next = HostRun::start(&store, &transport, "recorder.2", 1);
    reader.hear(&next, "recorder.2").await;
    advance(Duration::from_millis(1)).await;

    assert_eq!(reader.read_silent_host(&program, &store).await, (70, 2));
    assert_eq!(reader.read_silent_host(&program, &store).await, (70, 1));
}

#[tokio::test(start_paused = true)]
async fn read_spends_leaves_segment_of_run_that_was_over_at_the_start() {
    let (store, transport) = (Arc::new(MemoryStore::default()), Arc::<HostTransport>::default());
    let program: Arc<str> = "program".into();
    let recorder = HostRun::start(&store, &transport, "recorder.1", 1);
    recorder.record_for_silent_host(&program).await;

    // All hosts start anew, and the reader reads what is recorded before it hears of the others.
    let next = HostRun::start(&store, &transport, "recorder.2", 1);
    let reader = HostRun::start(&store, &transport, "reader.2", 2);
    advance(Duration::from_millis(100)).await;
    reader.locator.list_batches(Instant::now()).await.expect("the store answers");
    reader.hear_at_age(&next, "recorder.2", 500).await;

    assert_eq!(reader.read_silent_host(&program, &store).await, (70, 1));
}

#[tokio::test(start_paused = true)]
async fn turn_budget_waits_for_late_peer_while_records_cannot_be_read() {
    let (store, transport) = (Arc::new(MemoryStore::default()), Arc::<HostTransport>::default());
    let other = HostRun::start(&store, &transport, "other.1", 1);
    let run = HostRun::start(&store, &transport, "run.1", 2);
    run.hear(&other, "other.1").await;
    advance(Duration::from_millis(1)).await;
    run.locator.list_batches(Instant::now()).await.expect("the store answers");

    store.set_fault(StoreFault::Refusing);
    *transport.delay.lock() = Duration::from_millis(800);
    assert!(run.reserve(&"program".into()).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn turn_budget_counts_what_an_ended_run_has_recorded_after_its_last_report() {
    let (store, transport) = (Arc::new(MemoryStore::default()), Arc::<HostTransport>::default());
    let program: Arc<str> = "program".into();
    let recorder = HostRun::start(&store, &transport, "recorder.1", 1);
    let run = HostRun::start(&store, &transport, "run.1", 2);
    let silent = HostRun::start(&store, &transport, "silent.1", 3);
    run.hear(&recorder, "recorder.1").await;
    run.hear(&silent, "silent.1").await;
    run.locator.list_batches(Instant::now()).await.expect("the store answers");
    let note = SpendNote { program: Arc::clone(&program), tokens: 10, recorded: 0 };
    run.locator.ledger.lock().merge_reported(&"silent.1".into(), &[note]);

    // The host spends 60 tokens more, is killed, and is back before it counts as silent.
    recorder.record_for_silent_host(&program).await;
    let restarted = HostRun::start(&store, &transport, "silent.2", 3);
    run.hear(&restarted, "silent.2").await;
    assert!(run.reserve(&program).await.is_err());
    assert_eq!(run.locator.ledger.lock().total(&program), 70);
}

#[tokio::test(start_paused = true)]
async fn turn_budget_is_granted_beside_restarted_host_while_the_store_is_away() {
    let (store, transport) = (Arc::new(MemoryStore::default()), Arc::<HostTransport>::default());
    let program: Arc<str> = "program".into();
    let run = HostRun::start(&store, &transport, "run.1", 1);
    let other = HostRun::start(&store, &transport, "other.1", 2);
    run.hear(&other, "other.1").await;
    run.locator.list_batches(Instant::now()).await.expect("the store answers");
    let note = SpendNote { program: Arc::clone(&program), tokens: 10, recorded: 10 };
    run.locator.ledger.lock().merge_reported(&"other.1".into(), &[note]);

    store.set_fault(StoreFault::Refusing);
    let restarted = HostRun::start(&store, &transport, "other.2", 2);
    run.hear(&restarted, "other.2").await;
    assert!(run.reserve(&program).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn turn_budget_is_refused_at_once_if_neither_peer_nor_store_answers() {
    let (store, transport) = (Arc::new(MemoryStore::default()), Arc::<HostTransport>::default());
    let run = HostRun::start(&store, &transport, "run.1", 1);
    let other = HostRun::start(&store, &transport, "other.1", 2);
    run.hear(&other, "other.1").await;
    transport.hosts.lock().remove(&other.address);
    store.set_fault(StoreFault::Refusing);

    let started = Instant::now();
    assert!(run.reserve(&"program".into()).await.is_err());
    assert!(started.elapsed() < Duration::from_millis(200), "{:?}", started.elapsed());
}

#[tokio::test(start_paused = true)]
async fn turn_budget_hears_responsive_hosts_though_a_reading_can_be_reused() {
    let (store, transport) = (Arc::new(MemoryStore::default()), Arc::<HostTransport>::default());
    let program: Arc<str> = "program".into();
    let other = HostRun::start(&store, &transport, "other.1", 1);
    let lost = HostRun::start(&store, &transport, "lost.1", 2);
    let run = HostRun::start(&store, &transport, "run.1", 3);
    run.hear(&other, "other.1").await;
    run.hear(&lost, "lost.1").await;
    transport.hosts.lock().remove(&lost.address);
    run.mesh.send_updates();
    sleep(Duration::from_millis(10)).await;
    assert!(run.locator.read_spends(Instant::now(), None).await);

    // The other host reserves at the same time.
    let outcome = other.locator.ledger.lock().reserve(&program, 100, 60, 1);
    assert_eq!(outcome, ReserveOutcome::Confirmed);
    *transport.delay.lock() = Duration::from_millis(16);
    assert!(run.reserve(&program).await.is_err());
}

#[tokio::test(start_paused = true)]
async fn turn_budget_hears_late_host_though_records_can_be_read() {
    let (store, transport) = (Arc::new(MemoryStore::default()), Arc::<HostTransport>::default());
    let program: Arc<str> = "program".into();
    let other = HostRun::start(&store, &transport, "other.1", 1);
    let run = HostRun::start(&store, &transport, "run.1", 2);
    run.hear(&other, "other.1").await;

    let outcome = other.locator.ledger.lock().reserve(&program, 100, 60, 1);
    assert_eq!(outcome, ReserveOutcome::Confirmed);
    *transport.delay.lock() = Duration::from_millis(500);
    assert!(run.reserve(&program).await.is_err());
}

#[tokio::test(start_paused = true)]
async fn turn_budget_takes_no_record_in_place_of_a_late_host_that_serves_the_program() {
    let (store, transport) = (Arc::new(MemoryStore::default()), Arc::<HostTransport>::default());
    let program: Arc<str> = "program".into();
    let other = HostRun::start(&store, &transport, "other.1", 1);
    let run = HostRun::start(&store, &transport, "run.1", 2);
    run.hear(&other, "other.1").await;
    let note = SpendNote { program: Arc::clone(&program), tokens: 10, recorded: 10 };
    run.locator.ledger.lock().merge_reported(&"other.1".into(), &[note]);

    *transport.delay.lock() = Duration::from_secs(3);
    assert!(run.reserve(&program).await.is_err(), "its running turns may still spend");
    assert!(run.reserve(&"another program".into()).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn begin_exchange_asks_peer_until_it_knows_of_the_program() {
    let (store, transport) = (Arc::new(MemoryStore::default()), Arc::<HostTransport>::default());
    let program: Arc<str> = "program".into();
    let run = HostRun::start(&store, &transport, "run.1", 1);
    let others: Vec<HostRun> = (2..=5)
        .map(|port| HostRun::start(&store, &transport, &format!("other-{port}.1"), port))
        .collect();
    for (port, other) in (2..).zip(&others) {
        run.hear(other, &format!("other-{port}.1")).await;
    }

    let host = transport.hosts.lock().remove(&others[0].address).expect("a host");
    assert!(run.reserve(&program).await.is_ok(), "its records are read");
    assert_eq!(run.mesh.begin_exchange(&program, Duration::from_secs(1)).asked, 1);
    transport.hosts.lock().insert(others[0].address, host);
    let mut exchange = run.mesh.begin_exchange(&program, Duration::from_secs(1));
    exchange.receive().await;
    drop(exchange);
    assert_eq!(run.mesh.begin_exchange(&program, Duration::from_secs(1)).asked, 0);
}

#[tokio::test(start_paused = true)]
async fn recent_spends_have_each_batch_that_no_listed_index_covers() {
    for seed in 0..SEEDS {
        let mut random = StdRng::seed_from_u64(seed);
        let mut written = WrittenBatches::new(&"host-a.1".into(), Arc::default());
        let mut recent = RecentSpends::default();
        let mut indexed: Vec<(u64, BTreeSet<u64>)> = Vec::new();
        let mut batches = BTreeSet::new();

        for step in 1..=STEPS {
            advance(Duration::from_millis(random.random_range(10..900))).await;

            if let Some(index) = written.index_to_write() {
                let tokens = index.spends.iter().map(|it| it.tokens).collect();
                indexed.push((index.sequence, tokens));
                written.confirm_index(Some(step));
            }

            // Each batch carries the spend of a program of its own.
            let spend = SpendRecord {
                writer: None,
                program: step.to_string().into(),
                tokens: step,
                spent: step,
            };
            let pending =
                PendingBatch { turns: Vec::new(), records: vec![spend], forwarded: Vec::new() };
            let batch = written.next_batch(&pending);
            let mut slot = written.take_slot(&batch);
            slot.revision = Some(step);
            recent.add(written.open_sequence(), &batch.spends);
            written.add(slot, &batch);
            batches.insert(step);

            // A reader may have listed the indexes at any earlier time.
            for listed in 1..=indexed.len() {
                let sequence = indexed[listed - 1].0;
                let Some(spends) = recent.after(sequence) else {
                    assert!(indexed.len() - listed > 2, "seed {seed}: too little is kept");
                    continue;
                };
                let covered =
                    indexed[..listed].iter().flat_map(|(_, tokens)| tokens.iter().copied());
                let read: BTreeSet<u64> =
                    covered.chain(spends.iter().map(|it| it.tokens)).collect();
                assert_eq!(read, batches, "seed {seed}, step {step}, index {sequence}");
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn reserve_asks_the_other_hosts_before_a_forwarded_turn_gets_tokens() {
    let (store, transport) = (Arc::new(MemoryStore::default()), Arc::<HostTransport>::default());
    let program: Arc<str> = "program".into();
    let other = HostRun::start(&store, &transport, "other.1", 1);
    let taker = HostRun::start(&store, &transport, "taker.1", 2);
    taker.hear(&other, "other.1").await;
    // Not reported yet, as updates are sent at intervals.
    other.locator.ledger.lock().reserve(&program, 400, 380, u64::MAX);

    let unasked = taker.reserve_of(400, &program, false).await;
    assert!(unasked.is_ok(), "the part that a host may reserve by itself");
    drop(unasked);
    assert!(taker.reserve_of(400, &program, true).await.is_err(), "the other host has the rest");
}

/// Hosts that have heard each other, and then hear nobody any more: `run` and two others.
pub(super) async fn hosts_after_cut() -> (Arc<HostTransport>, [HostRun; 3]) {
    let (store, transport) = (Arc::new(MemoryStore::default()), Arc::<HostTransport>::default());
    let run = HostRun::start(&store, &transport, "run.1", 1);
    let others = [
        HostRun::start(&store, &transport, "other-2.1", 2),
        HostRun::start(&store, &transport, "other-3.1", 3),
    ];
    for (other, writer) in others.iter().zip(["other-2.1", "other-3.1"]) {
        run.hear(other, writer).await;
        transport.hosts.lock().remove(&other.address);
    }
    run.mesh.send_updates();
    sleep(Duration::from_millis(10)).await;
    let [second, third] = others;
    (transport, [run, second, third])
}

/// Guards against a budget that is given out twice right after a cut, when the first of the others answers again.
#[tokio::test(start_paused = true)]
async fn turn_budget_asks_all_hosts_again_once_one_is_heard_after_a_cut() {
    let (transport, [run, second, third]) = hosts_after_cut().await;
    let program: Arc<str> = "program".into();
    let outcome = third.locator.ledger.lock().reserve(&program, 100, 60, 1);
    assert_eq!(outcome, ReserveOutcome::Confirmed);

    for other in [&second, &third] {
        transport.hosts.lock().insert(other.address, Arc::clone(&other.mesh));
    }
    run.hear(&second, "other-2.1").await;
    assert!(run.reserve(&program).await.is_err(), "another host has reserved 60 of 100 tokens");
}

/// Guards against hosts that don't ask each other as their entries were removed by one that was cut off.
#[tokio::test(start_paused = true)]
async fn dead_peers_are_none_on_a_host_that_was_cut_off() {
    let (transport, [run, second, third]) = hosts_after_cut().await;
    let followed_since = Some(Instant::now());
    sleep(Duration::from_secs(12)).await;
    assert!(run.mesh.dead_peers(followed_since).is_empty(), "the host hears nobody");

    transport.hosts.lock().insert(second.address, Arc::clone(&second.mesh));
    run.hear(&second, "other-2.1").await;
    sleep(Duration::from_secs(4)).await;
    assert!(run.mesh.dead_peers(followed_since).is_empty(), "its silence may have been the cut");

    // Two seconds later the other one was silent for long enough, unless the store could not be followed.
    run.mesh.send_updates();
    sleep(Duration::from_secs(2)).await;
    let dead: Vec<Arc<str>> =
        run.mesh.dead_peers(followed_since).into_iter().map(|it| it.host).collect();
    assert_eq!(dead, ["other-3".into()]);
    assert!(run.mesh.dead_peers(None).is_empty());
    assert!(run.mesh.dead_peers(Some(Instant::now())).is_empty());
    drop(third);
}

/// Guards against spends that are given out again: what a dropped host has recorded was reported to nobody.
#[tokio::test(start_paused = true)]
async fn turn_budget_counts_what_a_dropped_host_has_recorded() {
    let (store, transport) = (Arc::new(MemoryStore::default()), Arc::<HostTransport>::default());
    let program: Arc<str> = "program".into();
    let recorder = HostRun::start(&store, &transport, "recorder.1", 1);
    let run = HostRun::start(&store, &transport, "run.1", 2);
    run.hear(&recorder, "recorder.1").await;
    run.locator.list_batches(Instant::now()).await.expect("the store answers");
    recorder.record_for_silent_host(&program).await;
    run.mesh.drop_dead("silent");
    assert!(run.reserve(&program).await.is_err());
    assert_eq!(run.locator.ledger.lock().total(&program), 70);
}

/// The turns of a dropped host may still run, for which it has written a reservation down.
#[tokio::test(start_paused = true)]
async fn turn_budget_counts_what_a_dropped_host_has_reserved() {
    let (_store, [a, _b, c, _d]) = split_pairs().await;
    let program: Arc<str> = "program".into();
    let reserved = a.reserve_of(90, &program, false).await.expect("nobody else has reserved it");
    sleep(Duration::from_secs(2)).await;
    c.mesh.drop_dead("a");
    c.mesh.drop_dead("b");
    assert_eq!(c.reserve_of(90, &program, false).await.err(), Some(BudgetRefusal::Unknown));
    drop(reserved);
}

/// Two pairs of hosts, of which each hears only its own: both go by the records of the other pair.
async fn split_pairs() -> (Arc<MemoryStore>, [HostRun; 4]) {
    split_hosts([0, 0, 1, 1]).await
}

/// Four hosts on these sides of a cut, of which each hears only those of its own side.
pub(super) async fn split_hosts(sides: [usize; 4]) -> (Arc<MemoryStore>, [HostRun; 4]) {
    let store = Arc::new(MemoryStore::default());
    let transports = [Arc::<HostTransport>::default(), Arc::<HostTransport>::default()];
    let runs = [(0, "a.1", 1), (1, "b.1", 2), (2, "c.1", 3), (3, "d.1", 4)].map(
        |(index, writer, port)| HostRun::start(&store, &transports[sides[index]], writer, port),
    );
    let writers = ["a.1", "b.1", "c.1", "d.1"];

    for run in &runs {
        for (other, writer) in runs.iter().zip(writers) {
            if other.address != run.address {
                run.hear(other, writer).await;
            }
        }
        run.mesh.send_updates();
    }
    sleep(Duration::from_millis(10)).await;
    (store, runs)
}

/// Guards against a budget that is given out on both sides of a cut: each side went by what the other had recorded, which
/// lacks what it had just reserved.
#[tokio::test(start_paused = true)]
async fn turn_budget_is_given_out_on_one_side_of_a_cut_at_most() {
    let delays = [0, 2, 5, 8, 13, 21, 40];
    // The first host hears one other, or nobody.
    for (sides, delay_ms) in
        [[0, 0, 1, 1], [0, 1, 1, 1]].iter().flat_map(|it| delays.map(|ms| (*it, ms)))
    {
        let (_store, [a, _b, c, _d]) = split_hosts(sides).await;
        let program: Arc<str> = "program".into();
        let late = async {
            sleep(Duration::from_millis(delay_ms)).await;
            c.reserve_of(90, &program, false).await
        };
        let (first, second) = tokio::join!(a.reserve_of(90, &program, false), late);
        let granted = [&first, &second].iter().filter(|it| it.is_ok()).count();
        assert!(granted <= 1, "after {delay_ms} ms both sides have 50 of 90 tokens");
    }
}

/// The side that comes later is told to retry: the tokens are reserved, and may not be spent.
#[tokio::test(start_paused = true)]
async fn turn_budget_is_unknown_while_a_silent_host_has_reserved_it() {
    let (store, [a, _b, c, _d]) = split_pairs().await;
    let program: Arc<str> = "program".into();
    let first = a.reserve_of(90, &program, false).await.expect("nobody else has reserved it");
    assert_eq!(c.reserve_of(90, &program, false).await.err(), Some(BudgetRefusal::Unknown));
    assert!(c.reserve_of(200, &program, false).await.is_ok(), "there is room for both");
    drop(first);
    assert_eq!(store.object_count(RESERVATION_KIND), 2);
    sleep(Duration::from_secs(11)).await;
    a.reservations.remove_unneeded().await;
    c.reservations.remove_unneeded().await;
    assert_eq!(store.object_count(RESERVATION_KIND), 0);
}

/// Guards against a host that others no longer ask, as its entry is gone, and that goes by their records.
#[tokio::test(start_paused = true)]
async fn turn_budget_is_refused_on_a_host_that_is_not_listed() {
    let (store, [a, ..]) = split_pairs().await;
    let entry = store.get("entry-hosts", "a").await.expect("the store answers").expect("an entry");
    store.remove("entry-hosts", "a", entry.revision).await.expect("the store answers");
    let program: Arc<str> = "program".into();
    assert!(a.reserve(&program).await.is_err());
    assert!(a.mesh.take_deregistered(), "it lists itself again");

    store.list_host("a");
    a.reservations.record_listing();
    assert!(a.reserve(&program).await.is_err(), "others may not know yet that it is listed");
    sleep(Duration::from_secs(4)).await;
    assert!(a.reserve(&program).await.is_ok());
}

/// Guards against a host that is the only one left, and refuses all programs since it hears nobody.
#[tokio::test(start_paused = true)]
async fn turn_budget_is_given_out_on_a_host_whose_peers_are_all_gone() {
    let (_transport, [run, ..]) = hosts_after_cut().await;
    assert!(run.reserve(&"program".into()).await.is_ok());
}

/// Guards against a budget that is given out twice around a cut: a host that others may not hear used its share without a
/// question, while they went by what it had written.
#[tokio::test(start_paused = true)]
async fn turn_budget_is_no_share_of_a_host_that_others_may_not_hear() {
    let (transport, [run, second, third]) = hosts_after_cut().await;
    let program: Arc<str> = "program".into();
    // The others go by records, which have nothing of this host, and reserve all that is left.
    let outcome = third.locator.ledger.lock().reserve(&program, 400, 390, u64::MAX);
    assert_eq!(outcome, ReserveOutcome::Unconfirmed);

    // The cut ends, and the first of the others acknowledges an update before it has sent its own.
    for other in [&second, &third] {
        transport.hosts.lock().insert(other.address, Arc::clone(&other.mesh));
    }
    sleep(Duration::from_secs(2)).await;
    run.mesh.send_updates();
    sleep(Duration::from_millis(10)).await;
    assert!(run.reserve_of(400, &program, false).await.is_err(), "another host has reserved 390");
}

/// A share may be used again once all others have been heard.
#[tokio::test(start_paused = true)]
async fn sharing_host_count_is_none_until_all_peers_are_heard_after_a_cut() {
    let (transport, [run, second, third]) = hosts_after_cut().await;
    assert_eq!(run.mesh.sharing_host_count(), None);

    for other in [&second, &third] {
        transport.hosts.lock().insert(other.address, Arc::clone(&other.mesh));
    }
    run.hear(&second, "other-2.1").await;
    assert_eq!(run.mesh.sharing_host_count(), None);
    run.hear(&third, "other-3.1").await;
    assert_eq!(run.mesh.sharing_host_count(), Some(3));
}

/// Guards against a program that is ended by a 402 though it has spent little: the record of a silent host has headroom, which
/// that host may never use.
#[tokio::test(start_paused = true)]
async fn turn_budget_is_not_spent_by_the_headroom_of_a_silent_host() {
    let (store, transport) = (Arc::new(MemoryStore::default()), Arc::<HostTransport>::default());
    let program: Arc<str> = "program".into();
    let recorder = HostRun::start(&store, &transport, "recorder.1", 1);
    let run = HostRun::start(&store, &transport, "run.1", 2);
    let silent = HostRun::start(&store, &transport, "silent.1", 3);
    run.hear(&recorder, "recorder.1").await;
    run.hear(&silent, "silent.1").await;
    let headroom = |spent| SpendRecord {
        writer: Some("silent.1".into()),
        program: Arc::clone(&program),
        tokens: 90,
        spent,
    };
    recorder.journal.append_forwarded(Vec::new(), vec![headroom(10)]).await.expect("recorded");
    transport.hosts.lock().remove(&silent.address);
    assert_eq!(run.reserve(&program).await.err(), Some(BudgetRefusal::Unknown));

    // What it has spent is certain.
    recorder.journal.append_forwarded(Vec::new(), vec![headroom(60)]).await.expect("recorded");
    sleep(Duration::from_secs(3)).await;
    assert_eq!(run.reserve(&program).await.err(), Some(BudgetRefusal::Spent));
}

/// The headroom of a run that is over stays unused, so that a program which loops ends with a 402 as before.
#[tokio::test(start_paused = true)]
async fn turn_budget_is_spent_by_the_headroom_of_a_run_that_is_over() {
    let (store, transport) = (Arc::new(MemoryStore::default()), Arc::<HostTransport>::default());
    let program: Arc<str> = "program".into();
    let recorder = HostRun::start(&store, &transport, "recorder.1", 1);
    let run = HostRun::start(&store, &transport, "run.1", 2);
    run.hear(&recorder, "recorder.1").await;
    let record = SpendRecord {
        writer: Some("ended.1".into()),
        program: Arc::clone(&program),
        tokens: 90,
        spent: 10,
    };
    recorder.journal.append_forwarded(Vec::new(), vec![record]).await.expect("recorded");
    run.locator.list_batches(Instant::now()).await.expect("the store answers");
    let next = HostRun::start(&store, &transport, "ended.2", 3);
    run.hear(&next, "ended.2").await;
    assert_eq!(run.reserve(&program).await.err(), Some(BudgetRefusal::Spent));
}
