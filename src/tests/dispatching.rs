//! Placement by the region's dispatcher, with several hosts in one process and in virtual time.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use async_trait::async_trait;
use hyper::{HeaderMap, StatusCode};
use parking_lot::Mutex;
use tokio::{
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    task::{JoinHandle, JoinSet},
    time::{Duration, Instant, sleep, timeout},
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    entry_fakes::{ScriptedBody, exchange_message, upstream},
    lost_links::{LinkedHosts, plain_request},
};
use crate::{
    PeerError, PeerMessage, PeerStream, PeerTransport, RequestRate, decode_frame, encode_frame,
    entry::{
        EntryResponse, PlacementPool, PromptPart, ReportedLoad, UpstreamRecord, UpstreamResponse,
        dispatching::{
            dispatch_candidate::DispatchCandidate,
            dispatch_request::DispatchRequest,
            dispatcher_choice::{DispatcherChoice, choose_dispatcher},
            dispatcher_suspects::{DispatcherFailure, DispatcherSuspects},
            placement_query::PlacementQuery,
            placement_server::PlacementServer,
            region_dispatch::RegionDispatch,
        },
        entry_metrics::EntryMetrics,
        host_reach::ReachEvidence,
        mesh_peer::MeshIdentity,
        mesh_state::MeshState,
        peer_mesh::PeerMesh,
        placement_request::{PlacementRefusal, PlacementRequest},
        pooled_upstream::LeaseOutcome,
        upstream_lease::UpstreamLease,
        upstream_limits::SharingHost,
    },
    membership::rendezvous::weighted_score,
};

const SERVICE: &str = "model";

/// Time that a message takes from host to host.
const LINK_LATENCY: Duration = Duration::from_millis(1);

/// How a host treats queries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HostMode {
    Serving,
    NotReady,
    /// It accepts the stream and sends nothing.
    Silent,
    /// It states that the request waits, and then sends nothing.
    SilentOnceQueued,
    /// Its build knows no queries.
    Old,
    /// No connection can be made.
    Down,
}

/// One end of a stream between two hosts. Dropping it ends the stream for the other one.
#[derive(Debug)]
struct LinkedStream {
    sender: Option<UnboundedSender<PeerMessage>>,
    receiver: UnboundedReceiver<PeerMessage>,
}

fn linked_streams() -> (LinkedStream, LinkedStream) {
    let ((left_sender, left), (right_sender, right)) = (unbounded_channel(), unbounded_channel());
    let requester = LinkedStream { sender: Some(right_sender), receiver: left };
    (requester, LinkedStream { sender: Some(left_sender), receiver: right })
}

#[async_trait]
impl PeerStream for LinkedStream {
    async fn receive(&mut self) -> Result<Option<PeerMessage>, PeerError> {
        Ok(self.receiver.recv().await)
    }

    async fn send(&mut self, message: &PeerMessage) -> Result<(), PeerError> {
        // Each message passes through its frame, as between processes.
        let message = decode_frame(&encode_frame(message))?;
        let lost = PeerError::Lost { reason: "the other side is gone".into() };
        self.sender.as_ref().and_then(|it| it.send(message).ok()).ok_or(lost)
    }

    fn finish(&mut self) {
        self.sender = None;
    }

    async fn wait_until_received(&mut self) -> Result<(), PeerError> {
        Ok(())
    }
}

#[derive(Debug)]
struct ServingHost {
    server: PlacementServer,
    mode: HostMode,
    queries: Vec<PlacementQuery>,
    exchanges: JoinSet<()>,
}

/// Transport between the hosts of a region.
#[derive(Debug, Default)]
struct RegionTransport {
    hosts: Mutex<HashMap<SocketAddr, ServingHost>>,
}

#[async_trait]
impl PeerTransport for RegionTransport {
    fn disconnect(&self, _peer: SocketAddr) {}

    fn retire(&self, _peer: SocketAddr) {}

    fn is_connected(&self, _peer: SocketAddr) -> bool {
        true
    }

    async fn connect(&self, _peer: SocketAddr) -> Result<(), PeerError> {
        Ok(())
    }

