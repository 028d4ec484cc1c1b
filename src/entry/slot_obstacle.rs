//! What keeps an upstream from a request.

use derive_more::Display;

/// Why an upstream can't take a request now.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum SlotObstacle {
    /// It leaves or has left, as far as this host knows, or it does not serve yet.
    #[display("leaving")]
    Leaving,
    /// The request would exceed its memory even if it ran alone.
    #[display("memory")]
    TooLarge,
    /// It has failed or rejected this request.
    #[display("excluded")]
    Excluded,
    /// It has another software version than the request needs.
    #[display("software version")]
    Version,
    /// All its slots are in use.
    #[display("full")]
    Full,
    /// Its window in slow start is in use.
    #[display("slow start")]
    SlowStart,
    /// This host's share of its stated limit is used up.
    #[display("limit")]
    Limit,
}
