//! Quotas of teams: how many requests of a team may run in any window, over all hosts together.
//!
//! One scheduler, the team's quota owner, has its token bucket. The others hold allowances out of it, which they spend
//! without a message. The decisions are pure: [`quota_owner`], [`quota_reporter`] and [`quota_allowance`] have no clock and
//! no I/O. [`quota_gate`] connects them with the peers. See docs/design/quotas.md.

pub(crate) mod known_hosts;
mod learned_mean;
mod owned_team;
mod owner_link;
pub(crate) mod program_admission;
pub(crate) mod program_registry;
pub(crate) mod quota_allowance;
mod quota_exchange;
pub(crate) mod quota_gate;
mod quota_limit;
pub(crate) mod quota_owner;
mod quota_refusal;
mod quota_report;
pub(crate) mod quota_reporter;
pub(crate) mod quota_token;
mod quota_tolerance;
mod quota_view;
mod reporting_host;
pub(crate) mod start_account;
mod team_grant;
pub(crate) mod waiting_requests;

use std::time::Duration;

pub use self::quota_tolerance::QuotaTolerance;
pub(crate) use self::{
    quota_limit::QuotaLimit,
    quota_refusal::QuotaRefusal,
    quota_report::{QuotaReport, TeamReport},
    team_grant::{QuotaAnswer, QuotaFigures, TeamGrant},
};

/// Time from the sending of a report for which an allowance is valid. An owner counts an allowance for the same time from
/// the report's arrival, which is later, so it never forgets one that may still be spent.
pub(crate) const ALLOWANCE_LIFETIME: Duration = Duration::from_millis(1_500);

/// Time after its last report for which a scheduler counts as heard. Idle schedulers report every 400 ms, so that one late
/// report does not shrink a bucket.
pub(crate) const HEARD_TIME: Duration = Duration::from_millis(600);

/// Time for which a scheduler must have chosen its owners from the same candidates until they count its whole part of the
/// burst: [`HEARD_TIME`], for which an earlier owner may still count it, and the longest way of a report.
pub(crate) const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Time for an owner to answer a report. A round trip between regions takes 16 ms. An owner that misses two answers in a row
/// is passed over after 250 ms; with one, a single late message moved all its teams.
pub(crate) const REPORT_TIMEOUT: Duration = Duration::from_millis(125);

/// Longest time that is handed over with one report. A longer silence was an interruption, after which the bucket must not
/// fill at once.
pub(crate) const MAX_DELEGATION: Duration = Duration::from_millis(1_500);
