//! Groups of new programs that are served one after the other.

/// Most groups of priorities that are told apart.
const MAX_PRIORITY: u32 = 7;

/// A group of new programs; a smaller one is served first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct GrantGroup {
    priority: u32,
    overuse: usize,
    size: u32,
}

impl GrantGroup {
    /// The group by the route's priority, the overuse of the team and the size of the program.
    pub(super) fn new(priority: u32, overuse: usize, size: u32) -> Self {
        Self { priority: priority.min(MAX_PRIORITY), overuse, size }
    }
}
