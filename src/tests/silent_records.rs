//! Readings of what silent hosts have recorded, beside hosts that answer.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
};

use async_trait::async_trait;
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::time::{Duration, Instant, advance, timeout};

use super::entry_fakes::{MemoryStore, ResponseStream};
use crate::{
    PeerError, PeerHandler, PeerMessage, PeerStream, PeerTransport,
    entry::{
        BudgetLedger, ObjectStore,
        batch_index::BatchIndex,
        budget_ledger::{SpendNote, SpendRecord},
        entry_metrics::EntryMetrics,
        journal_queue::PendingBatch,
        mesh_peer::MeshIdentity,
        mesh_state::MeshState,
        peer_mesh::PeerMesh,
        recent_spends::RecentSpends,
        turn_history::TurnHistory,
        turn_journal::TurnJournal,
        turn_locator::TurnLocator,
        written_batches::WrittenBatches,
    },
};

const RETENTION: Duration = Duration::from_mins(1);

/// Steps and seeds of the walk over segments.
const SEEDS: u64 = 200;
const STEPS: u64 = 60;

/// Stream on which a host answers one message.
#[derive(Debug)]
struct AnswerStream(Arc<Mutex<Option<PeerMessage>>>);

#[async_trait]
impl PeerStream for AnswerStream {
    async fn receive(&mut self) -> Result<Option<PeerMessage>, PeerError> {
        Ok(None)
    }

    async fn send(&mut self, message: &PeerMessage) -> Result<(), PeerError> {
        *self.0.lock() = Some(message.clone());
        Ok(())
    }

    fn finish(&mut self) {}

    async fn wait_until_received(&mut self) -> Result<(), PeerError> {
        Ok(())
    }
}

async fn answer(mesh: &Arc<PeerMesh>, message: PeerMessage) -> Option<PeerMessage> {
    let answer = Arc::new(Mutex::new(None));
    Arc::clone(mesh).handle(message, Box::new(AnswerStream(Arc::clone(&answer)))).await;
    answer.lock().take()
}

/// Transport to the hosts that answer.
#[derive(Debug, Default)]
struct HostTransport {
    hosts: Mutex<HashMap<SocketAddr, Arc<PeerMesh>>>,
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
        Ok(Box::new(ResponseStream { response: answer(&host, first.clone()).await }))
    }
}

fn host_of(writer: &str) -> &str {
    writer.split_once('.').map_or(writer, |(host, _)| host)
}

/// A run of a host.
struct HostRun {
    address: SocketAddr,
    mesh: Arc<PeerMesh>,
    journal: Arc<TurnJournal>,
    locator: Arc<TurnLocator>,
}

impl HostRun {
    fn start(
        store: &Arc<MemoryStore>,
        transport: &Arc<HostTransport>,
        writer: &str,
        port: u16,
    ) -> Self {
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let store = Arc::clone(store) as Arc<dyn ObjectStore>;
        let state = MeshState::default();
        let ledger: Arc<Mutex<BudgetLedger>> = Arc::clone(&state.ledger);
        let history: Arc<Mutex<TurnHistory>> = Arc::clone(&state.history);
        let index: Arc<Mutex<BatchIndex>> = Arc::clone(&state.index);
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
        let locator = Arc::new(TurnLocator::new(store, history, ledger, Arc::clone(&mesh), index));
        Self { address, mesh, journal, locator }
    }

    /// Hears the first update of another run.
    async fn hear(&self, other: &Self, writer: &str) {
        let update = PeerMessage::SpendsNoted {
            host: host_of(writer).into(),
            address: other.address,
            region: "north".into(),
            writer: writer.into(),
            sequence: 1,
            is_draining: false,
            notes: Vec::new(),
            streams: Vec::new(),
        };
        assert!(answer(&self.mesh, update).await.is_some());
    }

    /// Records 70 tokens that the silent host has spent.
    async fn record_for_silent_host(&self, program: &Arc<str>) {
        let spend = SpendRecord {
            writer: Some("silent.1".into()),
            program: Arc::clone(program),
            tokens: 70,
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
        assert!(self.locator.list_batches_of(&["silent".into()], Instant::now()).await);
        (self.locator.ledger.lock().total(program), store.call_count() - calls)
    }
}

#[tokio::test(start_paused = true)]
async fn list_batches_of_asks_running_recorder_instead_of_reading_its_segment() {
    let (store, transport) = (Arc::new(MemoryStore::default()), Arc::default());
    let program: Arc<str> = "program".into();
    let recorder = HostRun::start(&store, &transport, "recorder.1", 1);
    let reader = HostRun::start(&store, &transport, "reader.1", 2);
    recorder.record_for_silent_host(&program).await;
    reader.hear(&recorder, "recorder.1").await;

    assert_eq!(reader.read_silent_host(&program, &store).await, (70, 1));
}

#[tokio::test(start_paused = true)]
async fn list_batches_of_reads_segment_of_recorder_that_is_gone() {
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
async fn list_batches_of_stops_reading_segment_of_a_run_that_another_has_replaced() {
    let (store, transport) = (Arc::new(MemoryStore::default()), Arc::<HostTransport>::default());
    let program: Arc<str> = "program".into();
    let recorder = HostRun::start(&store, &transport, "recorder.1", 1);
    let reader = HostRun::start(&store, &transport, "reader.1", 2);
    recorder.record_for_silent_host(&program).await;
    reader.hear(&recorder, "recorder.1").await;
    // The next run answers at the address of the old one.
    HostRun::start(&store, &transport, "recorder.2", 1);

    // The first reading finds out that the run is over, and the second one is the last that reads its segment.
    assert_eq!(reader.read_silent_host(&program, &store).await, (70, 2));
    assert_eq!(reader.read_silent_host(&program, &store).await, (70, 2));
    assert_eq!(reader.read_silent_host(&program, &store).await, (70, 1));
}

#[tokio::test(start_paused = true)]
async fn recent_spends_have_each_batch_that_no_listed_index_covers() {
    for seed in 0..SEEDS {
        let mut random = StdRng::seed_from_u64(seed);
        let mut written = WrittenBatches::new(&"host-a.1".into(), RETENTION);
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
            let spend =
                SpendRecord { writer: None, program: step.to_string().into(), tokens: step };
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
