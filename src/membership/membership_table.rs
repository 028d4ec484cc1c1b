//! Hosts of the cluster and their states, from this host's point of view: the SWIM failure detector and its gossip as a
//! pure state machine. The cost per host does not grow with the number of hosts. See docs/design/membership.md.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr};

use crate::{
    HostName, HostPhase, HostRecord, MemberRumor, MemberStatus, RegionName, RumorVersion, ShardId,
};

/// Largest number of pending rumors in one message.
const MAX_RUMORS_PER_MESSAGE: usize = 6;

/// Largest number of pending rumors in one message while more than this many are pending, such as after the loss of a
/// data centre.
const MAX_RUMORS_PER_BURST: usize = 30;

/// Number of messages in which a host sends a rumor, for each doubling of the number of hosts. Gossip reaches all hosts
/// in a number of rounds that is logarithmic in their number.
const SENDS_PER_DOUBLING: u32 = 3;

/// State of a host, merged from the platform's host list and from rumors.
#[derive(Clone, Debug)]
pub(crate) struct MemberEntry {
    pub(crate) region: RegionName,
    pub(crate) address: SocketAddr,
    /// Whether the platform lists the host as leaving.
    pub(crate) is_leaving: bool,
    /// `None` if the host is on the platform's list and no rumor about it has arrived.
    pub(crate) rumor: Option<MemberRumor>,
    /// When the host became a suspect, in milliseconds since the Unix epoch.
    suspected_at_ms: u64,
    /// Number of messages in which the rumor has still to be sent.
    sends_left: u32,
    /// Sequence number of the rumor among all that this host received, which orders rumors by recency.
    receive_sequence: u64,
}

impl MemberEntry {
    pub(crate) fn phase(&self) -> HostPhase {
        self.rumor.as_ref().map_or(HostPhase::Starting, |rumor| rumor.phase)
    }

    pub(crate) fn status(&self) -> MemberStatus {
        self.rumor.as_ref().map_or(MemberStatus::Alive, |rumor| rumor.version.status)
    }

    /// Whether the host may get work. A suspect may, until it is declared dead.
    pub(crate) fn is_serving(&self) -> bool {
        let is_live = self.rumor.is_some() && self.status() != MemberStatus::Dead;
        is_live && self.phase() == HostPhase::Serving && !self.is_leaving
    }
}

/// A change that the membership service has to act on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum MemberChange {
    /// A host is dead, has restarted or has a new address, so connections to its old address are useless.
    StaleConnection { address: SocketAddr },
    /// A peer sent a rumor about a host that is missing from the platform's host list as it was last read.
    Unlisted { host: HostName },
}

/// Hosts by name, including this one.
#[derive(Clone, Debug)]
pub(crate) struct MembershipTable {
    local_host: HostName,
    members: BTreeMap<HostName, MemberEntry>,
    /// Hosts that remain to be probed in the current round, the next one last.
    probe_order: Vec<HostName>,
    suspicion_timeout_ms: u64,
    received_rumors: u64,
}

impl MembershipTable {
    pub(crate) fn new(record: &HostRecord, incarnation: u64, suspicion_timeout_ms: u64) -> Self {
        let rumor = MemberRumor {
            host: record.name.clone(),
            version: RumorVersion { incarnation, revision: 0, status: MemberStatus::Alive },
            phase: HostPhase::Starting,
            shards: Vec::new(),
        };

        let entry = MemberEntry {
            region: record.region.clone(),
            address: record.peer_address,
            is_leaving: false,
            rumor: Some(rumor),
            suspected_at_ms: 0,
            sends_left: 0,
            receive_sequence: 0,
        };

        Self {
            local_host: record.name.clone(),
            members: BTreeMap::from([(record.name.clone(), entry)]),
            probe_order: Vec::new(),
            suspicion_timeout_ms,
            received_rumors: 0,
        }
    }

    /// Merges the platform's host list. A host that is no longer listed is removed once it is dead, or at once if there
    /// is no rumor about it.
    pub(crate) fn merge_hosts(&mut self, hosts: &[HostRecord]) -> Vec<MemberChange> {
        let mut changes = Vec::new();

        for host in hosts.iter().filter(|host| host.name != self.local_host) {
            let entry = self.members.entry(host.name.clone()).or_insert_with(|| MemberEntry {
                region: host.region.clone(),
                address: host.peer_address,
                is_leaving: host.is_leaving,
                rumor: None,
                suspected_at_ms: 0,
                sends_left: 0,
                receive_sequence: 0,
            });

            if entry.address != host.peer_address {
                changes.push(MemberChange::StaleConnection { address: entry.address });
                entry.address = host.peer_address;
            }

            entry.is_leaving = host.is_leaving;
        }

        let local_host = self.local_host.clone();
        self.members.retain(|name, entry| {
            let is_listed = *name == local_host || hosts.iter().any(|host| host.name == *name);
            let is_gone = entry.rumor.is_none() || entry.status() == MemberStatus::Dead;
            is_listed || !is_gone
        });

        changes
    }

