//! Bound on the volume of the log.

use std::time::{Duration, Instant};

/// Lines of one second at most. A host at its peak of 200 requests a second writes about 700.
const LINES_PER_SECOND: u32 = 2_000;

/// What to do with a line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LineVerdict {
    /// Write it; so many lines were left out before it.
    Write {
        left_out: u64,
    },
    LeaveOut,
}

/// Counts lines, and leaves out those beyond the bound of their second. Warnings and errors are always written.
#[derive(Debug)]
pub(crate) struct LogLimiter {
    second_start: Instant,
    lines: u32,
    left_out: u64,
}

impl LogLimiter {
    pub(crate) fn new(now: Instant) -> Self {
        Self { second_start: now, lines: 0, left_out: 0 }
    }

    pub(crate) fn admit(&mut self, now: Instant, is_urgent: bool) -> LineVerdict {
        if now.duration_since(self.second_start) >= Duration::from_secs(1) {
            self.second_start = now;
            self.lines = 0;
        }

        if self.lines >= LINES_PER_SECOND && !is_urgent {
            self.left_out += 1;
            return LineVerdict::LeaveOut;
        }

        self.lines += 1;
        LineVerdict::Write { left_out: std::mem::take(&mut self.left_out) }
    }
}
