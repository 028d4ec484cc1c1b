//! What a peer's build can do beyond what every build can. A build that knows nothing of features refuses the query, and is
//! taken for one that has none. See docs/design/platform.md, "Retention".

use std::sync::Arc;

use tokio::time::{Duration, Instant, timeout};

use crate::{
    PeerMessage,
    entry::{
        peer_mesh::{PEER_TIMEOUT, PeerMesh},
        record_retention::UNSTATED_LIFETIME,
    },
};

/// Name of the feature that states for how long a host keeps its records, in milliseconds.
const RECORD_LIFETIME: &str = "record-lifetime-ms";

/// Time after which a peer is asked again, as the lifetime of its records grows with its configuration.
const REFRESH_INTERVAL: Duration = Duration::from_secs(30);

/// Time after which a peer is asked again that has not answered, or knows of no features.
const RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// Features that a run of a peer has stated.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeerFeatures {
    /// Time for which the run keeps its records.
    record_lifetime: Option<Duration>,
    asked_at: Option<Instant>,
}

impl PeerFeatures {
    fn is_due(&self, now: Instant) -> bool {
        let interval =
            if self.record_lifetime.is_some() { REFRESH_INTERVAL } else { RETRY_INTERVAL };
        self.asked_at.is_none_or(|at| now.duration_since(at) >= interval)
    }

    /// Time for which the run keeps its records at least.
    fn record_lifetime(&self) -> Duration {
        self.record_lifetime.unwrap_or(UNSTATED_LIFETIME)
    }
}

impl PeerMesh {
    /// Features of this host, as it states them to its peers.
    pub(super) fn local_features(&self) -> Vec<(Arc<str>, u64)> {
        let lifetime = self.journal.get().map(|it| it.retention().lifetime().as_millis() as u64);
        lifetime.map(|it| (RECORD_LIFETIME.into(), it)).into_iter().collect()
    }

    /// Asks those peers for their features that have not stated them lately.
    pub(crate) fn query_features(self: &Arc<Self>) {
        let now = Instant::now();

        for (host, peer) in self.peers.lock().iter_mut() {
            if peer.writer.is_none() || peer.failures > 0 || !peer.features.is_due(now) {
                continue;
            }

            peer.features.asked_at = Some(now);
            let (mesh, host, address) = (Arc::clone(self), Arc::clone(host), peer.address);
            let writer = peer.writer.clone();
            tokio::spawn(async move {
                let query = PeerMessage::FeaturesQuery;
                let answer = timeout(PEER_TIMEOUT, mesh.connector.exchange(address, &query)).await;
                if let Ok(Ok(PeerMessage::Features { features })) = answer {
                    mesh.record_features(&host, writer.as_ref(), &features);
                }
            });
        }
    }

    fn record_features(
        &self,
        host: &Arc<str>,
        writer: Option<&Arc<str>>,
        features: &[(Arc<str>, u64)],
    ) {
        let lifetime = features.iter().find(|(name, _)| **name == *RECORD_LIFETIME);
        let mut peers = self.peers.lock();

        // Another run may be of another build.
        if let Some(peer) = peers.get_mut(host).filter(|it| it.writer.as_ref() == writer) {
            peer.features.record_lifetime = lifetime.map(|(_, ms)| Duration::from_millis(*ms));
        }
    }

    /// Shortest time for which any known host keeps its records.
    pub(crate) fn peers_lifetime(&self) -> Duration {
        let peers = self.peers.lock();
        let lifetimes = peers.values().map(|it| it.features.record_lifetime());
        lifetimes.min().unwrap_or(Duration::MAX)
    }
}
