//! A model of hosts that are cut off, restarted and read the records side by side: a turn whose response has ended whole is
//! found, or the search fails. It is never said not to exist. See docs/design/platform.md, "No such turn exists".

use std::{
    collections::HashMap,
    fmt::{self, Debug, Formatter},
    net::SocketAddr,
    sync::Arc,
};

use async_trait::async_trait;
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::value::RawValue;
use tokio::{
    task::JoinHandle,
    time::{Duration, Instant, sleep, timeout},
};

use super::entry_fakes::{MemoryStore, ResponseStream, exchange_message};
use crate::{
    PeerError, PeerMessage, PeerStream, PeerTransport,
    entry::{
        ObjectPage, ObjectStore, ReadFreshness, StoreError, StoredObject, WatchBatch, WriteOutcome,
        chain_recorder::ChainRecorder,
        entry_metrics::EntryMetrics,
        mesh_peer::MeshIdentity,
        mesh_state::MeshState,
        peer_mesh::PeerMesh,
        turn_history::HistoryTurn,
        turn_journal::{TurnJournal, TurnRecorder},
        turn_locator::{TurnLocator, TurnSearch},
    },
};

/// Walks, each with a seed of its own. More are played with the variable `WALK_SEEDS`.
const SEEDS: u64 = 16;

/// Time that each walk plays.
const WALK_TIME: Duration = Duration::from_secs(40);

const RETENTION: Duration = Duration::from_mins(1);

const HOSTS: usize = 4;

/// Memory of a host for turns, so small that it holds a few.
const HISTORY_BYTES: usize = 400;

/// Timeout of a call to the store, as in the platform's client.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time that a client waits for a turn, and that a host searches for one.
const TURN_TIMEOUT: Duration = Duration::from_secs(3);

/// Links between hosts, and from hosts to the store. What is sent into a cut arrives some time after it, as the kernel sends it
/// again, whether its sender still waits or lives.
struct Network {
    random: Mutex<StdRng>,
    /// Hosts that are cut off from the store, and from their peers.
    store_cuts: Mutex<[bool; HOSTS]>,
    peer_cuts: Mutex<[bool; HOSTS]>,
    runs: Mutex<HashMap<SocketAddr, Arc<PeerMesh>>>,
}

impl Debug for Network {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Network").finish_non_exhaustive()
    }
}

impl Network {
    fn new(seed: u64) -> Arc<Self> {
        Arc::new(Self {
            random: Mutex::new(StdRng::seed_from_u64(seed)),
            store_cuts: Mutex::default(),
            peer_cuts: Mutex::default(),
            runs: Mutex::default(),
        })
    }

    fn pick(&self, limit: usize) -> usize {
        self.random.lock().random_range(0..limit)
    }

    fn pick_ms(&self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.lock().random_range(range))
    }

    /// Waits for the end of a cut, after which what was sent into it arrives late. Otherwise it takes a few milliseconds.
    async fn pass(&self, is_cut: impl Fn() -> bool) {
        let was_cut = is_cut();
        while is_cut() {
            sleep(Duration::from_millis(20)).await;
        }
        let delay = if was_cut { self.pick_ms(0..2_000) } else { self.pick_ms(0..30) };
        sleep(delay).await;
    }

    async fn pass_to_store(&self, host: usize) {
        self.pass(|| self.store_cuts.lock()[host]).await;
    }

    async fn pass_between(&self, from: usize, to: usize) {
        let is_cut = || {
            let cuts = self.peer_cuts.lock();
            cuts[from] || cuts[to]
        };
        self.pass(is_cut).await;
    }
}

/// The store as one host reaches it. A call that its caller has given up may still be applied.
#[derive(Clone, Debug)]
struct DistantStore {
    network: Arc<Network>,
    store: Arc<MemoryStore>,
    host: usize,
}

impl DistantStore {
    async fn call<T, F>(&self, call: F) -> Result<T, StoreError>
    where
        T: Send + 'static,
        F: Future<Output = Result<T, StoreError>> + Send + 'static,
    {
        let (network, host) = (Arc::clone(&self.network), self.host);
        let applied = tokio::spawn(async move {
            network.pass_to_store(host).await;
            let result = call.await;
            network.pass_to_store(host).await;
            result
        });
        let unanswered = || StoreError::Unanswered { reason: "the call timed out".into() };
        let joined = timeout(CALL_TIMEOUT, applied).await.map_err(|_| unanswered())?;
        joined.map_err(|_| unanswered())?
    }
}

