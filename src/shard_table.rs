//! The shards that this host owns.

use std::{collections::BTreeMap, sync::Arc};

use parking_lot::RwLock;

use crate::{ShardId, ShardOwner};

/// Owners by shard. An owner that has been closed is of no use and is passed over.
#[derive(Debug, Default)]
pub(crate) struct ShardTable {
    owners: RwLock<BTreeMap<ShardId, Arc<ShardOwner>>>,
}

impl ShardTable {
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
