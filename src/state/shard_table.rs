//! The shards that this host owns.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use parking_lot::{Mutex, RwLock};
use tokio::time::Instant;

use crate::{ShardId, ShardOwner};

/// Owners by shard. An owner that has been closed is of no use and is passed over.
#[derive(Debug, Default)]
pub(crate) struct ShardTable {
    owners: RwLock<BTreeMap<ShardId, Arc<ShardOwner>>>,
    /// Shards that are being claimed or released.
    moving: Mutex<BTreeSet<ShardId>>,
    /// When another host was found to have taken a shard of this one.
    deposed: Mutex<BTreeMap<ShardId, Instant>>,
}

impl ShardTable {
    /// Marks a shard as being claimed or released, unless it is already.
    pub(crate) fn begin_move(&self, shard: ShardId) -> bool {
        self.moving.lock().insert(shard)
    }

    pub(crate) fn end_move(&self, shard: ShardId) {
        self.moving.lock().remove(&shard);
    }

    pub(crate) fn is_moving(&self, shard: ShardId) -> bool {
        self.moving.lock().contains(&shard)
    }

    /// Takes note that another host has taken a shard.
    pub(crate) fn record_deposed(&self, shard: ShardId) {
        self.deposed.lock().insert(shard, Instant::now());
    }

    /// Tells whether a shard was taken from this host within a time. Whoever took it is alive, and will be heard of;
    /// claiming it back at once would only let two hosts with different views take it from each other in turn.
    pub(crate) fn is_deposed_since(&self, shard: ShardId, time: Duration) -> bool {
        self.deposed.lock().get(&shard).is_some_and(|at| at.elapsed() < time)
    }

    /// Tells whether this host has the shard, or may be about to.
    pub(crate) fn may_own(&self, shard: ShardId) -> bool {
        self.is_moving(shard) || self.owners.read().contains_key(&shard)
    }

    pub(crate) fn insert(&self, owner: Arc<ShardOwner>) {
        self.owners.write().insert(owner.shard(), owner);
    }

    /// Gives the owner of a shard, if it takes requests.
    pub(crate) fn owner(&self, shard: ShardId) -> Option<Arc<ShardOwner>> {
        self.owners.read().get(&shard).filter(|owner| !owner.is_closed()).cloned()
    }

    pub(crate) fn owners(&self) -> Vec<Arc<ShardOwner>> {
        self.owners.read().values().cloned().collect()
    }

    pub(crate) fn remove(&self, shard: ShardId) {
        self.owners.write().remove(&shard);
    }

    pub(crate) fn shards(&self) -> Vec<ShardId> {
        self.owners.read().keys().copied().collect()
    }
}