#[async_trait]
impl ObjectStore for DistantStore {
    async fn list(
        &self,
        kind: &str,
        after: Option<&str>,
        freshness: ReadFreshness,
    ) -> Result<ObjectPage, StoreError> {
        let (store, kind, after) =
            (Arc::clone(&self.store), kind.to_owned(), after.map(str::to_owned));
        self.call(async move { store.list(&kind, after.as_deref(), freshness).await }).await
    }

    async fn get(&self, kind: &str, name: &str) -> Result<Option<StoredObject>, StoreError> {
        let (store, kind, name) = (Arc::clone(&self.store), kind.to_owned(), name.to_owned());
        self.call(async move { store.get(&kind, &name).await }).await
    }

    async fn create(
        &self,
        kind: &str,
        name: &str,
        content: &RawValue,
    ) -> Result<WriteOutcome, StoreError> {
        let (store, kind, name) = (Arc::clone(&self.store), kind.to_owned(), name.to_owned());
        let content = content.to_owned();
        self.call(async move { store.create(&kind, &name, &content).await }).await
    }

    async fn replace(
        &self,
        kind: &str,
        name: &str,
        content: &RawValue,
        revision: u64,
    ) -> Result<WriteOutcome, StoreError> {
        let (store, kind, name) = (Arc::clone(&self.store), kind.to_owned(), name.to_owned());
        let content = content.to_owned();
        self.call(async move { store.replace(&kind, &name, &content, revision).await }).await
    }

    async fn replace_status(
        &self,
        _kind: &str,
        _name: &str,
        _status: &RawValue,
        _revision: u64,
    ) -> Result<WriteOutcome, StoreError> {
        Ok(WriteOutcome::Conflict)
    }

    async fn remove(
        &self,
        kind: &str,
        name: &str,
        revision: u64,
    ) -> Result<WriteOutcome, StoreError> {
        let (store, kind, name) = (Arc::clone(&self.store), kind.to_owned(), name.to_owned());
        self.call(async move { store.remove(&kind, &name, revision).await }).await
    }

    async fn watch(
        &self,
        _kind: &str,
        _after_revision: u64,
        _wait: Duration,
    ) -> Result<WatchBatch, StoreError> {
        std::future::pending().await
    }
}

/// Messages of one host to the others.
#[derive(Debug)]
struct DistantPeers {
    network: Arc<Network>,
    host: usize,
}

#[async_trait]
impl PeerTransport for DistantPeers {
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
        let (network, from, first) = (Arc::clone(&self.network), self.host, first.clone());
        let to = usize::from(peer.port()) - 1;
        let exchange = tokio::spawn(async move {
            network.pass_between(from, to).await;
            let run = network.runs.lock().get(&peer).cloned()?;
            let response = exchange_message(&run, first).await;
            network.pass_between(from, to).await;
            response
        });
        match exchange.await {
            Ok(response @ Some(_)) => Ok(Box::new(ResponseStream { response })),
            _ => std::future::pending().await,
        }
    }
}

/// A run of a host.
struct ModelRun {
    mesh: Arc<PeerMesh>,
    chains: ChainRecorder,
    locator: Arc<TurnLocator>,
    tasks: Vec<JoinHandle<()>>,
}

fn address_of(host: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], host as u16 + 1))
}

impl ModelRun {
    /// Starts a run, which reads the records before it is used.
    async fn start(
        network: &Arc<Network>,
        store: &Arc<MemoryStore>,
        host: usize,
        run: u32,
    ) -> Self {
        let name = format!("host-{host}");
        let writer: Arc<str> = format!("{name}.{run:04}").into();
        let distant = DistantStore { network: Arc::clone(network), store: Arc::clone(store), host };
        let store = Arc::new(distant) as Arc<dyn ObjectStore>;
        let state = MeshState::default();
        state.history.lock().set_limit(HISTORY_BYTES);
        let (history, ledger) = (Arc::clone(&state.history), Arc::clone(&state.ledger));
        let (index, readings) = (Arc::clone(&state.index), Arc::clone(&state.readings));
        let identity = MeshIdentity {
            host: name.into(),
            address: address_of(host),
            region: format!("region-{}", host / 2).into(),
            writer: Arc::clone(&writer),
        };
        let transport = Arc::new(DistantPeers { network: Arc::clone(network), host });
        let mesh = Arc::new(PeerMesh::new(identity, transport as Arc<dyn PeerTransport>, state));
        for peer in (0..HOSTS).filter(|it| *it != host) {
            let region = format!("region-{}", peer / 2).into();
            mesh.add_peer(format!("host-{peer}").into(), address_of(peer), region);
        }
        let metrics = Arc::new(EntryMetrics::new().expect("metrics"));
        let journal =
            Arc::new(TurnJournal::new(Arc::clone(&store), Arc::clone(&ledger), metrics, writer));
        mesh.set_journal(Arc::clone(&journal));
        let recorder = Arc::clone(&mesh) as Arc<dyn TurnRecorder>;
        let tasks = vec![
            tokio::spawn(Arc::clone(&journal).run(recorder, RETENTION)),
            tokio::spawn(Arc::clone(&mesh).run()),
        ];
        network.runs.lock().insert(address_of(host), Arc::clone(&mesh));
        let chains = ChainRecorder { journal, history: Arc::clone(&history) };
        let locator =
            Arc::new(TurnLocator::new(store, history, ledger, Arc::clone(&mesh), index, readings));
        while locator.list_batches(Instant::now()).await.is_err() {}
        Self { mesh, chains, locator, tasks }
    }

