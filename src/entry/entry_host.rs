//! The entry host: routes decoded requests of clients to upstreams and returns their responses.

use std::{collections::HashMap, sync::Arc};

use arc_swap::ArcSwap;
use bytes::Bytes;
use parking_lot::Mutex;
use tokio::{
    sync::{oneshot, watch},
    time::{Duration, Instant, sleep, timeout, timeout_at},
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    BackoffPolicy, PeerTransport,
    entry::{
        BudgetLedger, BufferBudget, BuffersFull, EntryBackends, EntryRefusal, EntryRequest,
        EntryResponse, EntrySettings, HostFeature, KeyChecker, KindFollower, ObjectListener,
        PlacementPool, RelayedBody, RouteTable, ServiceConfig, ServiceRoute, StoreError,
        StoreMonitor, TeamScope,
        buffer_budget::BufferLease,
        chain_recorder::ChainRecorder,
        crash_guard::CRASH_LIMIT,
        crash_records::CrashRecords,
        dispatching::{placement_server::PlacementServer, region_dispatch::RegionDispatch},
        entry_metrics::EntryMetrics,
        found_route::{FoundRoute, TeamLimit},
        host_registry::{HostRegistry, REGISTRY_KIND},
        mesh_peer::MeshIdentity,
        mesh_state::MeshState,
        peer_mesh::PeerMesh,
        quotas::{
            QuotaRefusal, program_admission::patience, program_registry::ProgramRequest,
            quota_gate::QuotaGate, quota_token::QuotaToken,
        },
        reach_prober::ReachProber,
        record_retention::MIN_RETENTION,
        request_runner::{RequestRunner, RunnerContext},
        request_signature::RequestSignature,
        routed_request::RoutedRequest,
        turn_budget::{BudgetContext, BudgetRefusal, TurnBudget},
        turn_history::{HistoryTurn, chain_body, chain_size},
        turn_journal::{TurnJournal, TurnRecorder},
        turn_locator::{TurnLocator, TurnSearch},
        version_finder::{RequiredVersion, VersionFinder},
        written_reservations::WrittenReservations,
    },
    gateway::{ForwardedRequests, HostNetwork, SchedulerEntry},
    hex_text,
};

/// Time by which the final response precedes the client's deadline, so that it reaches the client in time.
const RESPONSE_MARGIN: Duration = Duration::from_millis(12);

/// Time after which a client is asked to retry while the host lacks what the request needs, such as a configuration, a
/// service, or the recorded turns and budgets.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Time after which a client is asked to retry while the buffers of the host are full.
const BUFFERS_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Time after which a client is asked to retry while this host is cut off. Other hosts may serve it at once.
pub(super) const CUT_OFF_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Reason of the refusal of a turn whose history is to be kept, while this host is cut off.
pub(super) const CUT_OFF_REASON: &str =
    "this host reaches neither the store nor a host that could record the turn";

/// Backoff between attempts to read the recorded turns and budgets.
const RESTORE_BACKOFF: BackoffPolicy =
    BackoffPolicy { first: Duration::from_millis(50), limit: Duration::from_millis(500) };

/// Time between two rounds of maintenance.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);

/// Longest time for which a turn waits for what other hosts have spent of its budget.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time after the start of a host until which requests wait for the recorded crashes.
const CRASH_RECORDS_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time that a request may spend on the search for the turns that it continues.
const SEARCH_TIMEOUT: Duration = Duration::from_secs(2);

/// A running entry host.
#[derive(Debug)]
pub struct EntryHost {
    pub(super) settings: EntrySettings,
    /// Follows the registry entries of the other entry hosts in the store.
    peers: KindFollower,
    monitor: StoreMonitor,
    pub(super) budgets: BudgetContext,
    pub(super) quotas: Arc<QuotaGate>,
    versions: VersionFinder,
    registry: HostRegistry,
    crash_records: CrashRecords,
    pub(super) context: Arc<RunnerContext>,
    forwarded_requests: ForwardedRequests,
    /// Whether the turns and budgets of earlier runs have been loaded.
    is_restored: watch::Sender<bool>,
    /// Whether the recorded crashes of requests have been loaded.
    has_crash_records: watch::Sender<bool>,
    started_at: Instant,
}

