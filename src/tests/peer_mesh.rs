//! Which peers are queried for a program's spend.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc};

use async_trait::async_trait;
use parking_lot::Mutex;
use tokio::time::{Duration, sleep};

use super::entry_fakes::{ResponseStream, upstream};
use crate::{
    PeerError, PeerHandler, PeerMessage, PeerStream, PeerTransport,
    entry::{
        mesh_peer::MeshIdentity, mesh_state::MeshState, peer_mesh::PeerMesh,
        turn_journal::TurnRecorder,
    },
};

/// Time after which a membership change, such as the start of a host, no longer makes failover possible.
const STABILIZATION_TIME: Duration = Duration::from_secs(20);

/// Transport to peers that respond to a spend query with the note they received. It records which peers were queried.
#[derive(Debug, Default)]
struct RecordingTransport {
    queried: Mutex<BTreeSet<SocketAddr>>,
    /// Peers that were told of upstreams that leave, once for each message.
    told: Mutex<Vec<SocketAddr>>,
    /// Peers that were sent an update, once for each.
    updated: Mutex<Vec<SocketAddr>>,
}

#[async_trait]
impl PeerTransport for RecordingTransport {
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
        if matches!(first, PeerMessage::UpstreamsLeaving { .. }) {
            self.told.lock().push(peer);
        }
        if matches!(first, PeerMessage::SpendsNoted { .. }) {
            self.updated.lock().push(peer);
        }

        let response = if let PeerMessage::SpendQuery { sequence, note, .. } = first {
            self.queried.lock().insert(peer);
            let writer = peer.to_string().into();
            PeerMessage::Spend { writer, sequence: *sequence, note: note.clone() }
        } else {
            PeerMessage::Done
        };