    /// Ends the run, as a kill does: what it has sent may still arrive.
    fn kill(&self, network: &Network, host: usize) {
        self.tasks.iter().for_each(JoinHandle::abort);
        let mut runs = network.runs.lock();
        if runs.get(&address_of(host)).is_some_and(|it| Arc::ptr_eq(it, &self.mesh)) {
            runs.remove(&address_of(host));
        }
    }

    /// Continues a turn, and returns whether the response ended whole. A search that is sure that there is no such turn fails
    /// the walk.
    async fn take_turn(&self, id: Arc<str>, previous: Option<&Arc<str>>, context: &str) -> bool {
        let mut chain = Vec::new();

        if let Some(previous) = previous {
            match timeout(TURN_TIMEOUT, self.locator.find(previous, RETENTION)).await {
                Ok(TurnSearch::Found(found)) => chain = found,
                Ok(TurnSearch::Absent) => panic!("{context}: {previous} is said not to exist"),
                Ok(TurnSearch::Unknown) | Err(_) => return false,
            }
        }

        let turn = Arc::new(HistoryTurn {
            id,
            previous: previous.cloned(),
            input: vec![b'i'; 60].into(),
            output: vec![b'o'; 40].into(),
        });
        let queued_at = Instant::now();
        let recording = self.chains.record(&chain, &turn, RETENTION);
        let is_whole = matches!(timeout(TURN_TIMEOUT, recording).await, Ok(Ok(())));
        if is_whole {
            self.chains.keep(turn, RETENTION, queued_at);
        }
        is_whole
    }

    async fn read_spends(&self) {
        let now = Instant::now();
        let _ = timeout(TURN_TIMEOUT, self.locator.read_spends(now, Some(now))).await;
    }
}

/// Turns that clients have received whole, with the time of their end.
type WholeTurns = Arc<Mutex<Vec<(Arc<str>, Instant)>>>;

/// What may happen to the hosts of a walk besides cuts.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Losses {
    None,
    Restarts,
}

/// Clients' turns, cuts and restarts of one walk.
struct Walk {
    seed: u64,
    network: Arc<Network>,
    store: Arc<MemoryStore>,
    runs: [Mutex<Option<Arc<ModelRun>>>; HOSTS],
    whole: WholeTurns,
    /// Number of turns that were continued.
    continued: Mutex<u64>,
    ends_at: Instant,
}

impl Walk {
    async fn start(seed: u64) -> Arc<Self> {
        let (network, store) = (Network::new(seed), Arc::new(MemoryStore::default()));
        let walk = Arc::new(Self {
            seed,
            network,
            store,
            runs: std::array::from_fn(|_| Mutex::default()),
            whole: WholeTurns::default(),
            continued: Mutex::default(),
            ends_at: Instant::now() + WALK_TIME,
        });
        for host in 0..HOSTS {
            walk.start_run(host, 1).await;
        }
        walk
    }

    async fn start_run(&self, host: usize, run: u32) {
        let run = ModelRun::start(&self.network, &self.store, host, run).await;
        *self.runs[host].lock() = Some(Arc::new(run));
    }

    fn is_over(&self) -> bool {
        Instant::now() >= self.ends_at
    }

    fn run_of(&self, host: usize) -> Option<Arc<ModelRun>> {
        self.runs[host].lock().clone()
    }

