//! An entry host: takes decoded requests, decides about them, and answers.

use std::{collections::HashMap, sync::Arc};

use arc_swap::ArcSwap;
use eyre::Result;
use parking_lot::Mutex;
use tokio::{
    sync::watch,
    time::{Duration, Instant, sleep, timeout},
};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::{
    BackoffPolicy, CrashLedger, NodeMetrics, PeerHandler, PeerTransport, QuicTransport,
    entry::{
        BudgetLedger, EntryBackends, EntryRefusal, EntryRequest, EntryResponse, EntrySettings,
        KindFollower, ObjectListener, PlacementPool, RelayedBody, RouteTable, ServiceConfig,
        ServiceRoute, StoreError,
        batch_index::BatchIndex,
        entry_metrics::EntryMetrics,
        host_registry::{HostRegistry, REGISTRY_KIND},
        mesh_peer::MeshIdentity,
        peer_mesh::PeerMesh,
        request_runner::{RequestRunner, RunnableRequest, RunnerParts},
        turn_budget::{BudgetParts, BudgetRefusal, TurnBudget},
        turn_history::{HistoryTurn, TurnHistory, chain_body},
        turn_journal::{TurnJournal, TurnRecorder},
        turn_locator::{TurnLocator, TurnSearch},
    },
    hex_text,
};

/// Upstreams that a request may crash before it is refused.
const CRASH_LIMIT: u32 = 3;

/// Time for which a request waits at most where its route states none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Time before a client's deadline at which it gets its final answer, for the way back.
const ANSWER_MARGIN: Duration = Duration::from_millis(12);

/// Time after which a client is asked to come back while the host can't decide.
const UNDECIDED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Time after which a client is asked to come back with a request that has crashed upstreams.
const CRASHING_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Pause between tries to read what is recorded.
const RESTORE_BACKOFF: BackoffPolicy =
    BackoffPolicy { first: Duration::from_millis(50), limit: Duration::from_millis(500) };

/// Retention of turns where no route states one.
const DEFAULT_RETENTION: Duration = Duration::from_mins(1);

/// Age of a turn's record at which it is recorded again by a host that continues the turn, as a share of the
/// retention: a batch may be used again once the retention of its own turns is over.
const REFRESH_DIVISOR: u32 = 2;

/// Time between two looks at what only time changes.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Longest time that a search for turns may take off a request's time.
const SEARCH_PATIENCE: Duration = Duration::from_secs(2);

/// A running entry host.
#[derive(Debug)]
pub struct EntryHost {
    terms: EntrySettings,
    routes: ArcSwap<RouteTable>,
    /// Follows the entries of the other hosts.
    peers: KindFollower,
    budgets: BudgetParts,
    registry: HostRegistry,
    parts: Arc<RunnerParts>,
    /// Whether turns and budgets of earlier runs have been read.
    is_restored: watch::Sender<bool>,
}

