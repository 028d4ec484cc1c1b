//! Checks that turns are recorded once and found again, and reported absent only after a search of the whole store.

use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::future::join_all;
use parking_lot::Mutex;
use tokio::time::{Duration, Instant, sleep, timeout};

use super::entry_fakes::{MemoryStore, StoreFault};
use crate::{
    PeerError, PeerMessage, PeerStream, PeerTransport,
    entry::{
        BudgetLedger, ObjectStore,
        batch_index::BatchIndex,
        budget_ledger::{ReserveOutcome, SpendNote, SpendRecord, is_writer_of},
        entry_metrics::EntryMetrics,
        mesh_peer::MeshIdentity,
        mesh_state::MeshState,
        peer_mesh::PeerMesh,
        segment_index::INDEX_KIND,
        turn_budget::{BudgetContext, BudgetRefusal, TurnBudget},
        turn_history::{HistoryTurn, TurnHistory},
        turn_journal::{JOURNAL_KIND, TurnJournal, TurnRecorder, batch_delay},
        turn_locator::{TurnLocator, TurnSearch},
        written_reservations::WrittenReservations,
    },
};

const RETENTION: Duration = Duration::from_mins(1);

/// Transport of a host that can't reach any peer.
#[derive(Debug)]
struct NoTransport;

#[async_trait]
impl PeerTransport for NoTransport {
    fn disconnect(&self, _peer: std::net::SocketAddr) {}

    fn retire(&self, _peer: std::net::SocketAddr) {}

    fn is_connected(&self, _peer: std::net::SocketAddr) -> bool {
        false
    }

    async fn connect(&self, _peer: std::net::SocketAddr) -> Result<(), PeerError> {
        Err(PeerError::Overdue)
    }

    async fn open(
        &self,
        _peer: std::net::SocketAddr,
        _first: &PeerMessage,
    ) -> Result<Box<dyn PeerStream>, PeerError> {
        Err(PeerError::Overdue)
    }
}

/// Another host that records all that it is sent; by default there is none.
#[derive(Debug, Default)]
pub(super) struct FakeRecorder {
    host: Option<Arc<str>>,
    is_preferred: bool,
    turns: Mutex<Vec<Arc<str>>>,
    records: Mutex<Vec<SpendRecord>>,
}

#[async_trait]
impl TurnRecorder for FakeRecorder {
    fn preferred_host(&self) -> Option<Arc<str>> {
        self.host.clone().filter(|_| self.is_preferred)
    }

    fn sharing_host_count(&self) -> u32 {
        1
    }

    fn fallback_hosts(&self) -> Vec<Arc<str>> {
        self.host.iter().cloned().collect()
    }

    async fn record(
        &self,
        _host: &Arc<str>,
        turns: &[HistoryTurn],
        records: &[SpendRecord],
    ) -> bool {
        self.records.lock().extend_from_slice(records);
        self.turns.lock().extend(turns.iter().map(|turn| Arc::clone(&turn.id)));
        true
    }
}

pub(super) fn turn(id: &str, previous: Option<&str>) -> Arc<HistoryTurn> {
    Arc::new(HistoryTurn {
        id: id.into(),
        previous: previous.map(Arc::from),
        input: Bytes::from_static(b"in"),
        output: Bytes::from_static(b"out\n"),
    })
}

/// The journal and the locator of one run of a host.
pub(super) struct HostRun {
    pub(super) journal: Arc<TurnJournal>,
    pub(super) locator: Arc<TurnLocator>,
    reservations: Arc<WrittenReservations>,
    pub(super) history: Arc<Mutex<TurnHistory>>,
}

