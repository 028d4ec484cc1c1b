//! Queries to other entry hosts: for recorded spends and turns, for what a program has spent, and for single turns.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
};

use futures_util::{
    FutureExt, StreamExt,
    future::{BoxFuture, join_all},
    stream::FuturesUnordered,
};
use tokio::time::{Duration, Instant, timeout, timeout_at};

use crate::{
    PeerMessage,
    entry::{
        budget_ledger::{SpendRecord, is_writer_of},
        mesh_peer::MeshPeer,
        peer_mesh::{PEER_TIMEOUT, PeerMesh},
        stream_versions::StreamOrigin,
        turn_history::HistoryTurn,
    },
};

/// Time for a peer to respond to the query for a stream that a client takes up.
const STREAM_QUERY_TIMEOUT: Duration = Duration::from_millis(150);

/// Time within which peers that have loaded the records answer a host that starts. A round trip between regions takes 16 ms.
const RECORDS_PATIENCE: Duration = Duration::from_millis(100);

/// Number beyond that of any segment of a run.
const NO_SEGMENT: u64 = u64::MAX >> 1;

/// Exchange of spends with the peers that may hand out a program's tokens as well.
pub(crate) struct SpendExchange<'a> {
    pub(super) started_at: Instant,
    /// Number of peers whose spends are needed.
    pub(crate) asked: usize,
    /// Peers that have not responded.
    pub(crate) outstanding: Vec<Arc<str>>,
    /// Those of them that serve the program and are not lost. Their records lack what their running turns may still spend, so
    /// nothing stands in for their responses.
    pub(crate) holders: Vec<Arc<str>>,
    /// Number of peers that are not asked, as they do not respond to updates either.
    failing: usize,
    answers: FuturesUnordered<BoxFuture<'a, Option<Arc<str>>>>,
}

impl SpendExchange<'_> {
    /// Whether some peers do not respond to anything.
    pub(crate) fn has_failing_peers(&self) -> bool {
        self.failing > 0
    }

    /// Whether a response may still come.
    pub(crate) fn is_waiting(&self) -> bool {
        !self.answers.is_empty()
    }

    /// Waits until a peer has responded or failed to. Never returns if none may do so any more.
    pub(crate) async fn receive(&mut self) {
        match self.answers.next().await {
            Some(Some(host)) => {
                self.outstanding.retain(|it| *it != host);
                self.holders.retain(|it| *it != host);
            }
            Some(None) => (),
            None => std::future::pending().await,
        }
    }
}

/// What the peers know of the version at which a stream has begun.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum OriginSearch {
    Found(StreamOrigin),
    /// All peers have answered, and none knows the stream.
    Nowhere,
    /// Those that have answered don't know the stream, and others have not answered.
    Incomplete {
        silent_count: usize,
    },
}

/// Time without an acknowledgement after which a peer counts as lost rather than late. Connections are given up after it, too.
const LOST_PEER_TIME: Duration = Duration::from_secs(2);

/// A peer to which a spend query may be sent.
#[derive(Debug)]
struct QueriedPeer {
    host: Arc<str>,
    address: SocketAddr,
    /// Whether the peer serves the program.
    is_holder: bool,
    is_asked: bool,
}

impl PeerMesh {
    /// Loads recorded spends and the index of recorded turns from a peer that has them, which avoids reading every
    /// record in the store. Adds the upstreams that leave from each peer that responds, since a host that starts must not
    /// send them requests until the next updates arrive. Calls `report` once it is unlikely that a peer has the records,
    /// since those that have them answer soon; peers that are gone are waited for until they are overdue. Returns whether a
    /// peer had the records.
    pub(crate) async fn load_records_from_peers(&self, report: impl FnOnce()) -> bool {
        let peers: Vec<(Arc<str>, SocketAddr)> = {
            let peers = self.peers.lock();
            peers.iter().map(|(host, peer)| (Arc::clone(host), peer.address)).collect()
        };

        let asked = Instant::now();
        let queries = peers.into_iter().map(|(host, address)| async move {
            let query = PeerMessage::KnowledgeQuery;
            (host, timeout(PEER_TIMEOUT, self.connector.exchange(address, &query)).await)
        });

        let mut answers: FuturesUnordered<_> = queries.collect();
        let mut report = Some(report);
        let mut has_records = false;

        loop {
            let answer = match &report {
                Some(_) if !has_records => {
                    timeout_at(asked + RECORDS_PATIENCE, answers.next()).await
                }
                _ => Ok(answers.next().await),
            };

            let (host, response) = match answer {
                Ok(Some(answer)) => answer,
                Ok(None) => break,
                Err(_) => {
                    report.take().into_iter().for_each(|it| it());
                    continue;
                }
            };

            let Ok(Ok(PeerMessage::Knowledge { spends, batches, readings, departures })) = response
            else {
                continue;
            };

            self.merge_departures(&departures);

            if !has_records {
                let mut ledger = self.state.ledger.lock();
                spends.iter().for_each(|it| ledger.merge_reported(&it.writer, &it.notes));
                drop(ledger);
                self.state.index.lock().merge(batches);
                self.state.readings.lock().merge(asked, &readings);
                log::info!(peer:% = host; "loaded the recorded spends and the index of turns from a peer");
                has_records = true;
            }
        }

        has_records
    }

