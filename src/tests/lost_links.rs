//! Hosts that have lost their links to the upstreams, while clients, the store and the other hosts still reach them.

use std::{collections::BTreeMap, sync::Arc};

use async_trait::async_trait;
use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};
use parking_lot::Mutex;
use tokio::time::{Duration, Instant, sleep};

use super::{
    entry_fakes::{MemoryStore, upstream},
    entry_node::{turn, wait_until_ready},
    entry_runner::{placement, pool},
};
use crate::entry::{
    ChannelError, EntryBackends, EntryHost, EntryRequest, EntryResponse, EntrySettings,
    ExpiryBounds, FeatureSwitches, ObjectStore, QuotaTolerance, RequestKind, RouteLimits,
    RouteTable, RouteTarget, SendGuard, ServiceConfig, ServiceRoute, UpstreamBody, UpstreamChannel,
    UpstreamRecord, UpstreamRequest, UpstreamResponse, host_reach::ReachEvidence,
    pooled_upstream::LeaseOutcome,
};
use crate::gateway::{EntryNode, SchedulerStarter};

/// Time after which a connect that hangs is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Time from the loss of the links until requests are served through other hosts.
const LOSS_BOUND: Duration = Duration::from_secs(1);

/// Part of the requests at a host without links that have to be served, of those that others serve.
const MIN_SERVED: f64 = 0.95;

/// Longest time of a request that is served through another host.
const SERVED_BOUND: Duration = Duration::from_millis(200);

/// State of the links of one host to all upstreams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LinkState {
    Open,
    /// New connections hang.
    Silent,
    /// New connections are refused, and those that exist are reset.
    Reset,
}

/// Channel to upstreams over links that can be lost.
#[derive(Debug)]
struct LinkedChannel {
    links: Mutex<LinkState>,
}

impl LinkedChannel {
    /// Fails as a connect does in the present state of the links.
    async fn pass_links(&self) -> Result<(), ChannelError> {
        let links = *self.links.lock();
        match links {
            LinkState::Open => Ok(()),
            LinkState::Silent => {
                sleep(CONNECT_TIMEOUT).await;
                Err(ChannelError::NotSent { reason: "connecting timed out".into() })
            }
            LinkState::Reset => Err(ChannelError::NotSent { reason: "refused".into() }),
        }
    }
}

#[derive(Debug)]
struct ShortBody {
    body: Option<Bytes>,
}

#[async_trait]
impl UpstreamBody for ShortBody {
    async fn next(&mut self) -> Result<Option<Bytes>, ChannelError> {
        Ok(self.body.take())
    }
}

#[async_trait]
impl UpstreamChannel for LinkedChannel {
    async fn send(
        &self,
        _upstream: &UpstreamRecord,
        _request: UpstreamRequest,
        guard: &dyn SendGuard,
    ) -> Result<UpstreamResponse, ChannelError> {
        self.pass_links().await?;
        guard.record_connected();

        if !guard.may_send() {
            return Err(ChannelError::Leaving);
        }

        Ok(UpstreamResponse {
            status: StatusCode::OK,
            headers: HeaderMap::new(),
            has_not_run: false,
            is_signed: true,
            is_leaving: false,
            limit: None,
            load: None,
            body: Box::new(ShortBody { body: Some(Bytes::from_static(b"done")) }),
        })
    }

    async fn connect(&self, _upstream: &UpstreamRecord) -> Result<(), ChannelError> {
        self.pass_links().await
    }

    fn close_expired(&self) {}
}

/// Puts a configuration with one service in force, and adds its upstreams.
#[derive(Debug)]
struct ServiceStarter {
    cache_tokens: u64,
}

impl SchedulerStarter for ServiceStarter {
    fn start(&self, host: &Arc<EntryHost>) {
        let route = ServiceRoute {
            is_public: false,
            name: "look".into(),
            host: "a.example".into(),
            path_prefix: "/new/".into(),
            kind: RequestKind::Idempotent,
            timeout: Duration::from_secs(1),
            latency_objective: Duration::from_millis(150),
            event_gap_objective: None,
            priority: 0,
            attempt_limit: 2,
            history_retention: None,
            object_cookie: None,
            targets: vec![RouteTarget { service: "service".into(), weight: 1.0 }],
        };
        let service = ServiceConfig {
            name: "service".into(),
            connection_limit: 96,
            cache_tokens: self.cache_tokens,
            tokens_per_event: 0,
        };
        host.apply_routes(RouteTable::new(1, RouteLimits::default(), vec![route], vec![service]));

        for number in 1..=6 {
            host.pool().upsert(upstream(&format!("u{number}"), "service", 4));
        }
    }
}

