//! The dispatchers that this host plays.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use futures_util::{StreamExt, future::join_all, stream};
use parking_lot::Mutex;
use tokio::time::timeout;

use crate::{
    CellDispatcher, CellEvent, CellId, CellStatus, ClusterView, ConfigStore, CrashNote,
    CrashTracker, CreateOutcome, EngineOrder, HostName, ModelKind, NodeMetrics, PeerMessage,
    PeerTransport, PlatformClient, ProgramId, UpstreamClient, UpstreamName, UpstreamTerms,
    UpstreamWatcher,
    membership::{frame_codec::encode_frame, peer_transport::peer_call},
};

/// Time between two looks at the queues for what only time has changed.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Time for a peer to take note of crashes.
const TELL_TIMEOUT: Duration = Duration::from_millis(300);

/// Release orders that run at once.
const ORDER_CONCURRENCY: usize = 8;

/// Tries to take a term of office before orders go out without one.
const TERM_ATTEMPTS: u64 = 8;

#[derive(Debug)]
struct DispatcherOffice {
    dispatcher: Arc<CellDispatcher>,
    watcher: Arc<UpstreamWatcher>,
    /// Fencing number of this time of office, taken from the platform when the first order needs it.
    fence: Arc<tokio::sync::OnceCell<u64>>,
}

/// Dispatchers by cell. A dispatcher is made by the first request for it, and leaves office when another host is to
/// play it.
#[derive(Debug)]
pub(crate) struct DispatcherTable {
    offices: Mutex<BTreeMap<CellId, DispatcherOffice>>,
    host: HostName,
    view: ClusterView,
    config: Arc<ConfigStore>,
    platform: Arc<dyn PlatformClient>,
    client: Arc<dyn UpstreamClient>,
    transport: Arc<dyn PeerTransport>,
    metrics: Arc<NodeMetrics>,
    /// What all cells have found out about requests that crash upstreams, for cells that open later.
    crashes: Mutex<CrashTracker>,
}

/// An upstream for operators.
#[derive(Clone, Debug, serde::Serialize)]
pub(crate) struct UpstreamStatus {
    pub(crate) upstream: UpstreamName,
    pub(crate) state: &'static str,
}