impl HostRun {
    pub(super) fn start(
        store: &Arc<MemoryStore>,
        writer: &str,
        recorder: &Arc<FakeRecorder>,
    ) -> Self {
        store.list_host("host-a");
        let store = Arc::clone(store) as Arc<dyn ObjectStore>;
        let ledger = Arc::new(Mutex::new(BudgetLedger::default()));
        let metrics = Arc::new(EntryMetrics::new().expect("metrics"));
        let history = Arc::new(Mutex::new(TurnHistory::default()));
        let journal = Arc::new(TurnJournal::new(
            Arc::clone(&store),
            Arc::clone(&ledger),
            metrics,
            writer.into(),
        ));
        let index = Arc::new(Mutex::new(BatchIndex::default()));
        let readings = Arc::default();
        let mesh = Arc::new(PeerMesh::new(
            MeshIdentity {
                host: "host-a".into(),
                address: "127.0.0.1:9".parse().expect("an address"),
                region: "north".into(),
                writer: writer.into(),
            },
            Arc::new(NoTransport),
            MeshState {
                ledger: Arc::clone(&ledger),
                history: Arc::clone(&history),
                index: Arc::clone(&index),
                readings: Arc::clone(&readings),
                ..MeshState::default()
            },
        ));
        let reservations = Arc::new(WrittenReservations::new(
            Arc::clone(&store),
            Arc::clone(&ledger),
            Arc::clone(&mesh),
        ));
        let locator =
            Arc::new(TurnLocator::new(store, Arc::clone(&history), ledger, mesh, index, readings));
        tokio::spawn(Arc::clone(&journal).run(Arc::clone(recorder) as Arc<_>, RETENTION));
        Self { journal, locator, reservations, history }
    }

    /// Records a turn. Returns whether it became durable within 3 s.
    pub(super) async fn record(&self, id: &str, previous: Option<&str>) -> bool {
        let receiver = self.journal.append(turn(id, previous));
        matches!(timeout(Duration::from_secs(3), receiver).await, Ok(Ok(())))
    }

    /// Runs a turn of 50 tokens.
    fn spend_turn(&self, program: &Arc<str>, has_history: bool) {
        let mut ledger = self.locator.ledger.lock();
        assert_ne!(ledger.reserve(program, 2_000, 50, 1), ReserveOutcome::OverBudget);
        ledger.spend(program, 50);
        ledger.settle(program, 50, 50);
        if has_history {
            ledger.finish_turn(program);
        }
    }

    /// Runs turns of a program with a budget of 2,000 tokens, each of 50, until they have spent `tokens`. If the program has
    /// history, its records carry no headroom.
    async fn spend(&self, program: &Arc<str>, tokens: u64, has_history: bool) {
        for _ in 0..tokens / 50 {
            self.spend_turn(program, has_history);
            sleep(Duration::from_millis(100)).await;
        }
        // Spends are recorded once a second.
        sleep(Duration::from_secs(2)).await;
    }

    /// Reserves the whole budget of a new program, which the other hosts have to confirm.
    async fn reserve(&self, program: &str) -> Result<TurnBudget, BudgetRefusal> {
        let context = BudgetContext {
            ledger: Arc::clone(&self.locator.ledger),
            journal: Arc::clone(&self.journal),
            mesh: Arc::clone(&self.locator.mesh),
            locator: Arc::clone(&self.locator),
            reservations: Arc::clone(&self.reservations),
        };
        let deadline = Instant::now() + Duration::from_millis(1_500);
        TurnBudget::reserve(&context, &program.into(), 567, 567, false, deadline).await
    }
}

/// Lets time pass in which a host records a turn of another program each second.
async fn run_others(run: &HostRun, seconds: u64) {
    for number in 0..seconds {
        tokio::time::advance(Duration::from_secs(1)).await;
        assert!(run.record(&format!("other-{number}"), None).await);
    }
}

/// Starts a host with a peer that does not answer, in a fleet of which `writer_count` hosts record turns.
async fn run_beside_silent_peer(store: &Arc<MemoryStore>, writer_count: u32) -> HostRun {
    for number in 0..writer_count {
        let run = HostRun::start(store, &format!("writer-{number}.1"), &Arc::default());
        assert!(run.record(&format!("turn-{number}"), None).await);
    }

    let run = HostRun::start(store, "host-a.1", &Arc::default());
    let address = "127.0.0.1:10".parse().expect("an address");
    run.locator.mesh.add_peer("host-b".into(), address, "north".into());
    run
}

#[tokio::test(start_paused = true)]
async fn turn_journal_writes_concurrent_turns_in_one_batch() {
    let store = Arc::new(MemoryStore::default());
    let run = HostRun::start(&store, "host-a.1", &Arc::default());
    let receivers: Vec<_> =
        (0..20).map(|it| run.journal.append(turn(&it.to_string(), None))).collect();
    for receiver in receivers {
        receiver.await.expect("recorded");
    }
    assert_eq!(store.object_count(JOURNAL_KIND), 1);
}