    /// Begins to exchange this host's spend of a program for that of each peer that may hand out its tokens as well: the
    /// peers of this region, where the program's requests arrive, and those that have spent before. The first exchange goes
    /// to all peers, so that each of them includes this host in its own exchanges from then on: clients keep
    /// connections to hosts of other regions long after their own region is back. All peers are queried as well while
    /// clients may fail over, and if the region has no other host. Where programs have owners, only peers that have spent
    /// tokens, those that have not responded yet and those that were silent and have sent no update since are queried after the first exchange: any
    /// other one would announce itself with its own first exchange. One that has just become responsive may have gone by
    /// records before, of which its first update tells.
    pub(crate) fn begin_exchange(&self, program: &Arc<str>, limit: Duration) -> SpendExchange<'_> {
        let peers: Vec<QueriedPeer> = {
            let mut ledger = self.state.ledger.lock();
            let peers = self.peers.lock();
            let is_same_region = |peer: &MeshPeer| peer.region == self.identity.region;
            let has_owners = self.has_owners_among(&peers);
            let queries_all = !has_owners
                && (self.is_failover_possible(&peers) || !peers.values().any(is_same_region));
            ledger.begin_announcement(program, peers.keys().cloned().collect());

            peers
                .iter()
                .filter(|(host, peer)| {
                    let is_unannounced = ledger.is_unannounced(program, host);
                    if has_owners {
                        is_unannounced
                            || peer.is_unheard_since_failure()
                            || ledger.has_tokens(program, host)
                    } else {
                        is_unannounced
                            || queries_all
                            || is_same_region(peer)
                            || ledger.has_spent(program, host)
                    }
                })
                .map(|(host, peer)| {
                    let run = peer.writer.as_ref();
                    let is_lost =
                        peer.unresponsive_since.is_some_and(|at| at.elapsed() > LOST_PEER_TIME);
                    let is_holder =
                        !is_lost && run.is_some_and(|it| ledger.has_writer_tokens(program, it));
                    QueriedPeer {
                        host: Arc::clone(host),
                        address: peer.address,
                        is_holder,
                        is_asked: is_holder || !self.is_unreachable(&peers, peer),
                    }
                })
                .collect()
        };

        let query = Arc::new(PeerMessage::SpendQuery {
            writer: Arc::clone(&self.identity.writer),
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
            note: self.state.ledger.lock().local_note(program),
        });
        let answers = peers.iter().filter(|peer| peer.is_asked).map(|peer| {
            let (host, address) = (Arc::clone(&peer.host), peer.address);
            self.query_spend(host, address, Arc::clone(&query), limit).boxed()
        });