impl EntryHost {
    /// Joins the other hosts. It returns once the store has answered, and serves from then on as far as it knows
    /// enough; see [`EntryHost::is_ready`].
    pub async fn start(terms: EntrySettings, ports: EntryBackends) -> Result<Arc<Self>> {
        let run = hex_text(&rand::random::<[u8; 6]>());
        let writer: Arc<str> = format!("{}.{run}", terms.host).into();
        let region = terms.region();
        let registry = HostRegistry {
            store: Arc::clone(&ports.store),
            host: Arc::clone(&terms.host),
            region: Arc::clone(&region),
        };
        let keys = registry.peer_keys().await;

        let quic = Arc::new(QuicTransport::bind(
            terms.peers_address,
            &keys,
            &keys.private_key,
            Arc::new(NodeMetrics::new()?),
        )?);
        // With port 0 the system has chosen one.
        let terms = EntrySettings { peers_address: quic.address()?, ..terms };
        let transport: Arc<dyn PeerTransport> = Arc::clone(&quic) as Arc<dyn PeerTransport>;
        let metrics = Arc::new(EntryMetrics::new()?);
        let ledger = Arc::new(Mutex::new(BudgetLedger::default()));
        let history = Arc::new(Mutex::new(TurnHistory::default()));
        let crashes = Arc::new(Mutex::new(CrashLedger::default()));
        let pool =
            Arc::new(PlacementPool::new(Arc::clone(&terms.data_centre), terms.regions.clone()));

        let index = Arc::new(Mutex::new(BatchIndex::default()));
        let identity = MeshIdentity {
            host: Arc::clone(&terms.host),
            address: terms.peers_address,
            region,
            writer: Arc::clone(&writer),
        };
        let mesh = Arc::new(PeerMesh::new(
            identity,
            transport,
            Arc::clone(&ledger),
            Arc::clone(&history),
            Arc::clone(&crashes),
            Arc::clone(&index),
        ));
        let journal = Arc::new(TurnJournal::new(
            Arc::clone(&ports.store),
            Arc::clone(&ledger),
            Arc::clone(&metrics),
            writer,
        ));
        mesh.set_journal(Arc::clone(&journal));
        let locator = Arc::new(TurnLocator::new(
            Arc::clone(&ports.store),
            Arc::clone(&history),
            Arc::clone(&ledger),
            Arc::clone(&mesh),
            index,
        ));

        let budgets =
            BudgetParts { ledger, journal: Arc::clone(&journal), mesh: Arc::clone(&mesh), locator };

        let runner_parts = Arc::new(RunnerParts {
            pool,
            channel: ports.channel,
            journal: Arc::clone(&journal),
            history,
            crashes,
            metrics,
        });

        let peers = KindFollower {
            store: ports.store,
            kind: REGISTRY_KIND,
            listener: Arc::clone(&mesh) as Arc<dyn ObjectListener>,
        };

        let host = Arc::new(Self {
            peers,
            routes: ArcSwap::default(),
            budgets,
            registry,
            parts: runner_parts,
            is_restored: watch::Sender::new(false),
            terms,
        });

        tokio::spawn(quic.serve(Arc::clone(&mesh) as Arc<dyn PeerHandler>));
        tokio::spawn(Arc::clone(&mesh).run());
        tokio::spawn(journal.run(mesh as Arc<dyn TurnRecorder>, DEFAULT_RETENTION));
        tokio::spawn(Arc::clone(&host).upkeep());
        tokio::spawn(Arc::clone(&host).restore());
        tokio::spawn(host.peers.clone().run());
        Ok(host)
    }

    /// Makes this host known to the others, and reads what earlier runs of all hosts have recorded. Until then no program
    /// is served: the others might give away its budget without asking this host.
    async fn restore(self: Arc<Self>) {
        self.registry.register(self.terms.peers_address).await;
        let mut attempt = 0;

        while let Err(error) = self.read_records().await {
            log::warn!("the recorded turns and budgets can't be read yet: {error}");
            RESTORE_BACKOFF.sleep(attempt).await;
            attempt += 1;
        }

        self.budgets.mesh.wait_heard().await;
        self.is_restored.send_replace(true);
        log::info!("turns and budgets of earlier runs are known");
    }

    async fn read_records(&self) -> Result<(), StoreError> {
        let mesh = &self.budgets.mesh;
        self.peers.list_all().await?;

        if !mesh.learn_records().await {
            self.budgets.locator.list_batches(Instant::now()).await?;
        }

        mesh.set_informed();
        Ok(())
    }

    async fn upkeep(self: Arc<Self>) {
        loop {
            sleep(UPKEEP_INTERVAL).await;
            self.parts.pool.expire();
            self.parts.channel.close_expired();

            if self.budgets.mesh.take_unlisted() && !self.is_draining() {
                log::warn!("another host has removed this host's entry, registering again");
                self.registry.register(self.terms.peers_address).await;
            }

            for host in self.budgets.mesh.lost_peers() {
                log::warn!(peer:% = host; "a peer has been silent for long, removing its entry");
                self.registry.remove(&host).await;
            }

            self.budgets.ledger.lock().prune(Instant::now());
            self.parts.metrics.record_history(self.parts.history.lock().held_bytes());
        }
    }

