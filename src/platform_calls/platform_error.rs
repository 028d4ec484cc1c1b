//! Failures of calls to the platform.

use derive_more::Display;

/// A call to the platform that gave no answer of use. A write may have taken effect unless it says otherwise.
#[derive(Clone, Debug, Display, Eq, PartialEq, derive_more::Error)]
pub(crate) enum PlatformError {
    #[display("no call was made: the circuit breaker is open")]
    BreakerOpen,
    #[display("the platform gave no answer within its deadline")]
    Overdue,
    #[display("the platform can't be reached: {reason}")]
    Unreachable { reason: String },
    #[display("the platform answered with status {status}")]
    Refused { status: u16 },
    #[display("the platform's answer is not well formed: {reason}")]
    Malformed { reason: String },
}