        SpendExchange {
            started_at: Instant::now(),
            asked: peers.len(),
            failing: peers.iter().filter(|peer| !peer.is_asked).count(),
            holders: peers
                .iter()
                .filter(|peer| peer.is_holder)
                .map(|peer| Arc::clone(&peer.host))
                .collect(),
            answers: answers.collect(),
            outstanding: peers.iter().map(|peer| Arc::clone(&peer.host)).collect(),
        }
    }

    /// Whether a peer need not be asked: updates have shown that it does not respond, or this host hears nobody. The regular
    /// updates find out when it responds again.
    fn is_unreachable(&self, peers: &HashMap<Arc<str>, MeshPeer>, peer: &MeshPeer) -> bool {
        peer.failures > 0
            && (self.is_silent_in_contact(peers, peer)
                || peers.values().all(|peer| peer.failures > 0))
    }

    /// Whether none of these peers acknowledges updates.
    pub(crate) fn are_failing(&self, hosts: &[Arc<str>]) -> bool {
        let peers = self.peers.lock();
        hosts.iter().all(|host| peers.get(host).is_none_or(|peer| peer.failures > 0))
    }

    /// Sends a peer a spend query and merges its response. Returns the peer's name if it responds.
    async fn query_spend(
        &self,
        host: Arc<str>,
        address: SocketAddr,
        query: Arc<PeerMessage>,
        limit: Duration,
    ) -> Option<Arc<str>> {
        let asked_at = Instant::now();

        match timeout(limit, self.connector.exchange(address, &query)).await {
            Ok(Ok(PeerMessage::Spend { writer, sequence, note })) => {
                self.run_lives.lock().record_answer(&host, &writer, asked_at);
                let program = Arc::clone(&note.program);
                self.merge_reported_spends(&writer, sequence, &[note]);
                self.state.ledger.lock().mark_announced(&program, &host);
                Some(host)
            }
            _ => None,
        }
    }

    /// Queries a run for the spends that it has recorded in its segments after the one with the number `sequence`. Returns
    /// `None` if that run does not answer in time, is over, or no longer has them all.
    pub(crate) async fn query_recent_spends(
        &self,
        writer: &Arc<str>,
        sequence: u64,
    ) -> Option<Vec<SpendRecord>> {
        if *writer == self.identity.writer {
            return self.journal.get()?.recent_spends(sequence);
        }

        let (host, address) = {
            let peers = self.peers.lock();
            let is_of_writer = |(_, peer): &(&Arc<str>, &MeshPeer)| {
                peer.failures == 0 && peer.writer.as_ref() == Some(writer)
            };
            let (host, peer) = peers.iter().find(is_of_writer)?;
            (Arc::clone(host), peer.address)
        };
        let query = PeerMessage::RecentSpendsQuery { writer: Arc::clone(writer), sequence };
        let asked_at = Instant::now();

        match timeout(PEER_TIMEOUT, self.connector.exchange(address, &query)).await {
            Ok(Ok(PeerMessage::RecentSpends { spends })) => {
                self.run_lives.lock().record_answer(&host, writer, asked_at);
                Some(spends)
            }
            _ => None,
        }
    }

    /// Asks the run of a host that was heard last whether it lives, if that is another one than `writer`, which then is over.
    pub(crate) async fn prove_run_end(&self, writer: &str) {
        let successor = {
            let peers = self.peers.lock();
            let peer = peers.iter().find(|(host, _)| is_writer_of(host, writer));
            peer.and_then(|(_, peer)| peer.writer.clone()).filter(|it| **it != *writer)
        };

        // Any answer of the run is a proof.
        if let Some(successor) = successor
            && self.query_recent_spends(&successor, NO_SEGMENT).await.is_none()
        {
            log::info!(writer:% = writer, successor:% = successor; "the end of a run can't be proved yet, as the run after it does not answer");
        }
    }

    /// Latest time at which a run can have ended, if it is over for certain.
    pub(crate) fn proved_run_end(&self, writer: &Arc<str>) -> Option<Instant> {
        if self.is_own_run(writer) {
            return (*self.identity.writer != **writer).then_some(self.started_at);
        }

        let mut lives = self.run_lives.lock();
        lives.note_run(writer, Instant::now());
        lives.end(writer)
    }

    /// Forgets the order of runs that have no records and were not heard last.
    pub(crate) fn retain_runs(&self, recorded: &HashSet<Arc<str>>) {
        let mut needed = recorded.clone();
        needed.extend(self.peers.lock().values().filter_map(|peer| peer.writer.clone()));
        self.run_lives.lock().retain(&needed);
    }

    /// Latest time at which a run can have ended, if it may be over, as another run of its host was heard, or is this one. A
    /// message may have arrived late, so this is no proof.
    pub(crate) fn run_end(&self, writer: &str) -> Option<Instant> {
        if is_writer_of(&self.identity.host, writer) {
            return (*self.identity.writer != *writer).then_some(self.started_at);
        }

        let latest_runs = self.latest_runs.lock();
        let (_, latest) = latest_runs.iter().find(|(host, _)| is_writer_of(host, writer))?;
        (*latest.writer != *writer).then_some(latest.started_at)
    }

    /// Latest time at which any run of a peer has been replaced by another one.
    pub(crate) fn last_run_end(&self) -> Option<Instant> {
        self.peers.lock().values().filter_map(|peer| peer.run_started).max()
    }

    /// Queries all peers for the software version that has begun a stream, and returns what all answers together say. Waits
    /// for each peer, since one may know of another version than the others. A peer that does not answer may have begun it.
    pub(crate) async fn find_stream_origin(&self, request: &Arc<str>) -> OriginSearch {
        let query = PeerMessage::StreamQuery { request: Arc::clone(request) };
        let addresses: Vec<SocketAddr> =
            self.peers.lock().values().map(|peer| peer.address).collect();
        let mut responses: FuturesUnordered<_> = addresses
            .into_iter()
            .map(|address| timeout(STREAM_QUERY_TIMEOUT, self.connector.exchange(address, &query)))
            .collect();
        let mut origin: Option<StreamOrigin> = None;
        let mut silent_count = 0;

        while let Some(response) = responses.next().await {
            match response {
                Ok(Ok(PeerMessage::StreamFound { origin: Some(other) })) => {
                    origin = Some(origin.map_or(other.clone(), |known| known.merge(other)));
                }
                Ok(Ok(PeerMessage::StreamFound { origin: None })) => (),
                _ => silent_count += 1,
            }
        }

        match origin {
            Some(origin) => OriginSearch::Found(origin),
            None if silent_count == 0 => OriginSearch::Nowhere,
            None => OriginSearch::Incomplete { silent_count },
        }
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
