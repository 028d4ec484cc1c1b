//! Which software version a host finds for a stream that only other hosts know.

use std::{net::SocketAddr, sync::Arc};

use tokio::time::{Duration, Instant, sleep};

use super::{
    entry_fakes::{ScriptedChannel, upstream},
    entry_runner::{pool, runner},
    shared_departures::HostLinks,
};
use crate::{
    PeerTransport,
    entry::{
        EntryRequest, PlacementPool, RequestKind, TeamScope,
        mesh_peer::MeshIdentity,
        mesh_state::MeshState,
        peer_mesh::PeerMesh,
        stream_versions::BegunStream,
        version_finder::{RequiredVersion, VersionFinder},
    },
};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// A host that knows these versions at which the stream `r1` has begun.
fn host(links: &Arc<HostLinks>, port: u16, versions: &[&str]) -> (Arc<PeerMesh>, MeshState) {
    let state = MeshState::default();

    for version in versions {
        let stream = BegunStream {
            request: "r1".into(),
            software_version: Arc::from(*version),
            lifetime: Duration::from_secs(6),
        };
        state.streams.lock().merge(Instant::now(), &stream);
    }

    let identity = MeshIdentity {
        host: format!("host-{port}").into(),
        address: address(port),
        region: "north".into(),
        writer: format!("host-{port}.1").into(),
    };
    let transport = Arc::clone(links) as Arc<dyn PeerTransport>;
    let mesh = Arc::new(PeerMesh::new(identity, transport, state.clone()));
    links.insert(address(port), Arc::clone(&mesh));
    (mesh, state)
}

/// The version that a host without knowledge finds, whose two peers know these ones.
async fn found_version(peers: [&[&str]; 2]) -> RequiredVersion {
    found_version_at(peers.map(Some), &pool()).await
}

/// As [`found_version`], with the upstreams of a pool. A peer without versions does not answer.
async fn found_version_at(
    peers: [Option<&[&str]>; 2],
    pool: &Arc<PlacementPool>,
) -> RequiredVersion {
    let links = Arc::new(HostLinks::default());
    let (mesh, state) = host(&links, 1, &[]);

    for (port, versions) in (2..).zip(peers) {
        match versions {
            Some(versions) => drop(host(&links, port, versions)),
            None => links.insert_silent(address(port)),
        }
        mesh.add_peer(format!("host-{port}").into(), address(port), "north".into());
    }

    let channel = Arc::new(ScriptedChannel::new(Vec::new()));
    let routed = runner(pool, &channel, RequestKind::Stream { can_resume: true }).routed;
    let request = EntryRequest {
        id: "r2".into(),
        last_event_id: Some("3".into()),
        resumed_request: Some("r1".into()),
        ..routed.request
    };
    let finder = VersionFinder { streams: state.streams, mesh, pool: Arc::clone(pool) };
    finder.find(&request, TeamScope::new(None), &routed.route, "service").await
}

#[tokio::test(start_paused = true)]
async fn find_takes_the_version_that_one_of_the_peers_knows() {
    for peers in [[&["v1"][..], &[]], [&[], &["v1"]], [&["v1"], &["v1"]]] {
        assert_eq!(found_version(peers).await, RequiredVersion::Only("v1".into()));
    }
}

#[tokio::test(start_paused = true)]
async fn find_takes_no_version_of_a_stream_that_a_peer_knows_to_have_begun_at_two() {
    for peers in [[&["v1", "v2"][..], &[]], [&["v1", "v2"], &["v1"]], [&["v1"], &["v2", "v1"]]] {
        assert_eq!(found_version(peers).await, RequiredVersion::Unknown, "{peers:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn find_takes_no_version_of_a_stream_on_which_its_peers_differ() {
    assert_eq!(found_version([&["v1"], &["v2"]]).await, RequiredVersion::Unknown);
}

/// A pool whose host has followed the list of upstreams, all of version `v1`, for longer than a stream may be taken up.
async fn pool_of_one_version() -> Arc<PlacementPool> {
    let pool = pool();
    pool.reset(vec![upstream("u1", "service", 4)], 1, None);
    sleep(Duration::from_mins(2)).await;
    pool
}

#[tokio::test(start_paused = true)]
async fn find_takes_the_only_version_that_serves_once_all_peers_have_answered() {
    let pool = pool_of_one_version().await;
    let found = found_version_at([Some(&[]), Some(&[])], &pool).await;
    assert_eq!(found, RequiredVersion::Only("v1".into()));
}

#[tokio::test(start_paused = true)]
async fn find_takes_no_version_while_a_peer_that_may_have_begun_the_stream_is_silent() {
    let pool = pool_of_one_version().await;
    for peers in [[Some(&[][..]), None], [None, None]] {
        assert_eq!(found_version_at(peers, &pool).await, RequiredVersion::Unknown, "{peers:?}");
    }
}
