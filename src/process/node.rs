//! A host: builds the components of one process, connects them, and starts and stops them.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use axum::{Router, serve::ListenerExt};
use eyre::{Result, WrapErr};
use parking_lot::Mutex;
use statig::blocking::{IntoStateMachineExt, StateMachine};
use tokio::{
    net::TcpListener,
    sync::{Notify, watch},
    task::JoinHandle,
    time::Instant,
};

use crate::{
    BackoffPolicy, ClusterView, ConfigSpreader, ConfigStore, DispatcherTable, HostLifecycle,
    HostPhase, HttpUpstream, LifecycleEvent, MembershipService, NodeCore, NodeMetrics,
    NodeSettings, PeerGateway, PeerOwnershipCheck, PeerService, PeerTransport, ProgramRouter,
    ProgramService, ProgramSweeper, QuicTransport, ReceiptSealer, RetryBudget, ShardKeeper,
    ShardTable, UpstreamClient,
    interface::{caller_api::caller_routes, operator_api::operator_routes},
};

/// Backoff between attempts to reach the platform at startup.
const START_BACKOFF: BackoffPolicy =
    BackoffPolicy { first: Duration::from_millis(100), limit: Duration::from_secs(2) };

/// How long a draining host still accepts requests, so that the load balancer can see that it isn't ready any more.
const BALANCER_GRACE_PERIOD: Duration = Duration::from_secs(2);

/// Time between two checks of whether requests are still in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Addresses that a host listens on, with the ports that the system has chosen where the settings have port 0.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NodeAddresses {
    pub(crate) callers: SocketAddr,
    pub(crate) operators: SocketAddr,
    pub(crate) peers: SocketAddr,
}

/// A running host.
#[derive(derive_more::Debug)]
pub(crate) struct Node {
    pub(crate) settings: Arc<NodeSettings>,
    pub(crate) addresses: NodeAddresses,
    pub(crate) config: Arc<ConfigStore>,
    pub(crate) spreader: Arc<ConfigSpreader>,
    pub(crate) dispatchers: Arc<DispatcherTable>,
    pub(crate) keeper: Arc<ShardKeeper>,
    pub(crate) membership: Arc<MembershipService>,
    pub(crate) metrics: Arc<NodeMetrics>,
    pub(crate) router: Arc<ProgramRouter>,
    pub(crate) shards: Arc<ShardTable>,
    pub(crate) view: ClusterView,
    transport: Arc<QuicTransport>,
    #[debug(skip)]
    lifecycle: Mutex<StateMachine<HostLifecycle>>,
    /// Wakes [`Node::run`] to drain the host.
    drain_request: Notify,
    /// Number of callers' requests that have no answer yet.
    pub(crate) in_flight: AtomicUsize,
    /// Tells the HTTP listeners to shut down.
    stop_signal: watch::Sender<bool>,
    /// Background tasks, which are aborted when the host stops.
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

impl Node {
    /// Builds a host and starts its listeners and background tasks. It becomes ready once it has joined its peers.
    /// Fails if an address can't be bound or a key file is invalid.
    pub(crate) async fn start(settings: NodeSettings) -> Result<Arc<Self>> {
        let callers = bind_listener(settings.callers_address).await?;
        let operators = bind_listener(settings.operators_address).await?;
        let node = Self::build(settings, &callers, &operators)?;
        node.spawn(Self::serve(Arc::clone(&node), callers, caller_routes(&node)));
        node.spawn(Self::serve(Arc::clone(&node), operators, operator_routes(&node)));
        node.spawn_background_tasks();

        log::info!(
            callers:% = node.addresses.callers,
            operators:% = node.addresses.operators,
            peers:% = node.addresses.peers;
            "listening"
        );

        node.spawn(Arc::clone(&node).join());
        Ok(node)
    }

