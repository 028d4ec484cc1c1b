//! What a host makes of a listing of the registry.

use std::{net::SocketAddr, sync::Arc};

use serde_json::value::to_raw_value;

use crate::{
    PeerHandler, PeerMessage, PeerTransport,
    entry::{
        KindListing, ObjectListener, StoredObject, mesh_peer::MeshIdentity, mesh_state::MeshState,
        peer_mesh::PeerMesh,
    },
    tests::{entry_fakes::ResponseStream, shared_departures::HostLinks},
};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// The mesh of `host-1`.
fn mesh() -> PeerMesh {
    let identity = MeshIdentity {
        host: "host-1".into(),
        address: address(1),
        region: "north".into(),
        writer: "host-1.1".into(),
    };
    let transport = Arc::new(HostLinks::default()) as Arc<dyn PeerTransport>;
    PeerMesh::new(identity, transport, MeshState::default())
}

/// A listing of the entries of some hosts, by their numbers.
fn listing(numbers: &[u16]) -> KindListing {
    let entry = |number: &u16| {
        let content = serde_json::json!({ "address": address(*number), "region": "north" });
        let content = to_raw_value(&content).expect("an entry can be encoded as JSON");
        let name = format!("host-{number}").into();
        StoredObject { name, revision: 1, content: Some(content.into()), status: None }
    };
    KindListing { objects: numbers.iter().map(entry).collect(), revision: 1, gap: None }
}

/// A message of `host-2`.
async fn hear_second(mesh: &Arc<PeerMesh>, is_draining: bool) {
    let update = PeerMessage::SpendsNoted {
        host: "host-2".into(),
        address: address(2),
        region: "north".into(),
        writer: "host-2.1".into(),
        sequence: 0,
        run_age_ms: 0,
        is_draining,
        notes: Vec::new(),
        streams: Vec::new(),
        lost_services: Arc::default(),
    };
    let stream = Box::new(ResponseStream { response: None });
    Arc::clone(mesh).handle(update, stream).await;
}

fn schedulers(mesh: &PeerMesh) -> Vec<String> {
    let mut names: Vec<String> = mesh.schedulers().iter().map(|it| it.host.to_string()).collect();
    names.sort();
    names
}

#[tokio::test(start_paused = true)]
async fn reset_removes_hosts_whose_entries_are_gone() {
    let mesh = mesh();
    mesh.reset(listing(&[1, 2, 3]));
    assert_eq!(schedulers(&mesh), ["host-1", "host-2", "host-3"]);
    mesh.reset(listing(&[1, 3]));
    assert_eq!(schedulers(&mesh), ["host-1", "host-3"], "a host that died meanwhile stays");
    assert!(!mesh.take_deregistered());
}

#[tokio::test(start_paused = true)]
async fn reset_notices_that_the_own_entry_is_gone() {
    let mesh = mesh();
    mesh.reset(listing(&[1, 2]));
    mesh.reset(listing(&[2]));
    assert!(mesh.take_deregistered(), "the host never registers again");
}

#[tokio::test(start_paused = true)]
async fn reset_before_the_own_registration_is_no_removal() {
    let mesh = mesh();
    mesh.reset(listing(&[2]));
    assert!(!mesh.take_deregistered());
}

/// Guards against hosts of a zone that don't ask each other: a host that was cut off had removed the entries of both.
#[tokio::test(start_paused = true)]
async fn reset_keeps_host_that_is_heard_without_an_entry() {
    let mesh = Arc::new(mesh());
    mesh.reset(listing(&[1, 2]));
    hear_second(&mesh, false).await;
    mesh.reset(listing(&[1]));
    assert_eq!(schedulers(&mesh), ["host-1", "host-2"]);

    hear_second(&mesh, true).await;
    mesh.reset(listing(&[1, 2]));
    mesh.reset(listing(&[1]));
    assert_eq!(schedulers(&mesh), ["host-1"], "it has stopped");
}
