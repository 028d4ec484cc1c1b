//! What one host learns of an upstream's departure reaches the others, in whichever order and after any silence.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use async_trait::async_trait;
use parking_lot::Mutex;
use tokio::time::{Duration, Instant, sleep};

use super::entry_fakes::{ResponseStream, upstream};
use crate::{
    PeerError, PeerHandler, PeerMessage, PeerStream, PeerTransport,
    entry::{
        FollowGap, PlacementPool, UpstreamPhase, UpstreamRecord, mesh_peer::MeshIdentity,
        mesh_state::MeshState, peer_mesh::PeerMesh, placement_request::PlacementRequest,
    },
};

/// Time within which hosts that reach each other know what one of them knows.
const SHARING_TIME: Duration = Duration::from_millis(250);

/// Time within which they know it if updates that began before do not arrive: two of their messages time out first.
const EXCHANGE_TIME: Duration = Duration::from_millis(1_250);

/// Links between hosts of one test, which can be cut.
#[derive(Debug, Default)]
pub(super) struct HostLinks {
    meshes: Mutex<HashMap<SocketAddr, Arc<PeerMesh>>>,
    are_cut: AtomicBool,
    /// Hosts that never answer.
    silent: Mutex<HashSet<SocketAddr>>,
}

impl HostLinks {
    /// Adds a host that never answers.
    pub(super) fn insert_silent(&self, address: SocketAddr) {
        self.silent.lock().insert(address);
    }

    /// Adds a host, or replaces the one at its address.
    pub(super) fn insert(&self, address: SocketAddr, mesh: Arc<PeerMesh>) {
        self.meshes.lock().insert(address, mesh);
    }
}

#[async_trait]
impl PeerTransport for HostLinks {
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
        if self.are_cut.load(Ordering::Relaxed) || self.silent.lock().contains(&peer) {
            std::future::pending::<()>().await;
        }

        let mesh = self.meshes.lock().get(&peer).cloned().expect("a host of this test");
        let response = Arc::new(Mutex::new(None));
        let stream = CapturingStream { response: Arc::clone(&response) };
        mesh.handle(first.clone(), Box::new(stream)).await;
        let response = response.lock().take();
        Ok(Box::new(ResponseStream { response }))
    }
}

/// Stream on which a host responds, for the host that has asked.
#[derive(Debug)]
struct CapturingStream {
    response: Arc<Mutex<Option<PeerMessage>>>,
}

#[async_trait]
impl PeerStream for CapturingStream {
    async fn receive(&mut self) -> Result<Option<PeerMessage>, PeerError> {
        Ok(None)
    }

    async fn send(&mut self, message: &PeerMessage) -> Result<(), PeerError> {
        *self.response.lock() = Some(message.clone());
        Ok(())
    }

    fn finish(&mut self) {}

