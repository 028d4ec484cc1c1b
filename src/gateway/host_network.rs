//! What a host has whatever its role: the keys that all share, its endpoint, the registry, and what it has heard of upstreams
//! that leave.

use std::sync::Arc;

use eyre::Result;
use parking_lot::Mutex;

use crate::{
    IdlePolicy, NodeMetrics, QuicTransport,
    entry::{EntrySettings, HostRegistry, ObjectStore, upstream_departures::UpstreamDepartures},
};

/// The registry of hosts, this host's endpoint, and the upstreams that it knows to leave.
#[derive(Clone, Debug)]
pub(crate) struct HostNetwork {
    pub(crate) registry: HostRegistry,
    pub(crate) transport: Arc<QuicTransport>,
    /// Upstreams that leave. They belong to the process, since a gateway that passes on their answers may become a scheduler.
    pub(crate) departures: Arc<Mutex<UpstreamDepartures>>,
}

impl HostNetwork {
    /// Loads the keys from the store, waiting until it answers, and binds the endpoint.
    pub(crate) async fn join(
        settings: &EntrySettings,
        store: &Arc<dyn ObjectStore>,
    ) -> Result<Self> {
        let registry = HostRegistry {
            store: Arc::clone(store),
            host: Arc::clone(&settings.host),
            region: settings.region(),
        };
        let keys = registry.load_or_create_keys().await;
        let transport = QuicTransport::bind(
            settings.peers_address,
            &keys,
            &keys.private_key,
            IdlePolicy::KeptAlive,
            Arc::new(NodeMetrics::new()?),
            settings.load_limits().peer_window_bytes(),
        )?;

        let departures = Arc::new(Mutex::new(UpstreamDepartures::new(settings.expiry)));
        Ok(Self { registry, transport: Arc::new(transport), departures })
    }
}