    /// Puts a configuration in force, unless it is older than the one that is.
    pub fn apply_routes(&self, table: RouteTable) {
        let current = self.routes.load().version;

        if table.version <= current {
            log::info!(version = table.version, current; "an older configuration is passed over");
            return;
        }

        let sizes: HashMap<Arc<str>, u64> =
            table.services().map(|it| (Arc::clone(&it.name), it.cache_tokens)).collect();
        self.parts.pool.set_cache_tokens(sizes);
        self.parts.metrics.record_config(table.version);
        log::info!(version = table.version; "configuration in force");
        self.routes.store(Arc::new(table));
    }

    /// The configuration in force.
    pub fn routes(&self) -> Arc<RouteTable> {
        self.routes.load_full()
    }

    /// Upstreams of all services.
    pub fn pool(&self) -> &Arc<PlacementPool> {
        &self.parts.pool
    }

    /// Whether new clients should be sent here.
    pub fn is_ready(&self) -> bool {
        self.routes.load().version > 0 && *self.is_restored.borrow() && !self.is_draining()
    }

    /// Whether the host has been asked to stop.
    pub fn is_draining(&self) -> bool {
        self.budgets.mesh.is_draining()
    }

    /// Makes the host unready. It goes on to answer what comes.
    pub fn drain(&self) {
        self.budgets.mesh.drain();
        log::info!("draining");
    }

    /// Takes the host's entry back, so that the others do not wait for its answers.
    pub async fn deregister(&self) {
        self.registry.remove(&self.terms.host).await;
    }

    /// Waits until nothing is left to record, for `patience` at most.
    pub async fn flush(&self, patience: Duration) {
        let flushed = timeout(patience, self.parts.journal.flush_spends()).await.is_ok();
        log::info!(flushed; "the journal is flushed");
    }

    /// Metrics in the Prometheus text format.
    pub fn metrics_text(&self) -> Result<String> {
        self.parts.metrics.text()
    }

    /// Answers a request. Dropping the future cancels it.
    pub async fn handle(&self, request: EntryRequest) -> EntryResponse {
        let (id, received) = (Arc::clone(&request.id), request.received);
        let answer = self.decide(request).await;

        match &answer {
            EntryResponse::Relayed(relayed) => {
                let is_stream = matches!(relayed.body, RelayedBody::Events(_));
                self.parts.metrics.count_request(
                    if is_stream { "stream" } else { "whole" },
                    relayed.status.as_str().into(),
                );
                log::info!(
                    request:% = id, status = relayed.status.as_u16(), took_ms = received.elapsed().as_millis() as u64;
                    "answered by an upstream"
                );
            }
            EntryResponse::Refused { refusal, reason } => {
                self.parts.metrics.count_request("refused", refusal.to_string());
                log::info!(
                    request:% = id, refusal:% = refusal, took_ms = received.elapsed().as_millis() as u64;
                    "refused: {reason}"
                );
            }
        }

        answer
    }

    async fn decide(&self, request: EntryRequest) -> EntryResponse {
        let table = self.routes.load_full();

        if table.version == 0 {
            return EntryResponse::not_run(UNDECIDED_RETRY_AFTER, "there is no configuration yet");
        }

        let Some(route) = table.find(&request.host, &request.path).cloned() else {
            let reason = format!("configuration {} has no such route", table.version);
            return EntryResponse::refused(EntryRefusal::NoRoute, reason);
        };

        let split_key = request.program.as_ref().map_or(&request.id, |it| &it.id);
        let service = route
            .target(xxh3_64(split_key.as_bytes()))
            .and_then(|target| table.service(&target.service))
            .cloned();

        let Some(service) = service else {
            return EntryResponse::not_run(UNDECIDED_RETRY_AFTER, "the route has no service");
        };

        let fingerprint = fingerprint(&request);

        if self.parts.crashes.lock().crashes(fingerprint) >= CRASH_LIMIT {
            let reason = "upstreams have crashed under this request";
            return EntryResponse::not_run(CRASHING_RETRY_AFTER, reason);
        }

        let timeout = if route.timeout.is_zero() { DEFAULT_DEADLINE } else { route.timeout };
        let limit = request.received + timeout;
        let last_moment = |deadline: Instant| {
            deadline.checked_sub(ANSWER_MARGIN).map_or(limit, |deadline| deadline.min(limit))
        };
        let limit = request.deadline.map_or(limit, last_moment);
        self.run(request, route, service, fingerprint, limit).await
    }