impl EntryHost {
    /// Starts a scheduler that joins the others. From then on, it serves the requests for which it has all it needs;
    /// see [`EntryHost::is_ready`].
    pub(crate) fn start(
        settings: &EntrySettings,
        backends: &EntryBackends,
        network: &HostNetwork,
        buffers: Arc<BufferBudget>,
        metrics: Arc<EntryMetrics>,
    ) -> Arc<Self> {
        let settings = settings.clone();
        let run = hex_text(&rand::random::<[u8; 6]>());
        let writer: Arc<str> = format!("{}.{run}", settings.host).into();
        let transport = Arc::clone(&network.transport) as Arc<dyn PeerTransport>;
        let ledger = Arc::new(Mutex::new(new_ledger(&settings, &writer)));
        let pool = Arc::new(
            PlacementPool::new(Arc::clone(&settings.data_centre), settings.regions.clone())
                .with_expiry(settings.expiry)
                .with_departures(Arc::clone(&network.departures))
                .with_switches(settings.switches),
        );

        let state = MeshState {
            ledger: Arc::clone(&ledger),
            departures: Arc::clone(pool.departures()),
            limits: Arc::clone(pool.limits()),
            reach: Arc::clone(pool.reach()),
            ..MeshState::default()
        };
        state.history.lock().set_limit(buffers.capacity());
        let identity = mesh_identity(&settings, &writer);
        let mesh = Arc::new(PeerMesh::new(identity, transport, state.clone()));
        let journal = Arc::new(TurnJournal::new(
            Arc::clone(&backends.store),
            Arc::clone(&ledger),
            Arc::clone(&metrics),
            writer,
        ));
        settings.store_value_bytes.iter().for_each(|it| journal.set_value_limit(*it));
        mesh.set_journal(Arc::clone(&journal));
        let locator = Arc::new(TurnLocator::new(
            Arc::clone(&backends.store),
            Arc::clone(&state.history),
            Arc::clone(&ledger),
            Arc::clone(&mesh),
            state.index,
            state.readings,
        ));

        let reservations = Arc::new(WrittenReservations::new(
            Arc::clone(&backends.store),
            Arc::clone(&ledger),
            Arc::clone(&mesh),
        ));

        let budgets = BudgetContext {
            reservations,
            ledger,
            journal: Arc::clone(&journal),
            mesh: Arc::clone(&mesh),
            locator,
        };

        let versions = VersionFinder {
            streams: Arc::clone(&state.streams),
            mesh: Arc::clone(&mesh),
            pool: Arc::clone(&pool),
        };

        let monitor = StoreMonitor::new(Arc::clone(&backends.store));
        tokio::spawn(monitor.clone().run());

        let is_dispatching = settings.switches.is_on(HostFeature::RegionDispatch);
        let runner_context = Arc::new(RunnerContext {
            keys: KeyChecker::new(&monitor, &metrics),
            dispatch: is_dispatching.then(|| RegionDispatch::new(&mesh, &pool, &metrics)),
            placements: PlacementServer::new(&pool, &metrics, is_dispatching),
            pool,
            channel: Arc::clone(&backends.channel),
            buffers,
            chains: ChainRecorder { journal: Arc::clone(&journal), history: state.history },
            crashes: state.crashes,
            presumed_crashes: Mutex::default(),
            completions: Mutex::default(),
            trials: Mutex::default(),
            streams: state.streams,
            metrics,
        });

        let peers = KindFollower {
            store: Arc::clone(&backends.store),
            kind: REGISTRY_KIND,
            listener: Arc::clone(&mesh) as Arc<dyn ObjectListener>,
            monitor: monitor.clone(),
        };

        let host = Arc::new(Self {
            peers,
            monitor,
            budgets,
            quotas: QuotaGate::start(settings.quota_tolerance, &mesh, &runner_context.metrics),
            versions,
            registry: network.registry.clone(),
            crash_records: CrashRecords::new(Arc::clone(&backends.store)),
            context: runner_context,
            forwarded_requests: ForwardedRequests::default(),
            is_restored: watch::Sender::new(false),
            has_crash_records: watch::Sender::new(false),
            started_at: Instant::now(),
            settings,
        });

        tokio::spawn(Arc::clone(&mesh).run());
        tokio::spawn(journal.run(mesh as Arc<dyn TurnRecorder>, MIN_RETENTION));
        tokio::spawn(Arc::clone(&host).run_maintenance());
        tokio::spawn(Arc::clone(&host).restore());
        tokio::spawn(host.peers.clone().run());
        tokio::spawn(ReachProber { context: Arc::clone(&host.context) }.run());
        host
    }

