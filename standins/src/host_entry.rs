//! Entry of the platform's host list.

use serde::{Deserialize, Serialize};

/// A host in the list of the platform. The list lags behind reality: a crashed host may stay on it for a long time.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostEntry {
    /// Name of the host, unique in the platform.
    pub name: String,
    /// Region of the host.
    pub region: String,
    /// Address of the host's QUIC listener, as `IP:port`.
    pub peer_address: String,
    /// Whether the platform is about to remove the host.
    pub is_leaving: bool,
}
