//! Limits on the requests of a team.

/// Limit on the requests of a team, over all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamQuota {
    /// Requests a second; positive and finite.
    pub rate_per_s: f64,
    /// Requests that may run at once after a time without any.
    pub burst: u32,
}