    /// Registers this host with the others and loads what earlier runs of all hosts have recorded. Programs are not
    /// served before that, since other hosts might spend a program's budget without asking this host.
    async fn restore(self: Arc<Self>) {
        tokio::spawn(Arc::clone(&self).load_crash_records());
        self.register().await;
        let mut attempt = 0;

        while let Err(error) = self.read_records().await {
            log::warn!("the recorded turns and budgets can't be read yet: {error}");
            RESTORE_BACKOFF.sleep(attempt).await;
            attempt += 1;
        }

        self.budgets.mesh.wait_until_synced().await;
        self.is_restored.send_replace(true);
        log::info!("turns and budgets of earlier runs are loaded");
    }

    async fn register(&self) {
        let EntrySettings { peers_address, processor_share, .. } = self.settings;
        self.registry.register(peers_address, processor_share).await;
    }

    async fn read_records(&self) -> Result<(), StoreError> {
        let mesh = &self.budgets.mesh;
        self.peers.list_all(None).await?;

        // After the loss of all hosts no peer has the records, and a host that is gone answers nothing.
        let (report, needs_reading) = oneshot::channel();
        let peers = mesh.load_records_from_peers(|| {
            let _ = report.send(());
        });
        let store = async {
            let _ = needs_reading.await;
            self.read_stored_records().await
        };
        tokio::pin!(peers, store);

        tokio::select! {
            biased;
            has_records = &mut peers => if !has_records { store.await? },
            result = &mut store => {
                // The rest of the answers tells of upstreams that leave, and may have the records.
                if !peers.await {
                    result?;
                }
            }
        }

        mesh.mark_records_loaded();
        let reservations = Arc::clone(&self.budgets.reservations);
        tokio::spawn(async move {
            if let Err(error) = reservations.remove_of_earlier_runs().await {
                log::warn!("the reservations of earlier runs can't be removed: {error}");
            }
        });
        Ok(())
    }

    /// Reads what earlier runs have recorded from the store.
    async fn read_stored_records(&self) -> Result<(), StoreError> {
        self.budgets.locator.list_batches(Instant::now()).await.map(drop)
    }

    /// Loads which requests have crashed upstreams. Peers tell it as well, but later, or stop before they do.
    async fn load_crash_records(self: Arc<Self>) {
        let mut attempt = 0;

        let notes = loop {
            match self.crash_records.read().await {
                Ok(notes) => break notes,
                Err(error) => log::warn!("the recorded crashes can't be read yet: {error}"),
            }
            RESTORE_BACKOFF.sleep(attempt).await;
            attempt += 1;
        };

        {
            let mut crashes = self.context.crashes.lock();
            notes.iter().for_each(|note| crashes.merge(note));
        }
        log::info!(notes = notes.len(); "the recorded crashes are loaded");
        self.has_crash_records.send_replace(true);
    }

    /// Waits until the recorded crashes are loaded, unless the store takes long to answer after the start of this host.
    async fn wait_for_crash_records(&self) {
        let mut loaded = self.has_crash_records.subscribe();
        let waiting = loaded.wait_for(|is_loaded| *is_loaded);
        let _ = timeout_at(self.started_at + CRASH_RECORDS_TIMEOUT, waiting).await;
    }

