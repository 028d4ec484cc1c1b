//! Errors of calls to the platform.

use derive_more::Display;

/// Why a call to the platform failed. A failed write may have taken effect, unless the error states otherwise.
#[derive(Clone, Debug, Display, Eq, PartialEq, derive_more::Error)]
pub(crate) enum PlatformError {
    #[display("the platform was not called: the circuit breaker is open")]
    BreakerOpen,
    #[display("the platform did not respond before the timeout")]
    Overdue,
    #[display("the platform can't be reached: {reason}")]
    Unreachable { reason: String },
    #[display("the platform responded with unexpected status {status}")]
    Refused { status: u16 },
    #[display("the platform's response is malformed: {reason}")]
    Malformed { reason: String },
}