    /// Continues random turns at random hosts.
    async fn run_client(self: Arc<Self>, client: usize) {
        let mut number = 0;
        while !self.is_over() {
            sleep(self.network.pick_ms(10..400)).await;
            let host = self.network.pick(HOSTS);
            let Some(run) = self.run_of(host) else {
                continue;
            };
            number += 1;
            let id: Arc<str> = format!("turn-{client}-{number}").into();
            let previous = self.pick_turn();
            let context = format!("seed {}, host {host}, turn {id}", self.seed);
            let is_whole = run.take_turn(Arc::clone(&id), previous.as_ref(), &context).await;
            let still_runs = self.run_of(host).is_some_and(|it| Arc::ptr_eq(&it, &run));
            if is_whole && still_runs {
                self.whole.lock().push((id, Instant::now()));
                *self.continued.lock() += u64::from(previous.is_some());
            }
        }
    }

    /// A turn that ended lately, most often, or any earlier one.
    fn pick_turn(&self) -> Option<Arc<str>> {
        let whole = self.whole.lock();
        let count = whole.len();
        if count == 0 || self.network.pick(8) == 0 {
            return None;
        }
        let last = if self.network.pick(4) == 0 { count } else { count.min(6) };
        Some(Arc::clone(&whole[count - 1 - self.network.pick(last)].0))
    }

    /// Reads the recorded spends at random hosts, beside the searches for turns.
    async fn run_reader(self: Arc<Self>) {
        while !self.is_over() {
            sleep(self.network.pick_ms(5..200)).await;
            if let Some(run) = self.run_of(self.network.pick(HOSTS)) {
                tokio::spawn(async move { run.read_spends().await });
            }
        }
    }

    /// Cuts a host off from the store, its peers or both for some time; both ends of the cut may differ.
    async fn run_cuts(self: Arc<Self>, host: usize) {
        while !self.is_over() {
            sleep(self.network.pick_ms(500..8_000)).await;
            let (cuts_store, cuts_peers) = match self.network.pick(4) {
                0 => (true, false),
                1 => (false, true),
                _ => (true, true),
            };
            self.network.store_cuts.lock()[host] = cuts_store;
            self.network.peer_cuts.lock()[host] = cuts_peers;
            sleep(self.network.pick_ms(100..6_000)).await;
            self.network.store_cuts.lock()[host] = false;
            sleep(self.network.pick_ms(0..1_500)).await;
            self.network.peer_cuts.lock()[host] = false;
        }
    }

    /// Kills a host now and then, and starts it again.
    async fn run_restarts(self: Arc<Self>, host: usize) {
        let mut run = 1;
        while !self.is_over() {
            sleep(self.network.pick_ms(300..9_000)).await;
            let Some(killed) = self.runs[host].lock().take() else {
                continue;
            };
            killed.kill(&self.network, host);
            sleep(self.network.pick_ms(50..1_000)).await;
            run += 1;
            self.start_run(host, run).await;
        }
    }
}

/// Plays all walks. Each has to continue some turns, or it would show nothing.
async fn play_all(losses: Losses) {
    let stated = std::env::var("WALK_SEEDS").ok().and_then(|it| it.parse().ok());
    for seed in 0..stated.unwrap_or(SEEDS) {
        let continued = play(seed, losses).await;
        assert!(continued > 10, "seed {seed}: only {continued} turns were continued");
    }
}

/// Plays a walk, and returns how many turns were continued.
async fn play(seed: u64, losses: Losses) -> u64 {
    let walk = Walk::start(seed).await;
    let mut tasks = Vec::new();
    for client in 0..6 {
        tasks.push(tokio::spawn(Arc::clone(&walk).run_client(client)));
    }
    tasks.push(tokio::spawn(Arc::clone(&walk).run_reader()));
    for host in 0..HOSTS {
        tokio::spawn(Arc::clone(&walk).run_cuts(host));
        if losses == Losses::Restarts {
            tokio::spawn(Arc::clone(&walk).run_restarts(host));
        }
    }
    for task in tasks {
        task.await.unwrap_or_else(|error| std::panic::resume_unwind(error.into_panic()));
    }
    for run in walk.runs.iter().filter_map(|it| it.lock().take()) {
        run.tasks.iter().for_each(JoinHandle::abort);
    }
    *walk.continued.lock()
}

/// Guards against a turn that is answered 404 though it is recorded, while hosts are cut off from the store and each other.
#[tokio::test(start_paused = true)]
async fn find_never_denies_a_whole_turn_while_hosts_are_cut_off() {
    play_all(Losses::None).await;
}

/// Guards against a turn that is answered 404 as the run that has recorded it is taken to be over.
#[tokio::test(start_paused = true)]
async fn find_never_denies_a_whole_turn_while_hosts_restart() {
    play_all(Losses::Restarts).await;
}
