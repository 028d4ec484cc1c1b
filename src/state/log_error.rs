//! Errors of a shard's log.

use derive_more::{Display, From};

use crate::{FrameError, PlatformError, StateError};

/// Why a log could not be read, claimed or appended to.
#[derive(Clone, Debug, Display, Eq, From, PartialEq, derive_more::Error)]
pub(crate) enum LogError {
    /// Another writer has used the next sequence number.
    #[display("another host has taken the shard")]
    Deposed,
    #[display("an object of the log can't be decoded: {_0}")]
    Frame(FrameError),
    #[display("the log has no object {sequence}")]
    Gap { sequence: u64 },
    #[display("{_0}")]
    Platform(PlatformError),
    #[display("a record of the log breaks an invariant: {_0}")]
    State(StateError),
}
