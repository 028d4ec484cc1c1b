//! Report of a scheduler to a quota owner.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::entry::quotas::QuotaLimit;

/// What a scheduler states to one owner: the time for which it hands its part of all rates to the owner, and what it holds
/// and needs of the owner's teams. All times are durations, since hosts share no clock.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct QuotaReport {
    /// Name of the scheduler.
    pub(crate) host: Arc<str>,
    /// Run of its process. Allowances of an earlier run are gone.
    pub(crate) run: Arc<str>,
    /// Grows with each report of a run to an owner, so that a late one is ignored.
    pub(crate) sequence: u64,
    /// Whether the report only asks if the receiver answers again. It then changes nothing.
    pub(crate) is_probe: bool,
    /// Time since the last report to this owner, in microseconds. Each moment of a scheduler is handed to one owner per team
    /// at most once, so no delay, repetition or second owner makes the sum of the rates larger than the limit.
    pub(crate) delegated_us: u64,
    /// Hash of the candidates among which the scheduler chooses owners.
    pub(crate) view_hash: u64,
    /// These candidates, in the order of their names, until the receiver knows them; empty from then on.
    pub(crate) candidates: Vec<Arc<str>>,
    /// Number of changes of these candidates in this run.
    pub(crate) view_number: u64,
    /// Time since the last of them, in milliseconds.
    pub(crate) view_age_ms: u64,
    /// Schedulers that the sender knows, reachable or not.
    pub(crate) known_hosts: u32,
    pub(crate) teams: Vec<TeamReport>,
}

/// What a scheduler holds and needs of one team.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct TeamReport {
    /// Name of the team.
    pub(crate) team: Arc<str>,
    pub(crate) limit: QuotaLimit,
    /// Tokens that the scheduler may still spend.
    pub(crate) held: u32,
    /// Tokens that it gives up with this report.
    pub(crate) returned: u32,
    /// Requests that wait for a token.
    pub(crate) waiting: u32,
    /// Tokens that it needs until the next but one report, by its recent load.
    pub(crate) reserve: u32,
}