    async fn open(
        &self,
        peer: SocketAddr,
        first: &PeerMessage,
    ) -> Result<Box<dyn PeerStream>, PeerError> {
        sleep(LINK_LATENCY).await;
        let PeerMessage::PlacementQuery(query) = decode_frame(&encode_frame(first))? else {
            panic!("only queries pass between the hosts of these tests");
        };
        let (requester_end, mut dispatcher_end) = linked_streams();
        let mut hosts = self.hosts.lock();
        let host = hosts.get_mut(&peer).expect("a known host");
        host.queries.push(PlacementQuery::clone(&query));
        let (server, mode) = (host.server.clone(), host.mode);

        if mode == HostMode::Down {
            return Err(PeerError::Lost { reason: "down".into() });
        }

        host.exchanges.spawn(async move {
            let stream = &mut dispatcher_end;
            let _ = match mode {
                HostMode::SilentOnceQueued => stream.send(&PeerMessage::PlacementQueued).await,
                HostMode::Old => stream.send(&PeerMessage::Refused { reason: "".into() }).await,
                HostMode::Serving => server.serve(*query, true, stream).await,
                HostMode::NotReady => server.serve(*query, false, stream).await,
                HostMode::Silent | HostMode::Down => Ok(()),
            };
            // A silent host keeps its streams open.
            if matches!(mode, HostMode::Silent | HostMode::SilentOnceQueued) {
                std::future::pending::<()>().await;
            }
        });
        Ok(Box::new(requester_end))
    }
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], index as u16 + 1))
}

struct RegionHost {
    pool: Arc<PlacementPool>,
    mesh: Arc<PeerMesh>,
    dispatch: Arc<RegionDispatch>,
}

/// The schedulers of a region, in the order in which they are asked to dispatch [`SERVICE`].
struct Region {
    hosts: Vec<RegionHost>,
    transport: Arc<RegionTransport>,
}

impl Region {
    /// Starts `count` hosts that have heard each other and know these upstreams.
    async fn start(count: usize, upstreams: &[UpstreamRecord]) -> Self {
        let seed = xxh3_64_with_seed(SERVICE.as_bytes(), 0);
        let mut names: Vec<Arc<str>> = (0..count).map(|it| format!("host-{it}").into()).collect();
        names.sort_by_key(|it| weighted_score(seed, it, 1_000));
        let transport = Arc::new(RegionTransport::default());
        let mut hosts = Vec::new();

        for (index, name) in names.iter().enumerate() {
            let regions = BTreeMap::from([("dc-a".into(), "north".into())]);
            let pool = Arc::new(PlacementPool::new("dc-a".into(), regions));
            upstreams.iter().for_each(|it| pool.upsert(it.clone()));
            let metrics = Arc::new(EntryMetrics::new().expect("metrics"));
            let state = MeshState {
                limits: Arc::clone(pool.limits()),
                reach: Arc::clone(pool.reach()),
                ..MeshState::default()
            };
            let identity = MeshIdentity {
                host: Arc::clone(name),
                address: address(index),
                region: "north".into(),
                writer: format!("{name}.1").into(),
            };
            let peers = Arc::clone(&transport) as Arc<dyn PeerTransport>;
            let mesh = Arc::new(PeerMesh::new(identity, peers, state));
            let server = PlacementServer::new(&pool, &metrics, true);
            let mode = HostMode::Serving;
            let (queries, exchanges) = (Vec::new(), JoinSet::new());
            let serving = ServingHost { server, mode, queries, exchanges };
            transport.hosts.lock().insert(address(index), serving);
            let dispatch = RegionDispatch::new(&mesh, &pool, &metrics);
            hosts.push(RegionHost { pool, mesh, dispatch: Arc::new(dispatch) });
        }

        let region = Self { hosts, transport };
        for host in &region.hosts {
            for (index, name) in names.iter().enumerate() {
                region.announce(host, index, name, 1, false).await;
            }
        }
        region
    }

