//! The dispatchers that run on this host.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use futures_util::{StreamExt, future::join_all, stream};
use parking_lot::Mutex;
use tokio::time::timeout;

use crate::{
    CellDispatcher, CellEvent, CellId, CellReport, CellStatus, ClusterView, ConfigStore, CrashNote,
    CrashTracker, CreateOutcome, DispatchTicket, EngineOrder, HostName, ModelKind, NodeMetrics,
    PeerMessage, PeerTransport, PlatformClient, ProgramId, UpstreamClient, UpstreamName,
    UpstreamTerms, UpstreamWatcher,
    membership::{frame_codec::encode_frame, peer_transport::peer_call},
};

/// Time between two checks of all queues for expired requests and holds.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Time for a peer to acknowledge crash counts.
const BROADCAST_TIMEOUT: Duration = Duration::from_millis(300);

/// Release orders in flight at once.
const MAX_CONCURRENT_ORDERS: usize = 8;

/// Attempts to claim a term before orders are sent with the fence 0.
const MAX_TERM_ATTEMPTS: u64 = 8;

/// A dispatcher that has not been retired, with the watcher of its upstreams.
#[derive(Debug)]
struct ActiveDispatcher {
    dispatcher: Arc<CellDispatcher>,
    watcher: Arc<UpstreamWatcher>,
    /// Fencing number of the dispatcher's term, claimed from the platform when the first order needs it.
    fence: Arc<tokio::sync::OnceCell<u64>>,
}

/// Dispatchers by cell. A dispatcher is started by the first request for its cell, and retired when membership assigns
/// the cell to another host.
#[derive(Debug)]
pub(crate) struct DispatcherTable {
    active: Mutex<BTreeMap<CellId, ActiveDispatcher>>,
    host: HostName,
    view: ClusterView,
    config: Arc<ConfigStore>,
    platform: Arc<dyn PlatformClient>,
    client: Arc<dyn UpstreamClient>,
    transport: Arc<dyn PeerTransport>,
    metrics: Arc<NodeMetrics>,
    /// Crash counts of all cells, with which new dispatchers start.
    crashes: Mutex<CrashTracker>,
}

/// Health of an upstream, as the operator API lists it.
#[derive(Clone, Debug, serde::Serialize)]
pub(crate) struct UpstreamStatus {
    pub(crate) upstream: UpstreamName,
    pub(crate) state: &'static str,
}

/// An engine of a cell that this host dispatches for.
#[derive(Clone, Debug)]
pub(crate) struct CellEngine {
    pub(crate) cell: CellId,
    pub(crate) upstream: UpstreamName,
    pub(crate) url: Arc<str>,
}

impl DispatcherTable {
    pub(crate) fn new(
        host: HostName,
        view: ClusterView,
        config: Arc<ConfigStore>,
        platform: Arc<dyn PlatformClient>,
        client: Arc<dyn UpstreamClient>,
        transport: Arc<dyn PeerTransport>,
        metrics: Arc<NodeMetrics>,
    ) -> Self {
        Self {
            active: Mutex::default(),
            host,
            view,
            config,
            platform,
            client,
            transport,
            metrics,
            crashes: Mutex::default(),
        }
    }

    /// Sends a cell's new crash counts to all other cells, here and on peers. The reporter of a crash waits for this,
    /// so that a retry of the request meets the new count in every cell. Crashes are rare, so each peer is sent a
    /// message of its own.
    pub(crate) async fn broadcast_crashes(&self, cell: &CellId) {
        let dispatcher = self.active.lock().get(cell).map(|it| Arc::clone(&it.dispatcher));
        let notes = dispatcher.map(|it| it.take_crash_notes()).unwrap_or_default();

        if notes.is_empty() {
            return;
        }

        self.merge_crashes(cell, &notes);
        let message = PeerMessage::CrashesNoted { cell: cell.clone(), notes };

        let deliveries = self.view.peers().into_iter().map(|peer| {
            let message = &message;

            async move {
                let exchange = peer_call(&*self.transport, peer.address, message);

                if !matches!(timeout(BROADCAST_TIMEOUT, exchange).await, Ok(Ok(_))) {
                    log::warn!(peer:% = peer.name; "a peer did not acknowledge crash counts");
                }
            }
        });

        join_all(deliveries).await;
    }

