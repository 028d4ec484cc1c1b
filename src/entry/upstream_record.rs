//! What the list of upstreams says of one of them.

use std::{net::SocketAddr, sync::Arc};

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamPhase {
    /// It takes new work.
    Serving,
    /// It finishes what it has and leaves.
    Draining,
}

/// An upstream as the list has it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamRecord {
    /// Identity, under which the upstream answers.
    pub id: Arc<str>,
    /// When this life of the upstream began, in milliseconds since the Unix epoch. A restarted upstream may keep its id.
    pub started_at_ms: u64,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Address for requests. It may be used again by another upstream later.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub phase: UpstreamPhase,
}
