//! What dispatchers tell each other about requests that crash upstreams.

use serde::{Deserialize, Serialize};

/// Upstreams that have crashed under one request, by the fingerprint of its team and content. 0 clears it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct CrashNote {
    pub(crate) fingerprint: u64,
    pub(crate) crashes: u32,
}