    /// Sends a host an update of another one.
    async fn announce(
        &self,
        to: &RegionHost,
        index: usize,
        name: &Arc<str>,
        sequence: u64,
        is_draining: bool,
    ) {
        if to.mesh.identity.host == *name {
            return;
        }

        let update = PeerMessage::SpendsNoted {
            host: Arc::clone(name),
            address: address(index),
            region: "north".into(),
            writer: format!("{name}.1").into(),
            sequence,
            run_age_ms: 0,
            is_draining,
            notes: Vec::new(),
            streams: Vec::new(),
            lost_services: Arc::default(),
        };
        exchange_message(&to.mesh, update).await;
    }

    fn set_mode(&self, index: usize, mode: HostMode) {
        self.transport.hosts.lock().get_mut(&address(index)).expect("a host").mode = mode;
    }

    /// Ends a host's process: its streams break, and no connection to it can be made.
    fn kill(&self, index: usize) {
        self.set_mode(index, HostMode::Down);
        let mut hosts = self.transport.hosts.lock();
        hosts.get_mut(&address(index)).expect("a host").exchanges.abort_all();
    }

    fn queries(&self, index: usize) -> Vec<PlacementQuery> {
        self.transport.hosts.lock()[&address(index)].queries.clone()
    }

    async fn acquire(&self, index: usize) -> Result<UpstreamLease, PlacementRefusal> {
        self.hosts[index].dispatch.acquire(request(true)).await
    }

    /// Slots of an upstream that a host's pool has counted.
    fn in_flight(&self, index: usize, upstream: &str) -> u32 {
        self.hosts[index].pool.upstream_load(upstream).map_or(0, |(in_flight, _)| in_flight)
    }
}

fn request(may_wait: bool) -> DispatchRequest {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(3);
    DispatchRequest {
        id: "r1".into(),
        route: "route".into(),
        waiting_since: now,
        may_wait,
        placement: PlacementRequest {
            service: SERVICE.into(),
            route: "route".into(),
            request: "r1".into(),
            team: None,
            program: None,
            priority: 0,
            is_continuation: false,
            finish_by: deadline,
            deadline,
            prompt_parts: vec![PromptPart { id: 7, tokens: 100 }],
            completion_tokens: 0,
            object: None,
            may_repeat: false,
            prompt_tokens: 100,
            software_version: None,
            excluded: Vec::new(),
        },
    }
}

/// A response that reports a load.
fn response(load: ReportedLoad) -> UpstreamResponse {
    UpstreamResponse {
        status: StatusCode::OK,
        headers: HeaderMap::new(),
        has_not_run: false,
        is_signed: true,
        is_leaving: false,
        limit: None,
        load: Some(load),
        body: Box::new(ScriptedBody::new([], true)),
    }
}

/// Lets messages arrive that are under way.
async fn settle() {
    sleep(LINK_LATENCY * 5).await;
}

fn candidate(name: &str, is_local: bool, is_able: bool) -> DispatchCandidate {
    DispatchCandidate {
        host: name.into(),
        run: name.into(),
        address: address(1),
        processor_millis: 1_000,
        is_local,
        is_able,
    }
}

#[test]
fn choose_dispatcher_is_the_same_on_all_hosts_and_weighted_by_processor_share() {
    // Guards against views that depend on who asks, and against small hosts with the load of large ones.
    let names = ["a", "b", "c", "d"];
    let now = Instant::now();
    let mut firsts = HashMap::new();

    for number in 0..4_000 {
        let chosen_by = |local: &str| {
            let candidates = names.map(|name| DispatchCandidate {
                processor_millis: if name == "a" { 500 } else { 125 },
                ..candidate(name, name == local, true)
            });
            let suspects = DispatcherSuspects::default();
            let service = format!("service-{number}");
            match choose_dispatcher(&service, candidates.into(), &suspects, &[], now) {
                DispatcherChoice::Local => local.to_owned(),
                DispatcherChoice::Remote(it) => it.host.to_string(),
                DispatcherChoice::Fallback => panic!("all candidates are able"),
            }
        };
        let chosen = names.map(chosen_by);
        assert!(chosen.iter().all(|it| *it == chosen[0]), "{chosen:?}");
        *firsts.entry(chosen[0].clone()).or_insert(0) += 1;
    }

    let share = f64::from(firsts["a"]) / 4_000.0;
    assert!((0.54..0.60).contains(&share), "500 of 875 thousandths have {share}");
}

