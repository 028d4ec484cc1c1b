//! What a caller may conclude from an answer.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Outcome of a request, as the header `Ragwortknot-Outcome` states it. See docs/design/outcomes.md.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RequestOutcome {
    /// The request ran, and its result is kept.
    #[display("completed")]
    Completed,
    /// This attempt was refused or ended in an error. It says nothing about earlier attempts.
    #[display("failed")]
    Failed,
    /// The owner has looked: nothing ran under the request's key.
    #[display("not_run")]
    NotRun,
    /// It can't be known from here whether the request ran.
    #[display("unknown")]
    Unknown,
    /// A stream has begun; its last chunk states the outcome.
    #[display("pending")]
    Pending,
}
