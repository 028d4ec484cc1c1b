//! Drives the membership table: sends probes, responds to those of peers, and reads the platform's host list. See
//! docs/design/membership.md.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_util::future::join_all;
use rand::seq::SliceRandom;
use tokio::{sync::Notify, time::timeout};

use crate::{
    ClusterView, ConfigSpreader, HostName, HostPhase, MemberChange, MemberRumor, PeerError,
    PeerMessage, PeerTransport, PlatformClient, ShardId, basics::steady_clock::steady_millis,
    membership::peer_transport::peer_call,
};

/// Number of other hosts that probe a host on behalf of this one if it does not respond directly.
const MAX_INDIRECT_PROBES: usize = 2;

/// Number of peers from which a starting host requests all rumors.
const MAX_SYNC_PEERS: usize = 3;

/// Minimum time between two reads of the platform's host list.
const MIN_LIST_INTERVAL: Duration = Duration::from_millis(250);

/// Time for a peer to respond to a sync request of a starting host, or to an announcement.
const SYNC_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which the response to a probe counts, also after the probe has failed.
const LATE_ACK_TIMEOUT: Duration = Duration::from_secs(5);

/// This host's part in the membership protocol.
#[derive(Debug)]
pub(crate) struct MembershipService {
    pub(crate) view: ClusterView,
    pub(crate) transport: Arc<dyn PeerTransport>,
    pub(crate) platform: Arc<dyn PlatformClient>,
    pub(crate) spreader: Arc<ConfigSpreader>,
    /// Time between two probes, and the time for a response to one.
    pub(crate) heartbeat_interval: Duration,
    /// Time after which the platform's host list is read without a request.
    pub(crate) host_list_interval: Duration,
    /// Requests a read of the platform's host list, because a peer sent a rumor about a host that is not on it.
    pub(crate) refresh_request: Notify,
}

impl MembershipService {
    /// Probes one host each heartbeat interval, until this host stops.
    pub(crate) async fn run_probes(self: Arc<Self>) {
        let mut interval = tokio::time::interval(self.heartbeat_interval);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);

