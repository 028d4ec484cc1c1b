//! The other entry hosts and the updates that this host sends them: spends, request crashes and whether it drains.

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
    CrashNote, PeerMessage, PeerTransport,
    entry::{
        budget_ledger::{SpendNote, is_writer_of},
        host_reach::LostServices,
        mesh_connector::MeshConnector,
        mesh_peer::{MeshIdentity, MeshPeer},
        mesh_state::MeshState,
        peer_contact::{DroppedPeer, PeerContact},
        quotas::quota_owner::QuotaOwner,
        run_lives::RunLives,
        segment_reader::SegmentReader,
        stream_versions::BegunStream,
        turn_journal::TurnJournal,
        upstream_departures::UpstreamDeparture,
        upstream_limits::{LimitNote, SharingHost},
    },
    gateway::{SchedulerEntry, role_policy::has_owners},
};

/// Time between two updates to each peer. Spends that a peer has not received yet are covered by the one turn that the
/// rules allow a program beyond its budget.
const UPDATE_INTERVAL: Duration = Duration::from_millis(50);

/// Number of peers to which a host sends updates at the shortest interval.
const PEERS_PER_UPDATE_INTERVAL: usize = 4;

/// Largest multiple of the shortest interval between updates.
const MAX_INTERVAL_FACTOR: u32 = 8;

/// Time for a peer to respond. A round trip between regions takes 16 ms.
pub(super) const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// Base of the backoff of updates to a peer that does not respond. Each failure in a row doubles it, also the first.
const BACKOFF_BASE: Duration = Duration::from_millis(500);

/// Longest backoff, reached by a host that is gone for good.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// Time after a membership change during which clients may still fail over to hosts of other regions. The load balancer
/// checks hosts every second and needs the results of two checks before it acts.
const FAILOVER_WINDOW: Duration = Duration::from_secs(5);

/// What the other hosts have to be told.
#[derive(Clone, Debug)]
struct MeshChanges {
    notes: Vec<SpendNote>,
    crashes: Vec<CrashNote>,
    departures: Vec<UpstreamDeparture>,
    limits: Vec<LimitNote>,
    streams: Vec<BegunStream>,
}

impl MeshChanges {
    fn is_empty(&self) -> bool {
        self.notes.is_empty()
            && self.crashes.is_empty()
            && self.departures.is_empty()
            && self.limits.is_empty()
            && self.streams.is_empty()
    }
}

/// A run of another host that has sent a message.
#[derive(Debug)]
pub(super) struct HeardRun {
    pub(super) writer: Arc<str>,
    /// Latest time at which the run can have started. Earlier runs of the host have ended before.
    pub(super) started_at: Instant,
}

/// The full mesh of entry hosts: sends updates to all others and keeps their state.
#[derive(Debug)]
pub(crate) struct PeerMesh {
    pub(crate) identity: MeshIdentity,
    /// Start of this run.
    pub(super) started_at: Instant,
    pub(super) journal: OnceLock<Arc<TurnJournal>>,
    pub(super) segments: OnceLock<Arc<SegmentReader>>,
    /// Quotas of the teams of which this host is the quota owner.
    pub(super) quota_owner: OnceLock<Arc<Mutex<QuotaOwner>>>,
    pub(super) connector: MeshConnector,
    pub(super) state: MeshState,
    /// Whether this host has loaded the recorded spends and turns, so that it may respond to other hosts' queries for
    /// them.
    pub(super) has_loaded_records: AtomicBool,
    pub(super) peers: Mutex<HashMap<Arc<str>, MeshPeer>>,
    /// The run of each host that was heard last, also of hosts that are no longer known as peers.
    pub(super) latest_runs: Mutex<HashMap<Arc<str>, HeardRun>>,
    /// Which runs of other hosts are over for certain.
    pub(super) run_lives: Mutex<RunLives>,
    /// Revisions of the hosts' registry entries, as this host knows them.
    pub(super) registered: Mutex<HashMap<Arc<str>, u64>>,
    pub(super) contact: Mutex<PeerContact>,
    /// Peers that this host has dropped lately although they had not announced that they stop.
    pub(super) dropped: Mutex<Vec<DroppedPeer>>,
    /// Processor time that each registered host may use, in thousandths of a core.
    pub(super) processor_millis: Mutex<HashMap<Arc<str>, u32>>,
    /// Sequence number of this host's next message with spends.
    pub(super) sequence: AtomicU64,
    /// Whether another host has removed this host's registry entry.
    is_deregistered: AtomicBool,
    /// Whether this host is about to stop.
    is_draining: AtomicBool,
    /// Whether the next update has to announce the drain, even if nothing else has changed.
    is_drain_unannounced: AtomicBool,
    /// When a peer last joined, left, began or ended draining, did not acknowledge an update, or sent a message after
    /// that. The start of this host counts as well.
    membership_changed_at: Mutex<Instant>,
}

