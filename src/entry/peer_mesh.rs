//! Exchanges between entry hosts: spends, crashes and turns.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use parking_lot::Mutex;
use tokio::time::{Duration, Instant, sleep, timeout};

use crate::{
    CrashLedger, CrashNote, PeerMessage, PeerTransport,
    entry::{
        BudgetLedger,
        batch_index::BatchIndex,
        budget_ledger::SpendNote,
        mesh_connector::MeshConnector,
        mesh_peer::{MeshIdentity, MeshPeer},
        turn_history::TurnHistory,
        turn_journal::TurnJournal,
    },
};

/// Time between two messages to each peer. What a peer does not know yet is covered by the turn that the rules allow
/// beyond a budget.
const TELL_INTERVAL: Duration = Duration::from_millis(50);

/// Time for a peer to answer; a round trip between regions takes 16 ms.
pub(super) const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which a peer that did not answer is left alone.
const SILENCE_PAUSE: Duration = Duration::from_millis(500);

/// Longest such time, for a host that is gone for good.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);

/// Time after a disturbance in which clients may still come in through hosts of other regions: the balancer asks hosts
/// every second, and needs two answers.
const DISTURBANCE_TIME: Duration = Duration::from_secs(5);

/// Time after which a silent peer's entry is removed. One that lives writes it again.
const LOST_AFTER: Duration = Duration::from_secs(5);

/// The other entry hosts.
#[derive(Debug)]
pub(crate) struct PeerMesh {
    pub(super) identity: MeshIdentity,
    pub(super) journal: OnceLock<Arc<TurnJournal>>,
    pub(super) connector: MeshConnector,
    pub(super) ledger: Arc<Mutex<BudgetLedger>>,
    pub(super) history: Arc<Mutex<TurnHistory>>,
    pub(super) crashes: Arc<Mutex<CrashLedger>>,
    pub(super) index: Arc<Mutex<BatchIndex>>,
    /// Whether this host has read the records, and may tell others what is in them.
    pub(super) is_informed: AtomicBool,
    pub(super) peers: Mutex<HashMap<Arc<str>, MeshPeer>>,
    /// Highest sequence heard of each writer.
    heard: Mutex<HashMap<Arc<str>, u64>>,
    pub(super) sequence: AtomicU64,
    /// Whether another host has removed this host's entry.
    is_unlisted: AtomicBool,
    /// Whether this host is about to stop, and whether peers are to be told of it yet.
    is_draining: AtomicBool,
    is_drain_untold: AtomicBool,
    /// When a host came, went or fell silent last; the start of this host counts.
    disturbed_at: Mutex<Instant>,
}

impl PeerMesh {
    pub(crate) fn new(
        identity: MeshIdentity,
        transport: Arc<dyn PeerTransport>,
        ledger: Arc<Mutex<BudgetLedger>>,
        history: Arc<Mutex<TurnHistory>>,
        crashes: Arc<Mutex<CrashLedger>>,
        index: Arc<Mutex<BatchIndex>>,
    ) -> Self {
        Self {
            identity,
            journal: OnceLock::new(),
            connector: MeshConnector::new(transport),
            ledger,
            history,
            crashes,
            index,
            is_informed: AtomicBool::new(false),
            peers: Mutex::default(),
            heard: Mutex::default(),
            sequence: AtomicU64::new(0),
            is_unlisted: AtomicBool::new(false),
            is_draining: AtomicBool::new(false),
            is_drain_untold: AtomicBool::new(false),
            disturbed_at: Mutex::new(Instant::now()),
        }
    }

    /// Says who records for other hosts.
    pub(crate) fn set_journal(&self, journal: Arc<TurnJournal>) {
        let _ = self.journal.set(journal);
    }

