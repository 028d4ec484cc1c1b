//! A relay for the datagrams that reach one host, by which a test cuts links in either direction.

use std::{
    collections::{HashMap, HashSet, hash_map::Entry},
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use tokio::{net::UdpSocket, task::JoinHandle};

/// Largest datagram.
const DATAGRAM_BYTES: usize = 2_048;

/// Cut links, each as the addresses of the sender and the receiver.
pub(crate) type CutLinks = Arc<Mutex<HashSet<(SocketAddr, SocketAddr)>>>;

/// A relay before one host. It ends when it is dropped.
#[derive(Debug)]
pub(crate) struct UdpRelay {
    pub(crate) address: SocketAddr,
    task: JoinHandle<()>,
}

impl UdpRelay {
    /// Relays to `host` whatever no cut link holds back.
    pub(crate) async fn start(host: SocketAddr, cuts: CutLinks) -> Self {
        let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.expect("a port"));
        let address = socket.local_addr().expect("an address");
        let task = tokio::spawn(relay(socket, host, cuts));
        Self { address, task }
    }
}

impl Drop for UdpRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn relay(front: Arc<UdpSocket>, host: SocketAddr, cuts: CutLinks) {
    let mut backs: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut tasks = tokio::task::JoinSet::new();
    let mut buffer = vec![0; DATAGRAM_BYTES];

    loop {
        let Ok((size, sender)) = front.recv_from(&mut buffer).await else {
            continue;
        };

        if cuts.lock().expect("no panic").contains(&(sender, host)) {
            continue;
        }

        let back = match backs.entry(sender) {
            Entry::Occupied(entry) => Arc::clone(entry.get()),
            Entry::Vacant(entry) => {
                let back = Arc::new(UdpSocket::bind("127.0.0.1:0").await.expect("a port"));
                let (front, cuts) = (Arc::clone(&front), Arc::clone(&cuts));
                tasks.spawn(relay_back(Arc::clone(&back), front, sender, host, cuts));
                Arc::clone(entry.insert(back))
            }
        };

        let _ = back.send_to(&buffer[..size], host).await;
    }
}

async fn relay_back(
    back: Arc<UdpSocket>,
    front: Arc<UdpSocket>,
    sender: SocketAddr,
    host: SocketAddr,
    cuts: CutLinks,
) {
    let mut buffer = vec![0; DATAGRAM_BYTES];

    loop {
        let Ok((size, _)) = back.recv_from(&mut buffer).await else {
            continue;
        };

        if !cuts.lock().expect("no panic").contains(&(host, sender)) {
            let _ = front.send_to(&buffer[..size], sender).await;
        }
    }
}
