//! An entry host in its role: it serves clients as a scheduler or as a gateway, and changes from gateway to scheduler
//! if its region needs one.

use std::{
    fmt::Debug,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
};

use async_trait::async_trait;
use eyre::Result;
use futures_util::future::join_all;
use tokio::time::{Duration, Instant, sleep, timeout};

use crate::{
    BackoffPolicy, PeerHandler, PeerMessage, PeerStream, PeerTransport,
    entry::{
        BufferBudget, EntryBackends, EntryHost, EntryRequest, EntrySettings, ExplainError,
        Explanation, LoadMonitor, ReadFreshness, RouteLimits,
        dispatching::placement_denial::PlacementDenial, entry_metrics::EntryMetrics,
        mesh_connector::MeshConnector,
    },
    gateway::{
        DeclineReason, HostNetwork, RequestForwarder, SchedulerDirectory, SchedulerEntry,
        forward_server::{decline, serve_offer},
        role_policy::{candidate_delay, is_region_short, should_schedule},
    },
};

/// Time between two questions of a gateway to a scheduler for the list of schedulers.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(700);

/// The same while no scheduler has answered yet, or none has for long.
const FIRST_FOLLOW_INTERVAL: Duration = Duration::from_millis(150);

/// Time for a scheduler to respond to such a question.
const FOLLOW_TIMEOUT: Duration = Duration::from_millis(600);

/// Questions in a row without a response, or with a list that is too short, after which a gateway reads the registry.
const MAX_FAILED_QUESTIONS: u32 = 3;

/// Delays between attempts to read the registry while the store does not answer.
const REGISTRY_BACKOFF: BackoffPolicy =
    BackoffPolicy { first: Duration::from_millis(100), limit: Duration::from_secs(1) };

/// Connects a host that has become a scheduler to what only schedulers follow: the configuration and the upstreams.
pub trait SchedulerStarter: Debug + Send + Sync {
    /// Called once, when the host has become a scheduler.
    fn start(&self, host: &Arc<EntryHost>);
}

/// An entry host with its role.
#[derive(Debug)]
pub struct EntryNode {
    pub(super) settings: EntrySettings,
    backends: EntryBackends,
    network: HostNetwork,
    starter: Arc<dyn SchedulerStarter>,
    pub(super) forwarder: RequestForwarder,
    /// The scheduler, once this host has become one.
    pub(crate) host: OnceLock<Arc<EntryHost>>,
    is_draining: AtomicBool,
    /// Whether this host has decided to be a gateway or a scheduler. Until then it only forwards the requests that arrive.
    has_role: AtomicBool,
    /// When this host ends, once that is known.
    pub(super) stops_at: OnceLock<Instant>,
    metrics: Arc<EntryMetrics>,
    buffers: Arc<BufferBudget>,
    load: Arc<LoadMonitor>,
}

impl EntryNode {
    /// Starts an entry host. Returns once the store has answered; the role is taken afterwards.
    pub async fn start(
        settings: EntrySettings,
        backends: EntryBackends,
        starter: Arc<dyn SchedulerStarter>,
    ) -> Result<Arc<Self>> {
        let network = HostNetwork::join(&settings, &backends.store).await?;
        // With port 0, the system has chosen a free port.
        let settings = EntrySettings { peers_address: network.transport.address()?, ..settings };
        let transport = Arc::clone(&network.transport) as Arc<dyn PeerTransport>;
        let metrics = Arc::new(EntryMetrics::new()?);
        metrics.record_role(false);
        let buffers = Arc::new(BufferBudget::new(settings.memory_bytes));
        let forwarder = RequestForwarder {
            connector: Arc::new(MeshConnector::new(transport)),
            directory: Arc::new(SchedulerDirectory::new(settings.region())),
            metrics: Arc::clone(&metrics),
            departures: Arc::clone(&network.departures),
            buffers: Arc::clone(&buffers),
        };

        let load =
            LoadMonitor::new(settings.load_limits(), Arc::clone(&buffers), Arc::clone(&metrics));
        let node = Arc::new(Self {
            buffers,
            load,
            settings,
            backends,
            network,
            starter,
            forwarder,
            host: OnceLock::new(),
            is_draining: AtomicBool::new(false),
            has_role: AtomicBool::new(false),
            stops_at: OnceLock::new(),
            metrics,
        });

        let handler = Arc::clone(&node) as Arc<dyn PeerHandler>;
        tokio::spawn(Arc::clone(&node.network.transport).serve(handler));
        tokio::spawn(Arc::clone(&node).run_role());
        tokio::spawn(Arc::clone(&node.load).run());
        Ok(node)
    }

