//! A scheduler of the region as a possible dispatcher.

use std::{net::SocketAddr, sync::Arc};

use crate::entry::peer_mesh::PeerMesh;

/// A scheduler of this host's region, as this host sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct DispatchCandidate {
    pub(crate) host: Arc<str>,
    /// Its run, by the writer that its last message names; empty before its first message.
    pub(crate) run: Arc<str>,
    /// Address at which other hosts reach it.
    pub(crate) address: SocketAddr,
    /// Processor time that it may use, in thousandths of a core.
    pub(crate) processor_millis: u32,
    /// Whether it is this host.
    pub(crate) is_local: bool,
    /// Whether it is heard, answers updates, does not drain and reaches the service.
    pub(crate) is_able: bool,
}

impl PeerMesh {
    /// The schedulers of this region, with this host, as candidates for the dispatcher of a service. `None` where programs
    /// have no owners.
    pub(crate) fn dispatch_candidates(&self, service: &str) -> Option<Vec<DispatchCandidate>> {
        let peers = self.peers.lock();

        if !self.has_owners_among(&peers) {
            return None;
        }

        let is_near = |region: &Arc<str>| *region == self.identity.region;
        let near_peers = peers.iter().filter(|(_, peer)| is_near(&peer.region));
        let mut candidates: Vec<DispatchCandidate> = near_peers
            .map(|(host, peer)| DispatchCandidate {
                host: Arc::clone(host),
                run: peer.writer.clone().unwrap_or_default(),
                address: peer.address,
                processor_millis: self.processor_millis(host),
                is_local: false,
                // A peer that is only listed in the registry may be gone, or may not have started yet.
                is_able: peer.writer.is_some()
                    && peer.failures == 0
                    && !peer.is_draining
                    && !peer.lost_services.contains(service),
            })
            .collect();
        drop(peers);
        candidates.push(DispatchCandidate {
            host: Arc::clone(&self.identity.host),
            run: Arc::clone(&self.identity.writer),
            address: self.identity.address,
            processor_millis: self.processor_millis(&self.identity.host),
            is_local: true,
            is_able: !self.is_draining(),
        });
        Some(candidates)
    }
}
