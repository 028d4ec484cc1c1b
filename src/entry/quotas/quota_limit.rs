//! Limit of one team, as hosts state it to each other.

use serde::{Deserialize, Serialize};

use crate::entry::TeamQuota;

/// Rate and burst of a team, with the version of the configuration that states them.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct QuotaLimit {
    /// Requests per second.
    pub(crate) rate_per_s: f64,
    /// Requests that may run at once after a pause.
    pub(crate) burst: u32,
    /// Version of the configuration. Hosts apply a version at different times, and the newest one that an owner has heard of
    /// counts.
    pub(crate) config_version: u64,
}

impl QuotaLimit {
    /// The limit that a version of the configuration states.
    pub(crate) fn new(quota: TeamQuota, config_version: u64) -> Self {
        Self { rate_per_s: quota.rate_per_s, burst: quota.burst, config_version }
    }

    /// The rate as a finite number that is not negative. A report may come from any build, and a bucket must not become NaN.
    pub(crate) fn rate(&self) -> f64 {
        if self.rate_per_s.is_finite() { self.rate_per_s.max(0.0) } else { 0.0 }
    }
}
