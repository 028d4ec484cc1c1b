//! Why a program ended.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Reason for the end of a program.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum EndReason {
    #[display("deadline")]
    Deadline,
    #[display("idle")]
    Idle,
    #[display("parent_ended")]
    ParentEnded,
    #[display("requested")]
    Requested,
    #[display("turn_limit")]
    TurnLimit,
}
