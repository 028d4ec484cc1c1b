//! Entry hosts as nodes with real connections between them, over a store in memory.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use hyper::{HeaderMap, Method};
use tokio::time::{Duration, Instant, sleep, timeout};

use super::{
    entry_fakes::{MemoryStore, ScriptedChannel},
    test_link::TestLink,
};
use crate::{
    IdlePolicy, NodeMetrics, PeerMessage, PeerTransport, QuicTransport,
    entry::{
        EntryBackends, EntryHost, EntryRefusal, EntryRequest, EntryResponse, EntrySettings,
        ExpiryBounds, FeatureSwitches, HostRegistry, ObjectStore, PossibleRuns, ProgramContext,
        QuotaTolerance, RequestKind, RouteLimits, RouteTable, ServiceRoute, UpstreamChannel,
    },
    gateway::{EntryNode, ForwardedRequest, SchedulerStarter},
};

/// Time for all nodes to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Time for each step of the end of a node.
const STEP_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for a peer to notice that a node has ended.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which a link loses what a node sends while it ends.
const CUT_TIME: Duration = Duration::from_millis(100);

/// Time for a forwarded request to run.
const RUN_TIME: Duration = Duration::from_millis(50);

/// Time between two checks whether a node is ready.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Programs whose turns are sent to one node, most of which other nodes own.
const PROGRAM_COUNT: usize = 16;

/// Puts a configuration in force on a node when it becomes a scheduler.
#[derive(Debug)]
struct ConfigStarter {
    table: RouteTable,
}

impl SchedulerStarter for ConfigStarter {
    fn start(&self, host: &Arc<EntryHost>) {
        host.apply_routes(self.table.clone());
    }
}

/// A configuration with one route, which has no service.
pub(super) fn route_table(version: u64, path_prefix: &str) -> RouteTable {
    let route = ServiceRoute {
        is_public: false,
        name: "chat".into(),
        host: "a.example".into(),
        path_prefix: path_prefix.into(),
        kind: RequestKind::Idempotent,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(150),
        event_gap_objective: None,
        priority: 0,
        attempt_limit: 1,
        history_retention: None,
        object_cookie: None,
        targets: Vec::new(),
    };
    RouteTable::new(version, RouteLimits::default(), vec![route], Vec::new())
}

pub(super) async fn start_node(
    store: &Arc<MemoryStore>,
    host: &str,
    table: RouteTable,
) -> Arc<EntryNode> {
    start_node_of_size(store, host, table, 1.0).await
}

async fn start_node_of_size(
    store: &Arc<MemoryStore>,
    host: &str,
    table: RouteTable,
    processor_share: f64,
) -> Arc<EntryNode> {
    let settings = EntrySettings {
        host: host.into(),
        data_centre: "north".into(),
        regions: BTreeMap::new(),
        peers_address: ([127, 0, 0, 1], 0).into(),
        processor_share,
        memory_bytes: None,
        max_descriptors: None,
        store_value_bytes: None,
        expiry: ExpiryBounds::default(),
        switches: FeatureSwitches::default(),
        quota_tolerance: QuotaTolerance::default(),
    };
    let backends = EntryBackends {
        store: Arc::clone(store) as Arc<dyn ObjectStore>,
        channel: Arc::new(ScriptedChannel::default()) as Arc<dyn UpstreamChannel>,
    };
    let starter = Arc::new(ConfigStarter { table });
    EntryNode::start(settings, backends, starter).await.expect("the node starts")
}