    /// Handles at a fixed interval what changes with time alone: expired upstreams, connections and programs, and the
    /// registry entries of this host and of dead peers.
    async fn run_maintenance(self: Arc<Self>) {
        loop {
            sleep(MAINTENANCE_INTERVAL).await;
            self.context.pool.maintain();
            self.context.channel.close_expired();
            self.context.settle_ended_runs();
            let lost_services = self.context.pool.reach().lost_services().len();
            self.context.metrics.record_lost_services(lost_services);
            self.context.metrics.record_full_memories(self.context.pool.full_memory_count());
            self.context.metrics.record_slow_starts(self.context.pool.slow_start_count());

            if self.budgets.mesh.take_deregistered() && !self.is_draining() {
                log::warn!(
                    "another host has removed this host's registry entry, registering again"
                );
                self.register().await;
                self.budgets.reservations.record_listing();
            }

            // The store may not answer, and what follows must not wait for it.
            let reservations = Arc::clone(&self.budgets.reservations);
            tokio::spawn(async move { reservations.remove_unneeded().await });
            self.remove_dead_peers().await;

            for notes in self.context.crashes.lock().take_unrecorded(CRASH_LIMIT) {
                tokio::spawn(self.crash_records.clone().write(notes));
            }

            self.refresh_retention();
            self.budgets.ledger.lock().release_idle_ahead(Instant::now());
            self.budgets.ledger.lock().prune(Instant::now());
            self.context
                .metrics
                .record_history_bytes(self.context.chains.history.lock().cached_bytes());
        }
    }

    /// Removes the registry entries of dead peers, and drops those that have none. Each removal waits for the store, so a peer
    /// may have been heard again when its turn comes.
    async fn remove_dead_peers(&self) {
        let mesh = &self.budgets.mesh;

        for dead in mesh.dead_peers(self.monitor.answered_since()) {
            if !mesh.is_dead(&dead, self.monitor.answered_since()) {
                continue;
            }

            let host = &dead.host;
            if let Some(revision) = dead.entry_revision {
                log::warn!(peer:% = host, revision; "a peer has been unresponsive for long, removing its registry entry");
                self.registry.remove_entry(host, revision).await;
            } else {
                log::warn!(peer:% = host; "a peer without a registry entry has been unresponsive for long, dropping it");
                mesh.drop_dead(host);
            }
        }
    }

    /// Finds out for how long the other hosts keep their records, on which depends when records are written again.
    fn refresh_retention(&self) {
        let mesh = &self.budgets.mesh;
        mesh.query_features();
        self.budgets.journal.retention().set_peers_lifetime(mesh.peers_lifetime());
    }

    /// Puts a configuration in force, unless the current one is at least as new.
    pub fn apply_routes(&self, table: RouteTable) {
        let current = self.table().load().version;

        if table.version <= current {
            log::info!(version = table.version, current; "a configuration that is not newer is ignored");
            return;
        }

        table.history_retentions().for_each(|it| self.budgets.journal.retention().extend(it));
        let capacities: HashMap<Arc<str>, u64> =
            table.services().map(|it| (Arc::clone(&it.name), it.cache_tokens)).collect();
        self.context.pool.set_cache_capacities(capacities);
        self.context.metrics.record_config_version(table.version);
        self.context.metrics.record_teams(table.team_count());
        self.quotas.set_enabled(table.has_quotas());
        log::info!(version = table.version, teams = table.team_count(); "configuration in force");
        self.table().store(Arc::new(table));
    }

    /// Records that the follower of the configuration has listed it, so that no version up to now is missed.
    pub fn record_config_listing(&self) {
        self.context.keys.currency.record_listing();
    }

    /// Records that the follower of the configuration has lost the store, so that versions may be missed until the next listing.
    pub fn record_config_loss(&self) {
        self.context.keys.currency.record_loss();
    }

    /// The other schedulers.
    pub(crate) fn mesh(&self) -> &Arc<PeerMesh> {
        &self.budgets.mesh
    }

    /// The requests that other hosts have forwarded to this one.
    pub(crate) fn forwarded_requests(&self) -> &ForwardedRequests {
        &self.forwarded_requests
    }

