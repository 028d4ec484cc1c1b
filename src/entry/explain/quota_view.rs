//! A team's quota as one host knows it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// What a host holds of a team's quota, and what the quota owner has answered last.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct QuotaExplanation {
    /// Requests that this host may let run without a message.
    pub held: u32,
    /// `Retry-After` of a request that is refused without a message, in seconds; `None` if none is refused so.
    pub retry_after_s: Option<f64>,
    /// Scheduler that decides on the team's quota.
    pub owner: Option<Arc<str>>,
    /// Age of the owner's last answer in milliseconds; `None` if this host has none.
    pub answer_age_ms: Option<u64>,
    /// Figures of that answer; empty without one.
    pub answer: Arc<str>,
}