    /// Learns where a host can be reached.
    pub(crate) fn add_peer(&self, host: Arc<str>, address: SocketAddr, region: Arc<str>) {
        if host == self.identity.host || self.is_known(&host, address) {
            return;
        }

        log::info!(peer:% = host, address:% = address; "a peer is listed");
        self.note_disturbance();
        // It may be a new run, which knows nothing of older connections.
        self.connector.forget(address);
        let peer = MeshPeer::new(address, region);
        self.peers.lock().insert(host, peer);
    }

    fn is_known(&self, host: &Arc<str>, address: SocketAddr) -> bool {
        self.peers.lock().get(host).is_some_and(|peer| peer.address == address)
    }

    /// Takes note that a peer has been heard. Gives false if it is not known under this address.
    pub(super) fn note_heard(
        &self,
        host: &Arc<str>,
        address: SocketAddr,
        is_draining: bool,
    ) -> bool {
        let mut peers = self.peers.lock();

        match peers.get_mut(host) {
            Some(peer) if peer.address == address => {
                if peer.failures > 0 || peer.is_draining != is_draining {
                    log::info!(peer:% = host, is_draining; "a peer's state has changed");
                    self.note_disturbance();
                }
                peer.is_draining = is_draining;
                peer.set_heard();
                true
            }
            _ => false,
        }
    }

    /// Says that this host has read the records.
    pub(crate) fn mark_records_loaded(&self) {
        self.is_informed.store(true, Ordering::Relaxed);
    }

    /// Tells, once, that this host's entry has been removed.
    pub(crate) fn take_deregistered(&self) -> bool {
        self.is_unlisted.swap(false, Ordering::Relaxed)
    }

    /// Waits until each peer has been told of this host or has turned out to be silent, so that no peer gives away a
    /// program's tokens in ignorance of this host.
    pub(crate) async fn wait_until_synced(&self) {
        loop {
            let is_heard = {
                let peers = self.peers.lock();
                peers.values().all(|it| it.failures > 0 || (it.is_current && it.told_at.is_none()))
            };

            if is_heard {
                return;
            }

            sleep(TELL_INTERVAL / 2).await;
        }
    }

    /// Forgets a host.
    pub(crate) fn remove_peer(&self, host: &str) {
        if *host == *self.identity.host {
            self.is_unlisted.store(true, Ordering::Relaxed);
        }

        self.note_disturbance();

        self.peers.lock().remove(host);
    }

    /// Hosts that may serve a program at the same time: those of this region, where its requests come in, and at least
    /// one more. After a disturbance there may be one more still, since clients move to other regions while theirs has
    /// no host in service.
    pub(crate) fn serving_host_count(&self) -> u64 {
        let peers = self.peers.lock();
        let floor = if self.is_disturbed(&peers) { 3 } else { 2 };
        let near = peers.values().filter(|peer| peer.region == self.identity.region).count();
        (1 + near as u64).max(floor)
    }

    /// Whether clients may come in through hosts of other regions: hosts are about to stop or silent, or have come, gone
    /// or been so of late.
    pub(super) fn is_disturbed(&self, peers: &HashMap<Arc<str>, MeshPeer>) -> bool {
        let now = Instant::now();
        let is_recent = self.disturbed_at.lock().elapsed() < DISTURBANCE_TIME;
        is_recent || self.is_draining() || peers.values().any(|peer| peer.is_unsteady(now))
    }

    /// Tells peers that this host is about to stop.
    pub(crate) fn drain(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
        self.is_drain_untold.store(true, Ordering::Relaxed);
    }

    /// Whether this host is about to stop.
    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    fn note_disturbance(&self) {
        *self.disturbed_at.lock() = Instant::now();
    }

    /// Peers that have been silent for so long that they are taken to be gone.
    pub(crate) fn dead_peers(&self) -> Vec<Arc<str>> {
        let peers = self.peers.lock();
        peers
            .iter()
            .filter(|(_, peer)| peer.silent_since.is_some_and(|at| at.elapsed() > LOST_AFTER))
            .map(|(host, _)| Arc::clone(host))
            .collect()
    }