impl PeerMesh {
    pub(crate) fn new(
        identity: MeshIdentity,
        transport: Arc<dyn PeerTransport>,
        state: MeshState,
    ) -> Self {
        Self {
            identity,
            started_at: Instant::now(),
            journal: OnceLock::new(),
            segments: OnceLock::new(),
            quota_owner: OnceLock::new(),
            connector: MeshConnector::new(transport),
            state,
            has_loaded_records: AtomicBool::new(false),
            peers: Mutex::default(),
            latest_runs: Mutex::default(),
            run_lives: Mutex::default(),
            registered: Mutex::default(),
            contact: Mutex::new(PeerContact::new(Instant::now())),
            dropped: Mutex::default(),
            processor_millis: Mutex::default(),
            sequence: AtomicU64::new(0),
            is_deregistered: AtomicBool::new(false),
            is_draining: AtomicBool::new(false),
            is_drain_unannounced: AtomicBool::new(false),
            membership_changed_at: Mutex::new(Instant::now()),
        }
    }

    /// Sets the journal in which this host records for other hosts.
    pub(crate) fn set_journal(&self, journal: Arc<TurnJournal>) {
        let _ = self.journal.set(journal);
    }

    /// Sets the reader with which this host reads open segments for other hosts.
    pub(crate) fn set_segment_reader(&self, segments: Arc<SegmentReader>) {
        let _ = self.segments.set(segments);
    }

    /// Sets what answers other schedulers' reports on quotas.
    pub(crate) fn set_quota_owner(&self, owner: Arc<Mutex<QuotaOwner>>) {
        let _ = self.quota_owner.set(owner);
    }

    /// Adds a peer, or replaces it if its address has changed.
    pub(crate) fn add_peer(&self, host: Arc<str>, address: SocketAddr, region: Arc<str>) {
        if host == self.identity.host || self.has_peer(&host, address) {
            return;
        }

        log::info!(peer:% = host, address:% = address; "added a peer");
        self.record_membership_change();
        // The host may have restarted, so that an open connection would belong to its earlier run.
        self.connector.retire(address);
        let peer = MeshPeer::new(address, region);
        self.peers.lock().insert(host, peer);
    }

    fn has_peer(&self, host: &Arc<str>, address: SocketAddr) -> bool {
        self.peers.lock().get(host).is_some_and(|peer| peer.address == address)
    }

    /// Updates a peer from which a message has arrived. Returns false if no peer is known by this name and address.
    pub(super) fn update_peer_state(
        &self,
        host: &Arc<str>,
        address: SocketAddr,
        writer: &Arc<str>,
        run_started: Instant,
        is_draining: bool,
    ) -> bool {
        let mut peers = self.peers.lock();

        match peers.get_mut(host) {
            Some(peer) if peer.address == address => {
                if peer.failures > 0 || peer.is_draining != is_draining {
                    log::info!(peer:% = host, is_draining; "a peer has become reachable again, or has begun or ended draining");
                    self.record_membership_change();
                }
                self.run_lives.lock().record_message(writer, Instant::now(), run_started);
                if peer.record_writer(writer, run_started) {
                    self.record_run(host, writer, run_started);
                    log::info!(peer:% = host, writer:% = writer; "a run of a peer is heard for the first time, so it is sent the full state");
                }
                peer.is_draining = is_draining;
                peer.record_update();
                self.record_contact(&mut peers);
                true
            }
            _ => false,
        }
    }

