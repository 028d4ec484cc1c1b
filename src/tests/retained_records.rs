//! Records that are needed for longer than for the retention since they were written.

use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use tokio::time::{Duration, Instant, advance};

use super::{
    entry_fakes::{MemoryStore, ScriptedChannel, ScriptedResponse, upstream},
    entry_node::{turn, wait_until_ready},
};
use crate::{
    entry::{
        EntryBackends, EntryHost, EntryRefusal, EntryRequest, EntryResponse, EntrySettings,
        ExpiryBounds, ObjectStore, RelayedBody, RequestKind, RouteLimits, RouteTable, RouteTarget,
        ServiceConfig, ServiceRoute, StreamItem, UpstreamChannel,
    },
    gateway::{EntryNode, SchedulerStarter},
};

const RETENTION: Duration = Duration::from_mins(1);

/// Turns that the upstream answers at most.
const MAX_TURNS: usize = 400;

/// Keeps the host that it starts, with a route that keeps history.
#[derive(Debug, Default)]
struct HistoryStarter {
    host: OnceLock<Arc<EntryHost>>,
}

impl SchedulerStarter for HistoryStarter {
    fn start(&self, host: &Arc<EntryHost>) {
        host.apply_routes(history_routes());
        host.pool().upsert(upstream("u1", "model", 4));
        self.host.set(Arc::clone(host)).expect("started once");
    }
}

fn history_routes() -> RouteTable {
    let target = RouteTarget { service: "model".into(), weight: 1.0 };
    let route = ServiceRoute {
        name: "chat".into(),
        host: "a.example".into(),
        path_prefix: "/new/".into(),
        kind: RequestKind::Stream { can_resume: false },
        timeout: Duration::from_secs(3),
        latency_objective: Duration::from_millis(150),
        event_gap_objective: None,
        priority: 0,
        attempt_limit: 1,
        history_retention: Some(RETENTION),
        targets: vec![target],
    };
    let service = ServiceConfig {
        name: "model".into(),
        connection_limit: 8,
        tokens_per_event: 0,
        cache_tokens: 0,
    };
    RouteTable::new(1, RouteLimits::default(), vec![route], vec![service])
}

/// Starts a run of the host `one`, over a store that may have records of earlier runs.
async fn start_run(store: &Arc<MemoryStore>) -> Arc<EntryHost> {
    let settings = EntrySettings {
        host: "one".into(),
        data_centre: "north".into(),
        regions: std::collections::BTreeMap::new(),
        peers_address: ([127, 0, 0, 1], 0).into(),
        processor_share: 1.0,
        memory_bytes: None,
        store_value_bytes: None,
        expiry: ExpiryBounds::default(),
    };
    let stream = ScriptedResponse::Stream { chunks: vec!["data: out\n\n"], is_complete: true };
    let channel = ScriptedChannel::new(vec![stream; MAX_TURNS]);
    let backends = EntryBackends {
        store: Arc::clone(store) as Arc<dyn ObjectStore>,
        channel: Arc::new(channel) as Arc<dyn UpstreamChannel>,
    };
    let starter = Arc::new(HistoryStarter::default());
    let node = EntryNode::start(settings, backends, Arc::clone(&starter) as Arc<_>)
        .await
        .expect("the node starts");
    wait_until_ready(&node).await;
    Arc::clone(starter.host.get().expect("a host"))
}

/// Runs a turn. Returns the refusal if there is one.
async fn run_turn(host: &EntryHost, id: &str, previous: Option<&str>) -> Option<EntryRefusal> {
    let mut request = EntryRequest {
        id: id.into(),
        body: Bytes::from(id.to_owned()),
        deadline: Some(Instant::now() + Duration::from_secs(3)),
        ..turn("program")
    };
    let program = request.program.as_mut().expect("a program");
    program.previous_turn = previous.map(Arc::from);
    program.token_budget = None;

    let mut events = match host.handle(request).await {
        EntryResponse::Refused { refusal, .. } => return Some(refusal),
        EntryResponse::Relayed(response) => match response.body {
            RelayedBody::Events(events) => events,
            RelayedBody::Whole(_) => panic!("expected a stream"),
        },
    };
    while let Some(item) = events.recv().await {
        if matches!(item, StreamItem::End) {
            return None;
        }
    }
    panic!("the turn {id} was broken off");
}

/// Lets time pass in which other programs run a turn a second.
async fn run_others(host: &EntryHost, seconds: u64, name: &str) {
    for number in 0..seconds {
        advance(Duration::from_secs(1)).await;
        assert_eq!(run_turn(host, &format!("{name}-{number}"), None).await, None);
    }
}

/// Guards against a 404 for a turn that is kept: the record of its chain's first turn was overwritten before.
#[tokio::test(start_paused = true)]
async fn find_chain_of_kept_turn_after_first_record_has_aged() {
    let store = Arc::new(MemoryStore::default());
    let host = start_run(&store).await;
    assert_eq!(run_turn(&host, "first", None).await, None);
    run_others(&host, 27, "early").await;
    assert_eq!(run_turn(&host, "second", Some("first")).await, None);
    run_others(&host, 54, "late").await;

    // The host is lost, and its memory with it.
    let next = start_run(&store).await;
    assert_eq!(run_turn(&next, "third", Some("second")).await, None);
}

/// Guards against the same for a turn that was copied from the store shortly before its record ended.
#[tokio::test(start_paused = true)]
async fn find_chain_of_kept_turn_after_copy_has_aged() {
    let store = Arc::new(MemoryStore::default());
    let host = start_run(&store).await;
    assert_eq!(run_turn(&host, "first", None).await, None);
    run_others(&host, 44, "early").await;

    let copier = start_run(&store).await;
    assert_eq!(run_turn(&copier, "second", Some("first")).await, None);
    run_others(&host, 54, "late").await;

    let next = start_run(&store).await;
    assert_eq!(run_turn(&next, "third", Some("second")).await, None);
}
