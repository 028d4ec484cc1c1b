//! What hosts tell each other about a host.

use serde::{Deserialize, Serialize};

use crate::{HostName, ShardId};

/// Phase of a host's life, as it states it itself.
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

/// Whether a host is heard. Where two rumors of one revision differ, the later of these goes.
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

/// Age of a rumor. A process that starts again has a higher incarnation; a host raises its revision whenever it says
/// something new about itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub(crate) struct RumorVersion {
    pub(crate) incarnation: u64,
    pub(crate) revision: u32,
    pub(crate) status: MemberStatus,
}

/// State of one host, as some host has it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct MemberRumor {
    pub(crate) host: HostName,
    #[serde(rename = "age")]
    pub(crate) version: RumorVersion,
    pub(crate) phase: HostPhase,
    /// Shards that the host owns.
    pub(crate) shards: Vec<ShardId>,
}
