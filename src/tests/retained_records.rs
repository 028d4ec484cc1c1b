//! Records that are needed for longer than for the retention since they were written.

use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::time::{Duration, Instant, advance};

use super::{
    entry_fakes::{MemoryStore, ScriptedChannel, ScriptedResponse, upstream},
    entry_journal::{HostRun, turn as finished_turn},
    entry_node::{turn, wait_until_scheduling},
};
use crate::{
    entry::{
        EntryBackends, EntryHost, EntryRefusal, EntryRequest, EntryResponse, EntrySettings,
        ExpiryBounds, FeatureSwitches, ObjectStore, QuotaTolerance, RelayedBody, RequestKind,
        RouteLimits, RouteTable, RouteTarget, ServiceConfig, ServiceRoute, StreamItem,
        UpstreamChannel,
        budget_ledger::{ReserveOutcome, SpendNote},
        chain_recorder::ChainRecorder,
        turn_locator::TurnSearch,
    },
    gateway::{EntryNode, SchedulerStarter},
};

const RETENTION: Duration = Duration::from_mins(1);

/// Turns that the upstream answers at most.
const MAX_TURNS: usize = 400;

/// Keeps the host that it starts, with a configuration and an upstream.
#[derive(Debug)]
struct TableStarter {
    table: RouteTable,
    slots: u32,
    host: OnceLock<Arc<EntryHost>>,
}

impl SchedulerStarter for TableStarter {
    fn start(&self, host: &Arc<EntryHost>) {
        host.apply_routes(self.table.clone());
        host.pool().upsert(upstream("u1", "model", self.slots));
        self.host.set(Arc::clone(host)).expect("started once");
    }
}

pub(super) fn history_routes(is_public: bool, tokens_per_event: u64) -> RouteTable {
    let target = RouteTarget { service: "model".into(), weight: 1.0 };
    let route = ServiceRoute {
        is_public,
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
        object_cookie: None,
        targets: vec![target],
    };
    let service = ServiceConfig {
        name: "model".into(),
        connection_limit: 8,
        tokens_per_event,
        cache_tokens: 0,
    };
    RouteTable::new(1, RouteLimits::default(), vec![route], vec![service])
}

fn settings() -> EntrySettings {
    EntrySettings {
        host: "one".into(),
        data_centre: "north".into(),
        regions: std::collections::BTreeMap::new(),
        peers_address: ([127, 0, 0, 1], 0).into(),
        processor_share: 1.0,
        memory_bytes: None,
        max_descriptors: None,
        store_value_bytes: None,
        expiry: ExpiryBounds::default(),
        switches: FeatureSwitches::default(),
        quota_tolerance: QuotaTolerance::default(),
    }
}

/// Starts a run of the host `one`, over a store that may have records of earlier runs.
pub(super) async fn start_run(store: &Arc<MemoryStore>) -> Arc<EntryHost> {
    let stream = ScriptedResponse::Stream { chunks: vec!["data: out\n\n"], is_complete: true };
    let channel = Arc::new(ScriptedChannel::new(vec![stream; MAX_TURNS]));
    start_host(store, &channel, history_routes(false, 0), 4).await
}

/// Starts the host `one` with a configuration, and an upstream with this number of slots.
pub(super) async fn start_host(
    store: &Arc<MemoryStore>,
    channel: &Arc<ScriptedChannel>,
    table: RouteTable,
    slots: u32,
) -> Arc<EntryHost> {
    let backends = EntryBackends {
        store: Arc::clone(store) as Arc<dyn ObjectStore>,
        channel: Arc::clone(channel) as Arc<dyn UpstreamChannel>,
    };
    let starter = Arc::new(TableStarter { table, slots, host: OnceLock::new() });
    let node = EntryNode::start(settings(), backends, Arc::clone(&starter) as Arc<_>)
        .await
        .expect("the node starts");
    wait_until_scheduling(&node).await;
    Arc::clone(starter.host.get().expect("a host"))
}

/// Runs a turn. Returns the refusal if there is one.
pub(super) async fn run_turn(
    host: &EntryHost,
    id: &str,
    previous: Option<&str>,
) -> Option<EntryRefusal> {
    let mut request = EntryRequest {
        id: id.into(),
        body: Bytes::from(id.to_owned()),
        deadline: Some(Instant::now() + Duration::from_secs(3)),
        ..turn("program")
    };
    let program = request.program.as_mut().expect("a program");
    program.previous_turn = previous.map(Arc::from);
    program.token_budget = None;
    run_request(host, request).await
}

