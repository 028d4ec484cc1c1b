//! Rumors: states of hosts, as hosts gossip them.

use serde::{Deserialize, Serialize};

use crate::{HostName, ShardId};

/// Phase of a host's lifecycle, as the host itself reports it.
#[derive(
    Clone, Copy, Debug, Deserialize, derive_more::Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
pub(crate) enum HostPhase {
    #[display("starting")]
    Starting,
    #[display("serving")]
    Serving,
    #[display("draining")]
    Draining,
    #[display("stopped")]
    Stopped,
}

/// Result of failure detection for a host. Of two rumors with equal incarnation and revision, the one with the later of
/// these variants supersedes the other.
#[derive(
    Clone, Copy, Debug, Deserialize, derive_more::Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
pub(crate) enum MemberStatus {
    #[display("alive")]
    Alive,
    #[display("suspect")]
    Suspect,
    #[display("dead")]
    Dead,
}

/// Version of a rumor, in order of its fields; a newer rumor supersedes an older one. A restarted process has a higher
/// incarnation. A host raises its revision whenever its phase or its shards change, or to refute a rumor.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub(crate) struct RumorVersion {
    pub(crate) incarnation: u64,
    pub(crate) revision: u32,
    pub(crate) status: MemberStatus,
}

/// State of one host, as the sender of a message has it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct MemberRumor {
    pub(crate) host: HostName,
    #[serde(rename = "age")]
    pub(crate) version: RumorVersion,
    pub(crate) phase: HostPhase,
    /// Shards that the host reports to own.
    pub(crate) shards: Vec<ShardId>,
}