#[tokio::test(start_paused = true)]
async fn turn_journal_records_once_when_answers_are_lost() {
    let store = Arc::new(MemoryStore::default());
    let run = HostRun::start(&store, "host-a.1", &Arc::default());
    store.set_fault(StoreFault::LosingResponses);
    let receiver = run.journal.append(turn("a", None));
    tokio::time::sleep(Duration::from_millis(500)).await;
    store.set_fault(StoreFault::None);
    receiver.await.expect("recorded");
    assert_eq!(store.object_count(JOURNAL_KIND), 1);
}

#[tokio::test(start_paused = true)]
async fn turn_journal_confirms_nothing_while_the_store_refuses() {
    let store = Arc::new(MemoryStore::default());
    let run = HostRun::start(&store, "host-a.1", &Arc::default());
    store.set_fault(StoreFault::Refusing);
    assert!(!run.record("a", None).await);
    store.set_fault(StoreFault::None);
    assert!(run.record("b", None).await);
}

#[tokio::test(start_paused = true)]
async fn turn_journal_records_through_another_host_while_the_store_refuses() {
    let store = Arc::new(MemoryStore::default());
    let recorder =
        Arc::new(FakeRecorder { host: Some("host-b".into()), ..FakeRecorder::default() });
    let run = HostRun::start(&store, "host-a.1", &recorder);
    store.set_fault(StoreFault::Refusing);
    assert!(run.record("a", None).await);
    assert_eq!(*recorder.turns.lock(), ["a".into()]);
}

#[tokio::test(start_paused = true)]
async fn turn_journal_rejects_forwarded_turns_when_the_store_refuses() {
    let store = Arc::new(MemoryStore::default());
    let recorder =
        Arc::new(FakeRecorder { host: Some("host-b".into()), ..FakeRecorder::default() });
    let run = HostRun::start(&store, "host-a.1", &recorder);
    store.set_fault(StoreFault::Refusing);
    let forwarded =
        run.journal.append_forwarded(vec![HistoryTurn::clone(&turn("f", None))], Vec::new());
    let outcome = timeout(Duration::from_millis(800), forwarded).await;
    assert!(
        matches!(outcome, Ok(Err(_))),
        "the forwarding host must be notified, so that it records elsewhere"
    );
    assert!(run.record("a", None).await, "the host's own turns must not wait for the store");
}

#[tokio::test(start_paused = true)]
async fn turn_journal_records_through_the_preferred_host() {
    let store = Arc::new(MemoryStore::default());
    let recorder = Arc::new(FakeRecorder {
        host: Some("host-b".into()),
        is_preferred: true,
        ..FakeRecorder::default()
    });
    let run = HostRun::start(&store, "host-a.1", &recorder);
    assert!(run.record("a", None).await);
    assert_eq!((store.call_count(), recorder.turns.lock().len()), (0, 1));
}

#[tokio::test(start_paused = true)]
async fn turn_journal_forwards_totals_of_other_writers_before_they_count_as_recorded() {
    let recorder = Arc::new(FakeRecorder {
        host: Some("host-b".into()),
        is_preferred: true,
        ..FakeRecorder::default()
    });
    let run = HostRun::start(&Arc::default(), "host-a.1", &recorder);
    let program: Arc<str> = "program".into();
    let note = SpendNote { program: Arc::clone(&program), tokens: 300, recorded: 0 };
    run.locator.ledger.lock().merge_reported(&"host-c.1".into(), &[note]);
    run.locator.ledger.lock().mark_unrecorded(&program);
    assert_eq!(run.locator.ledger.lock().unrecorded_tokens(&program), 300);

    timeout(Duration::from_secs(1), run.journal.flush_spends())
        .await
        .expect("in time")
        .expect("ok");
    assert_eq!(run.locator.ledger.lock().unrecorded_tokens(&program), 0);
    let expected =
        SpendRecord { writer: Some("host-c.1".into()), program, tokens: 300, spent: 300 };
    assert!(recorder.records.lock().contains(&expected), "{:?}", recorder.records.lock());
}

#[tokio::test(start_paused = true)]
async fn turn_journal_reuses_objects_after_retention() {
    let store = Arc::new(MemoryStore::default());
    let run = HostRun::start(&store, "host-a.1", &Arc::default());
    assert!(run.record("a", None).await);
    assert!(run.record("b", None).await);
    tokio::time::advance(RETENTION * 2).await;
    assert!(run.record("c", None).await);
    assert_eq!(store.object_count(JOURNAL_KIND), 2);
}