#[test]
fn choose_dispatcher_passes_over_suspects_and_those_that_are_not_able() {
    let now = Instant::now();
    let mut suspects = DispatcherSuspects::default();
    assert!(suspects.record(&"a".into(), DispatcherFailure::Silent, now));
    assert!(suspects.record(&"b".into(), DispatcherFailure::Unable, now));
    assert!(!suspects.record(&"b".into(), DispatcherFailure::Silent, now));
    let candidates = || {
        vec![candidate("a", false, true), candidate("b", false, true), candidate("c", false, false)]
    };
    let choose = |failed: &[Arc<str>], after_ms| {
        let at = now + Duration::from_millis(after_ms);
        match choose_dispatcher(SERVICE, candidates(), &suspects, failed, at) {
            DispatcherChoice::Remote(it) => Some(it.host.to_string()),
            _ => None,
        }
    };

    assert_eq!(choose(&[], 999), None);
    assert_eq!(choose(&[], 1_000).as_deref(), Some("a"));
    assert_eq!(choose(&["a".into()], 29_999), None);
    assert_eq!(choose(&["a".into()], 30_000).as_deref(), Some("b"));
    assert_eq!(choose(&["x".into(), "y".into()], 30_000), None, "two have failed");
}

#[tokio::test(start_paused = true)]
async fn query_keeps_what_the_pool_decides_by() {
    // Guards against a request that another host places by other rules than its own.
    let now = Instant::now();
    for past_ms in [0, 400] {
        sleep(Duration::from_millis(500)).await;
        let mut request = request(true);
        let placement = &mut request.placement;
        placement.finish_by = Instant::now() - Duration::from_millis(past_ms);
        (placement.priority, placement.is_continuation) = (3, true);
        placement.software_version = Some("v2".into());
        placement.excluded = vec!["u9".into()];
        let query = PlacementQuery::encode(&request, &"h".into(), &"dc-a".into(), Instant::now());
        let decoded = query.decode(Instant::now());
        assert_eq!(format!("{decoded:?}"), format!("{:?}", request.placement));
    }

    let mut query = PlacementQuery::encode(&request(true), &"h".into(), &"dc-a".into(), now);
    let frame = encode_frame(&PeerMessage::PlacementQuery(Box::new(query.clone())));
    assert!(frame.len() < 128, "a query of {} bytes", frame.len());
    (query.time_left_us, query.finish_in_us) = (u64::MAX, i64::MIN);
    let decoded = query.decode(Instant::now());
    assert!(decoded.deadline > Instant::now() && decoded.finish_by <= Instant::now());
}

#[tokio::test(start_paused = true)]
async fn dispatcher_never_exceeds_slots_with_six_requesters() {
    let region = Region::start(6, &["u1", "u2", "u3"].map(|id| upstream(id, SERVICE, 4))).await;
    let running: Arc<HashMap<&str, AtomicUsize>> =
        Arc::new(["u1", "u2", "u3"].map(|id| (id, AtomicUsize::new(0))).into());
    let mut requests = JoinSet::new();

    for number in 0..360_u64 {
        let dispatch = Arc::clone(&region.hosts[number as usize % 6].dispatch);
        let running = Arc::clone(&running);
        requests.spawn(async move {
            sleep(Duration::from_millis(number * 3)).await;
            let Ok(lease) = dispatch.acquire(request(true)).await else {
                return 0;
            };
            let count = &running[&*lease.record.id];
            assert!(count.fetch_add(1, Ordering::Relaxed) < 4, "more requests than slots");
            sleep(Duration::from_millis(20 + number % 31)).await;
            count.fetch_sub(1, Ordering::Relaxed);
            lease.finish(LeaseOutcome::Answered);
            1
        });
    }

    let served: usize = requests.join_all().await.into_iter().sum();
    assert_eq!(served, 360, "requests that the slots have room for were refused");
    settle().await;
    let asked: Vec<usize> = (0..6).map(|it| region.queries(it).len()).collect();
    assert_eq!(asked, [300, 0, 0, 0, 0, 0], "only the first host is asked, and not by itself");
    for id in ["u1", "u2", "u3"] {
        assert!((0..6).all(|it| region.in_flight(it, id) == 0), "a slot of {id} was not released");
    }
}

