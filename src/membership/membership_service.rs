//! Drives the membership table: probes, answers, and the platform's list of hosts. See docs/design/membership.md.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_util::future::join_all;
use rand::seq::SliceRandom;
use tokio::{sync::Notify, time::timeout};

use crate::{
    ClusterView, ConfigSpreader, HostName, HostPhase, MemberChange, MemberRumor, PeerError,
    PeerMessage, PeerTransport, PlatformClient, ShardId, basics::unix_clock::unix_millis,
    membership::peer_transport::peer_call,
};

/// Hosts that are asked about one that does not answer.
const HELPERS: usize = 2;

/// Hosts that a starting host asks for all they know.
const SYNC_HOSTS: usize = 3;

/// Least time between two reads of the platform's list.
const LIST_PAUSE: Duration = Duration::from_millis(250);

/// Time for a starting host's question.
const SYNC_TIMEOUT: Duration = Duration::from_secs(1);

/// Membership of this host.
#[derive(Debug)]
pub(crate) struct MembershipService {
    pub(crate) view: ClusterView,
    pub(crate) transport: Arc<dyn PeerTransport>,
    pub(crate) platform: Arc<dyn PlatformClient>,
    pub(crate) spreader: Arc<ConfigSpreader>,
    pub(crate) heartbeat_interval: Duration,
    pub(crate) host_list_interval: Duration,
    /// Wakes the reader of the platform's list, where a peer knows of a host that is not on it here.
    pub(crate) refresh_request: Notify,
}

impl MembershipService {
    /// Probes one host each interval, until the host stops.
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

    /// Declares hosts dead whose time as suspects is over. The keeper of shards calls it before each look at who should
    /// own what, since a takeover waits for it.
    pub(crate) fn expire_suspects(&self) {
        let changes = self.view.lock().expire_suspects(unix_millis());
        self.act(changes);
    }

    /// Reads the platform's list now and then, until the host stops.
    pub(crate) async fn run_host_list_refresh(self: Arc<Self>) {
        loop {
            let is_behind = self.refresh_request.notified();
            let _ = timeout(self.host_list_interval, is_behind).await;
            tokio::time::sleep(LIST_PAUSE).await;

            if let Err(error) = self.refresh_host_list().await {
                log::debug!("the list of hosts can't be read: {error}");
            }
        }
    }

    pub(crate) async fn refresh_host_list(&self) -> Result<(), crate::PlatformError> {
        let hosts = self.platform.hosts().await?;
        let changes = self.view.lock().merge_hosts(&hosts);
        self.act(changes);
        Ok(())
    }

    /// Asks some hosts for all that they know, and brings the configuration up to the highest number heard.
    pub(crate) async fn join(&self) {
        let mut peers = self.view.peers();
        peers.shuffle(&mut rand::rng());
        let asked = peers.into_iter().take(SYNC_HOSTS).map(|peer| async move {
            let rumors = self.view.lock().all_rumors();
            let request = PeerMessage::Sync { rumors };

            match timeout(SYNC_TIMEOUT, peer_call(&*self.transport, peer.address, &request)).await {
                Ok(Ok(PeerMessage::Members { config_number, rumors })) => {
                    let changes = self.view.lock().merge_members(unix_millis(), &rumors);
                    self.act(changes);

                    if config_number > self.spreader.store.number() {
                        self.spreader.pull_from(&peer.name).await;
                    }
                }
                Ok(Ok(_)) | Err(_) => (),
                Ok(Err(error)) => {
                    log::info!(peer:% = peer.name; "a peer could not be joined: {error}");
                }
            }
        });

        join_all(asked).await;
    }

    /// Says something new about this host.
    pub(crate) fn update_local(&self, phase: HostPhase, shards: Vec<ShardId>) {
        self.view.lock().update_local(phase, shards);
    }

