//! Client of the platform, whose calls pass a rate limit and a circuit breaker, and snapshots in its object store.

pub(crate) mod call_limiter;
pub(crate) mod circuit_breaker;
pub(crate) mod guarded_platform;
pub(crate) mod http_client;
pub(crate) mod http_platform;
pub(crate) mod platform_client;
pub(crate) mod platform_error;
pub(crate) mod snapshot_store;
