//! Spread of the configuration: pushes down a shallow tree, pulls where a heartbeat shows a gap, and a rare look at the
//! platform. See docs/design/configuration.md.

use std::{sync::Arc, time::Duration};

use crate::{
    ClusterView, ConfigEntry, ConfigStore, HostName, PeerMessage, PeerTransport,
    membership::peer_transport::peer_call,
};

/// Hosts that each host of the tree passes an entry on to. At 390 hosts the tree is three levels deep.
const TREE_WIDTH: usize = 8;

/// Time between two looks at the platform, for what no push and no heartbeat has brought.
const PLATFORM_INTERVAL: Duration = Duration::from_secs(20);

/// Passes configuration entries on between hosts.
#[derive(Debug)]
pub(crate) struct ConfigSpreader {
    pub(crate) host: HostName,
    pub(crate) store: Arc<ConfigStore>,
    pub(crate) view: ClusterView,
    pub(crate) transport: Arc<dyn PeerTransport>,
}

impl ConfigSpreader {
    /// Starts the spread of an entry that this host has accepted.
    pub(crate) fn broadcast(self: &Arc<Self>, entry: ConfigEntry) {
        let mut tree = vec![self.host.clone()];
        tree.extend(self.view.peers().into_iter().map(|target| target.name));
        self.pass_on(vec![entry], tree, 0);
    }

    /// Takes entries in that were pushed, and passes them on to this host's part of the tree.
    pub(crate) fn receive(
        self: &Arc<Self>,
        entries: Vec<ConfigEntry>,
        tree: Vec<HostName>,
        position: u32,
    ) {
        let first = entries.first().map_or(0, |entry| entry.number);
        let number = self.store.learn(entries.clone());

        if number < first {
            tokio::spawn(Arc::clone(self).pull_missing());
        }

        self.pass_on(entries, tree, position);
    }

    /// Compares a peer's number with this host's, and pulls what is missing.
    pub(crate) fn pull_if_behind(self: &Arc<Self>, peer: &HostName, number: u64) {
        if number > self.store.number() {
            let spreader = Arc::clone(self);
            let peer = peer.clone();
            tokio::spawn(async move { spreader.pull_from(&peer).await });
        }
    }

    /// Asks a peer for what it has beyond this host's number. Entries that it no longer keeps come from the platform.
    pub(crate) async fn pull_from(&self, peer: &HostName) {
        let Some(address) = self.view.lock().member(peer).map(|entry| entry.address) else {
            return;
        };

        let request = PeerMessage::ConfigPull { after: self.store.number() };

        match peer_call(&*self.transport, address, &request).await {
            Ok(PeerMessage::ConfigEntries { entries }) => {
                let first = entries.first().map_or(0, |entry| entry.number);
                let number = self.store.learn(entries);

                if first > number {
                    let _ = self.store.pull().await;
                }
            }
            Ok(_) => log::warn!(peer:% = peer; "a peer gave an unexpected answer to a pull"),
            Err(error) => log::debug!(peer:% = peer; "a pull failed: {error}"),
        }
    }

    /// Looks at the platform now and then, until the host stops.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut interval = tokio::time::interval(PLATFORM_INTERVAL);
        interval.tick().await;

        loop {
            interval.tick().await;

            if let Err(error) = self.store.pull().await {
                log::debug!("the configuration can't be read from the platform: {error}");
            }
        }
    }

    async fn pull_missing(self: Arc<Self>) {
        if self.store.pull().await.is_ok() {
            return;
        }

        for target in self.view.peers() {
            self.pull_from(&target.name).await;
        }
    }

    fn pass_on(self: &Arc<Self>, entries: Vec<ConfigEntry>, tree: Vec<HostName>, position: u32) {
        let first = position as usize * TREE_WIDTH + 1;

        for child in first..(first + TREE_WIDTH).min(tree.len()) {
            let push = PeerMessage::ConfigPush {
                entries: entries.clone(),
                tree: tree.clone(),
                position: child as u32,
            };

            let spreader = Arc::clone(self);
            let name = tree[child].clone();
            tokio::spawn(async move { spreader.push(&name, push).await });
        }
    }

    /// Pushes to one host of the tree. One that can't be reached is made up for by heartbeats.
    async fn push(&self, name: &HostName, push: PeerMessage) {
        let Some(address) = self.view.lock().member(name).map(|entry| entry.address) else {
            return;
        };

        if let Err(error) = peer_call(&*self.transport, address, &push).await {
            log::debug!(peer:% = name; "a push failed: {error}");
        }
    }
}
