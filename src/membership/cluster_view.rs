//! Which host plays which role, from this host's point of view. Every look-up depends on the membership table alone, so
//! hosts with equal tables agree.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc};

use parking_lot::{Mutex, MutexGuard};

use crate::{
    CellId, HostName, MembershipTable, RegionName, ShardId,
    membership::rendezvous::rendezvous_winner,
};

/// Name and address of a host that a request or a message can be sent to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct HostTarget {
    pub(crate) name: HostName,
    pub(crate) address: SocketAddr,
    /// Whether this is the host itself, so that no connection is needed.
    pub(crate) is_local: bool,
}

/// Shared handle to the membership table, with look-ups of the hosts of cells and shards.
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

    /// Returns the host that dispatches for a cell: a serving host of the cell's region, or of any region if that one
    /// has none. `None` if no host is serving.
    pub(crate) fn dispatcher(&self, cell: &CellId) -> Option<HostTarget> {
        let table = self.table.lock();
        let key = cell.to_string();

        let regional = rendezvous_winner(&key, serving_hosts(&table, Some(&cell.region)));
        let winner = regional.or_else(|| rendezvous_winner(&key, serving_hosts(&table, None)));
        winner.and_then(|name| host_target(&table, name))
    }

    /// Returns the host that should own a shard: a serving host of the shard's home region, or of any region if that
    /// one has none. A program thus stays in the region in which it was created, and its tokens do not cross the links
    /// between regions. `None` if no host is serving.
    pub(crate) fn assigned_owner(&self, shard: ShardId) -> Option<HostTarget> {
        let table = self.table.lock();
        let key = shard_key(shard);
        let home = home_region(&table, shard);
        let regional = home.and_then(|it| rendezvous_winner(&key, serving_hosts(&table, Some(it))));
        let winner = regional.or_else(|| rendezvous_winner(&key, serving_hosts(&table, None)))?;
        host_target(&table, winner)
    }

    /// Whether the home region of a shard is the region of this host.
    pub(crate) fn is_in_home_region(&self, shard: ShardId) -> bool {
        let table = self.table.lock();
        let local_region = table.member(table.local_host()).map(|entry| &entry.region);
        home_region(&table, shard) == local_region
    }

    /// Returns the host to send a shard's requests to: the one that reports to own the shard, else the one that should.
    pub(crate) fn shard_host(&self, shard: ShardId) -> Option<HostTarget> {
        let reported = {
            let table = self.table.lock();
            table.reported_owner(shard).and_then(|name| host_target(&table, name))
        };

        reported.or_else(|| self.assigned_owner(shard))
    }

    /// Whether another host that is not dead reports to own a shard.
    pub(crate) fn is_owned_elsewhere(&self, shard: ShardId) -> bool {
        let table = self.table.lock();
        table.reported_owner(shard).is_some_and(|name| name != table.local_host())
    }

    /// Names of all hosts in the table, including dead ones and this one.
    pub(crate) fn host_names(&self) -> Vec<HostName> {
        self.table.lock().members().map(|(name, _)| name.clone()).collect()
    }

    /// All other hosts that are not dead.
    pub(crate) fn peers(&self) -> Vec<HostTarget> {
        let table = self.table.lock();

        table
            .members()
            .filter(|(name, entry)| {
                *name != table.local_host() && entry.status() != crate::MemberStatus::Dead
            })
            .filter_map(|(name, _)| host_target(&table, name))
            .collect()
    }
}

fn shard_key(shard: ShardId) -> String {
    format!("shard/{shard}")
}

/// Returns the home region of a shard. Shards are spread evenly over the regions of all hosts in the table, including
/// dead ones, so that a region gets its shards back after an outage.
fn home_region(table: &MembershipTable, shard: ShardId) -> Option<&RegionName> {
    let regions: BTreeSet<&RegionName> = table.members().map(|(_, entry)| &entry.region).collect();
    regions.iter().nth(usize::from(shard.0) % regions.len().max(1)).copied()
}

fn host_target(table: &MembershipTable, name: &HostName) -> Option<HostTarget> {
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
