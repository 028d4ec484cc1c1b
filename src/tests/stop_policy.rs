//! Which requests a host takes that is about to stop.

use tokio::time::{Duration, Instant};

use crate::gateway::stop_policy::deadline_before_stop;

/// Time in milliseconds that a request gets whose client waits for `wait_ms`, on a host that stops in `stop_ms`; `None` if it must
/// not begin.
fn time_given(wait_ms: Option<u64>, stop_ms: u64) -> Option<u128> {
    let now = Instant::now();
    let at = |millis: u64| now + Duration::from_millis(millis);
    let deadline = deadline_before_stop(wait_ms.map(at), at(stop_ms), now)?;
    Some(deadline.duration_since(now).as_millis())
}

#[test]
fn deadline_before_stop_is_that_of_the_client_if_there_is_time() {
    assert_eq!(time_given(Some(3_000), 7_000), Some(3_000));
    assert_eq!(time_given(Some(600), 1_000), Some(600));
}

#[test]
fn deadline_before_stop_leaves_time_for_an_answer() {
    assert_eq!(time_given(Some(3_000), 2_700), Some(2_500));
    assert_eq!(time_given(None, 5_000), Some(4_800));
}

#[test]
fn deadline_before_stop_is_none_for_requests_late_in_the_grace_period() {
    assert_eq!(time_given(Some(3_000), 1_500), None);
    assert_eq!(time_given(Some(1_500), 1_600), None);
    assert_eq!(time_given(None, 1_000), None);
    assert_eq!(time_given(Some(300), 100), None);
}
