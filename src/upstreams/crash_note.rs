//! Crash of one upstream run under one request, as hosts exchange it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A run of an upstream, from the start of its process to its end.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub(crate) struct CrashedRun {
    pub(crate) upstream: Arc<str>,
    /// Tells the runs of an upstream apart.
    pub(crate) run: u64,
}

/// What is known of one run under one request. Both numbers only grow, so notes may arrive late, twice and in any order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct CrashNote {
    /// Identifies the request by its content.
    pub(crate) fingerprint: u64,
    pub(crate) crashed: CrashedRun,
    /// Number of the last time at which the run seemed to end under the request.
    pub(crate) presumed: u32,
    /// Number of the last such time that no longer counts, since the run was alive after it, or the request has completed.
    pub(crate) cleared: u32,
}
