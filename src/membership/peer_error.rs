//! Errors of exchanges between hosts.

use derive_more::{Display, From};

use crate::FrameError;

/// Why an exchange with a peer failed. The texts are part of the details of problems that callers get.
#[derive(Clone, Debug, Display, Eq, From, PartialEq, derive_more::Error)]
pub(crate) enum PeerError {
    #[display("the peer's message can't be read: {_0}")]
    Frame(FrameError),
    #[display("the peer gave no answer in time")]
    #[from(skip)]
    Overdue,
    #[display("the peer refused the exchange: {reason}")]
    #[from(skip)]
    Refused { reason: String },
    #[display("the connection to the peer is lost: {reason}")]
    #[from(skip)]
    Lost { reason: String },
    #[display("the peer answered with a message of another kind")]
    #[from(skip)]
    Unexpected,
}
