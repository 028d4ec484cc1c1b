//! What an owner asks a cell for.

use serde::{Deserialize, Serialize};

use crate::{ProgramId, TeamName, UpstreamName};

/// A request for one upstream's time. It carries sizes and ages, never a caller's content.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct CellRequest {
    pub(crate) team: TeamName,
    /// Share of the team, from the configuration that the owner knows.
    pub(crate) weight: u32,
    pub(crate) program: ProgramId,
    pub(crate) number: u32,
    /// Tokens that the program has been served so far.
    pub(crate) attained_tokens: u64,
    /// Expected tokens of the prompt.
    pub(crate) prompt_tokens: u64,
    /// Most tokens of the answer.
    pub(crate) answer_tokens: u64,
    /// When the request came to its owner, in milliseconds since the Unix epoch. It stays over retries and over a
    /// change of dispatcher.
    pub(crate) queued_ms: u64,
    /// When the answer is of no use any more, in milliseconds since the Unix epoch.
    pub(crate) deadline_ms: Option<u64>,
    /// Hash of the team and the content, by which a request that crashes upstreams is known again.
    pub(crate) fingerprint: u64,
    /// Upstreams that failed this request and are not to be tried again.
    pub(crate) excluded: Vec<UpstreamName>,
}
