//! Kinds of problems that callers and operators may receive, with their HTTP statuses and titles.

use axum::http::StatusCode;
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Kind of a problem. Its display form is the last part of the `type` in the response.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
pub(crate) enum ProblemKind {
    #[display("bad-request")]
    BadRequest,
    #[display("body-too-large")]
    BodyTooLarge,
    #[display("budget-exhausted")]
    BudgetExhausted,
    #[display("config-invalid")]
    ConfigInvalid,
    #[display("config-stale")]
    ConfigStale,
    #[display("deadline-passed")]
    DeadlinePassed,
    #[display("limit-reached")]
    LimitReached,
    #[display("not-durable")]
    NotDurable,
    #[display("not-ready")]
    NotReady,
    #[display("number-mismatch")]
    NumberMismatch,
    #[display("number-out-of-range")]
    NumberOutOfRange,
    #[display("outcome-unknown")]
    OutcomeUnknown,
    #[display("overloaded")]
    Overloaded,
    #[display("owner-unreachable")]
    OwnerUnreachable,
    #[display("platform-unavailable")]
    PlatformUnavailable,
    #[display("precondition-required")]
    PreconditionRequired,
    #[display("program-ended")]
    ProgramEnded,
    #[display("receipt-invalid")]
    ReceiptInvalid,
    #[display("request-poisonous")]
    RequestPoisonous,
    #[display("unauthorized")]
    Unauthorized,
    #[display("unknown-model")]
    UnknownModel,
    #[display("unknown-program")]
    UnknownProgram,
    #[display("upstream-failed")]
    UpstreamFailed,
}

impl ProblemKind {
    /// HTTP status of the response.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::BadRequest | Self::ReceiptInvalid => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BudgetExhausted => StatusCode::PAYMENT_REQUIRED,
            Self::ConfigInvalid
            | Self::NumberMismatch
            | Self::RequestPoisonous
            | Self::UnknownModel => StatusCode::UNPROCESSABLE_ENTITY,
            Self::ConfigStale => StatusCode::PRECONDITION_FAILED,
            Self::DeadlinePassed | Self::OutcomeUnknown => StatusCode::GATEWAY_TIMEOUT,
            Self::NotDurable
            | Self::NotReady
            | Self::Overloaded
            | Self::OwnerUnreachable
            | Self::PlatformUnavailable => StatusCode::SERVICE_UNAVAILABLE,
            Self::LimitReached => StatusCode::TOO_MANY_REQUESTS,
            Self::NumberOutOfRange => StatusCode::CONFLICT,
            Self::PreconditionRequired => StatusCode::PRECONDITION_REQUIRED,
            Self::ProgramEnded => StatusCode::GONE,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::UnknownProgram => StatusCode::NOT_FOUND,
            Self::UpstreamFailed => StatusCode::BAD_GATEWAY,
        }
    }

    /// Title of the problem, which is the same for all problems of a kind.
    pub(crate) fn title(self) -> &'static str {
        match self {
            Self::BadRequest => "the request is not well formed",
            Self::BodyTooLarge => "the body is too large",
            Self::BudgetExhausted => "the budget does not cover this request",
            Self::ConfigInvalid => "the patched configuration is not valid",
            Self::ConfigStale => "the configuration has a newer number",
            Self::DeadlinePassed => "the deadline has passed",
            Self::LimitReached => "a limit of the configuration is reached",
            Self::NotDurable => "the team asks for durable turns and the platform is unavailable",
            Self::NotReady => "this host is starting",
            Self::NumberMismatch => "another request was made under this number",
            Self::NumberOutOfRange => "the number is not the next one",
            Self::OutcomeUnknown => "it is not known whether the request ran",
            Self::Overloaded => "the capacity is taken",
            Self::OwnerUnreachable => "the owner of the program can't be reached",
            Self::PlatformUnavailable => "the platform is unavailable",
            Self::PreconditionRequired => "the number of the configuration is missing",
            Self::ProgramEnded => "the program has ended",
            Self::ReceiptInvalid => "a receipt is not valid here",
            Self::RequestPoisonous => "this request crashed the upstreams that ran it",
            Self::Unauthorized => "the key is not known",
            Self::UnknownModel => "the model or service is not known",
            Self::UnknownProgram => "the program is not known",
            Self::UpstreamFailed => "the upstream failed",
        }
    }
}
