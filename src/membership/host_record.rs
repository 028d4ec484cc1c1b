//! A host as the platform lists it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{HostName, RegionName};

/// One line of the platform's list of hosts. The list lags: a dead host may stay on it for long.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct HostRecord {
    pub(crate) name: HostName,
    pub(crate) region: RegionName,
    pub(crate) peer_address: SocketAddr,
    pub(crate) is_leaving: bool,
}
