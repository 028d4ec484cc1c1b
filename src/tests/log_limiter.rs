//! The bound on the volume of the log.

use std::time::{Duration, Instant};

use crate::process::log_limiter::{LineVerdict, LogLimiter};

#[test]
fn log_limiter_leaves_out_and_says_how_much() {
    let start = Instant::now();
    let mut limiter = LogLimiter::new(start);
    let written =
        (0..5_000).filter(|_| limiter.admit(start, false) != LineVerdict::LeaveOut).count();
    assert_eq!(written, 2_000);
    assert_eq!(limiter.admit(start, true), LineVerdict::Write { left_out: 3_000 });
    let later = start + Duration::from_secs(1);
    assert_eq!(limiter.admit(later, false), LineVerdict::Write { left_out: 0 });
}
