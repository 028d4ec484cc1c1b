//! Rate limit of the log.

use std::time::{Duration, Instant};

/// Lines per second beyond which only exempt lines are written. A host at its peak of 200 requests a second writes
/// about 700.
const MAX_LINES_PER_SECOND: u32 = 2_000;

/// Whether a line is written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LineOutcome {
    /// The line is written. `dropped` lines were dropped since the last line that was written.
    Write {
        dropped: u64,
    },
    Drop,
}

/// Drops lines beyond [`MAX_LINES_PER_SECOND`], in windows of one second. Exempt lines are always written.
#[derive(Debug)]
pub(crate) struct LogLimiter {
    /// Start of the current window.
    window_start: Instant,
    /// Lines written in the current window.
    written: u32,
    /// Lines dropped since the last line that was written.
    dropped: u64,
}

impl LogLimiter {
    pub(crate) fn new(now: Instant) -> Self {
        Self { window_start: now, written: 0, dropped: 0 }
    }

    /// Decides on a line that is logged at `now`, and counts it.
    pub(crate) fn admit(&mut self, now: Instant, is_exempt: bool) -> LineOutcome {
        if now.duration_since(self.window_start) >= Duration::from_secs(1) {
            self.window_start = now;
            self.written = 0;
        }

        if self.written >= MAX_LINES_PER_SECOND && !is_exempt {
            self.dropped += 1;
            return LineOutcome::Drop;
        }

        self.written += 1;
        LineOutcome::Write { dropped: std::mem::take(&mut self.dropped) }
    }
}
