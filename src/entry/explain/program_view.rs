//! A program as one host knows it.

use serde::{Deserialize, Serialize};

/// What a host knows of a request's program.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ProgramExplanation {
    /// Whether this host's pool has seen requests of the program. Without it, the request counts as its first one.
    pub is_remembered: bool,
    /// Whether a turn has got a slot, so that the request goes before new programs.
    pub is_under_way: bool,
    /// Answered turns, as this host has placed them.
    pub answered_turns: u32,
    /// Turns that are expected in all.
    pub expected_turns: Option<f64>,
    /// Time until the program should have finished in milliseconds, by the earliest finish time that was stated.
    pub time_left_ms: Option<u64>,
    /// Highest token budget that a request to this host has stated; `None` if none has.
    pub token_budget: Option<u64>,
    /// Tokens of the program that are spent or reserved, as far as this host has heard.
    pub spent_tokens: u64,
}
