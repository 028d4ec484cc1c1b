//! A scheduler as other hosts see it.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::entry::host_reach::LostServices;

/// A scheduler, as schedulers describe each other to gateways.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct SchedulerEntry {
    pub(crate) host: Arc<str>,
    /// Address at which other hosts reach it.
    pub(crate) address: SocketAddr,
    pub(crate) region: Arc<str>,
    /// Whether it is about to stop and takes no further requests.
    pub(crate) is_draining: bool,
    /// Services of which it reaches no upstream.
    pub(crate) lost_services: LostServices,
    /// Processor time that it may use, in thousandths of a core.
    pub(crate) processor_millis: u32,
}
