//! Nodes whose schedulers are lost while they run a request, over real connections.

use std::{collections::HashMap, sync::Arc};

use async_trait::async_trait;
use parking_lot::Mutex;
use tokio::time::Duration;

use super::{
    entry_fakes::MemoryStore,
    entry_node::{peer_transport, route_table, start_node, turn, wait_until_ready},
};
use crate::{
    PeerError, PeerHandler, PeerMessage, PeerStream,
    entry::{EntryRefusal, EntryResponse, HostRegistry, ObjectStore, RouteLimits},
    gateway::{EntryNode, SchedulerDirectory, SchedulerEntry},
};

/// Name of the node to which clients send their requests.
const NODE: &str = "node";

const REGION: &str = "north";

/// Number of schedulers with which a node of the region becomes a gateway, and with one less the last scheduler.
const MAX_SCHEDULERS: usize = 6;

/// What the schedulers of one test share.
#[derive(Debug)]
struct SharedState {
    schedulers: Vec<SchedulerEntry>,
    refusal: Mutex<EntryRefusal>,
    /// Number of schedulers at which each request was confirmed.
    confirmations: Mutex<HashMap<Arc<str>, usize>>,
}

/// A scheduler that is lost with each request that it is the first to run, and refuses those that were lost before.
#[derive(Debug)]
struct LostScheduler {
    shared: Arc<SharedState>,
}

impl LostScheduler {
    async fn serve_offer(
        &self,
        request: Arc<str>,
        stream: &mut dyn PeerStream,
    ) -> Result<(), PeerError> {
        let accepted = PeerMessage::ForwardAccepted { is_retryable: true, config_version: 1 };
        stream.send(&accepted).await?;

        if !matches!(stream.receive().await?, Some(PeerMessage::ForwardConfirmed)) {
            return Ok(());
        }

        let count = {
            let mut confirmations = self.shared.confirmations.lock();
            let count = confirmations.entry(request).or_default();
            *count += 1;
            *count
        };

        if count == 1 {
            return Ok(());
        }

        let refusal = *self.shared.refusal.lock();
        stream.send(&PeerMessage::ForwardRefused { refusal, reason: "refused".into() }).await
    }
}

#[async_trait]
impl PeerHandler for LostScheduler {
    async fn handle(self: Arc<Self>, first: PeerMessage, mut stream: Box<dyn PeerStream>) {
        let result = match first {
            PeerMessage::ForwardOffer { request, .. } => {
                let now = tokio::time::Instant::now();
                let request = request.decode(now).expect("a valid request");
                self.serve_offer(request.id, stream.as_mut()).await
            }
            PeerMessage::SchedulersQuery => {
                let response = PeerMessage::Schedulers {
                    schedulers: self.shared.schedulers.clone(),
                    config_version: 1,
                    limits: RouteLimits::default(),
                };
                stream.send(&response).await
            }
            PeerMessage::SpendsNoted { .. } => stream.send(&PeerMessage::Done).await,
            _ => stream.send(&PeerMessage::Refused { reason: "not known".into() }).await,
        };

        // An error means that the node is gone, which the test sees by itself.
        drop(result);
        stream.finish();
    }
}

/// Starts schedulers that are lost, and registers them.
async fn start_schedulers(store: &Arc<MemoryStore>, count: usize) -> Arc<SharedState> {
    let mut transports = Vec::new();
    let mut schedulers = Vec::new();

    for number in 1..=count {
        let transport = Arc::new(peer_transport(store).await);
        let address = transport.address().expect("a bound endpoint");
        let host: Arc<str> = format!("scheduler-{number}").into();
        let registry = HostRegistry {
            store: Arc::clone(store) as Arc<dyn ObjectStore>,
            host: Arc::clone(&host),
            region: REGION.into(),
        };
        registry.register(address, 1.0).await;
        let region = REGION.into();
        schedulers.push(SchedulerEntry {
            host,
            address,
            region,
            is_draining: false,
            lost_services: Arc::default(),
            processor_millis: 1_000,
        });
        transports.push(transport);
    }

    let shared = Arc::new(SharedState {
        schedulers,
        refusal: Mutex::new(EntryRefusal::BudgetSpent),
        confirmations: Mutex::default(),
    });
    for transport in transports {
        let scheduler = LostScheduler { shared: Arc::clone(&shared) };
        tokio::spawn(transport.serve(Arc::new(scheduler)));
    }
    shared
}