    /// Takes a role, and keeps a gateway's list of schedulers up to date until the gateway becomes a scheduler.
    async fn run_role(self: Arc<Self>) {
        let is_this = |it: &SchedulerEntry| {
            it.host == self.settings.host && it.address == self.settings.peers_address
        };
        let region = self.settings.region();
        // A restarted scheduler takes its role again at once. An old list will do, as it was registered long ago.
        let mut schedulers = self.read_registry(ReadFreshness::MayBeStale).await;
        let mut is_listed = schedulers.iter().any(is_this);
        // Larger hosts become schedulers while this one waits, and its clients need them at once.
        self.forwarder.directory.set_schedulers(schedulers.clone());

        loop {
            if !is_listed {
                let delay = candidate_delay(self.settings.processor_share, rand::random());
                let _ = timeout(delay, self.follow_schedulers_forever()).await;
                // A list that is old but complete enough saves a call that costs ten times as much.
                schedulers = self.read_registry(ReadFreshness::MayBeStale).await;
            }

            if should_schedule(&self.settings.host, &region, &schedulers) {
                schedulers = self.read_registry(ReadFreshness::Linearizable).await;
            }

            if should_schedule(&self.settings.host, &region, &schedulers) {
                let host = self.become_scheduler();
                // Until it has read the records, this host's clients are served by other schedulers.
                tokio::select! {
                    () = self.follow_schedulers_forever() => (),
                    () = host.wait_until_loaded() => (),
                }
                return self.probe_suspects_forever().await;
            }

            self.has_role.store(true, Ordering::Relaxed);
            log::info!(schedulers = schedulers.len(); "serving as a gateway");
            self.forwarder.directory.set_schedulers(schedulers.clone());
            self.follow_schedulers(&region).await;
            is_listed = false;
        }
    }

    /// Reads the list of schedulers from the store, until it answers.
    async fn read_registry(&self, freshness: ReadFreshness) -> Vec<SchedulerEntry> {
        let mut attempt = 0;

        loop {
            match self.network.registry.list(freshness).await {
                Ok(schedulers) => return schedulers,
                Err(error) => log::warn!("the list of schedulers can't be read, retrying: {error}"),
            }

            REGISTRY_BACKOFF.sleep(attempt).await;
            attempt += 1;
        }
    }

    fn become_scheduler(&self) -> Arc<EntryHost> {
        log::info!(processor_share = self.settings.processor_share; "becoming a scheduler");
        self.metrics.record_role(true);
        let metrics = Arc::clone(&self.metrics);
        let buffers = Arc::clone(&self.buffers);
        let host =
            EntryHost::start(&self.settings, &self.backends, &self.network, buffers, metrics);
        self.starter.start(&host);

        if self.is_draining.load(Ordering::Relaxed) {
            host.drain();
        }

        let _ = self.host.set(Arc::clone(&host));
        host
    }

    /// Keeps the list of schedulers up to date while this host waits for larger ones to become schedulers.
    async fn follow_schedulers_forever(&self) {
        let region = self.settings.region();

        loop {
            self.follow_schedulers(&region).await;
            let schedulers = self.read_registry(ReadFreshness::MayBeStale).await;
            self.forwarder.directory.set_schedulers(schedulers);
        }
    }