    /// Records a run of a host that was heard, unless a later one was heard before.
    fn record_run(&self, host: &Arc<str>, writer: &Arc<str>, started_at: Instant) {
        let mut latest_runs = self.latest_runs.lock();

        if latest_runs.get(host).is_none_or(|latest| latest.started_at <= started_at) {
            let run = HeardRun { writer: Arc::clone(writer), started_at };
            latest_runs.insert(Arc::clone(host), run);
        }
    }

    /// Records the services of which a peer reaches no upstream, by a message of the peer.
    pub(super) fn update_peer_reach(
        &self,
        host: &Arc<str>,
        sequence: u64,
        lost_services: &LostServices,
    ) {
        let mut peers = self.peers.lock();
        let has_changed =
            peers.get_mut(host).is_some_and(|peer| peer.record_reach(sequence, lost_services));
        drop(peers);

        if has_changed {
            log::info!(peer:% = host, sequence, lost_services:?; "a peer reaches other services than before");
            self.record_membership_change();
        }
    }

    /// Marks the recorded spends and turns as loaded, so that this host responds to queries for them.
    pub(crate) fn mark_records_loaded(&self) {
        self.has_loaded_records.store(true, Ordering::Relaxed);
    }

    /// Returns whether this host's registry entry has been removed since the last call.
    pub(crate) fn take_deregistered(&self) -> bool {
        self.is_deregistered.swap(false, Ordering::Relaxed)
    }

    /// Notices that this host has no registry entry.
    pub(crate) fn record_deregistered(&self) {
        self.is_deregistered.store(true, Ordering::Relaxed);
    }

    /// Whether `writer` is a run of this host.
    pub(crate) fn is_own_run(&self, writer: &str) -> bool {
        is_writer_of(&self.identity.host, writer)
    }

    /// Waits until each peer has received this host's state or has failed to respond. Until then a peer might hand out
    /// a program's tokens without knowing that this host may do so too.
    pub(crate) async fn wait_until_synced(&self) {
        loop {
            let are_synced = {
                let peers = self.peers.lock();
                peers
                    .values()
                    .all(|it| it.failures > 0 || (it.is_synced && it.in_flight_since.is_none()))
            };

            if are_synced {
                return;
            }

            sleep(UPDATE_INTERVAL / 2).await;
        }
    }

    /// Removes a peer. If it is this host, it has to register again.
    pub(crate) fn remove_peer(&self, host: &str) {
        if *host == *self.identity.host {
            self.record_deregistered();
        }

        self.record_membership_change();

        self.peers.lock().remove(host);
    }

    /// Number of hosts that may serve a program at the same time: those of this region, where its requests arrive, and
    /// two at least. The minimum is three while clients may fail over, since they move to other regions while their own
    /// has no host in service.
    pub(crate) fn serving_host_count(&self) -> u64 {
        let peers = self.peers.lock();
        let min_hosts = if self.is_failover_possible(&peers) { 3 } else { 2 };
        (1 + self.region_peer_count(&peers) as u64).max(min_hosts)
    }

    /// Whether clients may fail over to hosts of other regions, because a host is draining, unresponsive or slow,
    /// or because membership changed recently.
    pub(super) fn is_failover_possible(&self, peers: &HashMap<Arc<str>, MeshPeer>) -> bool {
        let now = Instant::now();
        let is_recent = self.membership_changed_at.lock().elapsed() < FAILOVER_WINDOW;
        is_recent || self.is_draining() || peers.values().any(|peer| peer.is_degraded(now))
    }

    /// All known schedulers with this host.
    pub(crate) fn schedulers(&self) -> Vec<SchedulerEntry> {
        let peers = self.peers.lock();
        let mut schedulers: Vec<SchedulerEntry> = peers
            .iter()
            .map(|(host, peer)| SchedulerEntry {
                host: Arc::clone(host),
                address: peer.address,
                region: Arc::clone(&peer.region),
                is_draining: peer.is_draining,
                lost_services: Arc::clone(&peer.lost_services),
                processor_millis: self.processor_millis(host),
            })
            .collect();
        schedulers.push(SchedulerEntry {
            host: Arc::clone(&self.identity.host),
            address: self.identity.address,
            region: Arc::clone(&self.identity.region),
            is_draining: self.is_draining(),
            lost_services: self.state.reach.lost_services(),
            processor_millis: self.processor_millis(&self.identity.host),
        });
        schedulers
    }