    /// Serves the other schedulers' queries for slots.
    pub(crate) fn placements(&self) -> &PlacementServer {
        &self.context.placements
    }

    /// All known schedulers with this one.
    pub(crate) fn schedulers(&self) -> Vec<SchedulerEntry> {
        self.budgets.mesh.schedulers()
    }

    /// Whether a request may run again elsewhere if this host is lost while it runs.
    pub(crate) fn is_retryable(&self, request: &EntryRequest) -> bool {
        let route = self.table().load().find(&request.host, &request.path).cloned();
        route.is_some_and(|it| it.kind.is_retryable())
    }

    /// The configuration in force, which the check of keys reads as well.
    fn table(&self) -> &ArcSwap<RouteTable> {
        &self.context.keys.routes
    }

    /// The configuration in force.
    pub fn routes(&self) -> Arc<RouteTable> {
        self.table().load_full()
    }

    /// Tells the followers of this host's store when they may have lost a watch.
    pub fn store_monitor(&self) -> &StoreMonitor {
        &self.monitor
    }

    /// The pool of upstreams of all services.
    pub fn pool(&self) -> &Arc<PlacementPool> {
        &self.context.pool
    }

    /// Whether new clients should be sent here. A host that is cut off refuses most of what they ask for, while others serve it.
    pub fn is_ready(&self) -> bool {
        let is_started = self.table().load().version > 0 && *self.is_restored.borrow();
        is_started && !self.is_draining() && !self.is_cut_off()
    }

    /// Whether the turns and budgets of earlier runs are known.
    pub(crate) fn is_restored(&self) -> bool {
        *self.is_restored.borrow()
    }

    /// Waits until the turns and budgets of earlier runs are known.
    pub(crate) async fn wait_until_loaded(&self) {
        let mut restored = self.is_restored.subscribe();
        let _ = restored.wait_for(|is_restored| *is_restored).await;
    }

    /// Whether the host has been asked to drain.
    pub fn is_draining(&self) -> bool {
        self.budgets.mesh.is_draining()
    }

    /// Makes the host unready, so that clients move to other hosts. It still serves the requests that arrive.
    pub fn drain(&self) {
        self.budgets.mesh.drain();
        log::info!("draining");
    }

    /// Removes this host's registry entry, so that other hosts do not wait for its responses.
    pub async fn deregister(&self) {
        self.registry.remove(&self.settings.host).await;
    }

    /// Waits until all unrecorded spends are recorded, for at most `max_wait`.
    pub async fn flush(&self, max_wait: Duration) {
        let flushed = timeout(max_wait, self.context.chains.journal.flush_spends()).await.is_ok();
        log::info!(flushed; "the flush of the journal has ended");
    }

    /// Handles a request and returns its response. Dropping the future cancels the request.
    pub async fn handle(&self, request: EntryRequest) -> EntryResponse {
        let (id, received) = (Arc::clone(&request.id), request.received);
        let response = self.route_request(request).await;

        match &response {
            EntryResponse::Relayed(relayed) => {
                let is_stream = matches!(relayed.body, RelayedBody::Events(_));
                self.context.metrics.count_request(
                    if is_stream { "stream" } else { "whole" },
                    relayed.status.as_str().into(),
                );
                log::info!(
                    request:% = id, status = relayed.status.as_u16(), took_ms = received.elapsed().as_millis() as u64;
                    "answered by an upstream"
                );
            }
            EntryResponse::Refused { refusal, reason } => {
                self.context.metrics.count_request("refused", refusal.to_string());
                log::info!(
                    request:% = id, refusal:% = refusal, took_ms = received.elapsed().as_millis() as u64;
                    "refused: {reason}"
                );
            }
        }

        response
    }