    /// Tells all hosts at once what this host says of itself, as at the end of its life.
    pub(crate) async fn announce(&self) {
        let pushes = self.view.peers().into_iter().map(|peer| async move {
            let _ = timeout(SYNC_TIMEOUT, self.ping(&peer.name, peer.address)).await;
        });

        join_all(pushes).await;
    }

    /// Answers a probe.
    pub(crate) fn answer(
        &self,
        from: &HostName,
        config_number: u64,
        rumors: &[MemberRumor],
    ) -> PeerMessage {
        self.learn(rumors);
        self.spreader.compare(from, config_number);
        let rumors = self.view.lock().rumors_for(Some(from));
        PeerMessage::Ack { config_number: self.spreader.store.number(), rumors }
    }

    /// Probes a host for another one.
    pub(crate) async fn answer_for(&self, other: &HostName) -> PeerMessage {
        let Some(address) = self.view.lock().member(other).map(|entry| entry.address) else {
            return PeerMessage::NoAck;
        };

        // Shorter than the asker's patience, so that its answer is still waited for.
        let patience = self.heartbeat_interval * 2 / 3;

        match timeout(patience, self.ping(other, address)).await {
            Ok(Ok(())) => {
                let rumors = self.view.lock().rumors_for(None);
                PeerMessage::Ack { config_number: self.spreader.store.number(), rumors }
            }
            _ => PeerMessage::NoAck,
        }
    }

    /// Answers a starting host.
    pub(crate) fn members(&self, rumors: &[MemberRumor]) -> PeerMessage {
        self.learn(rumors);
        let rumors = self.view.lock().all_rumors();
        PeerMessage::Members { config_number: self.spreader.store.number(), rumors }
    }

    async fn probe(self: Arc<Self>, host: HostName) {
        let Some(address) = self.view.lock().member(&host).map(|entry| entry.address) else {
            return;
        };

        if let Ok(Ok(())) = timeout(self.heartbeat_interval, self.ping(&host, address)).await {
            return;
        }

        if !self.probe_through_others(&host).await {
            self.view.lock().record_probe_failure(unix_millis(), &host);
            // A connection that a dead or cut-off host left behind must not delay the next probe.
            self.transport.disconnect(address);
        }
    }

    async fn ping(&self, host: &HostName, address: SocketAddr) -> Result<(), PeerError> {
        let request = {
            let mut table = self.view.lock();
            let from = table.local_host().clone();
            let rumors = table.rumors_for(Some(host));
            PeerMessage::Ping { from, config_number: self.spreader.store.number(), rumors }
        };

        match peer_call(&*self.transport, address, &request).await? {
            PeerMessage::Ack { config_number, rumors } => {
                self.learn(&rumors);
                self.view.lock().record_ack(host);
                self.spreader.compare(host, config_number);
                Ok(())
            }
            _ => Err(PeerError::Unexpected),
        }
    }

    async fn probe_through_others(&self, host: &HostName) -> bool {
        let mut helpers = self.view.lock().helpers(host);
        helpers.shuffle(&mut rand::rng());

        let asked = helpers.into_iter().take(HELPERS).map(|helper| async move {
            let request = PeerMessage::PingOther { other: host.clone() };
            let answer =
                timeout(self.heartbeat_interval, peer_call(&*self.transport, helper, &request))
                    .await;
            matches!(answer, Ok(Ok(PeerMessage::Ack { .. })))
        });

        join_all(asked).await.contains(&true)
    }

    fn learn(&self, rumors: &[MemberRumor]) {
        let changes = self.view.lock().merge_rumors(unix_millis(), rumors);
        self.act(changes);
    }

    fn act(&self, changes: Vec<MemberChange>) {
        for change in changes {
            match change {
                MemberChange::Gone { address } => {
                    log::info!(peer:% = address; "a peer is gone");
                    self.transport.disconnect(address);
                }
                MemberChange::Unlisted { host } => {
                    log::debug!(peer:% = host; "the list of hosts is behind");
                    self.refresh_request.notify_one();
                }
            }
        }
    }
}