/// Runs a request. Returns the refusal if there is one.
pub(super) async fn run_request(host: &EntryHost, request: EntryRequest) -> Option<EntryRefusal> {
    let id = Arc::clone(&request.id);
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

/// Seeds that the model runs with, and steps of each run.
const SEEDS: u64 = 20;
const STEPS: u32 = 12;

/// Tokens of one turn.
const TURN_TOKENS: u64 = 10;

/// Two hosts that run turns of one program, and lose their memory now and then.
struct RetentionModel {
    random: StdRng,
    store: Arc<MemoryStore>,
    hosts: [HostRun; 2],
    runs: u32,
    /// Turns that were answered whole, with the times at which they ended.
    turns: Vec<(Arc<str>, Instant)>,
}

impl RetentionModel {
    fn new(seed: u64) -> Self {
        let store = Arc::new(MemoryStore::default());
        let hosts = ["host-b.0", "host-c.0"].map(|it| HostRun::start(&store, it, &Arc::default()));
        let random = StdRng::seed_from_u64(seed);
        let mut model = Self { random, store, hosts, runs: 0, turns: Vec::new() };
        model.state_lifetimes();
        model
    }

    /// All hosts are of this build.
    fn state_lifetimes(&mut self) {
        self.hosts.iter().for_each(|it| it.journal.retention().set_peers_lifetime(Duration::MAX));
    }

    fn program() -> Arc<str> {
        "program".into()
    }

    /// Runs a turn that continues one that is kept, or starts a chain.
    async fn run_turn(&mut self, number: u32) {
        let now = Instant::now();
        let kept: Vec<Arc<str>> = self
            .turns
            .iter()
            .filter(|(_, ended_at)| now.duration_since(*ended_at) < RETENTION)
            .map(|(id, _)| Arc::clone(id))
            .collect();
        let previous = (!kept.is_empty() && self.random.random_bool(0.9))
            .then(|| Arc::clone(&kept[self.random.random_range(0..kept.len())]));
        let index = self.random.random_range(0..self.hosts.len());
        let note = self.hosts[1 - index].locator.ledger.lock().local_note(&Self::program());
        let host = &self.hosts[index];

        let chain = match &previous {
            Some(previous) => match host.locator.find(previous, RETENTION).await {
                TurnSearch::Found(chain) => chain,
                search => panic!("turn {previous} is kept, and {search:?} for turn {number}"),
            },
            None => Vec::new(),
        };
        self.spend(index, &note);
        advance(Duration::from_secs(1)).await;
        let host = &self.hosts[index];
        let chains = ChainRecorder {
            journal: Arc::clone(&host.journal),
            history: Arc::clone(&host.history),
        };
        let turn = finished_turn(&number.to_string(), previous.as_deref());
        let queued_at = Instant::now();
        chains.record(&chain, &turn, RETENTION).await.expect("recorded");
        chains.keep(Arc::clone(&turn), RETENTION, queued_at);
        self.turns.push((Arc::clone(&turn.id), Instant::now()));
    }

    /// Spends the tokens of a turn, of which the record of the turn tells.
    fn spend(&self, index: usize, other: &SpendNote) {
        let program = Self::program();
        let mut ledger = self.hosts[index].locator.ledger.lock();
        let writer = Arc::clone(&self.hosts[1 - index].locator.mesh.identity.writer);
        ledger.merge_reported(&writer, std::slice::from_ref(other));
        let outcome = ledger.reserve(&program, 1_000_000, TURN_TOKENS, 1);
        assert_ne!(outcome, ReserveOutcome::OverBudget);
        ledger.spend(&program, TURN_TOKENS);
        ledger.settle(&program, TURN_TOKENS, TURN_TOKENS);
        ledger.finish_turn(&program);
    }

    /// Replaces hosts by new runs, which know what is recorded.
    async fn restart(&mut self, indexes: &[usize]) {
        self.runs += 1;

        for index in indexes {
            let writer = format!("host-{}.{}", ["b", "c"][*index], self.runs);
            self.hosts[*index] = HostRun::start(&self.store, &writer, &Arc::default());
        }
        self.state_lifetimes();
        for index in indexes {
            let locator = &self.hosts[*index].locator;
            locator.list_batches(Instant::now()).await.expect("the store answers");
        }
    }

    /// Lets time pass in which the hosts record turns of other programs, over records that have ended.
    async fn wait(&mut self, number: u32) {
        let seconds = self.random.random_range(0..RETENTION.as_secs());

        for second in (0..seconds).step_by(5) {
            advance(Duration::from_secs(5)).await;
            for host in &self.hosts {
                assert!(host.record(&format!("other-{number}-{second}"), None).await);
            }
        }
    }
}

/// Walks over turns, pauses and losses of memory: what is kept is found, and what was spent is counted.
#[tokio::test(start_paused = true)]
async fn records_of_chains_and_spends_outlive_any_order_of_turns_and_losses() {
    for seed in 0..SEEDS {
        let mut model = RetentionModel::new(seed);

        for number in 0..STEPS {
            model.run_turn(number).await;
            model.wait(number).await;

            match model.random.random_range(0..10) {
                0..2 => model.restart(&[0]).await,
                2..3 => model.restart(&[1]).await,
                3 => {
                    model.restart(&[0, 1]).await;
                    let ledger = model.hosts[0].locator.ledger.lock();
                    let spent = u64::from(number + 1) * TURN_TOKENS;
                    let total = ledger.total(&RetentionModel::program());
                    assert_eq!(total, spent, "seed {seed}, after turn {number}");
                }
                _ => (),
            }
        }
    }
}
