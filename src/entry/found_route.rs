//! Where a configuration sends a request.

use std::sync::Arc;

use crate::entry::{ServiceConfig, ServiceRoute, Team, quotas::QuotaLimit};

/// Route, team and service of a request, by the configuration that was in force when it arrived.
#[derive(Debug)]
pub(crate) struct FoundRoute {
    /// Version of this configuration. Another one may come into force while the request waits.
    pub(crate) config_version: u64,
    pub(crate) route: Arc<ServiceRoute>,
    pub(crate) team: Option<Arc<Team>>,
    pub(crate) service: Arc<ServiceConfig>,
}

impl FoundRoute {
    /// Limit of the request's team, if it has one.
    pub(crate) fn limit(&self) -> Option<TeamLimit> {
        let team = self.team.as_ref()?;
        // With the number of a newer version, an owner would take this limit for the newest one.
        let limit = QuotaLimit::new(team.quota?, self.config_version);
        Some(TeamLimit { team: Arc::clone(&team.name), limit })
    }
}

/// A team with its limit.
#[derive(Clone, Debug)]
pub(crate) struct TeamLimit {
    pub(crate) team: Arc<str>,
    pub(crate) limit: QuotaLimit,
}
