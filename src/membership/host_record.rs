//! Entry of the platform's host list.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{HostName, RegionName};

/// A host in the platform's host list. The list lags behind: a dead host may stay on it for a long time.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct HostRecord {
    pub(crate) name: HostName,
    pub(crate) region: RegionName,
    /// Address at which the host accepts connections from its peers.
    pub(crate) peer_address: SocketAddr,
    /// Whether the platform is about to remove the host, so that it must not get new work.
    pub(crate) is_leaving: bool,
}