/// An engine of a cell that this host plays.
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
            offices: Mutex::default(),
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

    /// Tells all cells, here and on peers, what one of them has found out about requests that crash upstreams. Whoever
    /// reports a crash waits for this, so that a request that is sent again finds it known everywhere. Crashes are rare,
    /// so each host is told itself.
    pub(crate) async fn broadcast_crashes(&self, cell: &CellId) {
        let dispatcher = self.offices.lock().get(cell).map(|it| Arc::clone(&it.dispatcher));
        let notes = dispatcher.map(|it| it.take_crash_news()).unwrap_or_default();

        if notes.is_empty() {
            return;
        }

        self.import_crashes(cell, &notes);
        let message = PeerMessage::CrashesNoted { cell: cell.clone(), notes };

        let told = self.view.peers().into_iter().map(|peer| {
            let message = &message;

            async move {
                let exchange = peer_call(&*self.transport, peer.address, message);

                if !matches!(timeout(TELL_TIMEOUT, exchange).await, Ok(Ok(_))) {
                    log::warn!(peer:% = peer.name; "a peer was not told of crashes");
                }
            }
        });

        join_all(told).await;
    }

    /// Takes over what a cell, here or on a peer, has found out about requests that crash upstreams.
    pub(crate) fn import_crashes(&self, from: &CellId, notes: &[CrashNote]) {
        notes.iter().for_each(|note| self.crashes.lock().import(*note));

        let dispatchers: Vec<Arc<CellDispatcher>> = {
            let offices = self.offices.lock();
            let others = offices.iter().filter(|(cell, _)| *cell != from);
            others.map(|(_, office)| Arc::clone(&office.dispatcher)).collect()
        };

        for dispatcher in dispatchers {
            dispatcher.feed(CellEvent::CrashesNoted { notes: notes.to_vec() });
        }
    }

    /// Gives the dispatcher of a cell, if this host plays it.
    pub(crate) fn dispatcher(&self, cell: &CellId) -> Option<Arc<CellDispatcher>> {
        if !self.view.dispatcher(cell).is_some_and(|target| target.is_own) {
            return None;
        }

        let mut offices = self.offices.lock();

        let office = offices.entry(cell.clone()).or_insert_with(|| self.open_office(cell));
        Some(Arc::clone(&office.dispatcher))
    }

    /// Takes note that a request failed at an upstream.
    pub(crate) fn report_failure(&self, cell: &CellId, upstream: &UpstreamName) {
        if let Some(office) = self.offices.lock().get(cell) {
            office.watcher.report_failure(upstream);
        }
    }

    /// Keeps dispatchers in line with the configuration and with the hosts, until the host stops.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut interval = tokio::time::interval(TICK_INTERVAL);
        let mut number = 0;

        loop {
            interval.tick().await;
            self.retire_lost();

            if self.config.number() != number {
                number = self.config.number();
                self.sync_upstreams();
            }

            let dispatchers: Vec<Arc<CellDispatcher>> = {
                let offices = self.offices.lock();
                offices.values().map(|office| Arc::clone(&office.dispatcher)).collect()
            };

            for dispatcher in dispatchers {
                dispatcher.tick();
                self.broadcast_crashes(dispatcher.cell()).await;
            }
        }
    }

    /// Leaves every office.
    pub(crate) fn retire_all(&self) {
        let offices = std::mem::take(&mut *self.offices.lock());
        offices.values().for_each(|office| office.dispatcher.retire());
    }

    /// Forgets the prefixes of programs that have ended, and orders the engines to release them.
    pub(crate) async fn end_programs(&self, cell: &CellId, programs: Vec<ProgramId>) {
        let Some(dispatcher) = self.dispatcher(cell) else {
            return;
        };

        for program in programs {
            let upstreams = dispatcher.residences(program);
            dispatcher.feed(CellEvent::ProgramEnded { program });
            self.release_cache(cell, &upstreams, program).await;
        }
    }

    pub(crate) fn cells(&self) -> Vec<CellStatus> {
        self.offices.lock().values().map(|office| office.dispatcher.status()).collect()
    }

    pub(crate) fn upstreams(&self) -> Vec<UpstreamStatus> {
        let offices = self.offices.lock();

        offices
            .values()
            .flat_map(|office| office.watcher.states())
            .map(|(upstream, state)| UpstreamStatus { upstream, state })
            .collect()
    }

    /// Engines of the cells that this host plays.
    pub(crate) fn engines(&self) -> Vec<CellEngine> {
        let config = self.config.document();
        let cells: Vec<CellId> = self.offices.lock().keys().cloned().collect();

        let is_engine = |cell: &CellId| {
            let model = config.document.models.get(&cell.model);
            model.is_some_and(|model| model.kind == ModelKind::Engine)
        };

        cells
            .into_iter()
            .filter(is_engine)
            .flat_map(|cell| {
                let upstreams = self.wanted(&cell);

                upstreams.into_iter().map(move |(upstream, terms)| CellEngine {
                    cell: cell.clone(),
                    upstream,
                    url: terms.url,
                })
            })
            .collect()
    }

    /// Orders engines to release what a program holds. The order states the wanted end, so repeating it is harmless.
    pub(crate) async fn release_cache(
        &self,
        cell: &CellId,
        upstreams: &[UpstreamName],
        program: ProgramId,
    ) {
        let fence = self.fence(cell).await;
        let order = EngineOrder { kind: "release", cache_key: program.to_string(), fence };
        let config = self.config.document();

        stream::iter(upstreams.iter().filter_map(|name| config.document.upstreams.get(name)))
            .for_each_concurrent(ORDER_CONCURRENCY, |terms| async {
                if let Err(error) = self.client.order(&terms.url, &order).await {
                    log::warn!(cell:% = cell, program:% = program; "a release failed: {error}");
                }
            })
            .await;
    }

    fn open_office(&self, cell: &CellId) -> DispatcherOffice {
        let term = format!("{}-{:016x}", self.host, rand::random::<u64>());
        let policy = self.config.document().document.policy;
        let metrics = Arc::clone(&self.metrics);
        let dispatcher = Arc::new(CellDispatcher::new(cell.clone(), policy, &term, metrics));
        dispatcher.feed(CellEvent::CrashesNoted { notes: self.crashes.lock().notes() });
        let watcher = UpstreamWatcher::start(&dispatcher, Arc::clone(&self.client));
        let wanted = self.wanted(cell);
        dispatcher.sync_upstreams(&wanted);
        watcher.sync_upstreams(&wanted);
        log::info!(cell:% = cell, term; "this host dispatches for the cell");
        DispatcherOffice { dispatcher, watcher, fence: Arc::default() }
    }

    fn retire_lost(&self) {
        let mut offices = self.offices.lock();

        offices.retain(|cell, office| {
            let is_own = self.view.dispatcher(cell).is_none_or(|target| target.is_own);

            if !is_own {
                log::info!(cell:% = cell; "another host dispatches for the cell");
                office.dispatcher.retire();
            }

            is_own
        });
    }

    fn sync_upstreams(&self) {
        for (cell, office) in self.offices.lock().iter() {
            let wanted = self.wanted(cell);
            office.dispatcher.sync_upstreams(&wanted);
            office.watcher.sync_upstreams(&wanted);
        }
    }

    fn wanted(&self, cell: &CellId) -> BTreeMap<UpstreamName, UpstreamTerms> {
        let config = self.config.document();

        let model = config.document.models.get(&cell.model);
        let is_service = model.is_some_and(|model| model.kind == ModelKind::Service);

        let wanted = |terms: &UpstreamTerms| UpstreamTerms {
            // A service caches no prefixes, whatever the configuration says of its memory.
            cache_tokens: if is_service { 0 } else { terms.cache_tokens },
            ..terms.clone()
        };

        config
            .document
            .upstreams
            .iter()
            .filter(|(_, terms)| terms.region == cell.region && terms.model == cell.model)
            .map(|(name, terms)| (name.clone(), wanted(terms)))
            .collect()
    }

    /// Gives the fencing number of this time of office: the number of the first free object of the cell's log of
    /// terms. An engine that checks fencing refuses orders of an earlier term.
    async fn fence(&self, cell: &CellId) -> u64 {
        let Some(fence) = self.offices.lock().get(cell).map(|office| Arc::clone(&office.fence))
        else {
            return 0;
        };

        *fence.get_or_init(|| self.take_term(cell)).await
    }

    async fn take_term(&self, cell: &CellId) -> u64 {
        let prefix = format!("terms/{cell}/");

        for _ in 0..TERM_ATTEMPTS {
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
