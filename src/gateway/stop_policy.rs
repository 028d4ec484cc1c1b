//! Decides which requests a host takes that is about to stop. The function is pure; see docs/design/platform.md.

use tokio::time::{Duration, Instant};

/// Time that a request needs to run, if its client waits that long. One that arrives with less time left is better off at
/// another host.
const RUN_TIME: Duration = Duration::from_secs(2);

/// Time by which the last answer precedes the end of the host, so that it reaches the client.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// Deadline of a request that arrives at a host which stops at `stops_at`: its client's, or an earlier one, so that the request
/// gets an answer before its connection closes. `None` if too little time is left for it, so that it must not begin.
pub(crate) fn deadline_before_stop(
    deadline: Option<Instant>,
    stops_at: Instant,
    now: Instant,
) -> Option<Instant> {
    let latest = stops_at.checked_sub(ANSWER_MARGIN).unwrap_or(now);
    let needed_until = deadline.map_or(now + RUN_TIME, |it| it.min(now + RUN_TIME));
    let limited = deadline.map_or(latest, |it| it.min(latest));
    (needed_until <= latest).then_some(limited)
}
