//! The order of the queue.

use derive_more::Display;
use tokio::time::Instant;

/// Class of a waiting request; the first is served first.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum QueueClass {
    /// The program is under way and can end in time.
    #[display("under way")]
    UnderWay,
    /// The program is new and can end in time.
    #[display("new")]
    New,
    /// The program is under way and can't end in time, but perhaps within twice its time.
    #[display("late")]
    Late,
    /// The program is new and can't end in time.
    #[display("late and new")]
    LateNew,
    /// The program earns nothing any more.
    #[display("expired")]
    Expired,
}

/// Sort key of a waiting request. Within a class the route's priority decides, then how far the team exceeds its share, then
/// for new programs their size, then the finish time or, for new programs, the age, then arrival.
///
/// New programs of about the same size are not served by finish time, because those that arrive later could then delay
/// the ones that have been admitted for as long as the overload lasts.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct QueueRank {
    pub(crate) class: QueueClass,
    pub(crate) priority: u32,
    pub(crate) overuse: usize,
    /// Size of a new program; 0 for others.
    pub(crate) size: u32,
    /// When the program should finish, or when the first request of a new one arrived.
    pub(crate) due_at: Instant,
    pub(crate) sequence: u64,
}
