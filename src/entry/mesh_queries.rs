//! Queries to other entry hosts: for recorded spends and turns, for what a program has spent, and for single turns.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
};

use futures_util::{StreamExt, future::join_all, stream::FuturesUnordered};
use tokio::time::{Duration, Instant, timeout};

use crate::{
    PeerMessage,
    entry::{
        mesh_peer::MeshPeer,
        peer_mesh::{PEER_TIMEOUT, PeerMesh},
        stream_versions::StreamOrigin,
        turn_history::HistoryTurn,
    },
};

/// Time for a peer to respond to a spend query. A round trip between regions takes 16 ms.
const SPEND_QUERY_TIMEOUT: Duration = Duration::from_millis(150);

/// Time for a peer to respond to the query for a stream that a client takes up.
const STREAM_QUERY_TIMEOUT: Duration = Duration::from_millis(150);

/// Result of an exchange of spends with the peers that may hand out a program's tokens as well.
#[derive(Debug)]
pub(crate) struct SpendExchange {
    /// Number of peers that were asked, or would have been if they responded.
    pub(crate) asked: usize,
    /// Peers that did not respond.
    pub(crate) unresponsive: Vec<Arc<str>>,
}

/// A peer to which a spend query may be sent.
#[derive(Debug)]
struct QueriedPeer {
    host: Arc<str>,
    address: SocketAddr,
    is_failing: bool,
}

impl PeerMesh {
    /// Loads recorded spends and the index of recorded turns from a peer that has them, which avoids reading every
    /// record in the store. Adds the upstreams that leave from each peer that responds, since a host that starts must not
    /// send them requests until the next updates arrive. Returns whether a peer had the records.
    pub(crate) async fn load_records_from_peers(&self) -> bool {
        let peers: Vec<(Arc<str>, SocketAddr)> = {
            let peers = self.peers.lock();
            peers.iter().map(|(host, peer)| (Arc::clone(host), peer.address)).collect()
        };

        let queries = peers.into_iter().map(|(host, address)| async move {
            let query = PeerMessage::KnowledgeQuery;
            (host, timeout(PEER_TIMEOUT, self.connector.exchange(address, &query)).await)
        });

        let mut has_records = false;

        for (host, response) in join_all(queries).await {
            let Ok(Ok(PeerMessage::Knowledge { spends, batches, departures })) = response else {
                continue;
            };

            self.merge_departures(&departures);

            if !has_records {
                let mut ledger = self.state.ledger.lock();
                spends.iter().for_each(|it| ledger.merge_reported(&it.writer, &it.notes));
                drop(ledger);
                self.state.index.lock().merge(batches);
                log::info!(peer:% = host; "loaded the recorded spends and the index of turns from a peer");
                has_records = true;
            }
        }

        has_records
    }

    /// Exchanges this host's spend of a program for that of each peer that may hand out its tokens as well: the peers
    /// of this region, where the program's requests arrive, and those that have spent before. The first exchange goes
    /// to all peers, so that each of them includes this host in its own exchanges from then on: clients keep
    /// connections to hosts of other regions long after their own region is back. All peers are queried as well while
    /// clients may fail over, and if the region has no other host. Where programs have owners, only peers that have spent
    /// tokens and those that do not respond are queried after the first exchange: any other one would announce itself
    /// with its own first exchange.
    pub(crate) async fn exchange_spend(&self, program: &Arc<str>) -> SpendExchange {
        let peers: Vec<QueriedPeer> = {
            let ledger = self.state.ledger.lock();
            let peers = self.peers.lock();
            let is_same_region = |peer: &MeshPeer| peer.region == self.identity.region;
            let is_first = !ledger.is_announced(program);
            let has_owners = self.has_owners_among(&peers);
            let queries_all = is_first
                || (!has_owners
                    && (self.is_failover_possible(&peers) || !peers.values().any(is_same_region)));

            peers
                .iter()
                .filter(|(host, peer)| {
                    if has_owners {
                        queries_all || peer.failures > 0 || ledger.has_tokens(program, host)
                    } else {
                        queries_all || is_same_region(peer) || ledger.has_spent(program, host)
                    }
                })
                .map(|(host, peer)| QueriedPeer {
                    host: Arc::clone(host),
                    address: peer.address,
                    is_failing: peer.failures > 0,
                })
                .collect()
        };

        let query = PeerMessage::SpendQuery {
            writer: Arc::clone(&self.identity.writer),
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
            note: self.state.ledger.lock().local_note(program),
        };

        let asked = peers.len();
        let queries = peers.into_iter().map(|peer| self.query_spend(peer, &query));
        let unresponsive = join_all(queries).await.into_iter().flatten().collect();
        self.state.ledger.lock().mark_announced(program);
        SpendExchange { asked, unresponsive }
    }

    /// Sends a peer a spend query and merges its response. Returns the peer's name if it did not respond.
    async fn query_spend(&self, peer: QueriedPeer, query: &PeerMessage) -> Option<Arc<str>> {
        // The regular updates find out when the peer responds again, so a query need not wait for its timeout.
        if peer.is_failing {
            return Some(peer.host);
        }

        let exchange = self.connector.exchange(peer.address, query);

        match timeout(SPEND_QUERY_TIMEOUT, exchange).await {
            Ok(Ok(PeerMessage::Spend { writer, sequence, note })) => {
                self.merge_reported_spends(&writer, sequence, &[note]);
                None
            }
            _ => Some(peer.host),
        }
    }

    /// Queries all peers for the software version that has begun a stream, and returns what all answers together say. Waits
    /// for each peer, since one may know of another version than the others.
    pub(crate) async fn find_stream_origin(&self, request: &Arc<str>) -> Option<StreamOrigin> {
        let query = PeerMessage::StreamQuery { request: Arc::clone(request) };
        let addresses: Vec<SocketAddr> =
            self.peers.lock().values().map(|peer| peer.address).collect();
        let mut responses: FuturesUnordered<_> = addresses
            .into_iter()
            .map(|address| timeout(STREAM_QUERY_TIMEOUT, self.connector.exchange(address, &query)))
            .collect();
        let mut origin: Option<StreamOrigin> = None;

        while let Some(response) = responses.next().await {
            if let Ok(Ok(PeerMessage::StreamFound { origin: Some(other) })) = response {
                origin = Some(origin.map_or(other.clone(), |known| known.merge(other)));
            }
        }

        origin
    }

    /// Queries all peers that are not in backoff for a turn. Returns the turn and those before it from a peer that has
    /// them, or nothing.
    pub(crate) async fn find_turns(&self, turn: &Arc<str>) -> Vec<HistoryTurn> {
        let now = Instant::now();
        let addresses: Vec<SocketAddr> = self
            .peers
            .lock()
            .values()
            .filter(|peer| peer.backoff_until.is_none_or(|until| until <= now))
            .map(|peer| peer.address)
            .collect();

        let query = PeerMessage::TurnQuery { turn: Arc::clone(turn) };
        let queries = addresses
            .into_iter()
            .map(|address| timeout(PEER_TIMEOUT, self.connector.exchange(address, &query)));

        for response in join_all(queries).await {
            if let Ok(Ok(PeerMessage::Turns { turns })) = response
                && !turns.is_empty()
            {
                return turns;
            }
        }

        Vec::new()
    }
}
