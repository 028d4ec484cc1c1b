//! Calls to the platform of the product's own interface, and what guards them.

pub(crate) mod call_limiter;
pub(crate) mod circuit_breaker;
pub(crate) mod guarded_platform;
pub(crate) mod http_client;
pub(crate) mod http_platform;
pub(crate) mod platform_client;
pub(crate) mod platform_error;
pub(crate) mod snapshot_store;
