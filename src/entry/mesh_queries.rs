//! What an entry host asks others: what is recorded, what a program has spent, and turns.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
};

use futures_util::future::join_all;
use tokio::time::{Duration, Instant, timeout};

use crate::{
    PeerMessage,
    entry::{
        mesh_peer::MeshPeer,
        peer_mesh::{PEER_TIMEOUT, PeerMesh},
        turn_history::HistoryTurn,
    },
};

/// Time for a peer to say what a program has spent; a round trip between regions takes 16 ms.
const COMPARE_TIMEOUT: Duration = Duration::from_millis(150);

/// A peer whose spend is asked for.
#[derive(Debug)]
struct ComparedPeer {
    host: Arc<str>,
    address: SocketAddr,
    is_failing: bool,
}

impl PeerMesh {
    /// Asks all peers for what is recorded, which spares reading all of it. Gives whether one has told.
    pub(crate) async fn load_records_from_peers(&self) -> bool {
        let peers: Vec<(Arc<str>, SocketAddr)> = {
            let peers = self.peers.lock();
            peers.iter().map(|(host, peer)| (Arc::clone(host), peer.address)).collect()
        };

        let asked = peers.into_iter().map(|(host, address)| async move {
            let query = PeerMessage::KnowledgeQuery;
            (host, timeout(PEER_TIMEOUT, self.connector.exchange(address, &query)).await)
        });

        for (host, answer) in join_all(asked).await {
            if let Ok(Ok(PeerMessage::Knowledge { spends, batches })) = answer {
                let mut ledger = self.ledger.lock();
                spends.iter().for_each(|it| ledger.learn_live(&it.writer, &it.notes));
                drop(ledger);
                self.index.lock().learn(batches);
                log::info!(peer:% = host; "learnt from a peer what is recorded");
                return true;
            }
        }

        false
    }

    /// Exchanges this host's spend of a program for that of each peer that may spend for it as well: those of this region,
    /// where a program's requests come in, and those that have spent before. All are asked the first time, by which they
    /// learn that this host serves the program and ask it from then on: clients keep connections to hosts of other regions
    /// long after their own is back. All are asked as well while hosts are disturbed, and where the region has no other
    /// host. Gives those that did not answer.
    pub(crate) async fn exchange_spend(&self, program: &Arc<str>) -> Vec<Arc<str>> {
        let peers: Vec<ComparedPeer> = {
            let mut ledger = self.ledger.lock();
            let peers = self.peers.lock();
            let is_near = |peer: &MeshPeer| peer.region == self.identity.region;
            let is_first = !ledger.announce(program);
            let asks_all = is_first || self.is_disturbed(&peers) || !peers.values().any(is_near);

            peers
                .iter()
                .filter(|(host, peer)| asks_all || is_near(peer) || ledger.has_spent(program, host))
                .map(|(host, peer)| ComparedPeer {
                    host: Arc::clone(host),
                    address: peer.address,
                    is_failing: peer.failures > 0,
                })
                .collect()
        };

        let query = PeerMessage::SpendQuery {
            writer: Arc::clone(&self.identity.writer),
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
            note: self.ledger.lock().own_spend(program),
        };

        let asked = peers.into_iter().map(|peer| self.compare_with(peer, &query));
        join_all(asked).await.into_iter().flatten().collect()
    }

    /// Gives the peer if it did not answer.
    async fn compare_with(&self, peer: ComparedPeer, query: &PeerMessage) -> Option<Arc<str>> {
        // It is asked again by the messages that are sent all the time.
        if peer.is_failing {
            return Some(peer.host);
        }

        let call = self.connector.exchange(peer.address, query);

        match timeout(COMPARE_TIMEOUT, call).await {
            Ok(Ok(PeerMessage::Spend { writer, sequence, note })) => {
                self.learn(&writer, sequence, &[note]);
                None
            }
            _ => Some(peer.host),
        }
    }

    /// Asks all peers for a turn, and gives it with those before it from the first that knows it.
    pub(crate) async fn find_turns(&self, turn: &Arc<str>) -> Vec<HistoryTurn> {
        let now = Instant::now();
        let addresses: Vec<SocketAddr> = self
            .peers
            .lock()
            .values()
            .filter(|peer| peer.paused_until.is_none_or(|until| until <= now))
            .map(|peer| peer.address)
            .collect();

        let query = PeerMessage::TurnQuery { turn: Arc::clone(turn) };
        let asked = addresses
            .into_iter()
            .map(|address| timeout(PEER_TIMEOUT, self.connector.exchange(address, &query)));

        for answer in join_all(asked).await {
            if let Ok(Ok(PeerMessage::Turns { turns })) = answer
                && !turns.is_empty()
            {
                return turns;
            }
        }

        Vec::new()
    }
}