    /// Finds the route and the service of a request, and runs it.
    async fn route_request(&self, request: EntryRequest) -> EntryResponse {
        let table = self.table().load_full();

        if table.version == 0 {
            return EntryResponse::not_run(
                UNAVAILABLE_RETRY_AFTER,
                "there is no configuration yet",
            );
        }

        let Some(route) = table.find(&request.host, &request.path).cloned() else {
            let reason = format!("configuration {} has no such route", table.version);
            return EntryResponse::refused(EntryRefusal::NoRoute, reason);
        };

        let team = match self.context.keys.check(&table, &route, &request) {
            Ok(team) => team,
            Err(refusal) => return refusal.response(),
        };

        let service = route
            .target(split_key(&request))
            .and_then(|target| table.service(&target.service))
            .cloned();

        let Some(service) = service else {
            return EntryResponse::not_run(UNAVAILABLE_RETRY_AFTER, "the route has no service");
        };

        self.wait_for_crash_records().await;
        let signature = RequestSignature::new(&request, team.as_ref());

        if let Err(refusal) = self.context.check_crashes(signature) {
            return EntryResponse::not_run(refusal.retry_after, refusal.reason);
        }

        let deadline = response_deadline(&request, &route);
        let found = FoundRoute { config_version: table.version, route, team, service };
        self.run(request, found, signature, deadline).await
    }

    /// Service that a request needs, if the configuration in force names one.
    pub(crate) fn service_of(&self, request: &EntryRequest) -> Option<Arc<str>> {
        let table = self.table().load();
        let route = table.find(&request.host, &request.path)?;
        route.target(split_key(request)).map(|it| Arc::clone(&it.service))
    }

    /// Runs a request on its route and service.
    async fn run(
        &self,
        request: EntryRequest,
        found: FoundRoute,
        signature: RequestSignature,
        deadline: Instant,
    ) -> EntryResponse {
        let limit = found.limit();
        let FoundRoute { route, team, service, .. } = found;

        if request.program.is_some()
            && service.tokens_per_event > 0
            && !self.wait_until_restored(deadline).await
        {
            let reason = "the turns and budgets of earlier runs are not known yet";
            return EntryResponse::not_run(UNAVAILABLE_RETRY_AFTER, reason);
        }

        // Another host does all that follows by itself.
        if self.context.pool.reach().is_lost(&service.name) {
            return EntryResponse::out_of_reach(request.possible_runs.count() > 0);
        }

        let scope = TeamScope::new(team.as_ref());
        let step =
            limit.as_ref().and_then(|_| self.program_request(&request, scope, &route, &service));
        if let (Some(limit), Some(step)) = (&limit, &step)
            && let Err(refusal) = self.quotas.admit(&limit.team, limit.limit, step, deadline).await
        {
            return quota_refusal(&refusal);
        }

        let found = self.versions.find(&request, scope, &route, &service.name).await;
        let software_version = match found {
            RequiredVersion::Any => None,
            RequiredVersion::Only(version) => Some(version),
            RequiredVersion::Unknown => {
                let reason = "the software version that has begun the stream is not known";
                return EntryResponse::not_run(UNAVAILABLE_RETRY_AFTER, reason);
            }
        };

        if route.history_retention.is_some()
            && self.context.chains.journal.is_input_too_large(&request.body)
        {
            let reason = "the turn is larger than the values of the store, so it can't be kept";
            return EntryResponse::refused(EntryRefusal::TooLarge, reason);
        }

        if route.history_retention.is_some() && self.is_cut_off() {
            return EntryResponse::not_run(CUT_OFF_RETRY_AFTER, CUT_OFF_REASON);
        }

        let chain = match self.find_chain(&request, scope, &route, deadline).await {
            Ok(chain) => chain,
            Err(response) => return response,
        };

        let reserving = self.reserve_budget(&request, scope, &route, &service, deadline);
        let budget = match reserving.await {
            Ok(budget) => budget,
            Err(response) => return response,
        };

        let body_lease = match self.lease_chain_body(&chain, &request.body) {
            Ok(lease) => lease,
            Err(error) => return EntryResponse::not_run(BUFFERS_RETRY_AFTER, error.to_string()),
        };

        let token = match self.acquire_quota(limit, &request, step.as_ref(), deadline).await {
            Ok(token) => token.map(Arc::new),
            Err(response) => return response,
        };

        let routed = RoutedRequest {
            body: chain_body(&chain, &request.body),
            _body_lease: body_lease,
            chain,
            software_version,
            request,
            team,
            route,
            service,
            signature,
            deadline,
        };

        let runner = RequestRunner::new(Arc::clone(&self.context), routed, budget);
        let response = runner.with_quota_token(token.clone()).run().await;
        if let Some(token) = token
            && response.states_not_run()
        {
            token.give_back();
        }
        response
    }

