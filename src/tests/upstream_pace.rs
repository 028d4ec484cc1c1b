//! Tests of slow start, without a network.

use std::{collections::BTreeMap, sync::Arc};

use tokio::time::{Duration, Instant, sleep};

use super::{entry_fakes::upstream, entry_placement::request};
use crate::entry::{
    PlacementPool, PromptPart, UpstreamRecord,
    placement_request::PlacementRequest,
    pooled_upstream::{LeaseOutcome, PooledUpstream},
    upstream_load::{
        answer_times::{AnswerSpeed, AnswerTimes},
        pace_window::{PaceCause, PaceWindow},
        start_cohort::StartCohort,
    },
};

const MS: Duration = Duration::from_millis(1);

fn pool() -> Arc<PlacementPool> {
    Arc::new(PlacementPool::new("dc-a".into(), BTreeMap::new()))
}

fn record(id: &str, started_at_ms: u64) -> UpstreamRecord {
    UpstreamRecord { started_at_ms, ..upstream(id, "model", 8) }
}

/// Guards against slow start of everything when a day begins, and of what a host only lists late.
#[test]
fn start_cohort_has_only_the_latest_minority() {
    let is_new = |starts: &[u64], start| StartCohort::new(starts.iter().copied()).is_new(start);
    assert!(!is_new(&[5], 5), "the only upstream");
    assert!(!is_new(&[1_000, 3_000, 9_000, 9_500], 9_500), "all started together");
    assert!(is_new(&[1_000, 2_000, 900_000], 900_000), "one was replaced");
    assert!(is_new(&[1_000, 1_000, 900_000, 910_000], 900_000), "half was replaced");
    assert!(!is_new(&[1_000, 900_000, 905_000], 905_000), "most were replaced");
    assert!(!is_new(&[1_000, 2_000, 500_000, 900_000], 500_000), "replaced long before the last");
    assert!(!is_new(&[u64::MAX, u64::MAX], u64::MAX), "starts at the end of their range");
}

/// Guards against upstreams in slow start because the clock of another one was stepped when that started. The one itself may be
/// taken for new, which slow start ends after some answers, or not, as without slow start.
#[test]
fn start_cohort_is_hardly_moved_by_a_step_of_an_upstreams_clock() {
    let is_new = |starts: &[u64], start| StartCohort::new(starts.iter().copied()).is_new(start);
    for step_ms in [-30_000_i64, 30_000] {
        let stepped = 101_000_u64.saturating_add_signed(step_ms);
        let starts = [100_000, 100_500, stepped, 102_000];
        assert_eq!(is_new(&starts, stepped), step_ms > 0);
        assert!(starts.iter().all(|it| *it == stepped || !is_new(&starts, *it)), "{starts:?}");
        let replaced = 900_000_u64.saturating_add_signed(step_ms);
        assert!(is_new(&[100_000, 100_500, 101_000, replaced], replaced), "{replaced}");
    }
}

/// Guards against a run that is taken for the one before because it states an earlier start.
#[tokio::test]
async fn update_takes_any_other_start_for_a_new_run() {
    let part = [PromptPart { id: 1, tokens: 500 }];
    for start in [70_000, 130_000] {
        let mut upstream = PooledUpstream::new(Arc::new(record("u1", 100_000)), 1_000);
        upstream.cache.record(&part);
        upstream.update(Arc::new(record("u1", 100_000)));
        assert_eq!(upstream.cached_tokens(&part), 500);
        upstream.update(Arc::new(record("u1", start)));
        assert_eq!(upstream.cached_tokens(&part), 0, "start {start}");
    }
}

/// Guards against an upstream whose cold cache, or whose slow service, is taken for a slow start.
#[test]
fn answer_times_expect_prefill_and_the_usual_spread() {
    let mut times = AnswerTimes::default();
    assert_eq!(times.speed(MS * 900, 0.0), AnswerSpeed::AsExpected, "nothing is known yet");
    for number in 0..64 {
        times.record(MS * (40 + number % 3 * 10), 0.0);
    }
    assert_eq!(times.speed(MS * 60, 0.0), AnswerSpeed::AsExpected);
    assert_eq!(times.speed(MS * 110, 0.0), AnswerSpeed::Slow);
    assert_eq!(times.speed(MS * 190, 0.0), AnswerSpeed::Late);
    assert_eq!(times.speed(MS * 190, 86.0), AnswerSpeed::AsExpected, "it reads 12,600 tokens");
}

