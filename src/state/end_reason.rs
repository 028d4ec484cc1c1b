//! Reasons why programs end.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Reason why a program ended.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum EndReason {
    /// Its deadline or its wall-clock limit has passed.
    #[display("deadline")]
    Deadline,
    /// It made no request within its idle limit.
    #[display("idle")]
    Idle,
    #[display("parent_ended")]
    ParentEnded,
    /// Its caller ended it.
    #[display("requested")]
    Requested,
    /// It has as many turns and calls as are allowed.
    #[display("turn_limit")]
    TurnLimit,
}