    /// Merges rumors. Those about hosts that are not in the table are dropped, and reported as a change so that the
    /// platform's host list is read again; only the platform adds hosts.
    pub(crate) fn merge_rumors(
        &mut self,
        now_ms: u64,
        rumors: &[MemberRumor],
    ) -> Vec<MemberChange> {
        rumors.iter().filter_map(|rumor| self.merge_rumor(now_ms, rumor)).collect()
    }

    /// Merges all rumors of a peer. The other hosts have them as well, so they are not sent on.
    pub(crate) fn merge_members(
        &mut self,
        now_ms: u64,
        rumors: &[MemberRumor],
    ) -> Vec<MemberChange> {
        let changes = self.merge_rumors(now_ms, rumors);

        for rumor in rumors {
            if let Some(entry) =
                self.members.get_mut(&rumor.host).filter(|_| rumor.host != self.local_host)
            {
                entry.sends_left = 0;
            }
        }

        changes
    }

    /// Records that a host responded to a probe, which clears a suspicion.
    pub(crate) fn record_ack(&mut self, host: &HostName) {
        let sends_per_rumor = self.sends_per_rumor();

        if let Some(entry) = self.members.get_mut(host)
            && let Some(rumor) = &mut entry.rumor
            && rumor.version.status == MemberStatus::Suspect
        {
            rumor.version.status = MemberStatus::Alive;
            entry.sends_left = sends_per_rumor;
        }
    }

    /// Records that a host responded neither to a direct nor to an indirect probe, which makes it a suspect.
    pub(crate) fn record_probe_failure(&mut self, now_ms: u64, host: &HostName) {
        let sends_per_rumor = self.sends_per_rumor();

        if let Some(entry) = self.members.get_mut(host)
            && entry.status() == MemberStatus::Alive
        {
            let rumor = entry.rumor.get_or_insert_with(|| MemberRumor {
                host: host.clone(),
                version: RumorVersion { incarnation: 0, revision: 0, status: MemberStatus::Alive },
                phase: HostPhase::Starting,
                shards: Vec::new(),
            });

            rumor.version.status = MemberStatus::Suspect;
            entry.suspected_at_ms = now_ms;
            entry.sends_left = sends_per_rumor;
        }
    }

    /// Declares suspects dead once their suspicion timeout has passed.
    pub(crate) fn expire_suspects(&mut self, now_ms: u64) -> Vec<MemberChange> {
        let sends_per_rumor = self.sends_per_rumor();
        let mut changes = Vec::new();

        for entry in self.members.values_mut() {
            let is_due = entry.suspected_at_ms + self.suspicion_timeout_ms <= now_ms;

            if let Some(rumor) = &mut entry.rumor
                && rumor.version.status == MemberStatus::Suspect
                && is_due
            {
                rumor.version.status = MemberStatus::Dead;
                entry.sends_left = sends_per_rumor;
                changes.push(MemberChange::StaleConnection { address: entry.address });
            }
        }

        changes
    }

    /// Updates the rumor about this host, and raises its revision if it has changed.
    pub(crate) fn update_local(&mut self, phase: HostPhase, shards: Vec<ShardId>) {
        let sends_per_rumor = self.sends_per_rumor();
        let entry = self.members.get_mut(&self.local_host).expect("this host is a member");
        let rumor = entry.rumor.as_mut().expect("this host has a rumor about itself");

        if rumor.phase != phase || rumor.shards != shards {
            rumor.phase = phase;
            rumor.shards = shards;
            rumor.version.revision += 1;
            entry.sends_left = sends_per_rumor;
        }
    }

    /// Returns the rumors for a message to `peer`, and counts them as sent: the pending ones, the one about the peer if
    /// it says that the peer is not alive, so that the peer can refute it, and the one about this host.
    pub(crate) fn rumors_for(&mut self, peer: Option<&HostName>) -> Vec<MemberRumor> {
        let mut names: Vec<HostName> = self.pending_rumor_hosts();
        let refutable = peer.filter(|name| self.needs_refutation(name) && !names.contains(name));
        names.extend(refutable.cloned());
        names.push(self.local_host.clone());

        names
            .into_iter()
            .filter_map(|name| {
                let entry = self.members.get_mut(&name)?;
                entry.sends_left = entry.sends_left.saturating_sub(1);
                entry.rumor.clone()
            })
            .collect()
    }

    /// Hosts whose rumors are pending: those sent least often first, and among these the most recently merged.
    fn pending_rumor_hosts(&self) -> Vec<HostName> {
        let mut pending: Vec<(Reverse<u32>, Reverse<u64>, &HostName)> = self
            .members
            .iter()
            .filter(|(name, entry)| **name != self.local_host && entry.sends_left > 0)
            .map(|(name, entry)| (Reverse(entry.sends_left), Reverse(entry.receive_sequence), name))
            .collect();

        let limit = match pending.len() {
            count if count > MAX_RUMORS_PER_BURST => MAX_RUMORS_PER_BURST,
            _ => MAX_RUMORS_PER_MESSAGE,
        };

        pending.sort_unstable();
        pending.truncate(limit);
        pending.into_iter().map(|(_, _, name)| name.clone()).collect()
    }

