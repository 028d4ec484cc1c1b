//! Answer of a quota owner for one team.

use std::{sync::Arc, time::Duration};

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Answer to a report.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct QuotaAnswer {
    /// Whether the owner knows the candidates whose hash the report has stated.
    pub(crate) knows_view: bool,
    pub(crate) grants: Vec<TeamGrant>,
}

/// Change of a scheduler's allowance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct TeamGrant {
    /// Name of the team.
    pub(crate) team: Arc<str>,
    /// Tokens that the scheduler gets.
    pub(crate) granted: u32,
    /// Tokens that it must not spend any more, as they exceed the limit.
    pub(crate) taken: u32,
    /// Whether the bucket is less than half full, so that schedulers should keep no token that they may not need.
    pub(crate) is_scarce: bool,
    /// Time after which the next token is there; zero if no request has to be refused.
    pub(crate) retry_after: Duration,
    pub(crate) figures: QuotaFigures,
}

/// What decided about a grant. It is written to the log with each refusal, so that a refusal can be explained later.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, PartialEq, Serialize)]
#[display(
    "{rate_per_s}/s burst {burst}, bucket {level:.1} of {capacity:.1}, {held} held or just granted, {heard} of {known} heard"
)]
pub(crate) struct QuotaFigures {
    pub(crate) rate_per_s: f64,
    pub(crate) burst: u32,
    /// Tokens in the owner's bucket after the grant.
    pub(crate) level: f64,
    /// Tokens that the bucket and all allowances may hold together.
    pub(crate) capacity: f64,
    /// Tokens that schedulers hold, by their last reports, with those of the grant.
    pub(crate) held: u32,
    /// Schedulers that the owner hears.
    pub(crate) heard: u32,
    /// Schedulers that the owner knows. It grants `heard / known` of the rate.
    pub(crate) known: u32,
}