#[tokio::test(start_paused = true)]
async fn turn_locator_finds_chain_after_all_hosts_failed() {
    let store = Arc::new(MemoryStore::default());
    let run = HostRun::start(&store, "host-a.1", &Arc::default());
    for number in 0..12 {
        let previous = (number > 0).then(|| (number - 1).to_string());
        assert!(run.record(&number.to_string(), previous.as_deref()).await);
    }

    let next_run = HostRun::start(&store, "host-a.2", &Arc::default());
    let TurnSearch::Found(chain) = next_run.locator.find(&"11".into(), RETENTION).await else {
        panic!("the chain is not found although it is recorded");
    };
    let ids: Vec<String> = chain.iter().map(|turn| turn.id.to_string()).collect();
    assert_eq!(ids, (0..12).map(|it| it.to_string()).collect::<Vec<_>>());
}

#[tokio::test(start_paused = true)]
async fn turn_locator_finds_turn_recorded_after_last_listing() {
    let store = Arc::new(MemoryStore::default());
    let reader = HostRun::start(&store, "host-b.1", &Arc::default());
    reader.locator.list_batches(Instant::now()).await.expect("the store answers");
    tokio::time::advance(Duration::from_millis(1)).await;
    let run = HostRun::start(&store, "host-a.1", &Arc::default());
    assert!(run.record("a", None).await);
    assert!(matches!(reader.locator.find(&"a".into(), RETENTION).await, TurnSearch::Found(_)));
}

#[tokio::test(start_paused = true)]
async fn turn_locator_reports_absent_only_after_search() {
    let store = Arc::new(MemoryStore::default());
    let run = HostRun::start(&store, "host-a.1", &Arc::default());
    assert_eq!(run.locator.find(&"a".into(), RETENTION).await, TurnSearch::Absent);
    store.set_fault(StoreFault::Refusing);
    tokio::time::advance(Duration::from_millis(1)).await;
    assert_eq!(run.locator.find(&"a".into(), RETENTION).await, TurnSearch::Unknown);
    assert_eq!(run.history.lock().cached_bytes(), 0);
}

/// Guards against a 404 for a turn that a host has recorded just after a cut, before it has listed itself again.
#[tokio::test(start_paused = true)]
async fn turn_locator_finds_turn_of_run_whose_host_was_not_listed_for_long() {
    let store = Arc::new(MemoryStore::default());
    let reader = HostRun::start(&store, "host-a.1", &Arc::default());
    let run = HostRun::start(&store, "host-b.1", &Arc::default());
    assert!(run.record("a", None).await);
    for _ in 0..3 {
        reader.locator.list_batches(Instant::now()).await.expect("the store answers");
        tokio::time::advance(Duration::from_secs(6)).await;
    }

    assert!(run.record("b", Some("a")).await);
    let search = reader.locator.find(&"b".into(), RETENTION).await;
    assert!(matches!(search, TurnSearch::Found(_)), "{search:?}");
}

/// Guards against a budget that is given out again: what one host had recorded of a program's spend was removed while the
/// program went on at another host.
#[tokio::test(start_paused = true)]
async fn turn_budget_counts_spends_of_a_writer_that_has_stopped_serving_the_program() {
    let store = Arc::new(MemoryStore::default());
    let program: Arc<str> = "program".into();
    let first = HostRun::start(&store, "host-b.1", &Arc::default());
    let second = HostRun::start(&store, "host-c.1", &Arc::default());
    first.spend(&program, 400, true).await;
    run_others(&first, 44).await;

    let note = first.locator.ledger.lock().local_note(&program);
    second.locator.ledger.lock().merge_reported(&"host-b.1".into(), &[note]);
    second.spend(&program, 50, true).await;
    run_others(&first, 41).await;

    // All hosts are lost, and their memory with them.
    let next = HostRun::start(&store, "host-a.2", &Arc::default());
    next.locator.list_batches(Instant::now()).await.expect("the store answers");
    assert_eq!(next.locator.ledger.lock().total(&program), 450);
}

