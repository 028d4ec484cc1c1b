//! The configuration in force, as the entry hosts use it.

use std::{collections::HashMap, sync::Arc, time::Duration};

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// It may run more than once.
    Idempotent,
    /// It may run once at most.
    AtMostOnce,
    /// It is answered by a stream of events.
    Stream {
        /// Whether the stream may be resumed at another upstream after its last event.
        can_resume: bool,
    },
}

impl RequestKind {
    /// Whether a request that may have run can be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { can_resume: true })
    }
}

/// A service that a route sends to, with its share of the route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: Arc<str>,
    /// Share of the requests, against the sum of the weights of all targets.
    pub weight: f64,
}

/// A route of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRoute {
    /// Name of the route.
    pub name: Arc<str>,
    /// Value of the Host header.
    pub host: Arc<str>,
    /// Beginning of the path; it begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Longest time that a client is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, counts as on time.
    pub latency_objective: Duration,
    /// Longest pause between two events with which a stream is still on time.
    pub event_gap_objective: Option<Duration>,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Upstreams on which one attempt of a client may run at most.
    pub attempt_limit: u32,
    /// Time for which turns can be continued, where the system keeps what was said.
    pub history_retention: Option<Duration>,
    /// Where requests go.
    pub targets: Vec<RouteTarget>,
}

impl ServiceRoute {
    /// Chooses a target by a hash, so that equal hashes go to the same service.
    pub fn target(&self, hash: u64) -> Option<&RouteTarget> {
        let total: f64 = self.targets.iter().map(|it| it.weight.max(0.0)).sum();
        // 53 bits are what a float holds exactly.
        let mut point = (hash >> 11) as f64 / (1_u64 << 53) as f64 * total;

        for target in &self.targets {
            point -= target.weight.max(0.0);
            if point < 0.0 {
                return Some(target);
            }
        }

        self.targets.iter().rev().find(|it| it.weight > 0.0)
    }
}

/// What the configuration says of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceConfig {
    /// Name of the service.
    pub name: Arc<str>,
    /// Connections that one of its upstreams takes from all callers together.
    pub connection_limit: u32,
    /// Tokens in each event of a stream; 0 for a service that generates none.
    pub tokens_per_event: u64,
    /// Tokens that the cache of an upstream holds; 0 for a service without one.
    pub cache_tokens: u64,
}

/// Limits on what a client may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RouteLimits {
    /// Largest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: u64,
    /// Longest time from the first byte of a head to its end.
    pub header_timeout: Duration,
    /// Longest time for which a connection may be idle.
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
}

impl RouteTable {
    /// Builds a table.
    pub fn new(
        version: u64,
        limits: RouteLimits,
        routes: Vec<ServiceRoute>,
        services: Vec<ServiceConfig>,
    ) -> Self {
        let mut by_host: HashMap<Arc<str>, Vec<Arc<ServiceRoute>>> = HashMap::new();

        for route in routes {
            by_host.entry(Arc::clone(&route.host)).or_default().push(Arc::new(route));
        }

        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }

        let services =
            services.into_iter().map(|it| (Arc::clone(&it.name), Arc::new(it))).collect();
        Self { version, limits, routes: by_host, services }
    }

    /// Finds the route with the longest prefix of the path among the routes of a host.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<ServiceRoute>> {
        self.routes.get(host)?.iter().find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Terms of all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceConfig>> {
        self.services.values()
    }

    /// Terms of a service.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceConfig>> {
        self.services.get(name)
    }
}
