//! Connections to a peer that membership has given up: exchanges end if the peer is gone, and continue if it is not.

use std::{net::SocketAddr, sync::Arc};

use async_trait::async_trait;
use tokio::{
    runtime::{Builder, Runtime},
    time::{Duration, sleep, timeout},
};

use crate::{
    IdlePolicy, NodeMetrics, PeerError, PeerHandler, PeerMessage, PeerStream, PeerTransport,
    QuicTransport, membership::key_files::CertificateAuthority,
};

const REQUEST: PeerMessage = PeerMessage::ConfigPull { after: 1 };

/// Time for an exchange to end once its peer is given up, and for a response of a live peer.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Longer than a transport needs to close the connections to a peer that is gone.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);

/// Time in which an exchange whose peer has died silently is seen to wait.
const SILENT_TIME: Duration = Duration::from_millis(200);

/// Responds to an exchange once a second message has arrived.
#[derive(Debug)]
struct WaitingHandler;

#[async_trait]
impl PeerHandler for WaitingHandler {
    async fn handle(self: Arc<Self>, _first: PeerMessage, mut stream: Box<dyn PeerStream>) {
        if let Ok(Some(_)) = stream.receive().await {
            let _ = stream.send(&PeerMessage::Done).await;
            stream.finish();
        }
    }
}

fn transport(authority: &CertificateAuthority, address: SocketAddr) -> Arc<QuicTransport> {
    let keys = authority.issue("one").expect("keys");
    let metrics = Arc::new(NodeMetrics::new().expect("metrics"));
    let transport =
        QuicTransport::bind(address, &keys, "secret", IdlePolicy::Probed, metrics, None);
    Arc::new(transport.expect("failed to bind a port"))
}

fn free_address() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

/// A peer with a runtime of its own, so that it can be killed.
struct KillablePeer {
    runtime: Runtime,
    address: SocketAddr,
}

impl KillablePeer {
    fn start(authority: &CertificateAuthority, address: SocketAddr) -> Self {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("the runtime starts");
        let guard = runtime.enter();
        let transport = transport(authority, address);
        let address = transport.address().expect("the endpoint is bound");
        tokio::spawn(transport.serve(Arc::new(WaitingHandler)));
        drop(guard);
        Self { runtime, address }
    }
}

/// Ends a peer without a message to those that are connected.
async fn kill(peer: KillablePeer) {
    let end = || peer.runtime.shutdown_timeout(EXCHANGE_TIMEOUT);
    tokio::task::spawn_blocking(end).await.expect("the peer ends");
}

async fn open(client: &QuicTransport, address: SocketAddr) -> Box<dyn PeerStream> {
    client.open(address, &REQUEST).await.expect("failed to open a stream")
}

async fn expect_response(stream: &mut dyn PeerStream) {
    stream.send(&REQUEST).await.expect("failed to send a message");
    let received = timeout(EXCHANGE_TIMEOUT, stream.receive()).await;
    assert!(matches!(received, Ok(Ok(Some(PeerMessage::Done)))), "{received:?}");
}

async fn expect_waiting(stream: &mut dyn PeerStream) {
    let received = timeout(SILENT_TIME, stream.receive()).await;
    assert!(received.is_err(), "the exchange has ended: {received:?}");
}

async fn expect_lost(stream: &mut dyn PeerStream) {
    let received = timeout(EXCHANGE_TIMEOUT, stream.receive()).await;
    assert!(matches!(received, Ok(Err(PeerError::Lost { .. }))), "{received:?}");
}

#[test]
fn disconnect_from_live_peer_leaves_exchanges_open() {
    let authority = CertificateAuthority::generate().expect("an authority");
    let peer = KillablePeer::start(&authority, free_address());
    let address = peer.address;

    Runtime::new().expect("the runtime starts").block_on(async {
        let client = transport(&authority, free_address());
        let mut retired = open(&client, address).await;
        client.retire(address);
        let mut current = open(&client, address).await;
        client.disconnect(address);
        assert!(!client.is_connected(address), "later exchanges connect anew");
        sleep(SETTLE_TIME).await;
        expect_response(&mut *retired).await;
        expect_response(&mut *current).await;
    });
}

#[test]
fn disconnect_from_dead_peer_ends_exchanges() {
    let authority = CertificateAuthority::generate().expect("an authority");
    let peer = KillablePeer::start(&authority, free_address());
    let address = peer.address;

    Runtime::new().expect("the runtime starts").block_on(async {
        let client = transport(&authority, free_address());
        let mut retired = open(&client, address).await;
        client.retire(address);
        assert!(!client.is_connected(address), "later exchanges connect anew");
        let mut current = open(&client, address).await;
        kill(peer).await;
        expect_waiting(&mut *retired).await;
        expect_waiting(&mut *current).await;
        client.disconnect(address);
        expect_lost(&mut *retired).await;
        expect_lost(&mut *current).await;
    });
}

#[test]
fn disconnect_from_peer_that_dies_later_ends_exchange() {
    let authority = CertificateAuthority::generate().expect("an authority");
    let peer = KillablePeer::start(&authority, free_address());
    let address = peer.address;

    Runtime::new().expect("the runtime starts").block_on(async {
        let client = transport(&authority, free_address());
        let mut stream = open(&client, address).await;
        client.disconnect(address);
        sleep(SETTLE_TIME).await;
        expect_waiting(&mut *stream).await;
        kill(peer).await;
        expect_lost(&mut *stream).await;
    });
}

#[test]
fn disconnect_from_restarted_peer_ends_exchange_on_open_connection() {
    let authority = CertificateAuthority::generate().expect("an authority");
    let old_run = KillablePeer::start(&authority, free_address());
    let address = old_run.address;

    Runtime::new().expect("the runtime starts").block_on(async {
        let client = transport(&authority, free_address());
        let mut stream = open(&client, address).await;
        kill(old_run).await;
        let new_run = KillablePeer::start(&authority, address);
        expect_waiting(&mut *stream).await;
        client.disconnect(address);
        expect_lost(&mut *stream).await;
        kill(new_run).await;
    });
}

#[test]
fn disconnect_from_restarted_peer_ends_exchanges_with_old_run_only() {
    let authority = CertificateAuthority::generate().expect("an authority");
    let old_run = KillablePeer::start(&authority, free_address());
    let address = old_run.address;

    Runtime::new().expect("the runtime starts").block_on(async {
        let client = transport(&authority, free_address());
        let mut old_stream = open(&client, address).await;
        kill(old_run).await;
        let new_run = KillablePeer::start(&authority, address);
        client.retire(address);
        let mut new_stream = open(&client, address).await;
        client.disconnect(address);
        expect_lost(&mut *old_stream).await;
        sleep(SETTLE_TIME).await;
        expect_response(&mut *new_stream).await;
        kill(new_run).await;
    });
}
