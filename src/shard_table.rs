//! The shards that this host owns.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use parking_lot::{Mutex, RwLock};

use crate::{ShardId, ShardOwner};

/// Owners by shard. An owner that has been closed is of no use and is passed over.
#[derive(Debug, Default)]
pub(crate) struct ShardTable {
    owners: RwLock<BTreeMap<ShardId, Arc<ShardOwner>>>,
    /// Shards that are being claimed or released.
    moving: Mutex<BTreeSet<ShardId>>,
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

    /// Tells whether this host has the shard, or may be about to.
    pub(crate) fn may_hold(&self, shard: ShardId) -> bool {
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
