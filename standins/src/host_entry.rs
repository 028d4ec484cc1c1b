//! One line of the platform's list of hosts.

use serde::{Deserialize, Serialize};

/// A host as the platform lists it. The list lags behind reality, and a host that died may stay on it for long.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostEntry {
    /// Name of the host, unique in the platform.
    pub name: String,
    /// Region that the host stands in.
    pub region: String,
    /// Address of the host's QUIC listener, as `IP:port`.
    pub peer_address: String,
    /// Whether the platform is about to take the host away.
    pub is_leaving: bool,
}