    fn build(
        settings: NodeSettings,
        callers: &TcpListener,
        operators: &TcpListener,
    ) -> Result<Arc<Self>> {
        let settings = Arc::new(settings);
        let metrics = Arc::new(NodeMetrics::new()?);

        let NodeCore { writer, platform, quic, view, config, spreader, membership } =
            NodeCore::new(&settings, &metrics)?;

        let transport: Arc<dyn PeerTransport> = Arc::clone(&quic) as Arc<dyn PeerTransport>;
        let peers = quic.address()?;
        let upstreams: Arc<dyn UpstreamClient> = Arc::new(HttpUpstream::new());

        let dispatchers = Arc::new(DispatcherTable::new(
            settings.host.clone(),
            view.clone(),
            Arc::clone(&config),
            Arc::clone(&platform),
            Arc::clone(&upstreams),
            Arc::clone(&transport),
            Arc::clone(&metrics),
        ));

        let gateway = PeerGateway {
            region: settings.region.clone(),
            view: view.clone(),
            config: Arc::clone(&config),
            dispatchers: Arc::clone(&dispatchers),
            transport: Arc::clone(&transport),
        };

        let shards = Arc::new(ShardTable::default());

        let service = Arc::new(ProgramService {
            shards: Arc::clone(&shards),
            config: Arc::clone(&config),
            cells: Arc::new(gateway),
            upstreams: Arc::clone(&upstreams),
            platform: Arc::clone(&platform),
            ownership_check: Arc::new(PeerOwnershipCheck {
                view: view.clone(),
                transport: Arc::clone(&transport),
            }),
            sealer: ReceiptSealer::new(&settings.receipt_key),
            retry_budget: RetryBudget::default(),
            metrics: Arc::clone(&metrics),
            commit_timeout: settings.commit_timeout,
        });

        let keeper = Arc::new(ShardKeeper {
            host: settings.host.clone(),
            writer,
            shard_count: settings.shard_count,
            append_rate: settings.append_rate,
            shards: Arc::clone(&shards),
            view: view.clone(),
            platform,
            service: Arc::clone(&service),
            membership: Arc::clone(&membership),
            metrics: Arc::clone(&metrics),
            phase: Mutex::new(HostPhase::Starting),
            is_stopped: AtomicBool::new(false),
            reclaim_delay: settings.suspect_after * 2,
            release_timeout: settings.drain_timeout,
        });

        let router = Arc::new(ProgramRouter {
            view: view.clone(),
            service: Arc::clone(&service),
            transport: Arc::clone(&transport),
        });

        let node = Arc::new(Self {
            addresses: NodeAddresses {
                callers: callers.local_addr()?,
                operators: operators.local_addr()?,
                peers,
            },
            settings,
            config,
            spreader,
            dispatchers,
            keeper,
            membership,
            metrics,
            router,
            shards,
            view,
            transport: quic,
            lifecycle: Mutex::new(HostLifecycle.state_machine()),
            drain_request: Notify::new(),
            in_flight: AtomicUsize::new(0),
            stop_signal: watch::Sender::new(false),
            tasks: Mutex::default(),
        });

        let sweeper = Arc::new(ProgramSweeper {
            service: Arc::clone(&service),
            dispatchers: Arc::clone(&node.dispatchers),
            client: upstreams,
            transport,
            view: node.view.clone(),
        });

        let peer_service = Arc::new(PeerService {
            programs: service,
            dispatchers: Arc::clone(&node.dispatchers),
            membership: Arc::clone(&node.membership),
            spreader: Arc::clone(&node.spreader),
        });

        node.spawn(sweeper.run());
        node.spawn(Arc::clone(&node.transport).serve(peer_service));
        Ok(node)
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.lock().push(tokio::spawn(task));
    }

    fn spawn_background_tasks(self: &Arc<Self>) {
        self.spawn(Arc::clone(&self.membership).run_host_list_refresh());
        self.spawn(Arc::clone(&self.membership).run_probes());
        self.spawn(Arc::clone(&self.spreader).run());
        self.spawn(Arc::clone(&self.dispatchers).run());
        self.spawn(Arc::clone(&self.keeper).run());
        self.spawn(Arc::clone(self).watch_config());
    }

