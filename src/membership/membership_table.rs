//! Which hosts are there, as this host knows: a SWIM failure detector as a pure state machine. Its cost for each host
//! does not grow with their number. See docs/design/membership.md.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr};

use crate::{
    HostName, HostPhase, HostRecord, MemberRumor, MemberStatus, RegionName, RumorVersion, ShardId,
};

/// Rumors that one message carries.
const RUMORS_PER_MESSAGE: usize = 6;

/// Rumors that one message carries while more than this wait to be passed on, as after the loss of a data centre.
const RUMORS_PER_BURST: usize = 30;

/// A rumor is passed on this often for each doubling of the number of hosts.
const RUMOR_REPEATS: u32 = 3;

/// A host as this host knows it.
#[derive(Clone, Debug)]
pub(crate) struct MemberEntry {
    pub(crate) region: RegionName,
    pub(crate) address: SocketAddr,
    /// Whether the platform says that the host is leaving.
    pub(crate) is_leaving: bool,
    /// Nothing, where the host is listed and was never heard of.
    pub(crate) rumor: Option<MemberRumor>,
    suspected_ms: u64,
    /// How often the rumor has still to be passed on.
    repeats: u32,
    /// When the rumor was learnt, in the order of this table.
    learnt: u64,
}

impl MemberEntry {
    pub(crate) fn phase(&self) -> HostPhase {
        self.rumor.as_ref().map_or(HostPhase::Starting, |rumor| rumor.phase)
    }

    pub(crate) fn status(&self) -> MemberStatus {
        self.rumor.as_ref().map_or(MemberStatus::Alive, |rumor| rumor.version.status)
    }

    /// Tells whether the host may be given work.
    pub(crate) fn is_serving(&self) -> bool {
        let is_heard = self.rumor.is_some() && self.status() != MemberStatus::Dead;
        is_heard && self.phase() == HostPhase::Serving && !self.is_leaving
    }
}

/// Change that the rest of the host has to act on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum MemberChange {
    /// The host is dead, or was started again: connections to it are worth nothing.
    Gone { address: SocketAddr },
    /// A peer speaks of a host that the platform's list, as it was read last, does not have.
    Unlisted { host: HostName },
}

/// Members by name, this host among them.
#[derive(Clone, Debug)]
pub(crate) struct MembershipTable {
    own: HostName,
    members: BTreeMap<HostName, MemberEntry>,
    /// Hosts in the order in which they are probed.
    probe_order: Vec<HostName>,
    suspicion_ms: u64,
    rumors_learnt: u64,
}

impl MembershipTable {
    pub(crate) fn new(record: &HostRecord, incarnation: u64, suspicion_ms: u64) -> Self {
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
            suspected_ms: 0,
            repeats: 0,
            learnt: 0,
        };