    async fn run(
        &self,
        request: EntryRequest,
        route: Arc<ServiceRoute>,
        service: Arc<ServiceConfig>,
        fingerprint: u64,
        limit: Instant,
    ) -> EntryResponse {
        if request.program.is_some()
            && service.tokens_per_event > 0
            && !self.wait_restored(limit).await
        {
            let reason = "the turns and budgets of earlier runs are not known yet";
            return EntryResponse::not_run(UNDECIDED_RETRY_AFTER, reason);
        }

        let chain = match self.chain(&request, &route, limit).await {
            Ok(chain) => chain,
            Err(refused) => return refused,
        };

        let budget = match self.reserve(&request, &service).await {
            Ok(budget) => budget,
            Err(refused) => return refused,
        };

        let runnable = RunnableRequest {
            body: chain_body(&chain, &request.body),
            is_continuation: !chain.is_empty(),
            request,
            route,
            service,
            fingerprint,
            limit,
        };

        RequestRunner::new(Arc::clone(&self.parts), runnable, budget).run().await
    }

    /// Waits until turns and budgets of earlier runs are known, for half of a request's time at most.
    async fn wait_restored(&self, limit: Instant) -> bool {
        let patience = limit.saturating_duration_since(Instant::now()) / 2;
        let mut restored = self.is_restored.subscribe();
        let waited = restored.wait_for(|is_restored| *is_restored);
        matches!(timeout(patience, waited).await, Ok(Ok(_)))
    }

    /// The turns that a request continues.
    async fn chain(
        &self,
        request: &EntryRequest,
        route: &ServiceRoute,
        limit: Instant,
    ) -> Result<Vec<Arc<HistoryTurn>>, EntryResponse> {
        let previous = request.program.as_ref().and_then(|it| it.previous_turn.as_ref());
        let (Some(retention), Some(previous)) = (route.history_retention, previous) else {
            return Ok(Vec::new());
        };

        let patience = SEARCH_PATIENCE.min(limit.saturating_duration_since(Instant::now()));
        let search = timeout(patience, self.budgets.locator.find(previous, retention)).await;

        match search.unwrap_or(TurnSearch::Unknown) {
            TurnSearch::Found(chain) => {
                let aged = self.parts.history.lock().take_aged(&chain, retention / REFRESH_DIVISOR);
                aged.into_iter().for_each(|turn| drop(self.parts.journal.append(turn)));
                Ok(chain)
            }
            TurnSearch::Absent => {
                let reason = format!("no turn {previous} is recorded");
                Err(EntryResponse::refused(EntryRefusal::UnknownTurn, reason))
            }
            TurnSearch::Unknown => {
                let reason = format!("turn {previous} can't be looked for at present");
                Err(EntryResponse::not_run(UNDECIDED_RETRY_AFTER, reason))
            }
        }
    }

    async fn reserve(
        &self,
        request: &EntryRequest,
        service: &ServiceConfig,
    ) -> Result<Option<TurnBudget>, EntryResponse> {
        let Some(program) = &request.program else {
            return Ok(None);
        };
        let Some(budget) = program.token_budget.filter(|_| service.tokens_per_event > 0) else {
            return Ok(None);
        };

        let reserved =
            TurnBudget::reserve(&self.budgets, &program.id, budget, request.max_completion_tokens)
                .await;

        reserved.map(Some).map_err(|refusal| {
            let spent = self.budgets.ledger.lock().total(&program.id);
            let reason = format!(
                "program {} has spent or reserved {spent} of {budget} tokens and asks for {}",
                program.id, request.max_completion_tokens
            );

            match refusal {
                BudgetRefusal::Spent => EntryResponse::refused(EntryRefusal::BudgetSpent, reason),
                BudgetRefusal::Unknown => EntryResponse::not_run(UNDECIDED_RETRY_AFTER, reason),
            }
        })
    }
}

fn fingerprint(request: &EntryRequest) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(request.host.as_bytes());
    hasher.update(request.target.as_bytes());
    hasher.update(&request.body);
    // An empty body says nothing of its own; such requests are told apart by the program.
    if request.body.is_empty()
        && let Some(program) = &request.program
    {
        hasher.update(program.id.as_bytes());
    }
    hasher.digest()
}
