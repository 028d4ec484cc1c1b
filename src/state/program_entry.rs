//! Numbered entry of a program's history.

use derive_more::From;
use serde::{Deserialize, Serialize};

use crate::{CallRecord, CallState, TurnRecord};

/// A turn or a call. Both share one sequence of numbers.
#[derive(Clone, Debug, Deserialize, Eq, From, PartialEq, Serialize)]
pub(crate) enum ProgramEntry {
    Call(CallRecord),
    Turn(TurnRecord),
}

impl ProgramEntry {
    /// Hash of the request that made the entry.
    pub(crate) fn fingerprint(&self) -> u64 {
        match self {
            Self::Call(call) => call.fingerprint,
            Self::Turn(turn) => turn.fingerprint,
        }
    }

    /// Tells whether the entry has its final result.
    pub(crate) fn is_settled(&self) -> bool {
        !matches!(self, Self::Call(CallRecord { state: CallState::Intended, .. }))
    }
}
