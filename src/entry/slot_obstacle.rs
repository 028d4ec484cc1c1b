//! What keeps an upstream from a request.

/// Why an upstream can't take a request now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SlotObstacle {
    /// It leaves or has left, as far as this host knows, or it does not serve yet.
    Leaving,
    /// The request would exceed its memory even if it ran alone.
    TooLarge,
    /// It has failed or rejected this request.
    Excluded,
    /// It has another software version than the request needs.
    Version,
    /// All its slots are in use.
    Full,
    /// Its window in slow start is in use.
    SlowStart,
    /// This host's share of its stated limit is used up.
    Limit,
}

impl SlotObstacle {
    /// The obstacle as operators see it.
    pub(crate) fn text(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::TooLarge => "memory",
            Self::Excluded => "excluded",
            Self::Version => "software version",
            Self::Full => "full",
            Self::SlowStart => "slow start",
            Self::Limit => "limit",
        }
    }
}
