//! What the other hosts know about the owner of a shard, for the time in which the platform can't tell.

use std::{collections::BTreeSet, fmt::Debug, sync::Arc, time::Duration};

use async_trait::async_trait;
use futures_util::future::join_all;
use tokio::time::timeout;

use crate::{
    ClusterView, HostName, PeerMessage, PeerTransport, ShardId,
    membership::peer_transport::peer_call,
};

/// Time for a host's word.
const WITNESS_TIMEOUT: Duration = Duration::from_millis(500);

/// Border between the owner of a program and those who know whether there is another.
#[async_trait]
pub(crate) trait OwnerWitnesses: Debug + Send + Sync {
    /// Tells whether every host that could have claimed the shard says that it has not.
    async fn is_sole_owner(&self, shard: ShardId) -> bool;
}

/// Asks all hosts, those too that are thought dead: a host that is cut off is no witness, and may have claimed.
#[derive(Debug)]
pub(crate) struct PeerWitnesses {
    pub(crate) view: ClusterView,
    pub(crate) transport: Arc<dyn PeerTransport>,
}

/// What one host says.
struct WitnessWord {
    may_hold: bool,
    hosts: Vec<HostName>,
}

impl PeerWitnesses {
    async fn ask(&self, host: HostName, shard: ShardId) -> Option<WitnessWord> {
        let address = self.view.lock().member(&host).map(|entry| entry.address)?;
        let request = PeerMessage::HolderQuery { shard };
        let call = peer_call(&*self.transport, address, &request);

        match timeout(WITNESS_TIMEOUT, call).await {
            Ok(Ok(PeerMessage::Holder { may_hold, hosts })) => {
                Some(WitnessWord { may_hold, hosts })
            }
            _ => None,
        }
    }
}

#[async_trait]
impl OwnerWitnesses for PeerWitnesses {
    async fn is_sole_owner(&self, shard: ShardId) -> bool {
        let names = self.view.host_names();
        let own = self.view.lock().local_host().clone();
        let asked = names.iter().filter(|name| **name != own).cloned();
        let words = join_all(asked.map(|host| self.ask(host, shard))).await;
        let known: BTreeSet<HostName> = names.into_iter().collect();

        words.iter().all(|word| {
            word.as_ref().is_some_and(|word| {
                // A host that only others know was not asked.
                !word.may_hold && word.hosts.iter().all(|host| known.contains(host))
            })
        })
    }
}
