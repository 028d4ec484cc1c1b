//! Who plays which role, as this host sees it. Every look-up is a pure function of the membership table.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc};

use parking_lot::{Mutex, MutexGuard};

use crate::{
    CellId, HostName, MembershipTable, RegionName, ShardId,
    membership::rendezvous::rendezvous_winner,
};

/// A host to talk to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct HostTarget {
    pub(crate) name: HostName,
    pub(crate) address: SocketAddr,
    pub(crate) is_local: bool,
}

/// Shared membership table with the look-ups that other parts need.
#[derive(Clone, Debug)]
pub(crate) struct ClusterView {
    table: Arc<Mutex<MembershipTable>>,
}

impl ClusterView {
    pub(crate) fn new(table: MembershipTable) -> Self {
        Self { table: Arc::new(Mutex::new(table)) }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, MembershipTable> {
        self.table.lock()
    }

    /// The dispatcher of a cell: a host of its region, or any host where the region has none.
    pub(crate) fn dispatcher(&self, cell: &CellId) -> Option<HostTarget> {
        let table = self.table.lock();
        let key = cell.to_string();

        let regional = rendezvous_winner(&key, serving_hosts(&table, Some(&cell.region)));
        let winner = regional.or_else(|| rendezvous_winner(&key, serving_hosts(&table, None)));
        winner.and_then(|name| target(&table, name))
    }

    /// The host that should own a shard: one of the shard's home region, or any where that region has none. So a
    /// program that is created in a region stays there, and its tokens don't cross the links between regions.
    pub(crate) fn assigned_owner(&self, shard: ShardId) -> Option<HostTarget> {
        let table = self.table.lock();
        let key = shard_key(shard);
        let home = home_region(&table, shard);
        let at_home = home.and_then(|it| rendezvous_winner(&key, serving_hosts(&table, Some(it))));
        let winner = at_home.or_else(|| rendezvous_winner(&key, serving_hosts(&table, None)))?;
        target(&table, winner)
    }

    /// Tells whether a shard's home is the region of this host.
    pub(crate) fn is_in_home_region(&self, shard: ShardId) -> bool {
        let table = self.table.lock();
        let own = table.member(table.local_host()).map(|entry| &entry.region);
        home_region(&table, shard) == own
    }

    /// The host to ask for a shard: the one that says it owns it, else the one that should.
    pub(crate) fn shard_host(&self, shard: ShardId) -> Option<HostTarget> {
        let holder = {
            let table = self.table.lock();
            table.reported_owner(shard).and_then(|name| target(&table, name))
        };

        holder.or_else(|| self.assigned_owner(shard))
    }

    /// Whether a host other than this one is heard and says that it owns a shard.
    pub(crate) fn is_owned_elsewhere(&self, shard: ShardId) -> bool {
        let table = self.table.lock();
        table.reported_owner(shard).is_some_and(|name| name != table.local_host())
    }

    /// Names of all hosts that are known, dead ones too.
    pub(crate) fn host_names(&self) -> Vec<HostName> {
        self.table.lock().members().map(|(name, _)| name.clone()).collect()
    }

    /// All hosts that are heard, but this one.
    pub(crate) fn peers(&self) -> Vec<HostTarget> {
        let table = self.table.lock();

        table
            .members()
            .filter(|(name, entry)| {
                *name != table.local_host() && entry.status() != crate::MemberStatus::Dead
            })
            .filter_map(|(name, _)| target(&table, name))
            .collect()
    }
}

fn shard_key(shard: ShardId) -> String {
    format!("shard/{shard}")
}

/// Shards are spread evenly over the regions of all hosts that are listed, dead ones too, so that a region's shards come
/// back to it.
fn home_region(table: &MembershipTable, shard: ShardId) -> Option<&RegionName> {
    let regions: BTreeSet<&RegionName> = table.members().map(|(_, entry)| &entry.region).collect();
    regions.iter().nth(usize::from(shard.0) % regions.len().max(1)).copied()
}

fn target(table: &MembershipTable, name: &HostName) -> Option<HostTarget> {
    let entry = table.member(name)?;
    Some(HostTarget {
        name: name.clone(),
        address: entry.address,
        is_local: name == table.local_host(),
    })
}

fn serving_hosts<'a>(
    table: &'a MembershipTable,
    region: Option<&'a RegionName>,
) -> impl Iterator<Item = &'a HostName> {
    table
        .members()
        .filter(move |(_, entry)| region.is_none_or(|it| entry.region == *it))
        .filter(|(_, entry)| entry.is_serving())
        .map(|(name, _)| name)
}