    /// Logs each change of the configuration and records its number in the metrics.
    async fn watch_config(self: Arc<Self>) {
        let mut numbers = self.config.subscribe();

        while numbers.changed().await.is_ok() {
            let number = *numbers.borrow_and_update();
            self.metrics.record_config_number(number);
            log::info!(number; "configuration in force");
        }
    }

    /// Loads the host list and the configuration from the platform, which is retried until it succeeds, joins the
    /// peers, and only then begins to serve.
    async fn join(self: Arc<Self>) {
        let mut attempt = 0;

        while let Err(error) = self.load_from_platform().await {
            log::warn!(
                "failed to load the host list and the configuration from the platform, retrying: {error}"
            );
            START_BACKOFF.sleep(attempt).await;
            attempt += 1;
        }

        self.membership.join().await;
        self.advance(LifecycleEvent::Ready);
        self.membership.announce().await;
    }

    async fn load_from_platform(&self) -> Result<(), crate::PlatformError> {
        self.membership.refresh_host_list().await?;
        self.config.pull().await?;
        Ok(())
    }

    /// Phase of this host's lifecycle.
    pub(crate) fn phase(&self) -> HostPhase {
        self.lifecycle.lock().state().phase()
    }

    /// Applies an event to the lifecycle, and makes the new phase known to the shard keeper.
    fn advance(&self, event: LifecycleEvent) {
        let phase = {
            let mut lifecycle = self.lifecycle.lock();
            lifecycle.handle(&event);
            lifecycle.state().phase()
        };

        log::info!(phase:% = phase; "the host's phase has changed");
        self.keeper.set_phase(phase);
    }

    /// Makes [`Self::run`] drain and stop the host.
    pub(crate) fn request_drain(&self) {
        self.drain_request.notify_one();
    }

    /// Waits until a drain is requested, then drains and stops the host.
    pub(crate) async fn run(self: &Arc<Self>) {
        self.drain_request.notified().await;
        self.drain().await;
    }

    /// Fails the readiness check, hands shards and queues over, waits for the requests in flight, and stops. Work
    /// that isn't done after the drain timeout plus the balancer's grace period is aborted.
    async fn drain(self: &Arc<Self>) {
        let started = Instant::now();
        let deadline = started + self.settings.drain_timeout + BALANCER_GRACE_PERIOD;
        self.advance(LifecycleEvent::Drain);
        self.membership.announce().await;
        let unreleased = self.keeper.wait_released(deadline).await;
        self.membership.announce().await;
        self.dispatchers.retire_all();

        while Instant::now() < deadline {
            let is_idle = self.in_flight.load(Ordering::SeqCst) == 0;

            if is_idle && started.elapsed() >= BALANCER_GRACE_PERIOD {
                break;
            }

            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }

        let in_flight = self.in_flight.load(Ordering::SeqCst);
        log::info!(shards_left = unreleased, in_flight; "drained");
        self.advance(LifecycleEvent::Drained);
        self.membership.announce().await;
        self.stop().await;
    }

    /// Closes the transport and aborts all background tasks, without draining.
    pub(crate) async fn stop(&self) {
        self.keeper.is_stopped.store(true, Ordering::Relaxed);
        self.stop_signal.send_replace(true);
        self.transport.close().await;
        let tasks = std::mem::take(&mut *self.tasks.lock());
        tasks.iter().for_each(JoinHandle::abort);
    }

    /// Serves HTTP requests until the host stops.
    async fn serve(self: Arc<Self>, listener: TcpListener, routes: Router) {
        let listener = listener.tap_io(|stream| {
            let _ = stream.set_nodelay(true);
        });

        let mut stop_signal = self.stop_signal.subscribe();

        let result = axum::serve(listener, routes)
            .with_graceful_shutdown(async move {
                let _ = stop_signal.wait_for(|is_stopped| *is_stopped).await;
            })
            .await;

        if let Err(error) = result {
            log::error!("an HTTP listener failed: {error}");
        }
    }
}

async fn bind_listener(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.wrap_err_with(|| format!("can't listen on {address}"))
}
