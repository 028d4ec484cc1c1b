//! What a host needs to talk to other hosts: the keys that all share, its endpoint and the registry.

use std::sync::Arc;

use eyre::Result;

use crate::{
    IdlePolicy, NodeMetrics, QuicTransport,
    entry::{EntrySettings, HostRegistry, ObjectStore},
};

/// The registry of hosts and this host's endpoint.
#[derive(Clone, Debug)]
pub(crate) struct HostNetwork {
    pub(crate) registry: HostRegistry,
    pub(crate) transport: Arc<QuicTransport>,
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
        )?;

        Ok(Self { registry, transport: Arc::new(transport) })
    }
}
