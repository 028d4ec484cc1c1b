//! The queue as a request would find it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Place and wait of a request that finds no free slot.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct QueueForecast {
    /// Requests that wait for the service at this host.
    pub length: usize,
    /// Requests that are served before this one; `None` if it finds a free slot.
    pub position: Option<usize>,
    /// Expected wait in milliseconds; `None` if it finds a free slot, or if no upstream may take it.
    pub expected_wait_ms: Option<u64>,
    /// Longest expected wait with which a new program is admitted, in milliseconds; `None` without admission control.
    pub allowed_wait_ms: Option<u64>,
    /// Class of the request in the queue; `None` without admission control.
    pub class: Option<Arc<str>>,
}
