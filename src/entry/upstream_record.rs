//! An upstream's entry in the store.

use std::{net::SocketAddr, sync::Arc};

/// Whether an upstream accepts new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamPhase {
    /// It accepts new requests.
    Serving,
    /// It finishes its running requests and accepts no new ones.
    Draining,
}

/// An upstream's entry in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamRecord {
    /// Id of the upstream; requests are addressed to it.
    pub id: Arc<str>,
    /// Revision of the store at which the entry was last changed. Of two entries with the same id, the one with the higher
    /// revision is the newer.
    pub revision: u64,
    /// Start of the upstream's process, in milliseconds since the Unix epoch. A restarted upstream may keep its id.
    pub started_at_ms: u64,
    /// Service that the upstream belongs to.
    pub service: Arc<str>,
    /// Version of the upstream's software. Streams of different versions don't fit together.
    pub software_version: Arc<str>,
    /// Address for requests. Another upstream may reuse it later.
    pub address: SocketAddr,
    /// Data centre in which the upstream runs.
    pub data_centre: Arc<str>,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Whether the upstream accepts new requests.
    pub phase: UpstreamPhase,
}
