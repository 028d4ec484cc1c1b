//! Connections to a peer that is slow to accept them.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
};

use async_trait::async_trait;
use futures_util::future::join_all;
use tokio::time::{Duration, sleep, timeout};

use super::entry_fakes::ResponseStream;
use crate::{
    PeerError, PeerMessage, PeerStream, PeerTransport, entry::mesh_connector::MeshConnector,
};

/// Time to connect, which is longer than an exchange may take.
const CONNECT_TIME: Duration = Duration::from_millis(600);
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(150);

/// Transport to a peer that is slow to connect and then responds to every message at once.
#[derive(Debug, Default)]
struct SlowTransport {
    attempts: AtomicU32,
    is_connected: AtomicBool,
}

#[async_trait]
impl PeerTransport for SlowTransport {
    fn disconnect(&self, peer: SocketAddr) {
        self.retire(peer);
    }

    fn retire(&self, _peer: SocketAddr) {
        self.is_connected.store(false, Ordering::Relaxed);
    }

    fn is_connected(&self, _peer: SocketAddr) -> bool {
        self.is_connected.load(Ordering::Relaxed)
    }

    async fn connect(&self, _peer: SocketAddr) -> Result<(), PeerError> {
        self.attempts.fetch_add(1, Ordering::Relaxed);
        sleep(CONNECT_TIME).await;
        self.is_connected.store(true, Ordering::Relaxed);
        Ok(())
    }

    async fn open(
        &self,
        peer: SocketAddr,
        _first: &PeerMessage,
    ) -> Result<Box<dyn PeerStream>, PeerError> {
        if !self.is_connected(peer) {
            self.connect(peer).await?;
        }
        Ok(Box::new(ResponseStream { response: Some(PeerMessage::Done) }))
    }
}

#[tokio::test(start_paused = true)]
async fn exchange_shares_one_connection_attempt() {
    let transport = Arc::new(SlowTransport::default());
    let connector = MeshConnector::new(Arc::clone(&transport) as Arc<dyn PeerTransport>);
    let address: SocketAddr = "127.0.0.1:1".parse().expect("a valid address");

    let exchanges = (0..100)
        .map(|_| timeout(EXCHANGE_TIMEOUT, connector.exchange(address, &PeerMessage::Done)));
    assert!(
        join_all(exchanges).await.iter().all(Result::is_err),
        "connecting takes longer than an exchange may"
    );

    // The attempt has continued after the exchanges timed out.
    let response = timeout(CONNECT_TIME, connector.exchange(address, &PeerMessage::Done)).await;
    assert!(matches!(response, Ok(Ok(PeerMessage::Done))), "{response:?}");
    assert_eq!(transport.attempts.load(Ordering::Relaxed), 1);

    connector.retire(address);
    let response = connector.exchange(address, &PeerMessage::Done).await;
    assert!(matches!(response, Ok(PeerMessage::Done)), "{response:?}");
    assert_eq!(transport.attempts.load(Ordering::Relaxed), 2);
}