    async fn wait_until_received(&mut self) -> Result<(), PeerError> {
        Ok(())
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Two hosts that know each other, with the pools of their upstreams.
fn two_hosts() -> (Arc<HostLinks>, [Arc<PlacementPool>; 2]) {
    let links = Arc::new(HostLinks::default());

    let pools = [1, 2].map(|port| {
        let (pool, mesh) = host(&links, port);
        add_peer(&mesh, 3 - port);
        links.meshes.lock().insert(address(port), Arc::clone(&mesh));
        tokio::spawn(mesh.run());
        pool
    });

    (links, pools)
}

/// A host that knows one upstream and no other host.
fn host(links: &Arc<HostLinks>, port: u16) -> (Arc<PlacementPool>, Arc<PeerMesh>) {
    let pool = Arc::new(PlacementPool::new("dc-a".into(), BTreeMap::new()));
    let state = MeshState { departures: Arc::clone(pool.departures()), ..MeshState::default() };
    let identity = MeshIdentity {
        host: format!("host-{port}").into(),
        address: address(port),
        region: "north".into(),
        writer: format!("host-{port}.1").into(),
    };
    let transport = Arc::clone(links) as Arc<dyn PeerTransport>;
    pool.upsert(upstream("u1", "model", 4));
    (pool, Arc::new(PeerMesh::new(identity, transport, state)))
}

fn add_peer(mesh: &PeerMesh, port: u16) {
    mesh.add_peer(format!("host-{port}").into(), address(port), "north".into());
}

fn draining(revision: u64) -> UpstreamRecord {
    UpstreamRecord { revision, phase: UpstreamPhase::Draining, ..upstream("u1", "model", 4) }
}

fn serving(revision: u64) -> UpstreamRecord {
    UpstreamRecord { revision, ..upstream("u1", "model", 4) }
}

/// Whether a request is placed.
fn is_open(pool: &Arc<PlacementPool>) -> bool {
    let deadline = Instant::now() + Duration::from_secs(1);
    let request = PlacementRequest {
        team: None,
        service: "model".into(),
        route: "route".into(),
        request: "request".into(),
        program: None,
        priority: 0,
        is_continuation: false,
        finish_by: deadline,
        deadline,
        prompt_parts: Vec::new(),
        prompt_tokens: 1_000,
        completion_tokens: 0,
        object: None,
        may_repeat: true,
        software_version: None,
        excluded: Vec::new(),
    };
    pool.try_acquire(&request).is_some()
}

#[tokio::test(start_paused = true)]
async fn upsert_tells_other_hosts_that_an_upstream_drains() {
    let (_links, [first, second]) = two_hosts();
    assert!(is_open(&second));
    first.upsert(draining(2));
    sleep(SHARING_TIME).await;
    assert!(!is_open(&second), "the second host has not heard of it");
}

#[tokio::test(start_paused = true)]
async fn remove_tells_other_hosts_that_an_upstream_is_gone() {
    let (_links, [first, second]) = two_hosts();
    first.remove("u1", 2);
    sleep(SHARING_TIME).await;
    assert!(!is_open(&second), "the second host has not heard of it");

    second.upsert(serving(3));
    assert!(is_open(&second), "an entry that was written later counts");
}

#[tokio::test(start_paused = true)]
async fn reset_after_a_gap_exchanges_departures_with_hosts_in_backoff() {
    let (links, [first, second]) = two_hosts();
    sleep(SHARING_TIME).await;
    links.are_cut.store(true, Ordering::Relaxed);
    first.remove("u1", 2);
    second.upsert(upstream("u2", "tool", 1));
    second.remove("u2", 3);
    sleep(Duration::from_secs(6)).await;
    links.are_cut.store(false, Ordering::Relaxed);

    let now = Instant::now();
    let gap = FollowGap { last_contact: now - Duration::from_secs(6), last_failure: now };
    second.reset(vec![serving(1)], 1, Some(gap));
    sleep(SHARING_TIME).await;
    assert!(!is_open(&second), "the host has not heard what it missed while it was cut off");
}

#[tokio::test(start_paused = true)]
async fn remove_on_one_host_leaves_an_upstream_open_that_another_keeps_as_lapsed() {
    let (_links, [first, second]) = two_hosts();
    let now = Instant::now();
    let gap = FollowGap { last_contact: now - Duration::from_secs(6), last_failure: now };
    second.reset(Vec::new(), 6, Some(gap));
    // The first host has seen the lapse as a plain removal.
    first.remove("u1", 5);
    sleep(SHARING_TIME).await;
    assert!(is_open(&second), "the entry may still return");

    first.record_leaving(&serving(1));
    sleep(SHARING_TIME).await;
    assert!(!is_open(&second), "the upstream has stated that it leaves");
}

#[tokio::test(start_paused = true)]
async fn merge_keeps_the_latest_runs_whatever_arrives_later() {
    let (_links, [pool, _]) = two_hosts();
    let run = |started_at_ms| UpstreamRecord { started_at_ms, ..serving(2) };
    for started_at_ms in [9, 1, 2, 3, 4] {
        pool.record_leaving(&run(started_at_ms));
    }
    pool.upsert(run(9));
    assert!(
        !is_open(&pool),
        "notes about earlier runs have replaced the one about the present run"
    );
}

#[tokio::test(start_paused = true)]
async fn reset_after_a_gap_exchanges_departures_whatever_update_is_in_flight() {
    for cut_ms in (3_000..6_000).step_by(100) {
        let (links, [first, second]) = two_hosts();
        sleep(SHARING_TIME).await;
        links.are_cut.store(true, Ordering::Relaxed);
        first.remove("u1", 2);
        second.upsert(upstream("u2", "tool", 1));
        second.remove("u2", 3);
        sleep(Duration::from_millis(cut_ms)).await;
        links.are_cut.store(false, Ordering::Relaxed);

        let now = Instant::now();
        let gap = FollowGap { last_contact: now - Duration::from_secs(3), last_failure: now };
        second.reset(vec![serving(1)], 1, Some(gap));
        sleep(EXCHANGE_TIME).await;
        assert!(!is_open(&second), "not heard after a cut of {cut_ms} ms");
    }
}

#[tokio::test(start_paused = true)]
async fn upsert_never_opens_a_draining_upstream_by_an_older_report() {
    let (_links, [pool, _]) = two_hosts();
    pool.upsert(draining(2));
    pool.upsert(serving(3));
    assert!(!is_open(&pool), "a report from before the drain has arrived late");

    pool.upsert(UpstreamRecord { started_at_ms: 2, ..serving(4) });
    assert!(is_open(&pool), "the upstream was started anew");
}

#[tokio::test(start_paused = true)]
async fn upsert_ignores_an_entry_that_is_older_than_the_removal() {
    let (_links, [pool, _]) = two_hosts();
    pool.remove("u1", 5);
    pool.upsert(serving(4));
    assert!(!is_open(&pool));
    pool.upsert(serving(6));
    assert!(is_open(&pool), "the entry was written again");
}

#[tokio::test(start_paused = true)]
async fn upsert_ignores_an_entry_that_is_older_than_the_known_one() {
    let (_links, [pool, _]) = two_hosts();
    pool.upsert(UpstreamRecord { service: "other".into(), ..serving(5) });
    pool.upsert(serving(4));
    assert!(!is_open(&pool), "the upstream has moved to another service");
}

#[tokio::test(start_paused = true)]
async fn record_leaving_keeps_a_new_run_closed_when_an_old_note_arrives_late() {
    let (_links, [first, second]) = two_hosts();
    first.record_leaving(&serving(1));
    second.upsert(UpstreamRecord { started_at_ms: 2, ..serving(2) });
    second.record_leaving(&UpstreamRecord { started_at_ms: 2, ..serving(2) });
    sleep(SHARING_TIME).await;
    assert!(!is_open(&second));
}

#[tokio::test(start_paused = true)]
async fn record_leaving_covers_a_later_run_on_the_hosts_that_are_told() {
    let (_links, [first, second]) = two_hosts();
    second.reset(vec![serving(1)], 1, None);
    first.record_leaving(&serving(1));
    sleep(SHARING_TIME).await;
    second.upsert(UpstreamRecord { started_at_ms: 2, ..serving(2) });
    assert!(!is_open(&second), "it may be the run that has stated that it leaves");
    sleep(Duration::from_secs(3)).await;
    assert!(is_open(&second), "its entry was renewed since");
}

#[tokio::test(start_paused = true)]
async fn load_records_from_peers_tells_a_starting_host_of_each_departure() {
    let (links, [first, second]) = two_hosts();
    links.meshes.lock().values().for_each(|mesh| mesh.mark_records_loaded());
    first.record_leaving(&serving(1));
    second.remove("u1", 2);

    // None of the others knows the host yet, and no update is due.
    for port in [1, 2] {
        let (pool, mesh) = host(&links, 3);
        add_peer(&mesh, port);
        assert!(mesh.load_records_from_peers(|| ()).await);
        assert!(!is_open(&pool), "the host would take requests for the upstream that leaves");
    }

    let (pool, mesh) = host(&links, 3);
    add_peer(&mesh, 1);
    add_peer(&mesh, 2);
    assert!(mesh.load_records_from_peers(|| ()).await);
    let departures = pool.departures().lock().all();
    let [departure] = departures.as_slice() else {
        panic!("expected one departure, found {departures:?}");
    };
    assert_eq!(departure.leaving_runs, [serving(1).started_at_ms], "the first host knows it");
    assert_eq!(departure.withdrawn_revision, 2, "the second host knows it");
}