        Self {
            own: record.name.clone(),
            members: BTreeMap::from([(record.name.clone(), entry)]),
            probe_order: Vec::new(),
            suspicion_ms,
            rumors_learnt: 0,
        }
    }

    /// Takes the platform's list in. Hosts that it no longer has are forgotten once they are dead.
    pub(crate) fn merge_hosts(&mut self, hosts: &[HostRecord]) -> Vec<MemberChange> {
        let mut changes = Vec::new();

        for host in hosts.iter().filter(|host| host.name != self.own) {
            let entry = self.members.entry(host.name.clone()).or_insert_with(|| MemberEntry {
                region: host.region.clone(),
                address: host.peer_address,
                is_leaving: host.is_leaving,
                rumor: None,
                suspected_ms: 0,
                repeats: 0,
                learnt: 0,
            });

            if entry.address != host.peer_address {
                changes.push(MemberChange::Gone { address: entry.address });
                entry.address = host.peer_address;
            }

            entry.is_leaving = host.is_leaving;
        }

        let own = self.own.clone();
        self.members.retain(|name, entry| {
            let is_listed = *name == own || hosts.iter().any(|host| host.name == *name);
            let is_gone = entry.rumor.is_none() || entry.status() == MemberStatus::Dead;
            is_listed || !is_gone
        });

        changes
    }

    /// Takes rumors in. Those about hosts that the platform has not listed here yet are dropped, until it is read
    /// again.
    pub(crate) fn merge_rumors(
        &mut self,
        now_ms: u64,
        rumors: &[MemberRumor],
    ) -> Vec<MemberChange> {
        rumors.iter().filter_map(|rumor| self.learn_rumor(now_ms, rumor)).collect()
    }

    /// Takes in what a peer knows of all hosts. The others know it too, so it is not passed on.
    pub(crate) fn merge_members(
        &mut self,
        now_ms: u64,
        rumors: &[MemberRumor],
    ) -> Vec<MemberChange> {
        let changes = self.merge_rumors(now_ms, rumors);

        for rumor in rumors {
            if let Some(entry) =
                self.members.get_mut(&rumor.host).filter(|_| rumor.host != self.own)
            {
                entry.repeats = 0;
            }
        }

        changes
    }

    /// Takes note that a host answered, directly or through another one.
    pub(crate) fn record_ack(&mut self, host: &HostName) {
        let repeats = self.repeats();

        if let Some(entry) = self.members.get_mut(host)
            && let Some(rumor) = &mut entry.rumor
            && rumor.version.status == MemberStatus::Suspect
        {
            rumor.version.status = MemberStatus::Alive;
            entry.repeats = repeats;
        }
    }

    /// Takes note that a host gave no answer on any way.
    pub(crate) fn record_probe_failure(&mut self, now_ms: u64, host: &HostName) {
        let repeats = self.repeats();

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
            entry.suspected_ms = now_ms;
            entry.repeats = repeats;
        }
    }

    /// Declares hosts dead that have been suspects for long enough.
    pub(crate) fn expire_suspects(&mut self, now_ms: u64) -> Vec<MemberChange> {
        let repeats = self.repeats();
        let mut changes = Vec::new();

        for entry in self.members.values_mut() {
            let is_due = entry.suspected_ms + self.suspicion_ms <= now_ms;

            if let Some(rumor) = &mut entry.rumor
                && rumor.version.status == MemberStatus::Suspect
                && is_due
            {
                rumor.version.status = MemberStatus::Dead;
                entry.repeats = repeats;
                changes.push(MemberChange::Gone { address: entry.address });
            }
        }

        changes
    }

    /// Says something new about this host.
    pub(crate) fn update_local(&mut self, phase: HostPhase, shards: Vec<ShardId>) {
        let repeats = self.repeats();
        let entry = self.members.get_mut(&self.own).expect("this host is a member");
        let rumor = entry.rumor.as_mut().expect("this host knows itself");

        if rumor.phase != phase || rumor.shards != shards {
            rumor.phase = phase;
            rumor.shards = shards;
            rumor.version.revision += 1;
            entry.repeats = repeats;
        }
    }

    /// Gives the rumors for a message to `peer`: about this host, about the peer where it has something to refute, and
    /// those that have been passed on the least.
    pub(crate) fn rumors_for(&mut self, peer: Option<&HostName>) -> Vec<MemberRumor> {
        let mut names: Vec<HostName> = self.fresh_names();
        let refutable = peer.filter(|name| self.is_refutable(name) && !names.contains(name));
        names.extend(refutable.cloned());
        names.push(self.own.clone());

        names
            .into_iter()
            .filter_map(|name| {
                let entry = self.members.get_mut(&name)?;
                entry.repeats = entry.repeats.saturating_sub(1);
                entry.rumor.clone()
            })
            .collect()
    }

    /// Hosts whose rumors have still to be passed on: the least repeated first, and the newest among those.
    fn fresh_names(&self) -> Vec<HostName> {
        let mut fresh: Vec<(Reverse<u32>, Reverse<u64>, &HostName)> = self
            .members
            .iter()
            .filter(|(name, entry)| **name != self.own && entry.repeats > 0)
            .map(|(name, entry)| (Reverse(entry.repeats), Reverse(entry.learnt), name))
            .collect();

        let limit = match fresh.len() {
            count if count > RUMORS_PER_BURST => RUMORS_PER_BURST,
            _ => RUMORS_PER_MESSAGE,
        };

        fresh.sort_unstable();
        fresh.truncate(limit);
        fresh.into_iter().map(|(_, _, name)| name.clone()).collect()
    }

    fn is_refutable(&self, peer: &HostName) -> bool {
        self.members.get(peer).is_some_and(|entry| entry.status() != MemberStatus::Alive)
    }

    /// Gives all rumors, for a host that starts.
    pub(crate) fn all_rumors(&self) -> Vec<MemberRumor> {
        self.members.values().filter_map(|entry| entry.rumor.clone()).collect()
    }

    /// Gives the host to probe next. Each is probed once before any is probed again; `shuffle` orders a round.
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

    /// Hosts to be asked about another one.
    pub(crate) fn helpers(&self, except: &HostName) -> Vec<SocketAddr> {
        self.members
            .iter()
            .filter(|(name, entry)| {
                **name != self.own && *name != except && entry.status() == MemberStatus::Alive
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
        &self.own
    }

    /// Gives the host that says it owns a shard, if one that is not dead does.
    pub(crate) fn reported_owner(&self, shard: ShardId) -> Option<&HostName> {
        self.members
            .iter()
            .filter(|(_, entry)| entry.status() != MemberStatus::Dead)
            .find(|(_, entry)| entry.rumor.as_ref().is_some_and(|it| it.shards.contains(&shard)))
            .map(|(name, _)| name)
    }

    fn probe_candidates(&self) -> Vec<HostName> {
        self.members.keys().filter(|name| **name != self.own).cloned().collect()
    }

    fn repeats(&self) -> u32 {
        let doublings = (self.members.len() as u32 + 1).ilog2() + 1;
        RUMOR_REPEATS * doublings
    }

    fn learn_rumor(&mut self, now_ms: u64, rumor: &MemberRumor) -> Option<MemberChange> {
        if rumor.host == self.own {
            self.refute(rumor);
            return None;
        }

        let repeats = self.repeats();
        self.rumors_learnt += 1;
        let learnt = self.rumors_learnt;

        let Some(entry) = self.members.get_mut(&rumor.host) else {
            let is_dead = rumor.version.status == MemberStatus::Dead;
            return (!is_dead).then(|| MemberChange::Unlisted { host: rumor.host.clone() });
        };

        let known = entry.rumor.as_ref().map(|it| it.version);

        if known.is_some_and(|age| age >= rumor.version) {
            return None;
        }

        let was_status = entry.status();
        let is_restarted = known
            .is_some_and(|age| age.incarnation != 0 && age.incarnation < rumor.version.incarnation);

        if rumor.version.status == MemberStatus::Suspect && was_status != MemberStatus::Suspect {
            entry.suspected_ms = now_ms;
        }

        entry.rumor = Some(rumor.clone());
        entry.repeats = repeats;
        entry.learnt = learnt;
        let is_dead =
            rumor.version.status == MemberStatus::Dead && was_status != MemberStatus::Dead;
        (is_dead || is_restarted).then_some(MemberChange::Gone { address: entry.address })
    }

    /// Answers a rumor that this host is not there with a newer one that it is.
    fn refute(&mut self, rumor: &MemberRumor) {
        let repeats = self.repeats();
        let entry = self.members.get_mut(&self.own).expect("this host is a member");
        let own = entry.rumor.as_mut().expect("this host knows itself");

        if rumor.version >= own.version && rumor.version.status != MemberStatus::Alive {
            own.version.incarnation = own.version.incarnation.max(rumor.version.incarnation);
            own.version.revision = rumor.version.revision + 1;
            entry.repeats = repeats;
        }
    }
}
