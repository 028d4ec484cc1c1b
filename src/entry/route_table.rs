//! The configuration in force: routes, services and limits on clients.

use std::{collections::HashMap, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::entry::{KeyDigest, Team, TeamDirectory};

/// Time limit of requests whose route states none.
const DEFAULT_REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which a client may take up a stream, as a multiple of the time limit of the attempt that has begun it.
pub(super) const STREAM_LIFETIME_FACTOR: u32 = 2;

/// How a request may be retried, and how it is answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    AtMostOnce,
    /// The request is answered by a stream of events.
    Stream {
        /// Whether the stream may be resumed on another upstream after its last event.
        can_resume: bool,
    },
}

impl RequestKind {
    /// Whether a request that may already have run may be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { can_resume: true })
    }
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight of the service; its share of the requests is this weight divided by the sum over all targets.
    pub weight: f64,
}

/// A route of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRoute {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host name in the Host header, without the port.
    pub host: Arc<str>,
    /// Prefix of the path; it begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// How the requests may be retried.
    pub kind: RequestKind,
    /// Longest time until a client gets its final response; zero for the default of the entry host.
    pub timeout: Duration,
    /// Time within which a response, or the first event of a stream, counts as on time.
    pub latency_objective: Duration,
    /// Longest gap between two events with which a stream still counts as on time.
    pub event_gap_objective: Option<Duration>,
    /// Whether requests need no key, if the configuration has teams.
    pub is_public: bool,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Largest number of upstreams on which one request of a client may run.
    pub attempt_limit: u32,
    /// Time for which finished turns can be continued; `None` if the route keeps no history.
    pub history_retention: Option<Duration>,
    /// Name of the cookie that names the object of a request, if requests about one object are kept together.
    pub object_cookie: Option<Arc<str>>,
    /// Services to which requests are sent.
    pub targets: Vec<RouteTarget>,
}

impl ServiceRoute {
    /// Longest time until a client gets its final response.
    pub(crate) fn time_limit(&self) -> Duration {
        if self.timeout.is_zero() { DEFAULT_REQUEST_TIMEOUT } else { self.timeout }
    }

    /// Longest time for which clients may take up a stream, from its first event on.
    pub(crate) fn stream_lifetime(&self) -> Duration {
        self.time_limit() * STREAM_LIFETIME_FACTOR
    }

    /// Chooses a target in proportion to the weights. Equal hashes give the same target.
    pub fn target(&self, hash: u64) -> Option<&RouteTarget> {
        let total_weight: f64 = self.targets.iter().map(|it| it.weight.max(0.0)).sum();
        // An `f64` holds integers of up to 53 bits exactly.
        let mut position = (hash >> 11) as f64 / (1_u64 << 53) as f64 * total_weight;

        for target in &self.targets {
            position -= target.weight.max(0.0);
            if position < 0.0 {
                return Some(target);
            }
        }

        self.targets.iter().rev().find(|it| it.weight > 0.0)
    }
}

/// Configuration of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceConfig {
    /// Name of the service.
    pub name: Arc<str>,
    /// Number of connections that each upstream accepts from all callers together.
    pub connection_limit: u32,
    /// Tokens in each event of a stream; 0 for a service that generates no tokens.
    pub tokens_per_event: u64,
    /// Capacity of each upstream's prompt cache, in tokens; 0 for a service without a cache.
    pub cache_tokens: u64,
}

/// Limits on what a client may send.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteLimits {
    /// Largest request head, in bytes.
    pub max_header_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Longest time from the first to the last byte of a request head.
    pub header_timeout: Duration,
    /// Longest time for which a client's connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for RouteLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Number of the version; 0 before the first one.
    pub version: u64,
    /// Limits on clients.
    pub limits: RouteLimits,
    routes: HashMap<Arc<str>, Vec<Arc<ServiceRoute>>>,
    services: HashMap<Arc<str>, Arc<ServiceConfig>>,
    teams: TeamDirectory,
}

impl RouteTable {
    /// Builds a table. Routes of a host are sorted by decreasing length of their path prefix.
    pub fn new(
        version: u64,
        limits: RouteLimits,
        routes: Vec<ServiceRoute>,
        services: Vec<ServiceConfig>,
    ) -> Self {
        let mut routes_by_host: HashMap<Arc<str>, Vec<Arc<ServiceRoute>>> = HashMap::new();

        for route in routes {
            routes_by_host.entry(Arc::clone(&route.host)).or_default().push(Arc::new(route));
        }

        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }

        let services =
            services.into_iter().map(|it| (Arc::clone(&it.name), Arc::new(it))).collect();
        let teams = TeamDirectory::default();
        Self { version, limits, routes: routes_by_host, services, teams }
    }

    /// Adds the teams of the configuration.
    #[must_use]
    pub fn with_teams(self, teams: TeamDirectory) -> Self {
        Self { teams, ..self }
    }

    /// Whether the configuration has teams, so that routes which are not public need a key.
    pub fn has_teams(&self) -> bool {
        self.teams.team_count() > 0
    }

    /// Whether any team has a quota.
    pub(crate) fn has_quotas(&self) -> bool {
        self.teams.has_quotas()
    }

    /// Number of teams.
    pub(crate) fn team_count(&self) -> usize {
        self.teams.team_count()
    }

    /// Team of a key.
    pub fn team(&self, digest: &KeyDigest) -> Option<&Arc<Team>> {
        self.teams.team(digest)
    }

    /// Team of a name.
    pub(crate) fn team_named(&self, name: &str) -> Option<&Arc<Team>> {
        self.teams.named(name)
    }

    /// Whether any route has a host name.
    pub(crate) fn has_host(&self, host: &str) -> bool {
        self.routes.contains_key(host)
    }

    /// Returns the route of a host with the longest prefix of `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<ServiceRoute>> {
        self.routes.get(host)?.iter().find(|route| path.starts_with(&*route.path_prefix))
    }

    /// History retentions of the routes that keep history.
    pub(crate) fn history_retentions(&self) -> impl Iterator<Item = Duration> {
        self.routes.values().flatten().filter_map(|it| it.history_retention)
    }

    /// Configurations of all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceConfig>> {
        self.services.values()
    }

    /// Configuration of the service `name`.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceConfig>> {
        self.services.get(name)
    }
}
