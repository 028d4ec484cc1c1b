//! Wall-clock time.

use std::time::{SystemTime, UNIX_EPOCH};

/// Milliseconds since the Unix epoch. Nothing that must hold rests on this clock; see docs/design/shard-log.md.
pub(crate) fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}