        loop {
            interval.tick().await;
            let next = self.view.lock().next_probe(|hosts| hosts.shuffle(&mut rand::rng()));

            if let Some(host) = next {
                tokio::spawn(Arc::clone(&self).probe(host));
            }
        }
    }

    /// Declares suspects dead once their suspicion timeout has passed. The shard keeper calls this before each check of
    /// shard ownership, since a takeover waits for it.
    pub(crate) fn expire_suspects(&self) {
        let changes = self.view.lock().expire_suspects(steady_millis());
        self.handle_changes(changes);
    }

    /// Reads the platform's host list at regular intervals and on request, until this host stops.
    pub(crate) async fn run_host_list_refresh(self: Arc<Self>) {
        loop {
            let request = self.refresh_request.notified();
            let _ = timeout(self.host_list_interval, request).await;
            tokio::time::sleep(MIN_LIST_INTERVAL).await;

            if let Err(error) = self.refresh_host_list().await {
                log::debug!("failed to read the platform's host list: {error}");
            }
        }
    }

    /// Reads the platform's host list and merges it into the membership table.
    pub(crate) async fn refresh_host_list(&self) -> Result<(), crate::PlatformError> {
        let hosts = self.platform.hosts().await?;
        let changes = self.view.lock().merge_hosts(&hosts);
        self.handle_changes(changes);
        Ok(())
    }

    /// Requests all rumors from some peers, and pulls the configuration from those that have a higher number. A peer
    /// that does not respond is skipped.
    pub(crate) async fn join(&self) {
        let mut peers = self.view.peers();
        peers.shuffle(&mut rand::rng());
        let syncs = peers.into_iter().take(MAX_SYNC_PEERS).map(|peer| async move {
            let rumors = self.view.lock().all_rumors();
            let request = PeerMessage::Sync { rumors };

            match timeout(SYNC_TIMEOUT, peer_call(&*self.transport, peer.address, &request)).await {
                Ok(Ok(PeerMessage::Members { config_number, rumors })) => {
                    let changes = self.view.lock().merge_members(steady_millis(), &rumors);
                    self.handle_changes(changes);

                    if config_number > self.spreader.store.number() {
                        self.spreader.pull_from(&peer.name).await;
                    }
                }
                Ok(Ok(_)) | Err(_) => (),
                Ok(Err(error)) => {
                    log::info!(peer:% = peer.name; "failed to sync membership with a peer: {error}");
                }
            }
        });

        join_all(syncs).await;
    }

    /// Updates the phase and the owned shards that this host reports to its peers.
    pub(crate) fn update_local(&self, phase: HostPhase, shards: Vec<ShardId>) {
        self.view.lock().update_local(phase, shards);
    }

    /// Sends the current state of this host to all peers at once instead of leaving it to gossip, such as when it
    /// starts to drain. Peers that do not respond get it by gossip.
    pub(crate) async fn announce(&self) {
        let pings = self.view.peers().into_iter().map(|peer| async move {
            let _ = timeout(SYNC_TIMEOUT, self.ping(&peer.name, peer.address)).await;
        });

        join_all(pings).await;
    }

    /// Merges the rumors of a probe and returns the response to it.
    pub(crate) fn respond_to_ping(
        &self,
        from: &HostName,
        config_number: u64,
        rumors: &[MemberRumor],
    ) -> PeerMessage {
        self.merge_rumors(rumors);
        self.spreader.pull_if_behind(from, config_number);
        let rumors = self.view.lock().rumors_for(Some(from));
        PeerMessage::Ack { config_number: self.spreader.store.number(), rumors }
    }

    /// Probes a host on behalf of a peer that got no response from it, and returns the response to that peer.
    pub(crate) async fn respond_to_indirect_ping(&self, other: &HostName) -> PeerMessage {
        let Some(address) = self.view.lock().member(other).map(|entry| entry.address) else {
            return PeerMessage::NoAck;
        };

        // The peer waits one heartbeat interval for this response, so the probe has to end earlier.
        let ping_timeout = self.heartbeat_interval * 2 / 3;

        match timeout(ping_timeout, self.ping(other, address)).await {
            Ok(Ok(())) => {
                let rumors = self.view.lock().rumors_for(None);
                PeerMessage::Ack { config_number: self.spreader.store.number(), rumors }
            }
            _ => PeerMessage::NoAck,
        }
    }

    /// Merges the rumors of a starting host and returns all rumors of this host.
    pub(crate) fn respond_to_sync(&self, rumors: &[MemberRumor]) -> PeerMessage {
        self.merge_rumors(rumors);
        let rumors = self.view.lock().all_rumors();
        PeerMessage::Members { config_number: self.spreader.store.number(), rumors }
    }

    /// Probes a host, directly at first and then through other hosts, and suspects it if no probe succeeds.
    async fn probe(self: Arc<Self>, host: HostName) {
        let Some(address) = self.view.lock().member(&host).map(|entry| entry.address) else {
            return;
        };

        // A late response shows as well that the host lives, so the ping goes on after the probe has failed.
        let (service, pinged_host) = (Arc::clone(&self), host.clone());
        let mut ping = tokio::spawn(async move {
            timeout(LATE_ACK_TIMEOUT, service.ping(&pinged_host, address)).await
        });

        if let Ok(Ok(Ok(Ok(())))) = timeout(self.heartbeat_interval, &mut ping).await {
            return;
        }

        if !self.probe_indirectly(&host).await {
            self.view.lock().record_probe_failure(steady_millis(), &host);
            // The connection may lead to a dead host or across a broken link. It must not delay the next probe, but requests
            // run on it until the host is declared dead.
            self.transport.retire(address);
        }
    }

    /// Exchanges rumors with a host, and compares its configuration number with the one here.
    async fn ping(&self, host: &HostName, address: SocketAddr) -> Result<(), PeerError> {
        let request = {
            let mut table = self.view.lock();
            let from = table.local_host().clone();
            let rumors = table.rumors_for(Some(host));
            PeerMessage::Ping { from, config_number: self.spreader.store.number(), rumors }
        };

        match peer_call(&*self.transport, address, &request).await? {
            PeerMessage::Ack { config_number, rumors } => {
                self.merge_rumors(&rumors);
                self.view.lock().record_ack(host);
                self.spreader.pull_if_behind(host, config_number);
                Ok(())
            }
            _ => Err(PeerError::Unexpected),
        }
    }

    /// Requests a probe of a host from some other hosts. Returns whether one of them got a response.
    async fn probe_indirectly(&self, host: &HostName) -> bool {
        let mut probers = self.view.lock().indirect_probers(host);
        probers.shuffle(&mut rand::rng());

        let attempts = probers.into_iter().take(MAX_INDIRECT_PROBES).map(|prober| async move {
            let request = PeerMessage::PingOther { other: host.clone() };
            let response =
                timeout(self.heartbeat_interval, peer_call(&*self.transport, prober, &request))
                    .await;
            matches!(response, Ok(Ok(PeerMessage::Ack { .. })))
        });

        join_all(attempts).await.contains(&true)
    }

    fn merge_rumors(&self, rumors: &[MemberRumor]) {
        let changes = self.view.lock().merge_rumors(steady_millis(), rumors);
        self.handle_changes(changes);
    }

    fn handle_changes(&self, changes: Vec<MemberChange>) {
        for change in changes {
            match change {
                MemberChange::StaleConnection { address } => {
                    log::info!(
                        peer:% = address;
                        "disconnecting from a peer that is dead, has restarted or has a new address"
                    );
                    self.transport.disconnect(address);
                }
                MemberChange::Unlisted { host } => {
                    log::debug!(
                        peer:% = host;
                        "a peer sent a rumor about a host that is missing from the host list"
                    );
                    self.refresh_request.notify_one();
                }
            }
        }
    }
}