    /// What a request states about its program, if programs of its kind are admitted whole: those with a token budget, whose
    /// turns all hosts forward to one scheduler.
    fn program_request(
        &self,
        request: &EntryRequest,
        scope: TeamScope<'_>,
        route: &ServiceRoute,
        service: &ServiceConfig,
    ) -> Option<ProgramRequest> {
        let program = request.program.as_ref()?;
        let is_turn = service.tokens_per_event > 0 || service.cache_tokens > 0;
        if is_turn && program.token_budget.is_none() {
            return None;
        }

        let id = scope.id(&program.id);
        // The owner of the program may have been lost, and the budgets of its programs are known to the others.
        let has_begun = program.previous_turn.is_some()
            || request.resumed_request.is_some()
            || request.possible_runs.count() > 0
            || self.budgets.ledger.lock().total(&id) > 0;
        Some(ProgramRequest { program: id, route: Arc::clone(&route.name), is_turn, has_begun })
    }

    /// Counts a request against its team's quota; `None` without a quota. A request that may have run through another host is
    /// counted again, as that host may have been lost before it counted it.
    async fn acquire_quota(
        &self,
        limit: Option<TeamLimit>,
        request: &EntryRequest,
        step: Option<&ProgramRequest>,
        deadline: Instant,
    ) -> Result<Option<QuotaToken>, EntryResponse> {
        let Some(TeamLimit { team, limit }) = limit else {
            return Ok(None);
        };

        // Programs in progress come first, and this one has been admitted.
        let patience = request.program.as_ref().map_or(Duration::ZERO, |program| {
            patience(Instant::now(), deadline, program.finish_by)
        });
        match self.quotas.acquire_within(&team, limit, deadline, patience).await {
            Ok(token) => Ok(Some(token)),
            Err(refusal) => {
                step.iter().for_each(|it| self.quotas.record_program_refusal(it));
                Err(quota_refusal(&refusal))
            }
        }
    }

    /// Counts the prompt of a request that continues earlier turns, as it is a copy of all of them.
    fn lease_chain_body(
        &self,
        chain: &[Arc<HistoryTurn>],
        input: &Bytes,
    ) -> Result<Option<BufferLease>, BuffersFull> {
        if chain.is_empty() {
            return Ok(None);
        }

        let mut lease = self.context.buffers.lease_request();
        lease.resize(chain_size(chain, input))?;
        Ok(Some(lease))
    }

    /// Whether this host reaches neither the store nor another host, so that no turn can be recorded. While others are heard, the
    /// store is away for all of them, or one of them records.
    pub(super) fn is_cut_off(&self) -> bool {
        self.monitor.answered_since().is_none() && self.budgets.mesh.hears_nobody()
    }

    /// Waits until the turns and budgets of earlier runs are loaded, for at most half of the request's remaining time.
    /// Returns whether they are.
    async fn wait_until_restored(&self, deadline: Instant) -> bool {
        let restore_timeout = deadline.saturating_duration_since(Instant::now()) / 2;
        let mut restored = self.is_restored.subscribe();
        let waiting = restored.wait_for(|is_restored| *is_restored);
        matches!(timeout(restore_timeout, waiting).await, Ok(Ok(_)))
    }