#[tokio::test(start_paused = true)]
async fn acquire_asks_the_next_dispatcher_after_a_failure_and_then_places_itself() {
    // Mode of the first and the second dispatcher, time until the slot is granted, who grants it.
    for (first, second, wait_ms, granted_by) in [
        (HostMode::Silent, HostMode::Serving, 200, Some(1)),
        (HostMode::Silent, HostMode::Silent, 400, None),
        (HostMode::NotReady, HostMode::Serving, 0, Some(1)),
        (HostMode::Old, HostMode::Serving, 0, Some(1)),
        (HostMode::Down, HostMode::Serving, 0, Some(1)),
        (HostMode::Down, HostMode::Old, 0, None),
        (HostMode::SilentOnceQueued, HostMode::Serving, 600, Some(1)),
        (HostMode::SilentOnceQueued, HostMode::SilentOnceQueued, 1_200, None),
    ] {
        let case = format!("{first:?}, {second:?}");
        let region = Region::start(5, &[upstream("u1", SERVICE, 4)]).await;
        region.set_mode(0, first);
        region.set_mode(1, second);
        let started = Instant::now();
        let lease = region.acquire(4).await.expect("a free slot");
        let waited = started.elapsed().saturating_sub(Duration::from_millis(wait_ms));
        assert!(waited <= LINK_LATENCY * 4, "{case}: {waited:?} longer than stated");
        let host = granted_by.map_or("", |it: usize| &*region.hosts[it].mesh.identity.host);
        assert_eq!(lease.dispatcher(), host, "{case}");
        assert!(region.queries(2).is_empty(), "{case}: a third dispatcher is asked");
        let counted: u32 = (0..4).map(|it| region.in_flight(it, "u1")).sum();
        assert_eq!(counted, u32::from(granted_by.is_some()), "{case}: slots that are counted");

        // The next request does not wait for the suspects.
        let started = Instant::now();
        drop(region.acquire(4).await);
        assert!(started.elapsed() <= LINK_LATENCY * 4, "{case}");
        assert_eq!(region.queries(0).len(), 1, "{case}: a suspect is asked again");
        drop(lease);
        settle().await;
        assert!((0..5).all(|it| region.in_flight(it, "u1") == 0), "{case}: a slot is leaked");
    }
}

