//! When refused clients should come back.

use tokio::time::Duration;

use crate::entry::placement_pool::MIN_RETRY_AFTER;

/// Longest time after which a refused client is asked to retry. Bursts last a few seconds, so a prediction beyond this is
/// not better than a guess.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Spread of the times of refused clients around the expected one, so that they don't return at once.
const SPREAD: f64 = 0.25;

/// Time after which a refused client should retry, if capacity is expected after `expected`. `request` is the id of the
/// request; its hash takes the place of a random number, so equal inputs give equal times.
pub(super) fn retry_time(expected: Duration, request: &str) -> Duration {
    // FNV-1a, followed by a mixing step since ids of one client often differ only in their last characters.
    let hash = request.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    let mixed = (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    // An `f64` holds integers of up to 53 bits exactly.
    let position = (mixed >> 11) as f64 / (1_u64 << 53) as f64;
    let bounded = expected.clamp(MIN_RETRY_AFTER.mul_f64(1.0 / (1.0 - SPREAD)), MAX_RETRY_AFTER);
    bounded.mul_f64(1.0 - SPREAD + 2.0 * SPREAD * position)
}
