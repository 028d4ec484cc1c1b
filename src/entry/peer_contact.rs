//! What a host may conclude from the silence of its peers.
//!
//! A host that hears nobody may be cut off itself. So silence counts only while others answer, and a missing registry entry
//! says nothing about a peer that is heard. See docs/design/platform.md, "Silent peers".

use std::{collections::HashMap, sync::Arc};

use tokio::time::{Duration, Instant};

use crate::entry::{mesh_peer::MeshPeer, mesh_queries::SpendExchange, peer_mesh::PeerMesh};

/// Time after which an unresponsive peer counts as dead, while others answer. A host that is still alive registers again.
const DEAD_PEER_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for which the turns of a dropped peer may still run.
const DROPPED_TIME: Duration = Duration::from_secs(10);

/// Peer that this host has dropped.
#[derive(Debug)]
pub(super) struct DroppedPeer {
    host: Arc<str>,
    at: Instant,
}

/// Peer that counts as dead.
#[derive(Clone, Debug)]
pub(crate) struct DeadPeer {
    pub(crate) host: Arc<str>,
    /// Revision of its registry entry; `None` if it has none.
    pub(crate) entry_revision: Option<u64>,
}

/// Since when this host has been in contact with its peers.
#[derive(Debug)]
pub(super) struct PeerContact {
    /// Since when at least one peer has answered without a break; `None` while none does.
    since: Option<Instant>,
}

impl PeerContact {
    pub(super) fn new(now: Instant) -> Self {
        Self { since: Some(now) }
    }
}

impl PeerMesh {
    /// Notices that the last peer has stopped answering.
    pub(super) fn record_silence(&self, peers: &HashMap<Arc<str>, MeshPeer>) {
        let mut contact = self.contact.lock();

        if contact.since.is_some() && peers.values().all(|peer| peer.failures > 0) {
            log::warn!(peers = peers.len(); "no peer answers, so this host may be cut off");
            contact.since = None;
        }
    }

    /// Notices that a peer has answered. After a time in which none did, all of them are sent an update without delay, so that
    /// this host learns who is silent and who only was out of its reach.
    pub(super) fn record_contact(&self, peers: &mut HashMap<Arc<str>, MeshPeer>) {
        let mut contact = self.contact.lock();

        if contact.since.is_none() {
            log::info!(peers = peers.len(); "a peer answers again, so all others are asked");
            contact.since = Some(Instant::now());
            peers.values_mut().for_each(MeshPeer::request_exchange);
        }
    }

    /// Whether there are other hosts, and none of them answers.
    pub(crate) fn hears_nobody(&self) -> bool {
        !self.peers.lock().is_empty() && self.contact.lock().since.is_none()
    }

    /// Whether a peer does not acknowledge updates.
    pub(crate) fn has_failing_peer(&self) -> bool {
        self.peers.lock().values().any(|peer| peer.failures > 0)
    }

    /// Since when other hosts could have been heard; `None` while no peer answers. The silence of a sole peer can't be told from
    /// a cut of this host.
    fn contact_since(&self, peers: &HashMap<Arc<str>, MeshPeer>) -> Option<Instant> {
        let since = self.contact.lock().since;
        if peers.len() > 1 { since } else { since.or(Some(self.started_at)) }
    }

    /// Whether a peer fails to answer although this host is in contact with others, as far as updates have shown since then.
    pub(super) fn is_silent_in_contact(
        &self,
        peers: &HashMap<Arc<str>, MeshPeer>,
        peer: &MeshPeer,
    ) -> bool {
        let since = self.contact_since(peers);
        peer.failures > 0 && since.is_some_and(|since| peer.failed_at.is_some_and(|at| at >= since))
    }

    /// Whether the records of the peers that have not answered an exchange may stand in for them: they were silent since this
    /// host is in contact with others, or it hears nobody. What was silent before may only have been out of its reach.
    pub(crate) fn may_go_by_records(&self, exchange: &SpendExchange<'_>) -> bool {
        let peers = self.peers.lock();
        let Some(since) = self.contact_since(&peers) else {
            return true;
        };
        let has_failed_queries = !exchange.is_waiting() && exchange.started_at >= since;
        let is_silent = |host: &Arc<str>| {
            peers.get(host).is_none_or(|peer| self.is_silent_in_contact(&peers, peer))
        };
        has_failed_queries || exchange.outstanding.iter().all(is_silent)
    }

    /// Peers that have been unresponsive for longer than [`DEAD_PEER_TIMEOUT`], in which this host was in contact with others
    /// and has followed the store since `followed_since`.
    pub(crate) fn dead_peers(&self, followed_since: Option<Instant>) -> Vec<DeadPeer> {
        let peers = self.peers.lock();
        let (Some(in_contact), Some(followed)) = (self.contact_since(&peers), followed_since)
        else {
            return Vec::new();
        };
        let could_hear_since = in_contact.max(followed);
        let is_dead = |peer: &MeshPeer| {
            let unresponsive_since = peer.unresponsive_since.map(|it| it.max(could_hear_since));
            unresponsive_since.is_some_and(|at| at.elapsed() > DEAD_PEER_TIMEOUT)
        };
        let registered = self.registered.lock();
        peers
            .iter()
            .filter(|(_, peer)| is_dead(peer))
            .map(|(host, _)| DeadPeer {
                host: Arc::clone(host),
                entry_revision: registered.get(host).copied(),
            })
            .collect()
    }

    /// Whether a peer still counts as dead, after others were dealt with.
    pub(crate) fn is_dead(&self, dead: &DeadPeer, followed_since: Option<Instant>) -> bool {
        let mut dead_peers = self.dead_peers(followed_since).into_iter();
        dead_peers.any(|it| it.host == dead.host && it.entry_revision == dead.entry_revision)
    }

    /// Handles the removal of a host's registry entry. Any host may have removed it, also one that was cut off, so a peer that
    /// was heard and has not announced that it stops is kept until it is dead by this host's own account.
    pub(super) fn remove_entry(&self, host: &str) {
        let is_kept = {
            let peers = self.peers.lock();
            peers.get(host).is_some_and(|peer| peer.writer.is_some() && !peer.is_draining)
        };

        if is_kept {
            log::info!(peer = host; "a peer without a registry entry is kept until it is dead");
            self.record_membership_change();
        } else {
            self.remove_peer(host);
        }
    }

    /// Drops a dead peer that has no registry entry. What it has recorded is read before a program's spend is confirmed
    /// without it.
    pub(crate) fn drop_dead(&self, host: &str) {
        let now = Instant::now();
        let mut dropped = self.dropped.lock();
        dropped.retain(|it| now.duration_since(it.at) < DROPPED_TIME);
        dropped.push(DroppedPeer { host: host.into(), at: now });
        drop(dropped);
        self.remove_peer(host);
    }

    /// Hosts that were dropped lately. What they have reserved until then may still be spent.
    pub(crate) fn dropped_hosts(&self) -> Vec<Arc<str>> {
        self.dropped.lock().iter().map(|it| Arc::clone(&it.host)).collect()
    }

    /// When this host last dropped a peer that had not announced that it stops.
    pub(crate) fn last_drop(&self) -> Option<Instant> {
        self.dropped.lock().iter().map(|it| it.at).max()
    }
}
