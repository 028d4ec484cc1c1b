//! Wall-clock time.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the milliseconds since the Unix epoch. The clock may be stepped in both directions, so it only dates what people
/// read; no guarantee and no decision may depend on it. See docs/PROOFS.md, "Steps of the wall clock".
pub(crate) fn unix_millis() -> u64 {
    let time_ms =
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64);
    #[cfg(test)]
    let time_ms = time_ms.saturating_add_signed(clock_step::STEP_MS.get());
    time_ms
}

/// Steps of the wall clock in tests.
#[cfg(test)]
pub(crate) mod clock_step {
    use std::cell::Cell;

    thread_local! {
        /// Milliseconds by which the clock of the test's thread is ahead.
        pub(crate) static STEP_MS: Cell<i64> = const { Cell::new(0) };
    }
}
