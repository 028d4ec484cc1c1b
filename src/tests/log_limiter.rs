//! Rate limit of the log: lines beyond it are dropped and counted, except warnings and errors.

use std::time::{Duration, Instant};

use crate::process::log_limiter::{LineOutcome, LogLimiter};

#[test]
fn admit_drops_and_counts_lines_over_limit() {
    let start = Instant::now();
    let mut limiter = LogLimiter::new(start);
    let written = (0..5_000).filter(|_| limiter.admit(start, false) != LineOutcome::Drop).count();
    assert_eq!(written, 2_000);
    assert_eq!(limiter.admit(start, true), LineOutcome::Write { dropped: 3_000 });
    let later = start + Duration::from_secs(1);
    assert_eq!(limiter.admit(later, false), LineOutcome::Write { dropped: 0 });
}
