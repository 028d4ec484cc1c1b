//! What an entry host is given at its start.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use crate::entry::{ObjectStore, UpstreamChannel};

/// What an entry host is told at its start.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Name of the host.
    pub host: Arc<str>,
    /// Data centre of the host.
    pub data_centre: Arc<str>,
    /// Region of each data centre.
    pub regions: BTreeMap<Arc<str>, Arc<str>>,
    /// Address for exchanges with other entry hosts.
    pub peers_address: SocketAddr,
}

impl EntrySettings {
    /// Region of the host.
    pub fn region(&self) -> Arc<str> {
        self.regions.get(&self.data_centre).unwrap_or(&self.data_centre).clone()
    }
}

/// Ways to the outside.
#[derive(Clone, Debug)]
pub struct EntryBackends {
    /// The platform's store.
    pub store: Arc<dyn ObjectStore>,
    /// The upstreams.
    pub channel: Arc<dyn UpstreamChannel>,
}