    /// Whether each program has one owner among the schedulers of this region, to which its turns are forwarded.
    pub(crate) fn has_owners(&self) -> bool {
        self.has_owners_among(&self.peers.lock())
    }

    pub(super) fn has_owners_among(&self, peers: &HashMap<Arc<str>, MeshPeer>) -> bool {
        has_owners(1 + self.region_peer_count(peers))
    }

    /// Number of hosts among which a program's budget is shared out, so that each of them may reserve its share without
    /// asking the others. `None` where programs have owners: an owner asks first and then has the whole budget. `None` as well
    /// while a peer may not hear this host: it would go by what is written, and what is reserved without a question isn't.
    pub(crate) fn sharing_host_count(&self) -> Option<u64> {
        let are_in_step = self.peers.lock().values().all(MeshPeer::is_in_step);
        (are_in_step && !self.has_owners()).then(|| self.serving_host_count())
    }

    pub(super) fn region_peer_count(&self, peers: &HashMap<Arc<str>, MeshPeer>) -> usize {
        peers.values().filter(|peer| peer.region == self.identity.region).count()
    }

    /// Marks this host as about to stop, and announces it to the peers with the next update.
    pub(crate) fn drain(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
        self.is_drain_unannounced.store(true, Ordering::Relaxed);
    }

    /// Whether this host is about to stop.
    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    pub(super) fn record_membership_change(&self) {
        *self.membership_changed_at.lock() = Instant::now();
    }