/// Guards against a window that stays small after answers, or open after late ones.
#[test]
fn pace_window_grows_by_answers_and_closes_after_late_ones() {
    let mut now = Instant::now();
    let mut window = PaceWindow::new(PaceCause::Started, now);
    assert_eq!(window.limit(now), 1);
    for limit in 2..8 {
        window.record_answer(now, now, AnswerSpeed::AsExpected);
        assert_eq!(window.limit(now), limit);
    }
    window.record_answer(now, now, AnswerSpeed::Slow);
    assert_eq!(window.limit(now), 7, "a slow answer changes the window");

    let granted_at = now;
    now += MS;
    window.record_answer(now, granted_at, AnswerSpeed::Late);
    assert_eq!(window.limit(now), 3);
    window.record_answer(now, granted_at, AnswerSpeed::Late);
    assert_eq!(window.limit(now), 3, "requests of one round shrink the window twice");

    for pause in [100, 200, 400, 800, 1_600, 3_200, 4_000, 4_000] {
        while window.limit(now) > 0 {
            window.record_answer(now, now, AnswerSpeed::Late);
        }
        now += MS * pause;
        assert_eq!(window.limit(now), 1, "closed for more than {pause} ms");
        assert!(!window.is_over(now, 8));
    }
    let granted_at = now;
    now += MS * 600;
    let mut slow = PaceWindow::new(PaceCause::Started, granted_at);
    slow.record_answer(now, granted_at, AnswerSpeed::Late);
    assert_eq!(slow.limit(now + MS * 2_399), 0, "tried again too soon");
    assert_eq!(slow.limit(now + MS * 2_400), 1);
    assert!(window.is_over(now + MS * 30_000, 8), "an upstream that is only slow stays spared");
    window.record_failure(now);
    assert_eq!(window.limit(now), 0);
}

/// Guards against a new upstream that gets all slots at once, and against one that keeps too few.
#[tokio::test(start_paused = true)]
async fn placement_pool_opens_a_new_upstream_by_its_answers() {
    let pool = pool();
    pool.reset(vec![record("old", 1_000)], 1, None);
    pool.upsert(record("new", 900_000));
    let only_new = || PlacementRequest { excluded: vec!["old".into()], ..request(0, false) };

    for granted in 1..8 {
        let mut leases = Vec::new();
        while let Some(lease) = pool.try_acquire(&only_new()) {
            leases.push(lease);
        }
        assert_eq!(leases.len(), granted);
        sleep(MS * 50).await;
        let lease = leases.pop().expect("a lease");
        lease.finish(LeaseOutcome::Answered);
    }
    assert_eq!(pool.slow_start_count(), 0);
    let leases: Vec<_> = std::iter::from_fn(|| pool.try_acquire(&only_new())).collect();
    assert_eq!(leases.len(), 8);
}

/// Guards against a service that is throttled when all of it starts, or when a host starts.
#[tokio::test(start_paused = true)]
async fn placement_pool_does_not_pace_what_starts_together_or_was_there_before() {
    for starts in [[0, 3_000, 6_000, 9_000], [0, 100_000, 200_000, 200_500]] {
        let pool = pool();
        let records = starts.iter().map(|it| record(&format!("u{it}"), 1_000 + it)).collect();
        pool.reset(records, 1, None);
        assert!(pool.slow_start_count() <= 2);
        let leases: Vec<_> = std::iter::from_fn(|| pool.try_acquire(&request(0, false))).collect();
        assert!(leases.len() >= 18, "only {} requests were granted", leases.len());
    }
    let pool = pool();
    for number in 0..10_u64 {
        pool.upsert(record(&format!("u{number}"), 1_000 + number * 900));
    }
    assert_eq!(pool.slow_start_count(), 0);
}

/// Guards against a request that may run only once, and is the first one at an upstream that has just failed.
#[tokio::test(start_paused = true)]
async fn placement_pool_tries_a_failed_upstream_with_one_repeatable_request() {
    let pool = pool();
    pool.reset(["u1", "u2", "u3"].map(|id| record(id, 1_000)).into(), 1, None);
    let failed = pool.try_acquire(&request(0, false)).expect("a free slot");
    let id = Arc::clone(&failed.record.id);
    failed.finish(LeaseOutcome::Unreachable);
    sleep(MS * 500).await;

    let once = || PlacementRequest { may_repeat: false, ..request(0, false) };
    let leases: Vec<_> = (0..8).filter_map(|_| pool.try_acquire(&once())).collect();
    assert!(leases.iter().all(|it| it.record.id != id), "a request that may run once was risked");
    let trial = pool.try_acquire(&request(0, false)).expect("a free slot");
    assert_eq!(trial.record.id, id);
    let next = pool.try_acquire(&request(0, false)).expect("a free slot");
    assert_ne!(next.record.id, id, "two requests try the upstream at once");
    trial.finish(LeaseOutcome::Answered);
    assert_eq!(pool.try_acquire(&once()).expect("a free slot").record.id, id);
}

/// Guards against upstreams that all stay in slow start after failures that were the host's own.
#[tokio::test(start_paused = true)]
async fn placement_pool_does_not_pace_a_service_that_fails_as_a_whole() {
    let pool = pool();
    pool.reset(["u1", "u2", "u3"].map(|id| record(id, 1_000)).into(), 1, None);
    for _ in 0..3 {
        let lease = pool.try_acquire(&request(0, false)).expect("a free slot");
        lease.finish(LeaseOutcome::Unreachable);
    }
    assert_eq!(pool.slow_start_count(), 3);
    let leases: Vec<_> = std::iter::from_fn(|| pool.try_acquire(&request(0, false))).collect();
    assert_eq!(leases.len(), 24);
}
