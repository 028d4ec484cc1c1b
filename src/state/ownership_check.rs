//! Check of a shard's ownership with the other hosts, for use while the platform is unavailable.

use std::{collections::BTreeSet, fmt::Debug, sync::Arc, time::Duration};

use async_trait::async_trait;
use futures_util::future::join_all;
use tokio::time::timeout;

use crate::{
    ClusterView, HostName, PeerMessage, PeerTransport, ShardId,
    membership::peer_transport::peer_call,
};

/// Time for one host to answer the query.
const OWNERSHIP_QUERY_TIMEOUT: Duration = Duration::from_millis(500);

/// Finds out whether a shard may have another owner than this host.
#[async_trait]
pub(crate) trait OwnershipCheck: Debug + Send + Sync {
    /// Tells whether every host that could have claimed the shard answers that it has not.
    async fn is_sole_owner(&self, shard: ShardId) -> bool;
}

/// Queries all other hosts, including those considered dead: a host that can't be reached may have claimed the shard,
/// so the check fails without its response.
#[derive(Debug)]
pub(crate) struct PeerOwnershipCheck {
    pub(crate) view: ClusterView,
    pub(crate) transport: Arc<dyn PeerTransport>,
}

/// Response of one host.
struct HolderResponse {
    /// Whether the host owns the shard, or may be about to.
    may_hold: bool,
    /// All hosts in its membership table.
    hosts: Vec<HostName>,
}

impl PeerOwnershipCheck {
    async fn query(&self, host: HostName, shard: ShardId) -> Option<HolderResponse> {
        let address = self.view.lock().member(&host).map(|entry| entry.address)?;
        let request = PeerMessage::HolderQuery { shard };
        let call = peer_call(&*self.transport, address, &request);

        match timeout(OWNERSHIP_QUERY_TIMEOUT, call).await {
            Ok(Ok(PeerMessage::Holder { may_hold, hosts })) => {
                Some(HolderResponse { may_hold, hosts })
            }
            _ => None,
        }
    }
}

#[async_trait]
impl OwnershipCheck for PeerOwnershipCheck {
    async fn is_sole_owner(&self, shard: ShardId) -> bool {
        let names = self.view.host_names();
        let local_host = self.view.lock().local_host().clone();
        let others = names.iter().filter(|name| **name != local_host).cloned();
        let responses = join_all(others.map(|host| self.query(host, shard))).await;
        let queried: BTreeSet<HostName> = names.into_iter().collect();

        responses.iter().all(|response| {
            response.as_ref().is_some_and(|response| {
                // A host that is missing from the local membership table was not queried.
                !response.may_hold && response.hosts.iter().all(|host| queried.contains(host))
            })
        })
    }
}