    /// Finds the turns that a request continues, the oldest first.
    async fn find_chain(
        &self,
        request: &EntryRequest,
        scope: TeamScope<'_>,
        route: &ServiceRoute,
        deadline: Instant,
    ) -> Result<Vec<Arc<HistoryTurn>>, EntryResponse> {
        let previous = request.program.as_ref().and_then(|it| it.previous_turn.as_ref());
        let (Some(retention), Some(previous)) = (route.history_retention, previous) else {
            return Ok(Vec::new());
        };

        let search_timeout = SEARCH_TIMEOUT.min(deadline.saturating_duration_since(Instant::now()));
        let last = scope.id(previous);
        let search = timeout(search_timeout, self.budgets.locator.find(&last, retention)).await;

        match search.unwrap_or(TurnSearch::Unknown) {
            TurnSearch::Found(chain) => Ok(chain),
            TurnSearch::Absent => {
                let reason = format!("no turn {previous} is recorded");
                Err(EntryResponse::refused(EntryRefusal::UnknownTurn, reason))
            }
            TurnSearch::Unknown => {
                let reason = format!("turn {previous} can't be looked for at present");
                Err(EntryResponse::not_run(UNAVAILABLE_RETRY_AFTER, reason))
            }
        }
    }

    /// Reserves the request's completion tokens in its program's budget; `None` for a request without a budget.
    async fn reserve_budget(
        &self,
        request: &EntryRequest,
        scope: TeamScope<'_>,
        route: &ServiceRoute,
        service: &ServiceConfig,
        deadline: Instant,
    ) -> Result<Option<TurnBudget>, EntryResponse> {
        let Some(program) = &request.program else {
            return Ok(None);
        };
        let Some(budget) = program.token_budget.filter(|_| service.tokens_per_event > 0) else {
            return Ok(None);
        };

        let account = scope.id(&program.id);

        if route.history_retention.is_some() {
            self.budgets.ledger.lock().mark_history(&account);
        }

        let now = Instant::now();
        // The turn needs the rest of its time to run.
        let confirmation_time =
            CONFIRMATION_TIMEOUT.min(deadline.saturating_duration_since(now) / 2);
        let tokens = request.max_completion_tokens;
        let reservation = TurnBudget::reserve(
            &self.budgets,
            &account,
            budget,
            tokens,
            request.is_forwarded,
            now + confirmation_time,
        )
        .await;

        reservation.map(Some).map_err(|refusal| {
            let spent = self.budgets.ledger.lock().total(&account);
            let reason = format!(
                "program {} has spent or reserved {spent} of {budget} tokens and asks for {}",
                program.id, request.max_completion_tokens
            );

            match refusal {
                BudgetRefusal::Spent => EntryResponse::refused(EntryRefusal::BudgetSpent, reason),
                BudgetRefusal::Unknown => EntryResponse::not_run(UNAVAILABLE_RETRY_AFTER, reason),
            }
        })
    }
}

/// Response to a request beyond its team's quota.
fn quota_refusal(refusal: &QuotaRefusal) -> EntryResponse {
    let kind = EntryRefusal::QuotaExceeded { retry_after: refusal.retry_after };
    EntryResponse::refused(kind, refusal.to_string())
}

/// Ledger of a host's run.
fn new_ledger(settings: &EntrySettings, writer: &Arc<str>) -> BudgetLedger {
    let mut ledger = BudgetLedger::default();
    ledger.set_local_writer(Arc::clone(writer));

    if !settings.switches.is_on(HostFeature::ReserveAhead) {
        ledger.disable_ahead();
    }
    ledger
}

/// Identity of a host's run, as its peers receive it.
fn mesh_identity(settings: &EntrySettings, writer: &Arc<str>) -> MeshIdentity {
    MeshIdentity {
        host: Arc::clone(&settings.host),
        address: settings.peers_address,
        region: settings.region(),
        writer: Arc::clone(writer),
    }
}

/// Latest time of the final response.
pub(super) fn response_deadline(request: &EntryRequest, route: &ServiceRoute) -> Instant {
    let route_deadline = request.received + route.time_limit();
    let with_margin = |client_deadline: Instant| {
        client_deadline
            .checked_sub(RESPONSE_MARGIN)
            .map_or(route_deadline, |latest| latest.min(route_deadline))
    };
    request.deadline.map_or(route_deadline, with_margin)
}

/// Key by which a request is assigned to one of its route's targets.
pub(super) fn split_key(request: &EntryRequest) -> u64 {
    let key = request.program.as_ref().map_or(&request.id, |it| &it.id);
    xxh3_64(key.as_bytes())
}
