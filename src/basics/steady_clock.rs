//! Unix time that does not follow steps of the wall clock.

use std::{sync::LazyLock, time::Instant};

use crate::basics::unix_clock::unix_millis;

/// Time that was read at the same moment from the wall clock and from the monotonic clock. The monotonic clock is the
/// operating system's, since all runtimes of the process share the origin.
struct ClockOrigin {
    unix_ms: u64,
    instant: Instant,
}

static ORIGIN: LazyLock<ClockOrigin> =
    LazyLock::new(|| ClockOrigin { unix_ms: unix_millis(), instant: Instant::now() });

/// Returns the milliseconds since the Unix epoch by the wall clock at the first call, plus the time since then. It never goes
/// back, and a step of the wall clock does not change it while the process runs. The clocks of two processes may differ by
/// a step between their starts.
pub(crate) fn steady_millis() -> u64 {
    ORIGIN.unix_ms + ORIGIN.instant.elapsed().as_millis() as u64
}
