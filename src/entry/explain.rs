//! Explains where a request would be placed now, and why, without sending it. See docs/design/explain.md.
//!
//! It is read-only. What a request changes when it arrives (its program, the queue that is served first) is changed in a copy of its
//! service's pool, [`pool_copy`], and the decisions are those of placement and admission, called on the copy.

mod candidate_view;
mod explain_error;
mod explanation;
mod host_explanation;
mod pool_copy;
mod pool_explanation;
mod program_view;
mod queue_forecast;
mod quota_view;

pub use self::{
    candidate_view::{CandidateView, CostTerm},
    explain_error::ExplainError,
    explanation::{ExplainedDispatcher, ExplainedOutcome, Explanation},
    program_view::ProgramExplanation,
    queue_forecast::QueueForecast,
    quota_view::QuotaExplanation,
};