    /// Whether a host is a suspect or dead, which it refutes when it gets the rumor.
    fn needs_refutation(&self, peer: &HostName) -> bool {
        self.members.get(peer).is_some_and(|entry| entry.status() != MemberStatus::Alive)
    }

    /// Returns all rumors, for a starting host.
    pub(crate) fn all_rumors(&self) -> Vec<MemberRumor> {
        self.members.values().filter_map(|entry| entry.rumor.clone()).collect()
    }

    /// Returns the host to probe next. Each host is probed once in a round, in an order that `shuffle` sets when the
    /// round begins.
    pub(crate) fn next_probe(
        &mut self,
        shuffle: impl FnOnce(&mut Vec<HostName>),
    ) -> Option<HostName> {
        loop {
            if self.probe_order.is_empty() {
                self.probe_order = self.probe_candidates();
                shuffle(&mut self.probe_order);
                return self.probe_order.pop();
            }

            let host = self.probe_order.pop()?;

            if self.members.contains_key(&host) {
                return Some(host);
            }
        }
    }

    /// Addresses of the hosts that can probe another host on behalf of this one.
    pub(crate) fn indirect_probers(&self, except: &HostName) -> Vec<SocketAddr> {
        self.members
            .iter()
            .filter(|(name, entry)| {
                **name != self.local_host
                    && *name != except
                    && entry.status() == MemberStatus::Alive
            })
            .map(|(_, entry)| entry.address)
            .collect()
    }

    pub(crate) fn member(&self, host: &HostName) -> Option<&MemberEntry> {
        self.members.get(host)
    }

    pub(crate) fn members(&self) -> impl Iterator<Item = (&HostName, &MemberEntry)> {
        self.members.iter()
    }

    pub(crate) fn local_host(&self) -> &HostName {
        &self.local_host
    }

    /// Returns the host that reports to own a shard, unless it is dead.
    pub(crate) fn reported_owner(&self, shard: ShardId) -> Option<&HostName> {
        self.members
            .iter()
            .filter(|(_, entry)| entry.status() != MemberStatus::Dead)
            .find(|(_, entry)| entry.rumor.as_ref().is_some_and(|it| it.shards.contains(&shard)))
            .map(|(name, _)| name)
    }

    fn probe_candidates(&self) -> Vec<HostName> {
        self.members.keys().filter(|name| **name != self.local_host).cloned().collect()
    }

    /// Number of messages in which a new rumor is sent.
    fn sends_per_rumor(&self) -> u32 {
        let doublings = (self.members.len() as u32 + 1).ilog2() + 1;
        SENDS_PER_DOUBLING * doublings
    }

    fn merge_rumor(&mut self, now_ms: u64, rumor: &MemberRumor) -> Option<MemberChange> {
        if rumor.host == self.local_host {
            self.refute(rumor);
            return None;
        }

        let sends_per_rumor = self.sends_per_rumor();
        self.received_rumors += 1;
        let receive_sequence = self.received_rumors;

        let Some(entry) = self.members.get_mut(&rumor.host) else {
            let is_dead = rumor.version.status == MemberStatus::Dead;
            return (!is_dead).then(|| MemberChange::Unlisted { host: rumor.host.clone() });
        };

        let previous = entry.rumor.as_ref().map(|it| it.version);

        if previous.is_some_and(|version| version >= rumor.version) {
            return None;
        }

        let previous_status = entry.status();
        // Incarnation 0 belongs to a placeholder, which a failed probe creates for a host without a rumor.
        let is_restarted = previous.is_some_and(|version| {
            version.incarnation != 0 && version.incarnation < rumor.version.incarnation
        });

        if rumor.version.status == MemberStatus::Suspect && previous_status != MemberStatus::Suspect
        {
            entry.suspected_at_ms = now_ms;
        }

        entry.rumor = Some(rumor.clone());
        entry.sends_left = sends_per_rumor;
        entry.receive_sequence = receive_sequence;
        let is_dead =
            rumor.version.status == MemberStatus::Dead && previous_status != MemberStatus::Dead;
        (is_dead || is_restarted)
            .then_some(MemberChange::StaleConnection { address: entry.address })
    }

    /// Refutes a rumor that this host is a suspect or dead, and one of an earlier run whose clock was ahead of this run's, by a
    /// newer version of its own rumor.
    fn refute(&mut self, rumor: &MemberRumor) {
        let sends_per_rumor = self.sends_per_rumor();
        let entry = self.members.get_mut(&self.local_host).expect("this host is a member");
        let local = entry.rumor.as_mut().expect("this host has a rumor about itself");

        if rumor.version.incarnation > local.version.incarnation {
            // The other hosts would take all that this run says for older than what the earlier one has said.
            local.version.incarnation = rumor.version.incarnation + 1;
            entry.sends_left = sends_per_rumor;
        } else if rumor.version >= local.version && rumor.version.status != MemberStatus::Alive {
            local.version.revision = rumor.version.revision + 1;
            entry.sends_left = sends_per_rumor;
        }
    }
}