/// Guards against the same while one host alone serves a program, within the headroom of its first record.
#[tokio::test(start_paused = true)]
async fn turn_budget_counts_spends_that_the_headroom_of_an_old_record_covers() {
    let store = Arc::new(MemoryStore::default());
    let program: Arc<str> = "program".into();
    let run = HostRun::start(&store, "host-b.1", &Arc::default());
    run.spend(&program, 50, false).await;
    run_others(&run, 50).await;
    run.spend(&program, 50, false).await;
    run_others(&run, 58).await;

    let next = HostRun::start(&store, "host-a.2", &Arc::default());
    next.locator.list_batches(Instant::now()).await.expect("the store answers");
    assert!(next.locator.ledger.lock().total(&program) >= 100);
}

fn turn_of_size(id: &str, bytes: usize) -> Arc<HistoryTurn> {
    let input = Bytes::from(vec![b'a'; bytes]);
    Arc::new(HistoryTurn { input, ..HistoryTurn::clone(&turn(id, None)) })
}

/// Guards against a journal that tries a batch again without end, and records nothing that comes after it.
#[tokio::test(start_paused = true)]
async fn turn_journal_records_later_turns_after_one_that_is_larger_than_a_value() {
    let store = Arc::new(MemoryStore::default());
    let run = HostRun::start(&store, "host-a.1", &Arc::default());
    let large = run.journal.append(turn_of_size("large", 900_000));
    let outcome = timeout(Duration::from_secs(1), large).await.expect("in time");
    assert!(outcome.is_err(), "its response must not end as if it were kept");
    assert!(run.record("a", None).await);
    assert_eq!(run.locator.find(&"large".into(), RETENTION).await, TurnSearch::Absent);
}

/// The same for what other hosts forward, alone and together with others.
#[tokio::test(start_paused = true)]
async fn turn_journal_records_later_turns_after_a_forwarded_one_that_is_larger_than_a_value() {
    let store = Arc::new(MemoryStore::default());
    let run = HostRun::start(&store, "host-a.1", &Arc::default());
    let forward = |id: &str, bytes: usize| {
        let turn = HistoryTurn::clone(&turn_of_size(id, bytes));
        run.journal.append_forwarded(vec![turn], Vec::new())
    };
    let fitting = [forward("b", 190_000), forward("c", 700_000), forward("d", 700_000)];
    let large = forward("e", 900_000);
    assert!(timeout(Duration::from_secs(1), large).await.expect("in time").is_err());
    for receiver in fitting {
        timeout(Duration::from_secs(1), receiver).await.expect("in time").expect("recorded");
    }
    assert!(run.record("a", None).await);
}

/// Spends that don't fit into one value are recorded in several, before any waiter is notified.
#[tokio::test(start_paused = true)]
async fn turn_journal_records_more_spends_than_a_value_holds() {
    let store = Arc::new(MemoryStore::default());
    let run = HostRun::start(&store, "host-b.1", &Arc::default());
    for number in 0..12_000 {
        let program: Arc<str> = format!("program-{number}").into();
        let mut ledger = run.locator.ledger.lock();
        assert_ne!(ledger.reserve(&program, 2_000, 50, 1), ReserveOutcome::OverBudget);
        ledger.spend(&program, 50);
        ledger.settle(&program, 50, 50);
    }
    let large = run.journal.append(turn_of_size("large", 700_000));
    let flushed = run.journal.flush_spends();
    timeout(Duration::from_secs(2), flushed).await.expect("in time").expect("recorded");
    timeout(Duration::from_secs(1), large).await.expect("in time").expect("recorded");
    // The index of the segment is a value as well.
    sleep(Duration::from_secs(2)).await;
    assert!(run.record("a", None).await);
    let reader = HostRun::start(&store, "host-a.2", &Arc::default());
    reader.locator.list_batches(Instant::now()).await.expect("the store answers");
    let ledger = reader.locator.ledger.lock();
    let spent = (0..12_000).filter(|it| ledger.total(&format!("program-{it}").into()) >= 50);
    assert_eq!(spent.count(), 12_000);
}

#[test]
fn batch_delay_grows_with_the_hosts_that_share_a_recorder() {
    let delays = [1, 2, 3, 6, 12].map(|hosts| batch_delay(hosts).as_millis());
    assert_eq!(delays, [30, 30, 30, 36, 72]);
}