    /// Sends updates to the peers until the task is dropped.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            sleep(self.update_interval()).await;
            self.send_updates();
        }
    }

    /// Time until the next update. It grows with the number of peers, so that a host sends about as many updates in a
    /// large fleet as in a small one. Where programs have owners, little depends on how soon other hosts hear of a spend.
    fn update_interval(&self) -> Duration {
        let peers = self.peers.lock();
        let factor = peers.len() / PEERS_PER_UPDATE_INTERVAL;
        UPDATE_INTERVAL * u32::try_from(factor).unwrap_or(u32::MAX).clamp(1, MAX_INTERVAL_FACTOR)
    }

    /// Starts an update of each peer that lacks something, unless one to it is under way.
    pub(crate) fn send_updates(self: &Arc<Self>) {
        let notes = self.state.ledger.lock().take_unreported();
        let crashes = self.state.crashes.lock().take_pending_notes();
        let (departures, is_exchange_wanted) = {
            let mut departures = self.state.departures.lock();
            (departures.take_unreported(), departures.take_exchange_request())
        };
        let limits = self.take_limit_notes();
        let streams = self.state.streams.lock().take_unreported();
        let is_drain_unannounced = self.is_drain_unannounced.swap(false, Ordering::Relaxed);
        let is_reach_unannounced = self.state.reach.take_unannounced();
        let changes = MeshChanges { notes, crashes, departures, limits, streams };
        let has_changes = is_drain_unannounced || is_reach_unannounced || !changes.is_empty();
        let now = Instant::now();
        let mut targets = Vec::new();

        if is_exchange_wanted {
            log::info!("sending an update to all peers, as this host may have missed theirs");
            self.peers.lock().values_mut().for_each(MeshPeer::request_exchange);
        }

        for (host, peer) in self.peers.lock().iter_mut() {
            if peer.in_flight_since.is_some() || peer.backoff_until.is_some_and(|until| now < until)
            {
                // It gets the full state once it responds again.
                peer.is_synced &= !has_changes;
                continue;
            }

            if peer.take_exchange_request() || !peer.is_synced || has_changes {
                peer.in_flight_since = Some(now);
                targets.push((Arc::clone(host), peer.address, peer.is_synced));
                // Set before the task that sends the update runs, since a change that comes first clears it again.
                peer.is_synced = true;
            }
        }

        for (host, address, is_synced) in targets {
            let mesh = Arc::clone(self);
            let changes = changes.clone();
            tokio::spawn(async move {
                mesh.send_update(host, address, is_synced, changes).await;
            });
        }
    }

    /// Takes the limits that were stated to this host, and lets the others share them with the hosts that are known now.
    fn take_limit_notes(&self) -> Vec<LimitNote> {
        let mut hosts: Vec<SharingHost> = {
            let peers = self.peers.lock();
            let host = |(name, peer): (&Arc<str>, &MeshPeer)| SharingHost {
                name: Arc::clone(name),
                region: Arc::clone(&peer.region),
            };
            peers.iter().map(host).collect()
        };
        let (name, region) = (Arc::clone(&self.identity.host), Arc::clone(&self.identity.region));
        hosts.push(SharingHost { name, region });
        let mut limits = self.state.limits.lock();
        limits.set_hosts(&self.identity.host, hosts);
        limits.take_unreported(Instant::now())
    }

    /// Sends a peer the given changes, or the full state if it is not synced.
    async fn send_update(
        &self,
        host: Arc<str>,
        address: SocketAddr,
        is_synced: bool,
        new_changes: MeshChanges,
    ) {
        let MeshChanges { notes, crashes, departures, limits, streams } = if is_synced {
            // Other messages may have told later totals since the changes were taken.
            let ledger = self.state.ledger.lock();
            let notes = new_changes.notes.iter().map(|it| ledger.local_note(&it.program));
            MeshChanges { notes: notes.collect(), ..new_changes }
        } else {
            MeshChanges {
                notes: self.state.ledger.lock().local_notes(),
                crashes: self.state.crashes.lock().notes(),
                departures: self.state.departures.lock().all(),
                limits: self.state.limits.lock().all(Instant::now()),
                streams: self.state.streams.lock().local_streams(Instant::now()),
            }
        };

        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let mut messages = vec![PeerMessage::SpendsNoted {
            host: Arc::clone(&self.identity.host),
            address: self.identity.address,
            region: Arc::clone(&self.identity.region),
            writer: Arc::clone(&self.identity.writer),
            sequence,
            run_age_ms: self.started_at.elapsed().as_millis() as u64,
            is_draining: self.is_draining(),
            notes,
            streams,
            lost_services: self.state.reach.lost_services(),
        }];

        if !crashes.is_empty() {
            messages.push(PeerMessage::RequestCrashesNoted { notes: crashes });
        }

        if !departures.is_empty() {
            messages.push(PeerMessage::UpstreamsLeaving { departures });
        }

        if !limits.is_empty() {
            messages.push(PeerMessage::UpstreamsLimited { limits });
        }

        let mut is_acknowledged = true;
        for message in &messages {
            let response = timeout(PEER_TIMEOUT, self.connector.exchange(address, message)).await;
            is_acknowledged &= matches!(response, Ok(Ok(PeerMessage::Done)));
        }

        self.record_delivery(&host, address, is_acknowledged);
    }

    fn record_delivery(&self, host: &Arc<str>, address: SocketAddr, is_acknowledged: bool) {
        let mut peers = self.peers.lock();
        let Some(peer) = peers.get_mut(host) else {
            return;
        };

        let sent_at = peer.in_flight_since.take();

        if is_acknowledged {
            if peer.failures > 0 {
                log::info!(peer:% = host; "a peer answers again");
            }
            peer.mark_responsive();
            self.record_contact(&mut peers);
            return;
        }

        if peer.failures == 0 {
            log::warn!(peer:% = host; "a peer does not answer");
        }

        self.record_membership_change();
        peer.record_failure(sent_at, Instant::now());
        let delay = BACKOFF_BASE.saturating_mul(1 << peer.failures.min(6)).min(MAX_BACKOFF);
        peer.begin_backoff(Instant::now(), delay);
        self.record_silence(&peers);
        drop(peers);
        // A stale connection to a host that died or was cut off must not delay the next attempt. It is not closed, since
        // clients' requests run on it if the host is only slow.
        self.connector.retire(address);
    }

    /// Merges the totals that a writer has reported in its message with the number `sequence`.
    pub(crate) fn merge_reported_spends(
        &self,
        writer: &Arc<str>,
        sequence: u64,
        notes: &[SpendNote],
    ) {
        self.state.ledger.lock().merge_message(writer, sequence, notes);
    }
}