/// Programs for which all schedulers come before the node.
fn programs_of_schedulers(shared: &SharedState) -> impl Iterator<Item = String> {
    let directory = SchedulerDirectory::new(REGION.into());
    let node = SchedulerEntry {
        host: NODE.into(),
        address: ([127, 0, 0, 1], 1).into(),
        region: REGION.into(),
        is_draining: false,
        lost_services: Arc::default(),
        processor_millis: 1_000,
    };
    directory.set_schedulers(shared.schedulers.iter().cloned().chain([node]).collect());

    (0..).map(|number: u32| format!("program-{number}")).filter(move |program| {
        directory.candidates(program, None).last().is_some_and(|it| *it.host == *NODE)
    })
}

/// Sends a turn for each refusal that states "not run", and returns those that the client gets.
async fn false_refusals(node: &EntryNode, shared: &SharedState) -> Vec<EntryRefusal> {
    let refusals = [
        EntryRefusal::BudgetSpent,
        EntryRefusal::NotRun { retry_after: Duration::from_millis(200) },
        EntryRefusal::UnknownTurn,
        EntryRefusal::NoRoute,
    ];
    let mut received = Vec::new();

    // Each turn loses one scheduler, so that two are left for the last one.
    for (refusal, program) in refusals.into_iter().zip(programs_of_schedulers(shared)) {
        *shared.refusal.lock() = refusal;
        let request = turn(&program);
        let id = Arc::clone(&request.id);
        let response = node.handle(request).await;
        let confirmations = shared.confirmations.lock().get(&id).copied().unwrap_or_default();
        assert!(confirmations >= 2, "{program}: one has lost the turn, and another has refused it");

        match response {
            EntryResponse::Refused { refusal: EntryRefusal::ResponseLost, .. } => (),
            EntryResponse::Refused { refusal, .. } => received.push(refusal),
            EntryResponse::Relayed(_) => panic!("a response from nowhere"),
        }
    }

    received
}

#[tokio::test]
async fn gateway_never_states_not_run_after_a_scheduler_was_lost() {
    let store = Arc::new(MemoryStore::default());
    let shared = start_schedulers(&store, MAX_SCHEDULERS).await;
    let node = start_node(&store, NODE, route_table(1, "/new/")).await;
    wait_until_ready(&node).await;
    assert_eq!(false_refusals(&node, &shared).await, [], "of a gateway");
}

#[tokio::test]
async fn gateway_counts_refusals_after_a_loss_apart() {
    let store = Arc::new(MemoryStore::default());
    let shared = start_schedulers(&store, MAX_SCHEDULERS).await;
    let node = start_node(&store, NODE, route_table(1, "/new/")).await;
    wait_until_ready(&node).await;
    false_refusals(&node, &shared).await;
    let text = node.metrics_text().expect("metrics");

    for (outcome, count) in
        [("answered", None), ("lost", Some("4")), ("refused_after_loss", Some("4"))]
    {
        let label = format!("outcome=\"{outcome}\"");
        let mut lines = text.lines().filter(|it| it.contains("forwarded_total{"));
        let line = lines.find(|it| it.contains(&label));
        assert_eq!(line.and_then(|it| it.rsplit(' ').next()), count, "{outcome}");
    }
}

#[tokio::test]
async fn scheduler_never_states_not_run_after_an_owner_was_lost() {
    let store = Arc::new(MemoryStore::default());
    let shared = start_schedulers(&store, MAX_SCHEDULERS - 1).await;
    let node = start_node(&store, NODE, route_table(1, "/new/")).await;
    wait_until_ready(&node).await;
    assert_eq!(false_refusals(&node, &shared).await, [], "of a scheduler that forwards to owners");
}