#[tokio::test(start_paused = true)]
async fn turn_locator_reads_indexes_in_place_of_batches() {
    let store = Arc::new(MemoryStore::default());
    let run = HostRun::start(&store, "host-a.1", &Arc::default());
    for number in 0..60 {
        let previous = (number > 0).then(|| (number - 1).to_string());
        assert!(run.record(&number.to_string(), previous.as_deref()).await);
        tokio::time::advance(Duration::from_millis(250)).await;
    }
    assert_eq!(store.object_count(JOURNAL_KIND), 60);

    let next_run = HostRun::start(&store, "host-a.2", &Arc::default());
    let before = store.call_count();
    next_run.locator.list_batches(Instant::now()).await.expect("the store answers");
    let calls = store.call_count() - before;
    // A page has 3 objects, so a listing of all batches would take 20 calls.
    assert!(calls <= 10, "{calls} calls");
    let TurnSearch::Found(chain) = next_run.locator.find(&"59".into(), RETENTION).await else {
        panic!("the chain is not found although it is recorded");
    };
    assert_eq!(chain.len(), 60);
}

#[tokio::test(start_paused = true)]
async fn turn_locator_finds_turns_in_reused_objects() {
    let store = Arc::new(MemoryStore::default());
    let run = HostRun::start(&store, "host-a.1", &Arc::default());

    // In each round some segments are written over those of the round before the last.
    for round in 0..4 {
        for number in 0..6 {
            assert!(run.record(&format!("{round}.{number}"), None).await);
            tokio::time::advance(Duration::from_millis(600)).await;
        }
        let reader = HostRun::start(&store, "host-b.1", &Arc::default());
        for number in 0..6 {
            let turn = format!("{round}.{number}").into();
            let search = reader.locator.find(&turn, RETENTION).await;
            assert!(matches!(search, TurnSearch::Found(_)), "{turn}: {search:?}");
        }
        tokio::time::advance(RETENTION * 2).await;
    }

    assert!(store.object_count(JOURNAL_KIND) <= 12, "{}", store.object_count(JOURNAL_KIND));
    assert!(store.object_count(INDEX_KIND) <= 12, "{}", store.object_count(INDEX_KIND));
}

#[tokio::test(start_paused = true)]
async fn turn_locator_finds_spends_that_a_silent_host_has_forwarded() {
    let store = Arc::new(MemoryStore::default());
    let program: Arc<str> = "program".into();
    let reader = HostRun::start(&store, "host-c.1", &Arc::default());
    let note = SpendNote { program: Arc::clone(&program), tokens: 10, recorded: 0 };
    reader.locator.ledger.lock().merge_reported(&"host-b.1".into(), &[note]);

    // The recorder writes the silent host's spend into a batch of its own.
    let recorder = HostRun::start(&store, "host-a.1", &Arc::default());
    let spend = SpendRecord {
        writer: Some("host-b.1".into()),
        program: Arc::clone(&program),
        tokens: 70,
        spent: 70,
    };
    let receiver = recorder.journal.append_forwarded(Vec::new(), vec![spend]);
    timeout(Duration::from_secs(1), receiver).await.expect("in time").expect("recorded");

    assert!(reader.locator.read_spends(Instant::now(), Some(Instant::now())).await);
    let mut ledger = reader.locator.ledger.lock();
    ledger.assume_recorded(&program, |writer| is_writer_of("host-b", writer));
    drop(ledger);
    assert_eq!(reader.locator.ledger.lock().total(&program), 70);
}

#[tokio::test(start_paused = true)]
async fn turn_budget_is_granted_on_retry_once_a_long_reading_of_records_ends() {
    let store = Arc::new(MemoryStore::default());
    // Reading the records takes longer than a turn waits for it.
    let run = run_beside_silent_peer(&store, 1_000).await;
    assert_eq!(run.reserve("first").await.err(), Some(BudgetRefusal::Unknown));

    // Two seconds of new programs, each of which is sent again once, as the refusal asks for.
    let calls_before = store.call_count();
    let programs = (0..20).map(async |number| {
        let program = format!("program-{number}");
        sleep(Duration::from_millis(100) * number).await;

        if run.reserve(&program).await.is_err() {
            sleep(Duration::from_millis(300)).await;
            return run.reserve(&program).await.is_ok();
        }
        true
    });
    let granted = join_all(programs).await.into_iter().filter(|it| *it).count();
    let calls = store.call_count() - calls_before;
    assert_eq!(granted, 20, "of 20 programs, with {calls} calls to the store");
}
