//! Settings and backends with which an entry host starts.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use crate::entry::{
    ExpiryBounds, FeatureSwitches, LoadLimits, ObjectStore, QuotaTolerance, UpstreamChannel,
};

/// Settings of an entry host.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Name of the host.
    pub host: Arc<str>,
    /// Data centre of the host.
    pub data_centre: Arc<str>,
    /// Region of each data centre.
    pub regions: BTreeMap<Arc<str>, Arc<str>>,
    /// Address on which other entry hosts reach this one. With port 0 the system chooses the port.
    pub peers_address: SocketAddr,
    /// Part of a core that the host may use, by which larger hosts are preferred as schedulers.
    pub processor_share: f64,
    /// Largest value that the store takes, in bytes, if the platform states it.
    pub store_value_bytes: Option<usize>,
    /// Memory that the host may use, in bytes, if that is limited.
    pub memory_bytes: Option<u64>,
    /// Number of file descriptors that the host may use, if that is limited.
    pub max_descriptors: Option<usize>,
    /// What the platform states of its upstreams' entries.
    pub expiry: ExpiryBounds,
    /// Optional parts that are in use.
    pub switches: FeatureSwitches,
    /// What the platform tolerates beyond a team's quota.
    pub quota_tolerance: QuotaTolerance,
}

impl EntrySettings {
    /// Limits from which the bounds of buffers and connections follow.
    pub fn load_limits(&self) -> LoadLimits {
        LoadLimits { memory_bytes: self.memory_bytes, max_descriptors: self.max_descriptors }
    }

    /// Region of the host; a data centre that is not in [`EntrySettings::regions`] is a region of its own.
    pub fn region(&self) -> Arc<str> {
        self.regions.get(&self.data_centre).unwrap_or(&self.data_centre).clone()
    }
}

/// Systems that an entry host calls.
#[derive(Clone, Debug)]
pub struct EntryBackends {
    /// The platform's store.
    pub store: Arc<dyn ObjectStore>,
    /// Sends requests to the upstreams.
    pub channel: Arc<dyn UpstreamChannel>,
}
