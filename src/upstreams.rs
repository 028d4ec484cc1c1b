//! Upstreams: the client that calls them, health checks, and tracking of requests that crash them.

pub(crate) mod crash_note;
pub(crate) mod crash_tracker;
pub(crate) mod http_upstream;
pub(crate) mod rate_limit;
pub(crate) mod service_reach;
pub(crate) mod upstream_client;
pub(crate) mod upstream_health;
pub(crate) mod upstream_watcher;