#[tokio::test(start_paused = true)]
async fn acquire_asks_a_suspect_again_after_its_time() {
    for (mode, seconds) in [(HostMode::NotReady, 1), (HostMode::Old, 30)] {
        let region = Region::start(4, &[upstream("u1", SERVICE, 4)]).await;
        region.set_mode(0, mode);
        drop(region.acquire(3).await);
        region.set_mode(0, HostMode::Serving);

        for (after, asked) in [(seconds * 1_000 - 20, 1), (40, 2)] {
            sleep(Duration::from_millis(after)).await;
            drop(region.acquire(3).await);
            assert_eq!(region.queries(0).len(), asked, "{mode:?}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn acquire_passes_over_a_dispatcher_that_drains() {
    let region = Region::start(4, &[upstream("u1", SERVICE, 4)]).await;
    let name = Arc::clone(&region.hosts[0].mesh.identity.host);
    for host in &region.hosts {
        region.announce(host, 0, &name, 2, true).await;
    }
    region.hosts[0].mesh.drain();
    let lease = region.acquire(3).await.expect("a free slot");
    assert_eq!(lease.dispatcher(), &*region.hosts[1].mesh.identity.host);
    let own = region.acquire(0).await.expect("a free slot");
    assert_eq!(own.dispatcher(), &*region.hosts[1].mesh.identity.host, "the host that drains asks");
    assert!(region.queries(0).is_empty());
}

#[tokio::test(start_paused = true)]
async fn acquire_places_here_in_a_region_without_owners() {
    let region = Region::start(3, &[upstream("u1", SERVICE, 4)]).await;
    let leases = [region.acquire(1).await, region.acquire(2).await];
    assert!(leases.iter().flatten().all(|it| it.dispatcher().is_empty()));
    assert!((0..3).all(|it| region.queries(it).is_empty()));
}

#[tokio::test(start_paused = true)]
async fn requests_that_wait_move_when_their_dispatcher_is_lost() {
    let region = Arc::new(Region::start(5, &[upstream("u1", SERVICE, 1)]).await);
    let held = region.acquire(4).await.expect("a free slot");
    let waiting = tokio::spawn({
        let region = Arc::clone(&region);
        async move { region.acquire(3).await }
    });
    sleep(Duration::from_millis(300)).await;
    region.kill(0);
    let lease = waiting.await.expect("no panic").expect("the next dispatcher has the slot free");
    assert_eq!(lease.dispatcher(), &*region.hosts[1].mesh.identity.host);
    let waited_us = region.queries(1)[0].waited_us;
    assert!((290_000..320_000).contains(&waited_us), "the age of the request: {waited_us}");

    // The lease whose dispatcher is gone goes on and ends without it.
    assert_eq!(region.in_flight(4, "u1"), 1);
    held.finish(LeaseOutcome::Answered);
    lease.finish(LeaseOutcome::Answered);
    settle().await;
    assert!([1, 3, 4].iter().all(|it| region.in_flight(*it, "u1") == 0));
}

#[tokio::test(start_paused = true)]
async fn requests_that_wait_move_when_their_dispatcher_loses_its_links() {
    let region = Arc::new(Region::start(5, &["u1", "u2"].map(|id| upstream(id, SERVICE, 1))).await);
    let held = [region.acquire(4).await, region.acquire(4).await];
    let mut waiting = Box::pin(region.acquire(3));
    assert!(timeout(LINK_LATENCY * 20, &mut waiting).await.is_err(), "no slot is free");
    let evidence = ReachEvidence::Unconnected { since: Instant::now() };
    for id in ["u1", "u2"] {
        region.hosts[0].pool.record_reach(&upstream(id, SERVICE, 1), evidence);
    }
    let lease = waiting.await.expect("the next dispatcher has a slot");
    assert_eq!(lease.dispatcher(), &*region.hosts[1].mesh.identity.host);
    assert!(held.iter().all(Result::is_ok));
}

#[tokio::test(start_paused = true)]
async fn failures_of_a_requester_without_links_do_not_count_at_the_dispatcher() {
    // Guards against a host that has lost its links and so keeps its region from sound upstreams.
    let region = Region::start(4, &["u1", "u2"].map(|id| upstream(id, SERVICE, 4))).await;
    let leases = [region.acquire(3).await, region.acquire(3).await].map(|it| it.expect("a slot"));
    let evidence = ReachEvidence::Unconnected { since: Instant::now() };
    leases.iter().for_each(|it| {
        region.hosts[3].pool.record_reach(&it.record, evidence);
    });
    assert!(region.hosts[3].pool.reach().is_lost(SERVICE));
    let cached = Arc::clone(&leases[0].record.id);
    // The other one ends as cancelled, so that only this outcome can tell the upstreams apart.
    let [unreachable, cancelled] = leases;
    unreachable.finish(LeaseOutcome::Unreachable);
    drop(cancelled);
    settle().await;
    let lease = region.acquire(2).await.expect("a slot");
    assert_eq!(lease.record.id, cached, "an upstream in backoff comes last");
}

#[tokio::test(start_paused = true)]
async fn cancelled_requests_leave_the_queue_and_release_their_slot() {
    // Guards against slots that stay counted for a request that nobody runs any more.
    let region = Arc::new(Region::start(5, &[upstream("u1", SERVICE, 1)]).await);
    let held = region.acquire(4).await.expect("a free slot");
    let waiting = [1, 2, 3].map(|index| {
        let region = Arc::clone(&region);
        tokio::spawn(async move { region.acquire(index).await })
    });
    settle().await;
    let queue_length = || region.hosts[0].pool.queue_length(SERVICE);
    assert_eq!(queue_length(), 3);
    waiting.iter().for_each(JoinHandle::abort);
    settle().await;
    assert_eq!(queue_length(), 0, "a requester that has cancelled still waits");

    // A requester that gives up just as the slot becomes free.
    let mut giving_up = Box::pin(region.acquire(1));
    assert!(timeout(LINK_LATENCY * 3, &mut giving_up).await.is_err());
    drop(held);
    tokio::task::yield_now().await;
    drop(giving_up);
    settle().await;
    assert_eq!(region.in_flight(0, "u1"), 0);
    drop(region.acquire(2).await.expect("the slot is free again"));
    settle().await;
    assert_eq!(region.in_flight(0, "u1"), 0, "a lease that is dropped releases its slot");
}

#[tokio::test(start_paused = true)]
async fn dispatcher_records_outcomes_and_loads_of_requesters() {
    let region = Region::start(4, &["u1", "u2"].map(|id| upstream(id, SERVICE, 2))).await;
    let mut record = None;
    for _ in 0..2 {
        let lease = region.acquire(3).await.expect("a free slot");
        let first: &UpstreamRecord = record.get_or_insert_with(|| (*lease.record).clone());
        assert_eq!(lease.record.id, first.id);
        lease.finish(LeaseOutcome::Failed);
        settle().await;
    }
    let failed = record.expect("a lease").id;
    let lease = region.acquire(2).await.expect("a free slot");
    assert_ne!(lease.record.id, failed, "the region avoids an upstream that has failed twice");

    let load = ReportedLoad { running: 1, waiting: 3, slots: 2, slowness: None };
    lease.record_response(&response(load));
    let busy = Arc::clone(&lease.record.id);
    sleep(Duration::from_millis(80)).await;
    lease.finish(LeaseOutcome::Answered);
    settle().await;
    // Four requests, of which the dispatcher knows one, by a report that has lost a tenth of its weight.
    assert_eq!(region.hosts[0].pool.upstream_load(&busy), Some((0, 3)));
}

#[tokio::test(start_paused = true)]
async fn acquire_asks_again_if_the_granted_upstream_is_not_known_here() {
    let region = Region::start(4, &[upstream("u2", SERVICE, 4)]).await;
    // The dispatcher follows the store faster, and prefers the idle upstream to the other one.
    region.hosts[0].pool.upsert(upstream("u1", SERVICE, 4));
    let busy = PlacementRequest { excluded: vec!["u1".into()], ..request(true).placement };
    let _held = region.hosts[0].pool.try_acquire(&busy).expect("a free slot");
    let lease = region.acquire(3).await.expect("an upstream that both hosts know");
    assert_eq!(&*lease.record.id, "u2");
    settle().await;
    let excluded: Vec<_> = region.queries(0).into_iter().map(|it| it.excluded).collect();
    assert_eq!(excluded, [vec![], vec![Arc::from("u1")]]);
    assert_eq!(region.in_flight(0, "u1"), 0, "an unused grant is given back");
}

#[tokio::test(start_paused = true)]
async fn two_dispatchers_grant_each_request_once() {
    let region = Region::start(5, &[upstream("u1", SERVICE, 2)]).await;
    // One host alone takes the first dispatcher for gone.
    region.set_mode(0, HostMode::NotReady);
    drop(region.acquire(4).await);
    region.set_mode(0, HostMode::Serving);
    let leases = [region.acquire(4).await, region.acquire(3).await].map(|it| it.expect("a slot"));
    settle().await;
    assert_eq!([0, 1].map(|it| region.in_flight(it, "u1")), [1, 1]);
    drop(leases);
    settle().await;
    assert!((0..5).all(|it| region.in_flight(it, "u1") == 0));
}

#[tokio::test(start_paused = true)]
async fn acquire_does_not_wait_for_a_slot_that_must_be_free_now() {
    let region = Region::start(4, &[upstream("u1", SERVICE, 1)]).await;
    let free = || region.hosts[3].dispatch.acquire(request(false));
    let lease = free().await.expect("a free slot");
    let started = Instant::now();
    assert!(free().await.is_err());
    assert!(started.elapsed() <= LINK_LATENCY * 4);
    region.set_mode(0, HostMode::Silent);
    drop(lease);
    settle().await;
    assert!(free().await.is_ok_and(|it| it.dispatcher().is_empty()), "one failure is enough");
}

#[tokio::test(start_paused = true)]
async fn stated_limit_is_kept_by_dispatcher_and_requesters_together() {
    const PER_SECOND: f64 = 6.0;
    let record = upstream("u1", SERVICE, 64);
    let region = Region::start(6, std::slice::from_ref(&record)).await;
    let name = |it: &RegionHost| Arc::clone(&it.mesh.identity.host);
    let sharing = |it| SharingHost { name: name(it), region: "north".into() };
    let hosts: Vec<SharingHost> = region.hosts.iter().map(sharing).collect();
    for host in &region.hosts {
        host.pool.limits().lock().set_hosts(&host.mesh.identity.host, hosts.clone());
        host.pool.record_limit(&record, RequestRate::from_per_second(PER_SECOND));
    }

    let sent = Arc::new(Mutex::new(Vec::new()));
    let mut requests = JoinSet::new();
    for number in 0..3_000_u64 {
        let (dispatch, sent) =
            (Arc::clone(&region.hosts[number as usize % 6].dispatch), Arc::clone(&sent));
        requests.spawn(async move {
            sleep(Duration::from_millis(number * 20)).await;
            if let Ok(lease) = dispatch.acquire(request(true)).await {
                sent.lock().push(Instant::now());
                lease.finish(LeaseOutcome::Answered);
            }
        });
    }
    requests.join_all().await;

    let mut sent = sent.lock().clone();
    sent.sort();
    let most = (PER_SECOND * 4.0 * 1.5 + 5.0) as usize;
    let is_kept = |it: &[Instant]| it[most] - it[0] >= Duration::from_secs(4);
    assert!(sent.windows(most + 1).all(is_kept), "more than {most} requests in 4 s");
    let share = sent.len() as f64 / (PER_SECOND * 60.0);
    assert!(share > 0.5, "shares of requesters are left unused: {share}");
}

/// Sum of a metric's samples with a result over all hosts.
fn count(hosts: &LinkedHosts, metric: &str, result: &str) -> u64 {
    let texts: String = hosts.nodes.iter().map(|it| it.metrics_text().expect("metrics")).collect();
    let (name, label) = (format!("ragwortknot_entry_{metric}{{"), format!("result=\"{result}\""));
    let samples = texts.lines().filter(|line| line.starts_with(&name) && line.contains(&label));
    samples.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok()).sum()
}

#[tokio::test]
async fn hosts_place_through_one_dispatcher_over_their_connections() {
    // Guards against a message that does not pass the real transport, and against requests that run twice.
    let hosts = LinkedHosts::start_with_cache(4, 100_000).await;
    let mut served = 0;

    for number in 0..80 {
        let node = &hosts.nodes[number % 4];
        let response = node.handle(plain_request(&format!("r{number}"))).await;
        served += u64::from(matches!(response, EntryResponse::Relayed(_)));
    }

    assert_eq!(served, 80);
    // A busy machine may make a dispatcher late, so that a few requests are placed otherwise.
    let granted = count(&hosts, "dispatches_total", "granted");
    assert!(granted >= 40, "{granted} of 60 requests are placed by another host");
    assert!(count(&hosts, "placements_served_total", "granted") >= granted);
    assert_eq!(count(&hosts, "attempts_total", "answered"), 80, "each request runs once");
    let is_idle = || {
        let pools = hosts.nodes.iter().filter_map(|it| it.host.get());
        pools
            .flat_map(|host| (1..=6).map(|it| host.pool().upstream_load(&format!("u{it}"))))
            .all(|load| load.is_some_and(|(in_flight, _)| in_flight == 0))
    };
    let ended_at = Instant::now();
    while !is_idle() {
        assert!(ended_at.elapsed() < Duration::from_secs(2), "a lease does not end");
        sleep(Duration::from_millis(10)).await;
    }
}
