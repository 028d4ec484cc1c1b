//! Refusal of a request by its team's quota.

use std::{sync::Arc, time::Duration};

use derive_more::Display;

use crate::entry::quotas::QuotaFigures;

/// Why a team's request gets no token, and when it would get one.
#[derive(Clone, Debug, Display)]
#[display(
    "the quota of team {team} {refused} (retry after {} ms; {cause}; owner's answer {}; {figures})",
    retry_after.as_millis(), age_text(*age)
)]
pub(crate) struct QuotaRefusal {
    pub(crate) team: Arc<str>,
    pub(crate) refused: RefusedUse,
    pub(crate) cause: RefusalCause,
    /// Time after which a token is expected.
    pub(crate) retry_after: Duration,
    /// Figures of the owner's last answer; all zero if no owner has answered.
    pub(crate) figures: QuotaFigures,
    /// Age of these figures.
    pub(crate) age: Option<Duration>,
}

/// What a team's quota has refused.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum RefusedUse {
    /// A request.
    #[display("is used up")]
    Request,
    /// A program, at its first turn.
    #[display("holds no further program of {size} requests")]
    Start {
        /// Requests that are expected of the program.
        size: u32,
    },
}

fn age_text(age: Option<Duration>) -> String {
    age.map_or_else(|| "missing".to_owned(), |it| format!("{} ms ago", it.as_millis()))
}

/// Which step has refused a request.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display("{}", self.as_str())]
pub(crate) enum RefusalCause {
    /// The owner's bucket had no token for it.
    EmptyBucket,
    /// The owner has stated before that there is none until a later time.
    StatedBefore,
    /// No owner has answered in time.
    NoOwner,
}

impl RefusalCause {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::EmptyBucket => "empty_bucket",
            Self::StatedBefore => "stated_before",
            Self::NoOwner => "no_owner",
        }
    }

    /// The cause for the start of a program.
    pub(super) fn as_start_str(self) -> &'static str {
        match self {
            Self::EmptyBucket => "start_empty_bucket",
            Self::StatedBefore => "start_stated_before",
            Self::NoOwner => "start_unanswered",
        }
    }
}