    /// Tells peers what they do not know, until the task is dropped.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            sleep(TELL_INTERVAL).await;
            self.tell_all();
        }
    }

    fn tell_all(self: &Arc<Self>) {
        let news = self.ledger.lock().take_untold();
        let crashes = self.crashes.lock().take_news();
        let is_drain_untold = self.is_drain_untold.swap(false, Ordering::Relaxed);
        let has_news = is_drain_untold || !news.is_empty() || !crashes.is_empty();
        let now = Instant::now();
        let mut targets = Vec::new();

        for (host, peer) in self.peers.lock().iter_mut() {
            if peer.told_at.is_some() || peer.paused_until.is_some_and(|until| now < until) {
                // It gets everything once it answers again.
                peer.is_current &= !has_news;
                continue;
            }

            if !peer.is_current || has_news {
                peer.told_at = Some(now);
                targets.push((Arc::clone(host), peer.address, peer.is_current));
            }
        }

        for (host, address, is_current) in targets {
            let mesh = Arc::clone(self);
            let (news, crashes) = (news.clone(), crashes.clone());
            tokio::spawn(async move {
                mesh.tell(host, address, is_current, news, crashes).await;
            });
        }
    }

    async fn tell(
        &self,
        host: Arc<str>,
        address: SocketAddr,
        is_current: bool,
        news: Vec<SpendNote>,
        crashes: Vec<CrashNote>,
    ) {
        if let Some(peer) = self.peers.lock().get_mut(&host) {
            peer.is_current = true;
        }

        let (notes, crashes) = if is_current {
            (news, crashes)
        } else {
            (self.ledger.lock().all_notes(), self.crashes.lock().notes())
        };

        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let mut messages = vec![PeerMessage::SpendsNoted {
            host: Arc::clone(&self.identity.host),
            address: self.identity.address,
            region: Arc::clone(&self.identity.region),
            writer: Arc::clone(&self.identity.writer),
            sequence,
            is_draining: self.is_draining(),
            notes,
        }];

        if !crashes.is_empty() {
            messages.push(PeerMessage::RequestCrashesNoted { notes: crashes });
        }

        let mut is_told = true;
        for message in &messages {
            let answer = timeout(PEER_TIMEOUT, self.connector.exchange(address, message)).await;
            is_told &= matches!(answer, Ok(Ok(PeerMessage::Done)));
        }

        self.note_answer(&host, address, is_told);
    }

    fn note_answer(&self, host: &Arc<str>, address: SocketAddr, is_told: bool) {
        let mut peers = self.peers.lock();
        let Some(peer) = peers.get_mut(host) else {
            return;
        };

        peer.told_at = None;

        if is_told {
            if peer.failures > 0 {
                log::info!(peer:% = host; "a peer answers again");
            }
            peer.set_heard();
            return;
        }

        if peer.failures == 0 {
            log::warn!(peer:% = host; "a peer does not answer");
        }

        self.note_disturbance();
        peer.is_current = false;
        peer.silent_since.get_or_insert_with(Instant::now);
        peer.failures += 1;
        let pause = SILENCE_PAUSE.saturating_mul(1 << peer.failures.min(6)).min(LONGEST_PAUSE);
        peer.paused_until = Some(Instant::now() + pause);
        drop(peers);
        // A connection that a dead or cut-off host left behind must not delay the next try.
        self.connector.forget(address);
    }

    pub(super) fn learn(&self, writer: &Arc<str>, sequence: u64, notes: &[SpendNote]) {
        let is_newer = {
            let mut heard = self.heard.lock();
            let last = heard.entry(Arc::clone(writer)).or_insert(0);
            let is_newer = sequence >= *last;
            *last = sequence.max(*last);
            is_newer
        };

        if is_newer {
            self.ledger.lock().learn_live(writer, notes);
        }
    }
}
