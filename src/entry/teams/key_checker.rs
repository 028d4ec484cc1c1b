//! Checks the keys of requests against the configuration in force.

use std::sync::Arc;

use arc_swap::ArcSwap;

use crate::entry::{
    AccessInputs, AccessRefusal, ClientKey, ConfigCurrency, EntryRequest, RouteTable, ServiceRoute,
    StoreMonitor, Team, entry_metrics::EntryMetrics,
};

/// Checks keys when requests arrive, and again before each attempt, as a key may be removed while a request waits.
#[derive(Clone, Debug)]
pub(crate) struct KeyChecker {
    pub(crate) routes: Arc<ArcSwap<RouteTable>>,
    pub(crate) currency: Arc<ConfigCurrency>,
    pub(crate) metrics: Arc<EntryMetrics>,
}

impl KeyChecker {
    /// Creates a checker for a host that has no configuration yet.
    pub(crate) fn new(monitor: &StoreMonitor, metrics: &Arc<EntryMetrics>) -> Self {
        Self {
            routes: Arc::default(),
            currency: Arc::new(ConfigCurrency::new(monitor.clone())),
            metrics: Arc::clone(metrics),
        }
    }

    /// Returns the team for which a request may run on a route of `table`.
    pub(crate) fn check(
        &self,
        table: &RouteTable,
        route: &ServiceRoute,
        request: &EntryRequest,
    ) -> Result<Option<Arc<Team>>, AccessRefusal> {
        let decision = self.decide(table, route, request);

        if table.has_teams() {
            let team = decision.as_ref().ok().and_then(Option::as_ref).map_or("", |it| &it.name);
            let outcome = decision.as_ref().err().map_or("accepted", |it| it.label());
            self.log(table, route, request, team, outcome);
        }

        decision
    }

    /// Checks with the configuration that is in force now whether a request that has arrived for `team` may still run.
    pub(crate) fn recheck(
        &self,
        route: &ServiceRoute,
        request: &EntryRequest,
        team: Option<&Arc<Team>>,
    ) -> Result<(), AccessRefusal> {
        let table = self.routes.load();
        // A route that was removed meanwhile still serves the requests that it had.
        let route = table.find(&request.host, &request.path).map_or(route, |it| &**it);

        if team.is_none() && route.is_public {
            return Ok(());
        }

        let name = team.map(|it| &it.name);
        let result = self.decide(&table, route, request).and_then(|current| {
            let is_same = current.as_ref().map(|it| &it.name) == name;
            if is_same { Ok(()) } else { Err(AccessRefusal::Reassigned) }
        });

        if let Err(refusal) = result {
            self.log(&table, route, request, name.map_or("", |it| it), refusal.label());
        }

        result
    }

    fn decide(
        &self,
        table: &RouteTable,
        route: &ServiceRoute,
        request: &EntryRequest,
    ) -> Result<Option<Arc<Team>>, AccessRefusal> {
        let team = match &request.key {
            ClientKey::Digest(digest) => table.team(digest),
            ClientKey::Missing | ClientKey::Unstated => None,
        };
        let inputs = AccessInputs {
            has_teams: table.has_teams(),
            is_public: route.is_public,
            key: request.key,
            team,
            is_current: self.currency.is_current(),
        };
        inputs.decide()
    }

    fn log(
        &self,
        table: &RouteTable,
        route: &ServiceRoute,
        request: &EntryRequest,
        team: &str,
        outcome: &'static str,
    ) {
        self.metrics.count_key_check(outcome);
        log::info!(
            request:% = request.id, route:% = route.name, is_public = route.is_public,
            has_key = matches!(request.key, ClientKey::Digest(_)), team, version = table.version,
            is_current = self.currency.is_current(), age_ms = request.received.elapsed().as_millis() as u64, outcome;
            "key checked"
        );
    }
}
