//! UDP relay in front of one host, with which a test cuts the link from another host in either direction.

use std::{
    collections::{HashMap, HashSet, hash_map::Entry},
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use tokio::{net::UdpSocket, task::JoinHandle};

/// Largest datagram that is relayed whole.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// Links that are cut, each as the addresses of the sender and the receiver.
pub(crate) type CutLinks = Arc<Mutex<HashSet<(SocketAddr, SocketAddr)>>>;

/// Relay in front of one host. It stops when it is dropped.
#[derive(Debug)]
pub(crate) struct UdpRelay {
    /// Where other hosts reach the relayed host.
    pub(crate) address: SocketAddr,
    task: JoinHandle<()>,
}

impl UdpRelay {
    /// Starts a relay to `host`. Datagrams of a link that is cut are dropped.
    pub(crate) async fn start(host: SocketAddr, cut_links: CutLinks) -> Self {
        let socket =
            Arc::new(UdpSocket::bind("127.0.0.1:0").await.expect("a port should be available"));
        let address = socket.local_addr().expect("a bound socket should have an address");
        let task = tokio::spawn(relay_to_host(socket, host, cut_links));
        Self { address, task }
    }
}

impl Drop for UdpRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Relays datagrams to the host, over a socket for each sender, so that the host's replies can be assigned to them.
async fn relay_to_host(relay_socket: Arc<UdpSocket>, host: SocketAddr, cut_links: CutLinks) {
    let mut sender_sockets: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut reply_tasks = tokio::task::JoinSet::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];

    loop {
        let Ok((size, sender)) = relay_socket.recv_from(&mut buffer).await else {
            continue;
        };

        if cut_links.lock().expect("the lock should not be poisoned").contains(&(sender, host)) {
            continue;
        }

        let sender_socket = match sender_sockets.entry(sender) {
            Entry::Occupied(entry) => Arc::clone(entry.get()),
            Entry::Vacant(entry) => {
                let sender_socket = Arc::new(
                    UdpSocket::bind("127.0.0.1:0").await.expect("a port should be available"),
                );
                let (relay_socket, cut_links) = (Arc::clone(&relay_socket), Arc::clone(&cut_links));
                reply_tasks.spawn(relay_to_sender(
                    Arc::clone(&sender_socket),
                    relay_socket,
                    sender,
                    host,
                    cut_links,
                ));
                Arc::clone(entry.insert(sender_socket))
            }
        };

        let _ = sender_socket.send_to(&buffer[..size], host).await;
    }
}

/// Relays the host's datagrams to one sender.
async fn relay_to_sender(
    sender_socket: Arc<UdpSocket>,
    relay_socket: Arc<UdpSocket>,
    sender: SocketAddr,
    host: SocketAddr,
    cut_links: CutLinks,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];

    loop {
        let Ok((size, _)) = sender_socket.recv_from(&mut buffer).await else {
            continue;
        };

        if !cut_links.lock().expect("the lock should not be poisoned").contains(&(host, sender)) {
            let _ = relay_socket.send_to(&buffer[..size], sender).await;
        }
    }
}