/// Hosts of one region, each with links of its own.
pub(super) struct LinkedHosts {
    pub(super) nodes: Vec<Arc<EntryNode>>,
    channels: Vec<Arc<LinkedChannel>>,
}

impl LinkedHosts {
    async fn start(count: usize) -> Self {
        Self::start_with_cache(count, 0).await
    }

    /// Starts hosts whose upstreams have a prompt cache of this size.
    pub(super) async fn start_with_cache(count: usize, cache_tokens: u64) -> Self {
        let store = Arc::new(MemoryStore::default());
        let mut hosts = Self { nodes: Vec::new(), channels: Vec::new() };

        for number in 1..=count {
            let channel = Arc::new(LinkedChannel { links: Mutex::new(LinkState::Open) });
            let settings = EntrySettings {
                host: format!("host-{number}").into(),
                data_centre: "dc-a".into(),
                regions: BTreeMap::new(),
                peers_address: ([127, 0, 0, 1], 0).into(),
                processor_share: 1.0,
                memory_bytes: None,
                max_descriptors: None,
                store_value_bytes: None,
                expiry: ExpiryBounds::default(),
                switches: FeatureSwitches::default(),
                quota_tolerance: QuotaTolerance::default(),
            };
            let backends = EntryBackends {
                store: Arc::clone(&store) as Arc<dyn ObjectStore>,
                channel: Arc::clone(&channel) as Arc<dyn UpstreamChannel>,
            };
            let node =
                EntryNode::start(settings, backends, Arc::new(ServiceStarter { cache_tokens }))
                    .await;
            hosts.nodes.push(node.expect("the node starts"));
            hosts.channels.push(channel);
        }

        for node in &hosts.nodes {
            wait_until_ready(node).await;
        }
        hosts
    }

    fn set_links(&self, index: usize, state: LinkState) {
        *self.channels[index].links.lock() = state;
    }

    /// Sends requests to a host for a while, and returns the part of them that is served in time.
    async fn served_part(&self, index: usize, duration: Duration) -> f64 {
        let started_at = Instant::now();
        let mut requests = Vec::new();

        while started_at.elapsed() < duration {
            let node = Arc::clone(&self.nodes[index]);
            let request = plain_request(&format!("r{}", started_at.elapsed().as_micros()));
            requests.push(tokio::spawn(async move {
                let sent_at = Instant::now();
                let response = node.handle(request).await;
                let is_served = matches!(response, EntryResponse::Relayed(_));
                is_served && sent_at.elapsed() < SERVED_BOUND
            }));
            sleep(Duration::from_millis(20)).await;
        }

        let count = requests.len();
        let mut served = 0;
        for request in requests {
            served += usize::from(request.await.expect("no panic"));
        }
        served as f64 / count as f64
    }
}

pub(super) fn plain_request(id: &str) -> EntryRequest {
    EntryRequest { id: id.into(), program: None, ..turn("none") }
}

/// Loses the links of one host of three, and returns the part of its requests that is served after the time in which that
/// may take effect.
async fn served_part_without_links(state: LinkState) -> f64 {
    let hosts = LinkedHosts::start(3).await;
    assert!(hosts.served_part(0, Duration::from_millis(200)).await >= MIN_SERVED, "with links");
    hosts.set_links(0, state);
    hosts.served_part(0, LOSS_BOUND).await;
    hosts.served_part(0, Duration::from_secs(1)).await
}

#[tokio::test]
async fn host_whose_links_are_silent_is_served_through_others() {
    let served = served_part_without_links(LinkState::Silent).await;
    assert!(served >= MIN_SERVED, "{served} of the requests are served");
}

#[tokio::test]
async fn host_whose_links_are_reset_is_served_through_others() {
    let served = served_part_without_links(LinkState::Reset).await;
    assert!(served >= MIN_SERVED, "{served} of the requests are served");
}

#[tokio::test(start_paused = true)]
async fn pool_forgets_failures_from_the_time_in_which_its_host_had_lost_its_links() {
    let pool = pool();
    let near = upstream("near", "service", 4);
    let far = UpstreamRecord { data_centre: "dc-b".into(), ..upstream("far", "service", 4) };
    pool.upsert(near.clone());
    pool.upsert(far.clone());
    let began_at = Instant::now();
    pool.try_acquire(&placement(&["far"])).expect("a slot").finish(LeaseOutcome::Unreachable);
    let chosen = || pool.try_acquire(&placement(&[])).expect("a slot").record.id.clone();
    assert_eq!(&*chosen(), "far", "the near one is in backoff");

    for record in [&near, &far] {
        pool.record_reach(record, ReachEvidence::Unconnected { since: began_at });
    }
    assert!(pool.reach().is_lost("service"));
    for record in [&near, &far] {
        pool.record_reach(record, ReachEvidence::Connected);
    }
    assert_eq!(&*chosen(), "near");
}
