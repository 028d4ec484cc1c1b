//! Crash count of a request, as hosts exchange it.

use serde::{Deserialize, Serialize};

/// Number of upstreams that crashed while they ran one request, by the request's fingerprint. 0 clears the request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct CrashNote {
    pub(crate) fingerprint: u64,
    pub(crate) crashes: u32,
}