pub(super) async fn wait_until_ready(node: &EntryNode) {
    let ready = async {
        while !node.is_ready() {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(READY_TIMEOUT, ready).await.expect("the node becomes ready");
}

/// Waits until a node is ready as a scheduler. While it waits for larger hosts, it is ready as a gateway.
pub(super) async fn wait_until_scheduling(node: &EntryNode) {
    let scheduling = async {
        while !node.is_scheduler() || !node.is_ready() {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(READY_TIMEOUT, scheduling).await.expect("the node becomes a scheduler");
}

pub(super) fn turn(program: &str) -> EntryRequest {
    let now = Instant::now();

    EntryRequest {
        key: crate::entry::ClientKey::Missing,
        id: format!("turn-of-{program}").into(),
        method: Method::POST,
        host: "a.example".into(),
        path: "/new/1".into(),
        target: "/new/1".into(),
        headers: HeaderMap::new(),
        body: Bytes::from_static(b"input"),
        received: now,
        deadline: Some(now + Duration::from_secs(3)),
        program: Some(ProgramContext {
            id: program.into(),
            session: None,
            finish_by: None,
            token_budget: Some(400),
            previous_turn: None,
        }),
        prompt_tokens: 10,
        max_completion_tokens: 92,
        prompt_parts: Vec::new(),
        last_event_id: None,
        resumed_request: None,
        possible_runs: PossibleRuns::default(),
        is_forwarded: false,
    }
}

#[tokio::test]
async fn handle_never_forwards_turns_to_owners_with_an_older_configuration() {
    let store = Arc::new(MemoryStore::default());
    let mut owners = Vec::new();
    for host in ["one", "two", "three"] {
        owners.push(start_node(&store, host, route_table(1, "/old/")).await);
    }
    for owner in &owners {
        wait_until_scheduling(owner).await;
    }
    // The store reports no changes, so only the last node knows all others.
    let node = start_node(&store, "four", route_table(2, "/new/")).await;
    wait_until_scheduling(&node).await;
    let mut missing_count = 0;

    for number in 0..PROGRAM_COUNT {
        let response = node.handle(turn(&number.to_string())).await;
        let EntryResponse::Refused { refusal, .. } = response else {
            panic!("expected a refusal, received {response:?}");
        };
        missing_count += usize::from(matches!(refusal, EntryRefusal::NoRoute));
    }

    assert_eq!(missing_count, 0, "turns of {PROGRAM_COUNT} for which the route is missing");
}

/// Guards against a small host that refuses its clients while it waits for larger ones to become schedulers.
#[tokio::test]
async fn small_host_forwards_requests_while_it_waits_for_larger_hosts() {
    let store = Arc::new(MemoryStore::default());
    let scheduler = start_node(&store, "large", route_table(1, "/new/")).await;
    wait_until_ready(&scheduler).await;
    let node = start_node_of_size(&store, "small", route_table(1, "/new/"), 0.1).await;
    let answer = async {
        loop {
            let EntryResponse::Refused { reason, .. } = node.handle(turn("p")).await else {
                panic!("expected a refusal");
            };
            if &*reason == "the route has no service" {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
    };

    // A host of this size waits for 1.5 s at least.
    timeout(Duration::from_secs(1), answer).await.expect("the scheduler's answer");
    assert!(!node.is_scheduler());
}

/// Connects to the hosts with the keys that they share.
pub(super) async fn peer_transport(store: &Arc<MemoryStore>) -> QuicTransport {
    let registry = HostRegistry {
        store: Arc::clone(store) as Arc<dyn ObjectStore>,
        host: "peer".into(),
        region: "north".into(),
    };
    let keys = registry.load_or_create_keys().await;
    let address = ([127, 0, 0, 1], 0).into();
    let metrics = Arc::new(NodeMetrics::new().expect("metrics"));
    let secret = &keys.private_key;
    QuicTransport::bind(address, &keys, secret, IdlePolicy::KeptAlive, metrics, None)
        .expect("failed to bind a port")
}

/// Address on which a registered host reaches its peers.
pub(super) async fn registered_address(store: &Arc<MemoryStore>, host: &str) -> SocketAddr {
    let object = store.get("entry-hosts", host).await.expect("the store answers");
    let content = object.and_then(|it| it.content).expect("the host is registered");
    let entry: serde_json::Value = serde_json::from_str(content.get()).expect("valid JSON");
    entry["address"].as_str().expect("an address").parse().expect("a valid address")
}

#[tokio::test]
async fn finish_closes_connections_to_peers() {
    let store = Arc::new(MemoryStore::default());
    let node = start_node(&store, "one", route_table(1, "/new/")).await;
    wait_until_ready(&node).await;
    let address = registered_address(&store, "one").await;
    let peer = peer_transport(&store).await;
    peer.connect(address).await.expect("the node listens");
    node.finish(STEP_TIMEOUT).await;

    let closed = async {
        while peer.is_connected(address) {
            sleep(POLL_INTERVAL).await;
        }
    };
    let notified = timeout(NOTICE_TIMEOUT, closed).await;
    assert!(notified.is_ok(), "the peer finds a silent connection only after its idle timeout");
}

#[test]
fn stopping_scheduler_delivers_a_response_that_is_lost_at_first() {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let runtime = builder.worker_threads(1).enable_all().build().expect("the runtime starts");
    let store = Arc::new(MemoryStore::default());
    let node = runtime.block_on(async {
        let node = start_node(&store, "one", route_table(1, "/new/")).await;
        wait_until_ready(&node).await;
        node
    });

    let mut builder = tokio::runtime::Builder::new_current_thread();
    let peer_runtime = builder.enable_all().build().expect("the runtime starts");
    peer_runtime.block_on(async {
        let link = TestLink::start(registered_address(&store, "one").await, Duration::ZERO).await;
        let peer = peer_transport(&store).await;
        let request = Box::new(ForwardedRequest::encode(&turn("program"), Instant::now()));
        let offer = PeerMessage::ForwardOffer { min_config_version: 1, request };
        let mut stream = peer.open(link.address, &offer).await.expect("failed to open a stream");
        let accepted = stream.receive().await;
        assert!(matches!(accepted, Ok(Some(PeerMessage::ForwardAccepted { .. }))), "{accepted:?}");
        link.cut();
        stream.send(&PeerMessage::ForwardConfirmed).await.expect("failed to send a message");
        sleep(RUN_TIME).await;

        let stop = runtime.spawn(async move {
            node.wait_until_idle().await;
            node.finish(STEP_TIMEOUT).await;
        });
        let exit = async move {
            stop.await.expect("no panic");
            runtime.shutdown_background();
        };
        let restore = async {
            sleep(CUT_TIME).await;
            link.restore();
        };
        tokio::join!(exit, restore);
        let response = timeout(NOTICE_TIMEOUT, stream.receive()).await;
        let is_received = matches!(response, Ok(Ok(Some(PeerMessage::ForwardRefused { .. }))));
        assert!(is_received, "{response:?}");
    });
}
