//! Teams of the configuration.

use std::sync::Arc;

use crate::entry::{KeyDigest, TeamQuota};

/// A team, as requests with one of its keys see it.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name of the team, which upstreams get.
    pub name: Arc<str>,
    /// Priority that replaces the one of each route; 0 is the most urgent.
    pub priority: Option<u32>,
    /// Limit on the team's requests; `None` for no limit.
    pub quota: Option<TeamQuota>,
}

/// A team with its keys, as the configuration states it.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamTerms {
    /// The team.
    pub team: Team,
    /// Digests of its keys. A team without keys is valid.
    pub keys: Vec<KeyDigest>,
}
