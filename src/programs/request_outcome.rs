//! Outcome of a request, from which a caller can tell whether it ran.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Outcome of a request, as the header `Ragwortknot-Outcome` states it. See docs/design/outcomes.md.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RequestOutcome {
    /// The request ran, and its result is stored.
    #[display("completed")]
    Completed,
    /// This attempt was refused or ended in an error. Earlier attempts may have run.
    #[display("failed")]
    Failed,
    /// The owner has confirmed that nothing ran under the request's idempotency key.
    #[display("not_run")]
    NotRun,
    /// The answering host can't determine whether the request ran.
    #[display("unknown")]
    Unknown,
    /// The answer is a stream that has begun. Its last chunk states the outcome.
    #[display("pending")]
    Pending,
}