    /// Merges crash counts of a cell, here or on a peer, into those of all other cells of this host, also of those that
    /// start later.
    pub(crate) fn merge_crashes(&self, from: &CellId, notes: &[CrashNote]) {
        notes.iter().for_each(|note| self.crashes.lock().merge(note));

        let dispatchers: Vec<Arc<CellDispatcher>> = {
            let active = self.active.lock();
            let others = active.iter().filter(|(cell, _)| *cell != from);
            others.map(|(_, entry)| Arc::clone(&entry.dispatcher)).collect()
        };

        for dispatcher in dispatchers {
            dispatcher.handle_event(CellEvent::CrashesNoted { notes: notes.to_vec() });
        }
    }

    /// Returns the dispatcher of a cell, and starts it if necessary, or `None` if this host does not dispatch for the
    /// cell.
    pub(crate) fn dispatcher(&self, cell: &CellId) -> Option<Arc<CellDispatcher>> {
        if !self.view.dispatcher(cell).is_some_and(|target| target.is_local) {
            return None;
        }

        let mut active = self.active.lock();

        let entry = active.entry(cell.clone()).or_insert_with(|| self.start_dispatcher(cell));
        Some(Arc::clone(&entry.dispatcher))
    }

    /// Ends a granted request. If it failed, the upstream is probed at once, and other cells are told of a crash.
    pub(crate) async fn finish_grant(
        &self,
        cell: &CellId,
        upstream: &UpstreamName,
        ticket: DispatchTicket,
        report: CellReport,
    ) {
        let watcher = self.active.lock().get(cell).map(|it| Arc::clone(&it.watcher));

        match watcher {
            Some(watcher) => watcher.finish_grant(upstream, ticket, report),
            None => ticket.finish(report),
        }

        if report.result.indicates_failure() {
            self.broadcast_crashes(cell).await;
        }
    }

    /// Retires reassigned dispatchers, applies changes of the configuration and ticks all dispatchers, until the host
    /// stops.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut interval = tokio::time::interval(TICK_INTERVAL);
        let mut config_number = 0;

