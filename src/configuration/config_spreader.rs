//! Distribution of configuration entries: pushes along a shallow tree of hosts, pulls if a heartbeat shows that entries
//! are missing, and periodic reads of the platform. See docs/design/configuration.md.

use std::{sync::Arc, time::Duration};

use crate::{
    ClusterView, ConfigEntry, ConfigStore, HostName, PeerMessage, PeerTransport,
    membership::peer_transport::peer_call,
};

/// Hosts to which each host of the tree forwards an entry. At 390 hosts the tree is three levels deep.
const TREE_FANOUT: usize = 8;

/// Time between two reads of the platform, for entries that neither a push nor a heartbeat has delivered.
const PLATFORM_PULL_INTERVAL: Duration = Duration::from_secs(20);

/// Exchanges configuration entries with other hosts.
#[derive(Debug)]
pub(crate) struct ConfigSpreader {
    pub(crate) host: HostName,
    pub(crate) store: Arc<ConfigStore>,
    pub(crate) view: ClusterView,
    pub(crate) transport: Arc<dyn PeerTransport>,
}

impl ConfigSpreader {
    /// Pushes an entry that this host has accepted to all other hosts, along a tree with this host as its root.
    pub(crate) fn broadcast(self: &Arc<Self>, entry: ConfigEntry) {
        let mut tree = vec![self.host.clone()];
        tree.extend(self.view.peers().into_iter().map(|target| target.name));
        self.forward(vec![entry], tree, 0);
    }

    /// Merges pushed entries and forwards them to this host's children in the tree. `position` is this host's index in
    /// `tree`.
    pub(crate) fn receive(
        self: &Arc<Self>,
        entries: Vec<ConfigEntry>,
        tree: Vec<HostName>,
        position: u32,
    ) {
        let first_number = entries.first().map_or(0, |entry| entry.number);
        let number = self.store.merge(entries.clone());

        if number < first_number {
            tokio::spawn(Arc::clone(self).pull_missing());
        }

        self.forward(entries, tree, position);
    }

    /// Pulls the missing entries from a peer whose number is higher than this host's.
    pub(crate) fn pull_if_behind(self: &Arc<Self>, peer: &HostName, number: u64) {
        if number > self.store.number() {
            let spreader = Arc::clone(self);
            let peer = peer.clone();
            tokio::spawn(async move { spreader.pull_from(&peer).await });
        }
    }

    /// Pulls the entries after this host's number from a peer. Those that the peer no longer caches come from the
    /// platform.
    pub(crate) async fn pull_from(&self, peer: &HostName) {
        let Some(address) = self.view.lock().member(peer).map(|entry| entry.address) else {
            return;
        };

        let request = PeerMessage::ConfigPull { after: self.store.number() };

        match peer_call(&*self.transport, address, &request).await {
            Ok(PeerMessage::ConfigEntries { entries }) => {
                let first_number = entries.first().map_or(0, |entry| entry.number);
                let number = self.store.merge(entries);

                if first_number > number {
                    let _ = self.store.pull().await;
                }
            }
            Ok(_) => log::warn!(peer:% = peer; "a peer sent an unexpected response to a pull"),
            Err(error) => log::debug!(peer:% = peer; "a pull failed: {error}"),
        }
    }

    /// Pulls from the platform at each interval, until the host stops.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut interval = tokio::time::interval(PLATFORM_PULL_INTERVAL);
        interval.tick().await;

        loop {
            interval.tick().await;

            if let Err(error) = self.store.pull().await {
                log::debug!("the configuration can't be read from the platform: {error}");
            }
        }
    }

    /// Pulls from the platform, or from all peers if the platform does not respond.
    async fn pull_missing(self: Arc<Self>) {
        if self.store.pull().await.is_ok() {
            return;
        }

        for target in self.view.peers() {
            self.pull_from(&target.name).await;
        }
    }

    /// Pushes entries to the children of the host at `position`. The children of `i` begin at `i * TREE_FANOUT + 1`.
    fn forward(self: &Arc<Self>, entries: Vec<ConfigEntry>, tree: Vec<HostName>, position: u32) {
        let first_child = position as usize * TREE_FANOUT + 1;

        for child in first_child..(first_child + TREE_FANOUT).min(tree.len()) {
            let message = PeerMessage::ConfigPush {
                entries: entries.clone(),
                tree: tree.clone(),
                position: child as u32,
            };

            let spreader = Arc::clone(self);
            let name = tree[child].clone();
            tokio::spawn(async move { spreader.push(&name, message).await });
        }
    }

    /// Pushes to one host of the tree. If it can't be reached, it and its descendants in the tree pull after a
    /// heartbeat.
    async fn push(&self, name: &HostName, message: PeerMessage) {
        let Some(address) = self.view.lock().member(name).map(|entry| entry.address) else {
            return;
        };

        if let Err(error) = peer_call(&*self.transport, address, &message).await {
            log::debug!(peer:% = name; "a push failed: {error}");
        }
    }
}
