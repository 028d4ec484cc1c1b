//! A link between two hosts that delays datagrams, and loses those of one direction while it is cut.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use parking_lot::Mutex;
use tokio::{
    net::UdpSocket,
    time::{Duration, sleep},
};

/// Largest datagram that is relayed whole.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Relays datagrams between one client and a server.
#[derive(Debug)]
pub(super) struct TestLink {
    /// Where the client reaches the server.
    pub(super) address: SocketAddr,
    /// Whether datagrams to the client are lost.
    is_cut: Arc<AtomicBool>,
}

impl TestLink {
    pub(super) async fn start(server: SocketAddr, delay: Duration) -> Self {
        let bind = async || Arc::new(UdpSocket::bind("127.0.0.1:0").await.expect("a free port"));
        let (outer, inner) = (bind().await, bind().await);
        let address = outer.local_addr().expect("the socket is bound");
        let is_cut = Arc::new(AtomicBool::new(false));
        let client = Arc::new(Mutex::new(None));

        tokio::spawn({
            let (outer, inner, client) =
                (Arc::clone(&outer), Arc::clone(&inner), Arc::clone(&client));
            relay(outer, inner, delay, move |sender| {
                *client.lock() = Some(sender);
                Some(server)
            })
        });
        tokio::spawn({
            let is_cut = Arc::clone(&is_cut);
            relay(inner, outer, delay, move |_| {
                client.lock().filter(|_| !is_cut.load(Ordering::Relaxed))
            })
        });
        Self { address, is_cut }
    }

    pub(super) fn cut(&self) {
        self.is_cut.store(true, Ordering::Relaxed);
    }

    pub(super) fn restore(&self) {
        self.is_cut.store(false, Ordering::Relaxed);
    }
}

/// Relays datagrams in one direction. `target` names the receiver of a sender's datagram, or none if it is lost.
async fn relay(
    from: Arc<UdpSocket>,
    to: Arc<UdpSocket>,
    delay: Duration,
    target: impl Fn(SocketAddr) -> Option<SocketAddr>,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];

    while let Ok((length, sender)) = from.recv_from(&mut buffer).await {
        let Some(target) = target(sender) else {
            continue;
        };
        let (to, datagram) = (Arc::clone(&to), buffer[..length].to_vec());
        tokio::spawn(async move {
            sleep(delay).await;
            let _ = to.send_to(&datagram, target).await;
        });
    }
}
