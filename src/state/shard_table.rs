//! The shards that this host owns.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use parking_lot::{Mutex, RwLock};
use tokio::time::Instant;

use crate::{ShardId, ShardOwner};

/// Owners by shard. A closed owner takes no requests and stays only until the keeper removes it.
#[derive(Debug, Default)]
pub(crate) struct ShardTable {
    owners: RwLock<BTreeMap<ShardId, Arc<ShardOwner>>>,
    /// Shards that are being claimed or released.
    moving: Mutex<BTreeSet<ShardId>>,
    /// When another host was found to have claimed a shard of this one.
    deposed_at: Mutex<BTreeMap<ShardId, Instant>>,
}

impl ShardTable {
    /// Marks a shard as being claimed or released. Returns false if it is marked already.
    pub(crate) fn begin_move(&self, shard: ShardId) -> bool {
        self.moving.lock().insert(shard)
    }

    pub(crate) fn end_move(&self, shard: ShardId) {
        self.moving.lock().remove(&shard);
    }

    pub(crate) fn is_moving(&self, shard: ShardId) -> bool {
        self.moving.lock().contains(&shard)
    }

    /// Records that another host has claimed a shard.
    pub(crate) fn record_deposed(&self, shard: ShardId) {
        self.deposed_at.lock().insert(shard, Instant::now());
    }

    /// Tells whether another host has claimed a shard from this one within a period. The other host is alive, and its
    /// membership record will arrive; if this host claimed the shard back at once, two hosts with different views would
    /// depose each other in turn.
    pub(crate) fn was_deposed_within(&self, shard: ShardId, period: Duration) -> bool {
        self.deposed_at.lock().get(&shard).is_some_and(|at| at.elapsed() < period)
    }

    /// Tells whether this host owns the shard, or may be about to.
    pub(crate) fn may_own(&self, shard: ShardId) -> bool {
        self.is_moving(shard) || self.owners.read().contains_key(&shard)
    }

    pub(crate) fn insert(&self, owner: Arc<ShardOwner>) {
        self.owners.write().insert(owner.shard(), owner);
    }

    /// Returns the owner of a shard unless it is closed.
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