        Ok(Box::new(ResponseStream { response: Some(response) }))
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// The mesh of a host with one peer in its own region and one in another.
fn mesh_of_two_regions(transport: &Arc<RecordingTransport>) -> Arc<PeerMesh> {
    mesh_with_state(transport, MeshState::default())
}

fn mesh_with_state(transport: &Arc<RecordingTransport>, state: MeshState) -> Arc<PeerMesh> {
    let identity = MeshIdentity {
        host: "host-a".into(),
        address: address(1),
        region: "north".into(),
        writer: "host-a.1".into(),
    };
    let mesh =
        Arc::new(PeerMesh::new(identity, Arc::clone(transport) as Arc<dyn PeerTransport>, state));

    mesh.add_peer("host-b".into(), address(2), "north".into());
    mesh.add_peer("host-c".into(), address(3), "south".into());
    mesh
}

/// Exchanges a program's spend and returns the ports of the peers that were queried.
async fn queried_ports(mesh: &PeerMesh, transport: &RecordingTransport) -> Vec<u16> {
    transport.queried.lock().clear();
    let mut exchange = mesh.begin_exchange(&"program".into(), Duration::from_millis(150));
    for _ in 0..exchange.asked {
        exchange.receive().await;
    }
    let unresponsive_peers = &exchange.outstanding;
    assert!(unresponsive_peers.is_empty(), "peers did not respond: {unresponsive_peers:?}");
    transport.queried.lock().iter().map(SocketAddr::port).collect()
}

/// An update from the host of the other region.
fn remote_host_update(sequence: u64, is_draining: bool) -> PeerMessage {
    remote_run_update("host-c.1", sequence, is_draining)
}

/// An update from the other host of the own region.
fn near_host_update() -> PeerMessage {
    host_update("host-b", 2, "north", "host-b.1", 1, false)
}

/// An update from one run of the host of the other region.
fn remote_run_update(writer: &str, sequence: u64, is_draining: bool) -> PeerMessage {
    host_update("host-c", 3, "south", writer, sequence, is_draining)
}

fn host_update(
    host: &str,
    port: u16,
    region: &str,
    writer: &str,
    sequence: u64,
    is_draining: bool,
) -> PeerMessage {
    PeerMessage::SpendsNoted {
        host: host.into(),
        address: address(port),
        region: region.into(),
        writer: writer.into(),
        sequence,
        run_age_ms: 0,
        is_draining,
        notes: Vec::new(),
        streams: Vec::new(),
        lost_services: Arc::default(),
    }
}

#[tokio::test(start_paused = true)]
async fn exchange_spend_queries_all_peers_while_a_peer_drains() {
    let transport = Arc::new(RecordingTransport::default());
    let mesh = mesh_of_two_regions(&transport);
    assert_eq!(queried_ports(&mesh, &transport).await, [2, 3], "the hosts have just joined");

    sleep(STABILIZATION_TIME).await;
    assert_eq!(
        queried_ports(&mesh, &transport).await,
        [2],
        "clients use hosts of their own region"
    );

    let stream = Box::new(ResponseStream { response: None });
    Arc::clone(&mesh).handle(remote_host_update(1, true), stream).await;
    sleep(STABILIZATION_TIME).await;
    assert_eq!(
        queried_ports(&mesh, &transport).await,
        [2, 3],
        "clients of the south may fail over to this region"
    );
    assert_eq!(mesh.serving_host_count(), 3);

    let stream = Box::new(ResponseStream { response: None });
    Arc::clone(&mesh).handle(remote_host_update(2, false), stream).await;
    sleep(STABILIZATION_TIME).await;
    assert_eq!(queried_ports(&mesh, &transport).await, [2]);
}

#[tokio::test(start_paused = true)]
async fn exchange_spend_queries_all_peers_once_this_host_drains() {
    let transport = Arc::new(RecordingTransport::default());
    let mesh = mesh_of_two_regions(&transport);
    sleep(STABILIZATION_TIME).await;
    queried_ports(&mesh, &transport).await;
    assert_eq!(queried_ports(&mesh, &transport).await, [2]);
    mesh.drain();
    assert_eq!(queried_ports(&mesh, &transport).await, [2, 3]);
}

#[tokio::test(start_paused = true)]
async fn exchange_spend_queries_all_peers_for_a_new_program() {
    let transport = Arc::new(RecordingTransport::default());
    let mesh = mesh_of_two_regions(&transport);
    sleep(STABILIZATION_TIME).await;

    // A client may still have a connection to a host of the other region, so that both serve the program.
    assert_eq!(queried_ports(&mesh, &transport).await, [2, 3]);
    assert_eq!(
        queried_ports(&mesh, &transport).await,
        [2],
        "the remote host queries this one from now on"
    );
}

/// The mesh of a host with five peers in its own region and two in another.
fn mesh_with_owners(transport: &Arc<RecordingTransport>) -> Arc<PeerMesh> {
    let mesh = mesh_of_two_regions(transport);
    for port in 4..8 {
        mesh.add_peer(format!("host-{port}").into(), address(port), "north".into());
    }
    mesh.add_peer("host-8".into(), address(8), "south".into());
    mesh
}

#[tokio::test(start_paused = true)]
async fn exchange_spend_of_an_owner_queries_all_peers_once() {
    let transport = Arc::new(RecordingTransport::default());
    let mesh = mesh_with_owners(&transport);
    assert!(mesh.has_owners());
    assert_eq!(mesh.sharing_host_count(), None, "no share is given out unasked");
    assert_eq!(queried_ports(&mesh, &transport).await, [2, 3, 4, 5, 6, 7, 8]);
    let none: [u16; 0] = [];
    assert_eq!(queried_ports(&mesh, &transport).await, none, "no other host has spent anything");

    // Another host begins to serve the program and announces itself.
    let announcement = crate::entry::budget_ledger::SpendNote {
        program: "program".into(),
        tokens: 92,
        recorded: 0,
    };
    let query =
        PeerMessage::SpendQuery { writer: "host-5.1".into(), sequence: 1, note: announcement };
    Arc::clone(&mesh).handle(query, Box::new(ResponseStream { response: None })).await;
    assert_eq!(queried_ports(&mesh, &transport).await, [5]);
}

#[tokio::test(start_paused = true)]
async fn sharing_host_count_without_owners() {
    let transport = Arc::new(RecordingTransport::default());
    let mesh = mesh_of_two_regions(&transport);
    assert!(!mesh.has_owners());
    assert_eq!(mesh.sharing_host_count(), None, "the peers may not know of this host yet");

    for message in [near_host_update(), remote_host_update(1, false)] {
        let stream = Box::new(ResponseStream { response: None });
        Arc::clone(&mesh).handle(message, stream).await;
    }
    sleep(STABILIZATION_TIME).await;
    assert_eq!(mesh.sharing_host_count(), Some(2));
}

#[tokio::test(start_paused = true)]
async fn run_tells_restarted_peer_of_leaving_upstreams() {
    let transport = Arc::new(RecordingTransport::default());
    let state = MeshState::default();
    let mesh = mesh_with_state(&transport, state.clone());
    let updates = tokio::spawn(Arc::clone(&mesh).run());
    state.departures.lock().add_leaving(&upstream("u1", "model", 1));
    let first_run = remote_run_update("host-c.1", 1, false);
    Arc::clone(&mesh).handle(first_run, Box::new(ResponseStream { response: None })).await;
    sleep(Duration::from_secs(1)).await;
    assert!(transport.told.lock().contains(&address(3)));
    transport.told.lock().clear();

    // The host restarts between two updates, at its address, and announces itself.
    let second_run = remote_run_update("host-c.2", 1, false);
    Arc::clone(&mesh).handle(second_run, Box::new(ResponseStream { response: None })).await;
    sleep(Duration::from_secs(20)).await;
    assert_eq!(
        *transport.told.lock(),
        [address(3)],
        "the new run knows of no upstream that leaves"
    );
    updates.abort();
}

#[tokio::test(start_paused = true)]
async fn send_updates_keeps_a_change_that_is_made_before_the_last_update_is_sent() {
    let transport = Arc::new(RecordingTransport::default());
    let state = MeshState::default();
    let mesh = mesh_with_state(&transport, state.clone());
    mesh.send_updates();
    sleep(Duration::from_secs(1)).await;

    // The host is busy, so the task of the first update runs only after the second.
    state.departures.lock().add_leaving(&upstream("u1", "model", 1));
    mesh.send_updates();
    state.departures.lock().add_leaving(&upstream("u2", "model", 1));
    mesh.send_updates();
    sleep(Duration::from_secs(1)).await;
    mesh.send_updates();
    sleep(Duration::from_secs(1)).await;
    assert_eq!(
        transport.told.lock().iter().filter(|it| **it == address(3)).count(),
        2,
        "the second change is sent as well"
    );
}

#[tokio::test(start_paused = true)]
async fn exchange_after_a_gap_repeats_nothing_that_a_peer_has_acknowledged() {
    let transport = Arc::new(RecordingTransport::default());
    let state = MeshState::default();
    let mesh = mesh_with_state(&transport, state.clone());
    let updates = tokio::spawn(Arc::clone(&mesh).run());
    state.departures.lock().add_leaving(&upstream("u1", "model", 1));
    sleep(Duration::from_secs(1)).await;
    transport.told.lock().clear();
    transport.updated.lock().clear();

    state.departures.lock().request_exchange();
    sleep(Duration::from_secs(1)).await;
    let mut reached = transport.updated.lock().clone();
    reached.sort_unstable();
    assert_eq!(reached, [address(2), address(3)], "a peer that could not reach this host hears it");
    assert!(transport.told.lock().is_empty(), "the full state is large");
    updates.abort();
}

/// The recorders of a region, as each of its hosts chooses one.
fn recorders(host_count: u16) -> BTreeSet<Arc<str>> {
    let names: Vec<Arc<str>> = (1..=host_count).map(|port| format!("host-{port}").into()).collect();
    let recorder = |local: &Arc<str>| {
        let identity = MeshIdentity {
            host: Arc::clone(local),
            address: address(0),
            region: "north".into(),
            writer: "run".into(),
        };
        let transport: Arc<dyn PeerTransport> = Arc::new(RecordingTransport::default());
        let mesh = PeerMesh::new(identity, transport, MeshState::default());
        let peers = names.iter().zip(1..);
        peers.for_each(|(name, port)| {
            mesh.add_peer(Arc::clone(name), address(port), "north".into());
        });
        mesh.preferred_host().unwrap_or_else(|| Arc::clone(local))
    };
    names.iter().map(recorder).collect()
}

#[test]
fn preferred_host_is_one_for_all_hosts_that_may_share_a_recorder() {
    for host_count in [1, 2, 6, 11, 12] {
        let recorders = recorders(host_count);
        assert_eq!(recorders.len(), 1, "{host_count} hosts record at {recorders:?}");
    }
    assert!(recorders(24).len() <= 2);
    assert!(recorders(40).len() > 1, "one recorder is a bottleneck");
}
