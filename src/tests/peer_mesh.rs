//! Which peers are asked for a program's spend.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc};

use async_trait::async_trait;
use parking_lot::Mutex;
use tokio::time::{Duration, sleep};

use super::entry_fakes::AnswerStream;
use crate::{
    PeerError, PeerHandler, PeerMessage, PeerStream, PeerTransport,
    entry::{mesh_peer::MeshIdentity, peer_mesh::PeerMesh},
};

/// Time after which the start of a host no longer counts as a disturbance.
const CALM_TIME: Duration = Duration::from_secs(20);

/// A way to peers that all answer that nothing is spent.
#[derive(Debug, Default)]
struct AskedTransport {
    asked: Mutex<BTreeSet<SocketAddr>>,
}

#[async_trait]
impl PeerTransport for AskedTransport {
    fn forget(&self, _peer: SocketAddr) {}

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
        let answer = if let PeerMessage::SpendQuery { sequence, note, .. } = first {
            self.asked.lock().insert(peer);
            let writer = peer.to_string().into();
            PeerMessage::Spend { writer, sequence: *sequence, note: note.clone() }
        } else {
            PeerMessage::Done
        };

        Ok(Box::new(AnswerStream { answer: Some(answer) }))
    }
}

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

/// A host with one peer in its region and one in another.
fn mesh_of_two_regions(transport: &Arc<AskedTransport>) -> Arc<PeerMesh> {
    let identity = MeshIdentity {
        host: "host-a".into(),
        address: address(1),
        region: "north".into(),
        writer: "host-a.1".into(),
    };
    let mesh = Arc::new(PeerMesh::new(
        identity,
        Arc::clone(transport) as Arc<dyn PeerTransport>,
        Arc::default(),
        Arc::new(Mutex::new(crate::entry::turn_history::TurnHistory::default())),
        Arc::default(),
        Arc::default(),
    ));

    mesh.add_peer("host-b".into(), address(2), "north".into());
    mesh.add_peer("host-c".into(), address(3), "south".into());
    mesh
}

async fn asked(mesh: &PeerMesh, transport: &AskedTransport) -> Vec<u16> {
    transport.asked.lock().clear();
    let silent = mesh.exchange_spend(&"program".into()).await;
    assert!(silent.is_empty(), "{silent:?}");
    transport.asked.lock().iter().map(SocketAddr::port).collect()
}

/// What a host of the other region tells.
fn told_by_far_host(sequence: u64, is_draining: bool) -> PeerMessage {
    PeerMessage::SpendsNoted {
        host: "host-c".into(),
        address: address(3),
        region: "south".into(),
        writer: "host-c.1".into(),
        sequence,
        is_draining,
        notes: Vec::new(),
    }
}

#[tokio::test(start_paused = true)]
async fn peer_mesh_asks_all_while_a_peer_drains() {
    let transport = Arc::new(AskedTransport::default());
    let mesh = mesh_of_two_regions(&transport);
    assert_eq!(asked(&mesh, &transport).await, [2, 3], "the hosts have just come");

    sleep(CALM_TIME).await;
    assert_eq!(asked(&mesh, &transport).await, [2], "clients come in through their own region");

    let stream = Box::new(AnswerStream { answer: None });
    Arc::clone(&mesh).handle(told_by_far_host(1, true), stream).await;
    sleep(CALM_TIME).await;
    assert_eq!(asked(&mesh, &transport).await, [2, 3], "clients of the south come here");
    assert_eq!(mesh.serving_host_count(), 3);

    let stream = Box::new(AnswerStream { answer: None });
    Arc::clone(&mesh).handle(told_by_far_host(2, false), stream).await;
    sleep(CALM_TIME).await;
    assert_eq!(asked(&mesh, &transport).await, [2]);
}

#[tokio::test(start_paused = true)]
async fn peer_mesh_asks_all_once_it_drains_itself() {
    let transport = Arc::new(AskedTransport::default());
    let mesh = mesh_of_two_regions(&transport);
    sleep(CALM_TIME).await;
    asked(&mesh, &transport).await;
    assert_eq!(asked(&mesh, &transport).await, [2]);
    mesh.drain();
    assert_eq!(asked(&mesh, &transport).await, [2, 3]);
}

#[tokio::test(start_paused = true)]
async fn peer_mesh_asks_all_when_it_begins_to_serve_a_program() {
    let transport = Arc::new(AskedTransport::default());
    let mesh = mesh_of_two_regions(&transport);
    sleep(CALM_TIME).await;

    // The client may have kept a connection to a host of the other region, which serves the program as well.
    assert_eq!(asked(&mesh, &transport).await, [2, 3]);
    assert_eq!(asked(&mesh, &transport).await, [2], "the far host knows whom to ask");
}