    /// Asks schedulers for the list of schedulers, until there is reason to read the registry.
    async fn follow_schedulers(&self, region: &str) {
        let mut failures = 0;

        while failures < MAX_FAILED_QUESTIONS {
            let directory = &self.forwarder.directory;
            // A host that starts has no time to lose: its clients are refused until a scheduler has answered.
            let interval =
                if directory.is_in_contact() { FOLLOW_INTERVAL } else { FIRST_FOLLOW_INTERVAL };
            // A random key spreads the questions over the schedulers of the region.
            let key = rand::random::<u64>().to_string();
            let candidate = directory.candidates(&key, None).into_iter().next();

            let question = async {
                match &candidate {
                    Some(scheduler) => self.query_schedulers(scheduler.address).await,
                    None => None,
                }
            };
            // At the same time, so that several hosts which are gone don't delay the question.
            let (schedulers, ()) = tokio::join!(question, self.probe_suspects());

            if let Some(schedulers) = schedulers {
                let is_short = is_region_short(region, &schedulers);
                failures = if is_short { failures + 1 } else { 0 };
                directory.set_schedulers(schedulers);
            } else {
                failures += 1;
                if let Some(scheduler) = candidate
                    && directory.mark_suspect(scheduler.address)
                {
                    log::warn!(scheduler:% = scheduler.host; "a scheduler has not sent the list of schedulers");
                }
            }

            let suspect_count = directory.suspects().len();
            let responsive_count = directory.scheduler_count().saturating_sub(suspect_count);
            self.metrics.record_schedulers(responsive_count, suspect_count);
            sleep(interval).await;
        }
    }

    /// Asks the schedulers that did not respond again, and marks those as responsive that do.
    async fn probe_suspects(&self) {
        let directory = &self.forwarder.directory;
        let probes = directory.suspects().into_iter().map(|address| async move {
            if self.query_schedulers(address).await.is_some() {
                directory.mark_responsive(address);
            }
        });

        join_all(probes).await;
    }

    /// Probes suspects on a scheduler, which forwards turns of programs that others own.
    async fn probe_suspects_forever(&self) {
        loop {
            sleep(FOLLOW_INTERVAL).await;
            self.probe_suspects().await;
        }
    }

    /// Asks one scheduler for the list; `None` if it is not ready or does not respond in time.
    async fn query_schedulers(&self, address: std::net::SocketAddr) -> Option<Vec<SchedulerEntry>> {
        let exchange = self.forwarder.connector.exchange(address, &PeerMessage::SchedulersQuery);

        match timeout(FOLLOW_TIMEOUT, exchange).await {
            Ok(Ok(PeerMessage::Schedulers { schedulers, config_version, limits })) => {
                self.forwarder.directory.record_contact(config_version, limits);
                Some(schedulers)
            }
            _ => None,
        }
    }

    /// Explains what would become of a request of a team now, without running it.
    pub fn explain(
        &self,
        request: EntryRequest,
        team: Option<&str>,
    ) -> Result<Explanation, ExplainError> {
        let Some(host) = self.host.get() else {
            let schedulers = self.forwarder.directory.scheduler_names();
            let host = Arc::clone(&self.settings.host);
            return Err(ExplainError::Gateway { host, schedulers });
        };
        host.explain(request, team)
    }

    /// Memory for the bodies that this host buffers.
    pub fn buffers(&self) -> &Arc<BufferBudget> {
        &self.buffers
    }

    /// What the host is short of.
    pub fn load(&self) -> &Arc<LoadMonitor> {
        &self.load
    }

    /// Limits on clients.
    pub fn limits(&self) -> RouteLimits {
        self.host.get().map_or_else(|| self.forwarder.directory.limits(), |it| it.routes().limits)
    }

