//! Request of a program's owner to a cell for a grant.

use serde::{Deserialize, Serialize};

use crate::{ProgramId, TeamName, UpstreamName};

/// A request to run on one upstream of a cell. It carries sizes and times, never a caller's content.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct CellRequest {
    pub(crate) team: TeamName,
    /// Weight of the team's fair share, from the owner's version of the configuration.
    pub(crate) weight: u32,
    pub(crate) program: ProgramId,
    /// Number of the turn or call within the program.
    pub(crate) number: u32,
    /// Tokens that the program has used so far.
    pub(crate) attained_tokens: u64,
    /// Expected tokens of the prompt.
    pub(crate) prompt_tokens: u64,
    /// Largest number of tokens that the answer may have.
    pub(crate) answer_tokens: u64,
    /// When the request reached its owner, in milliseconds since the Unix epoch. Retries and a change of dispatcher
    /// keep it.
    pub(crate) queued_ms: u64,
    /// Deadline of the answer, in milliseconds since the Unix epoch.
    pub(crate) deadline_ms: Option<u64>,
    /// Hash of the content, and of the team if the request is a turn. It identifies a request that crashes upstreams
    /// when it is sent again.
    pub(crate) fingerprint: u64,
    /// Upstreams that failed this request and must not be tried again.
    pub(crate) excluded: Vec<UpstreamName>,
}