        loop {
            interval.tick().await;
            self.retire_reassigned();

            if self.config.number() != config_number {
                config_number = self.config.number();
                self.sync_upstreams();
            }

            let dispatchers: Vec<Arc<CellDispatcher>> = {
                let active = self.active.lock();
                active.values().map(|entry| Arc::clone(&entry.dispatcher)).collect()
            };

            for dispatcher in dispatchers {
                dispatcher.tick();
                self.broadcast_crashes(dispatcher.cell()).await;
            }
        }
    }

    /// Retires all dispatchers, as the host stops.
    pub(crate) fn retire_all(&self) {
        let active = std::mem::take(&mut *self.active.lock());
        active.values().for_each(|entry| entry.dispatcher.retire());
    }

    /// Removes the cached prefixes of programs that have ended, and orders the engines to release them.
    pub(crate) async fn end_programs(&self, cell: &CellId, programs: Vec<ProgramId>) {
        let Some(dispatcher) = self.dispatcher(cell) else {
            return;
        };

        for program in programs {
            let upstreams = dispatcher.upstreams_with_prefix(program);
            dispatcher.handle_event(CellEvent::ProgramEnded { program });
            self.release_cache(cell, &upstreams, program).await;
        }
    }

    /// Status of the cells that this host dispatches for.
    pub(crate) fn cells(&self) -> Vec<CellStatus> {
        self.active.lock().values().map(|entry| entry.dispatcher.status()).collect()
    }

    /// Health of the upstreams in the cells that this host dispatches for.
    pub(crate) fn upstreams(&self) -> Vec<UpstreamStatus> {
        let active = self.active.lock();

        active
            .values()
            .flat_map(|entry| entry.watcher.states())
            .map(|(upstream, state)| UpstreamStatus { upstream, state })
            .collect()
    }

    /// Engines of the cells that this host dispatches for.
    pub(crate) fn engines(&self) -> Vec<CellEngine> {
        let config = self.config.state();
        let cells: Vec<CellId> = self.active.lock().keys().cloned().collect();

        let is_engine = |cell: &CellId| {
            let model = config.document.models.get(&cell.model);
            model.is_some_and(|model| model.kind == ModelKind::Engine)
        };

        cells
            .into_iter()
            .filter(is_engine)
            .flat_map(|cell| {
                let upstreams = self.configured_upstreams(&cell);

                upstreams.into_iter().map(move |(upstream, terms)| CellEngine {
                    cell: cell.clone(),
                    upstream,
                    url: terms.url,
                })
            })
            .collect()
    }

    /// Orders engines to release a program's cached prefix. The order is idempotent.
    pub(crate) async fn release_cache(
        &self,
        cell: &CellId,
        upstreams: &[UpstreamName],
        program: ProgramId,
    ) {
        let fence = self.fence(cell).await;
        let order = EngineOrder { kind: "release", cache_key: program.to_string(), fence };
        let config = self.config.state();

        stream::iter(upstreams.iter().filter_map(|name| config.document.upstreams.get(name)))
            .for_each_concurrent(MAX_CONCURRENT_ORDERS, |terms| async {
                if let Err(error) = self.client.send_order(&terms.url, &order).await {
                    log::warn!(
                        cell:% = cell, program:% = program;
                        "an engine did not release a program's cached prefix: {error}"
                    );
                }
            })
            .await;
    }

    fn start_dispatcher(&self, cell: &CellId) -> ActiveDispatcher {
        let term = format!("{}-{:016x}", self.host, rand::random::<u64>());
        let policy = self.config.state().document.policy;
        let metrics = Arc::clone(&self.metrics);
        let dispatcher = Arc::new(CellDispatcher::new(cell.clone(), policy, &term, metrics));
        dispatcher.handle_event(CellEvent::CrashesNoted { notes: self.crashes.lock().notes() });
        let watcher = UpstreamWatcher::start(&dispatcher, Arc::clone(&self.client));
        let configured = self.configured_upstreams(cell);
        dispatcher.sync_upstreams(&configured);
        watcher.sync_upstreams(&configured);
        log::info!(cell:% = cell, term; "dispatcher started");
        ActiveDispatcher { dispatcher, watcher, fence: Arc::default() }
    }

    /// Retires the dispatchers of cells that membership has assigned to another host.
    fn retire_reassigned(&self) {
        let mut active = self.active.lock();

        active.retain(|cell, entry| {
            let is_local = self.view.dispatcher(cell).is_none_or(|target| target.is_local);

            if !is_local {
                log::info!(
                    cell:% = cell;
                    "dispatcher retired: another host dispatches for the cell"
                );
                entry.dispatcher.retire();
            }

            is_local
        });
    }

    fn sync_upstreams(&self) {
        for (cell, entry) in self.active.lock().iter() {
            let configured = self.configured_upstreams(cell);
            entry.dispatcher.sync_upstreams(&configured);
            entry.watcher.sync_upstreams(&configured);
        }
    }

    /// Upstreams of a cell according to the configuration.
    fn configured_upstreams(&self, cell: &CellId) -> BTreeMap<UpstreamName, UpstreamTerms> {
        let config = self.config.state();

        let model = config.document.models.get(&cell.model);
        let is_service = model.is_some_and(|model| model.kind == ModelKind::Service);

        let effective_terms = |terms: &UpstreamTerms| UpstreamTerms {
            // A service caches no prefixes, whatever cache size the configuration states.
            cache_tokens: if is_service { 0 } else { terms.cache_tokens },
            ..terms.clone()
        };

        config
            .document
            .upstreams
            .iter()
            .filter(|(_, terms)| terms.region == cell.region && terms.model == cell.model)
            .map(|(name, terms)| (name.clone(), effective_terms(terms)))
            .collect()
    }

    /// Fencing number of the dispatcher's term, claimed at the first use. An engine that checks fencing refuses orders
    /// of an earlier term. Returns 0 if the dispatcher is gone, or if no term could be claimed; in the latter case the
    /// fence stays 0 until the dispatcher is retired.
    async fn fence(&self, cell: &CellId) -> u64 {
        let Some(fence) = self.active.lock().get(cell).map(|entry| Arc::clone(&entry.fence)) else {
            return 0;
        };

        *fence.get_or_init(|| self.claim_term(cell)).await
    }

    /// Claims the next term of a cell by creating the first free object under `terms/{cell}/`, whose number is the
    /// fence.
    async fn claim_term(&self, cell: &CellId) -> u64 {
        let prefix = format!("terms/{cell}/");

        for _ in 0..MAX_TERM_ATTEMPTS {
            let Ok(keys) = self.platform.list(&prefix, "").await else {
                continue;
            };

            let last = keys
                .last()
                .and_then(|key| crate::platform_calls::snapshot_store::key_sequence(key));
            let term = last.unwrap_or(0) + 1;
            let key = format!("{prefix}{term:012}");
            let created = self.platform.create(&key, encode_frame(&self.host)).await;

            if created == Ok(CreateOutcome::Created) {
                return term;
            }
        }

        0
    }
}