    /// Whether new clients should be sent here.
    pub fn is_ready(&self) -> bool {
        let is_serving = match self.host.get() {
            Some(host) => host.is_ready(),
            None => self.has_role.load(Ordering::Relaxed) && self.is_in_contact(),
        };
        is_serving && !self.is_draining() && self.load.load().takes_new_clients()
    }

    /// Whether a scheduler has answered this host's questions for the list of schedulers lately.
    pub(super) fn is_in_contact(&self) -> bool {
        self.forwarder.directory.is_in_contact()
    }

    /// Whether this host serves as a scheduler. Until it has read the records, it serves as a gateway.
    pub fn is_scheduler(&self) -> bool {
        self.host.get().is_some_and(|it| it.is_restored())
    }

    /// Whether the host has been asked to drain.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    /// Makes the host unready, so that clients move to other hosts. It still serves the requests that arrive and can end before
    /// `stops_at`, when the host closes its connections.
    pub fn drain(&self, stops_at: Instant) {
        let _ = self.stops_at.set(stops_at);
        self.is_draining.store(true, Ordering::Relaxed);

        if let Some(host) = self.host.get() {
            host.drain();
        }
    }

    /// Waits until no request runs here that another host has forwarded.
    pub async fn wait_until_idle(&self) {
        if let Some(host) = self.host.get() {
            host.forwarded_requests().wait_until_none().await;
        }
    }

    /// Records what is not recorded, then removes this host from the registry and closes its connections to other
    /// hosts. Each of the two steps takes at most `max_wait`.
    pub async fn finish(&self, max_wait: Duration) {
        let host = self.host.get();

        if let Some(host) = host {
            host.flush(max_wait).await;
        }

        let deregister = async {
            if let Some(host) = host {
                host.deregister().await;
            }
        };
        // Peers that are not notified wait for the idle timeout of their connections.
        let leave = async { tokio::join!(deregister, self.network.transport.close()) };
        let has_left = timeout(max_wait, leave).await.is_ok();
        log::info!(has_left; "the removal of the host's entry and the close of its connections have ended");
    }

    /// Metrics in the Prometheus text format.
    pub fn metrics_text(&self) -> Result<String> {
        self.metrics.text()
    }
}

#[async_trait]
impl PeerHandler for EntryNode {
    async fn handle(self: Arc<Self>, first: PeerMessage, mut stream: Box<dyn PeerStream>) {
        let result = match (first, self.host.get()) {
            (PeerMessage::ForwardOffer { min_config_version, request }, Some(host)) => {
                serve_offer(host, &self.load, min_config_version, *request, stream.as_mut()).await
            }
            (PeerMessage::ForwardOffer { .. }, None) => {
                decline(stream.as_mut(), DeclineReason::NotScheduler).await
            }
            (PeerMessage::PlacementQuery(query), Some(host)) => {
                host.placements().serve(*query, host.is_ready(), stream.as_mut()).await
            }
            (PeerMessage::PlacementQuery(_), None) => {
                // This host may be about to become a scheduler, so it is not refused as by a build that knows no queries.
                let denial = PlacementDenial::not_ready("not a scheduler");
                stream.send(&PeerMessage::PlacementRefused(denial)).await
            }
            (PeerMessage::SchedulersQuery, Some(host)) if host.is_ready() => {
                let table = host.routes();
                let response = PeerMessage::Schedulers {
                    schedulers: host.schedulers(),
                    config_version: table.version,
                    limits: table.limits,
                };
                stream.send(&response).await
            }
            (PeerMessage::SchedulersQuery, _) => {
                let reason = "not a scheduler that is ready".into();
                stream.send(&PeerMessage::Refused { reason }).await
            }
            (message, Some(host)) => {
                return Arc::clone(host.mesh()).handle(message, stream).await;
            }
            (_, None) => {
                let reason = "not a scheduler".into();
                stream.send(&PeerMessage::Refused { reason }).await
            }
        };

        if let Err(error) = result {
            log::debug!("an exchange with a peer failed: {error}");
        }

        stream.finish();
    }
}
