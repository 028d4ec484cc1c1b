//! Limits of requests a second that upstreams state: shares, spread over hosts, and their end.

use std::{collections::BTreeMap, sync::Arc};

use hyper::StatusCode;
use tokio::time::{Duration, Instant, advance, timeout};

use super::{
    entry_fakes::{ScriptedChannel, ScriptedResponse, upstream},
    entry_runner::{pool, runner},
};
use crate::{
    CellDecision, CellEvent, CellPolicy, CellQueue, CellReport, CellRequest, CellResult, ProgramId,
    RequestRate, ShardId, UpstreamLoad, UpstreamName,
    entry::{
        EntryResponse, PlacementPool, RequestKind, UpstreamRecord,
        placement_request::PlacementRequest,
        pooled_upstream::LeaseOutcome,
        upstream_limits::{LimitNote, SharingHost, UpstreamLimits},
    },
};

/// Limits that the tests use, in requests a second.
const RATES: [f64; 6] = [0.0, 0.4, 1.3, 4.5, 12.0, 40.0];

fn request(service: &str) -> PlacementRequest {
    let deadline = Instant::now() + Duration::from_secs(3);
    PlacementRequest {
        team: None,
        service: service.into(),
        route: "route".into(),
        request: "request".into(),
        program: None,
        priority: 0,
        is_continuation: false,
        finish_by: deadline,
        deadline,
        prompt_parts: Vec::new(),
        prompt_tokens: 0,
        completion_tokens: 0,
        object: None,
        may_repeat: true,
        software_version: None,
        excluded: Vec::new(),
    }
}

fn rate(per_second: f64) -> Option<RequestRate> {
    RequestRate::from_per_second(per_second)
}

fn hosts(count: usize) -> Vec<SharingHost> {
    let region = |number: usize| if number.is_multiple_of(2) { "north" } else { "south" };
    (0..count)
        .map(|number| SharingHost {
            name: format!("host-{number}").into(),
            region: region(number).into(),
        })
        .collect()
}

/// Pools of `count` hosts that know of each other and of one upstream.
fn pools(count: usize, record: &UpstreamRecord) -> Vec<Arc<PlacementPool>> {
    hosts(count)
        .iter()
        .map(|host| {
            let regions = BTreeMap::from([("dc-a".into(), "north".into())]);
            let pool = Arc::new(PlacementPool::new("dc-a".into(), regions));
            pool.upsert(record.clone());
            pool.limits().lock().set_hosts(&host.name, hosts(count));
            pool
        })
        .collect()
}

#[tokio::test(start_paused = true)]
async fn limited_upstream_gets_its_share_from_all_hosts_together() {
    const WINDOW: usize = 400;
    let record = upstream("u1", "service", 64);

    for host_count in [1, 6, 25] {
        for per_second in RATES {
            let pools = pools(host_count, &record);
            pools.iter().for_each(|pool| pool.record_limit(&record, rate(per_second)));
            let mut sent = Vec::new();

            for _ in 0..6_000 {
                advance(Duration::from_millis(10)).await;
                let leases = pools.iter().filter_map(|pool| pool.try_acquire(&request("service")));
                let leases: Vec<_> = leases.collect();
                sent.push(leases.len());
                leases.into_iter().for_each(|lease| lease.finish(LeaseOutcome::Answered));
            }

            let case = format!("{host_count} hosts, {per_second} a second");
            let most = sent.windows(WINDOW).map(|it| it.iter().sum::<usize>()).max().unwrap_or(0);
            assert!(most as f64 <= per_second * 4.0 * 1.5 + 5.0, "{case}: {most} in 4 s");
            let total = sent.iter().sum::<usize>() as f64;
            assert!(total >= (per_second * 60.0 * 0.9).max(1.0), "{case}: {total} in 60 s");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn acquire_waits_for_the_share_of_a_limit() {
    let record = upstream("u1", "service", 4);
    let pool = pools(1, &record).remove(0);
    pool.record_limit(&record, rate(2.0));
    drop(pool.acquire(request("service")).await.expect("the first request is sent at once"));
    drop(pool.acquire(request("service")).await.expect("one may be saved up"));
    let started = Instant::now();
    drop(pool.acquire(request("service")).await.expect("the share allows another one"));
    let waited = started.elapsed();
    assert!((400..=600).contains(&waited.as_millis()), "{waited:?}");
}

#[tokio::test(start_paused = true)]
async fn acquire_refuses_at_once_what_limits_leave_no_room_for() {
    let record = upstream("u1", "service", 4);
    // The limit is shared by fewer hosts than there are.
    let pools = pools(6, &record);
    pools.iter().for_each(|pool| pool.record_limit(&record, rate(0.5)));

    let mut refused = 0;
    for pool in &pools {
        let result = timeout(Duration::from_millis(1), pool.acquire(request("service"))).await;
        refused += usize::from(matches!(result, Ok(Err(_))));
    }
    assert_eq!(refused, 5);
}

#[tokio::test(start_paused = true)]
async fn limit_ends_with_a_signed_response_that_names_none() {
    let answer = |limit: Option<f64>, is_signed: bool| ScriptedResponse::Limited {
        limit: limit.and_then(rate),
        status: StatusCode::OK,
        is_signed,
    };
    let record = upstream("u1", "service", 4);
    let pool = pool();
    pool.upsert(record.clone());

    for (response, expected) in [
        (answer(Some(4.5), true), rate(4.5)),
        (answer(None, false), rate(4.5)),
        (answer(Some(3.0), false), rate(3.0)),
        (answer(None, true), None),
    ] {
        advance(Duration::from_secs(1)).await;
        let channel = Arc::new(ScriptedChannel::new(vec![response]));
        let response = runner(&pool, &channel, RequestKind::AtMostOnce).run().await;
        let is_refused = matches!(response, EntryResponse::Refused { .. });
        assert_eq!(pool.limits().lock().share(&record, "north"), expected, "{is_refused}");
    }
}

#[tokio::test(start_paused = true)]
async fn limit_of_an_earlier_run_does_not_hold() {
    let record = upstream("u1", "service", 4);
    let pool = pools(1, &record).remove(0);
    pool.record_limit(&record, rate(0.0));
    let restarted = UpstreamRecord { started_at_ms: 2, revision: 2, ..record.clone() };
    pool.upsert(restarted.clone());
    assert_eq!(pool.limits().lock().share(&restarted, "north"), None);
    // A late report about the earlier run changes nothing.
    pool.record_limit(&restarted, rate(5.0));
    let note = LimitNote { upstream: "u1".into(), run: 1, rate: rate(1.0), age_ms: 0 };
    assert!(!pool.limits().lock().merge(&note, Instant::now()));
    assert_eq!(pool.limits().lock().share(&restarted, "north"), rate(5.0));
}

/// Guards against the limit of an upstream that is not kept after a restart with its clock set back.
#[tokio::test(start_paused = true)]
async fn limit_of_a_later_run_holds_although_its_clock_was_set_back() {
    for step_ms in [-30_000_i64, 30_000] {
        let pool = pool();
        let record = UpstreamRecord { started_at_ms: 100_000, ..upstream("u1", "service", 4) };
        pool.upsert(record.clone());
        pool.record_limit(&record, rate(1.0));
        advance(Duration::from_secs(2)).await;
        let started_at_ms = 100_000_u64.saturating_add_signed(step_ms);
        let restarted = UpstreamRecord { started_at_ms, revision: 2, ..record.clone() };
        pool.upsert(restarted.clone());
        pool.record_limit(&restarted, rate(5.0));
        assert_eq!(pool.limits().lock().share(&restarted, "north"), rate(5.0), "step {step_ms}");

        let mut limits = UpstreamLimits::default();
        let note = |run, per_second, age_ms| LimitNote {
            upstream: "u1".into(),
            run,
            rate: rate(per_second),
            age_ms,
        };
        assert!(limits.merge(&note(100_000, 1.0, 1_900), Instant::now()));
        assert!(limits.merge(&note(started_at_ms, 5.0, 100), Instant::now()), "step {step_ms}");
        assert_eq!(limits.share(&restarted, "north"), rate(5.0), "step {step_ms}");
    }
}

#[tokio::test(start_paused = true)]
async fn merge_takes_the_latest_statement_in_any_order() {
    let record = upstream("u1", "service", 4);
    let note = |per_second: Option<f64>, age_ms| LimitNote {
        upstream: "u1".into(),
        run: 1,
        rate: per_second.and_then(rate),
        age_ms,
    };
    advance(Duration::from_mins(1)).await;

    for notes in [
        [note(Some(2.0), 900), note(None, 500), note(Some(6.0), 100)],
        [note(Some(6.0), 100), note(None, 500), note(Some(2.0), 900)],
    ] {
        let mut limits = UpstreamLimits::default();
        for note in &notes {
            limits.merge(note, Instant::now());
        }
        assert_eq!(limits.share(&record, "north"), rate(6.0));
    }
}

#[test]
fn limit_is_shared_by_the_same_hosts_wherever_it_is_computed() {
    let now = Instant::now();

    for per_second in RATES {
        let mut shares: Vec<f64> = Vec::new();
        for host in hosts(25) {
            let record = upstream("u1", "service", 4);
            let mut limits = UpstreamLimits::default();
            let mut order = hosts(25);
            order.rotate_left(shares.len());
            limits.set_hosts(&host.name, order);
            limits.record_stated(&record, rate(per_second), now);
            shares.push(limits.share(&record, "north").map_or(f64::MAX, RequestRate::per_second));
        }
        let total: f64 = shares.iter().sum();
        assert!(total > 0.0 && total <= per_second.max(0.2) + 0.001, "{per_second}: {shares:?}");
    }
}

/// A cell with one upstream, which reports its limit.
fn limited_queue(per_second: Option<f64>) -> CellQueue {
    let mut queue = CellQueue::new(CellPolicy::default());
    let upstream: UpstreamName = "engine-1".into();
    queue.handle(
        0,
        &CellEvent::Joined {
            upstream: upstream.clone(),
            window: 64,
            cache_tokens: 1_000_000,
            prefill_us: 100,
        },
    );
    let limit = per_second.and_then(rate);
    queue.handle(0, &CellEvent::LoadReported { upstream, running: 0, waiting: 0, limit });
    queue
}

fn cell_request(serial: u64) -> CellRequest {
    CellRequest {
        team: "team".into(),
        weight: 1,
        program: ProgramId { shard: ShardId(0), serial },
        number: 1,
        attained_tokens: 0,
        prompt_tokens: 10,
        answer_tokens: 10,
        queued_ms: 0,
        deadline_ms: None,
        fingerprint: serial,
        excluded: Vec::new(),
    }
}

#[test]
fn cell_grants_an_upstream_no_more_than_its_limit() {
    const STEPS_A_SECOND: u64 = 10;

    for per_second in RATES {
        let mut queue = limited_queue(Some(per_second));
        let mut granted = Vec::new();

        for step in 0..60 * STEPS_A_SECOND {
            let now_ms = step * 1_000 / STEPS_A_SECOND;
            for number in 0..5 {
                let ticket = step * 5 + number;
                let request = cell_request(ticket);
                queue.handle(now_ms, &CellEvent::Arrived { ticket, request });
            }

            let mut count = 0;
            while let Some(decision) = queue.decide(now_ms) {
                if let CellDecision::Grant { ticket, .. } = decision {
                    count += 1;
                    let report = CellReport::without_usage(CellResult::Completed);
                    queue.handle(now_ms, &CellEvent::Finished { ticket, report });
                }
            }
            granted.push(count);
        }

        let most = granted.windows(40).map(|it| it.iter().sum::<usize>()).max().unwrap_or(0);
        assert!(
            most as f64 <= per_second * 4.0 * 1.5 + 5.0,
            "{per_second} a second: {most} in 4 s"
        );
        let total = granted.iter().sum::<usize>() as f64;
        assert!(total >= (per_second * 60.0 * 0.9).max(1.0), "{per_second} a second: {total}");
    }
}

#[test]
fn limit_of_a_cells_upstream_ends_with_a_report_that_names_none() {
    let mut queue = limited_queue(Some(0.0));
    let is_granted = |queue: &mut CellQueue, now_ms, ticket| {
        let request = cell_request(ticket);
        queue.handle(now_ms, &CellEvent::Arrived { ticket, request });
        matches!(queue.decide(now_ms), Some(CellDecision::Grant { .. }))
    };
    assert!(is_granted(&mut queue, 1, 1), "one may be saved up");
    assert!(!is_granted(&mut queue, 2, 2));
    let upstream = "engine-1".into();
    queue.handle(3, &CellEvent::LoadReported { upstream, running: 1, waiting: 0, limit: None });
    assert!(is_granted(&mut queue, 4, 3));
}

#[test]
fn upstream_load_reads_a_limit_if_there_is_one() {
    for (text, expected) in [
        (r#"{"running": 1, "waiting": 2}"#, None),
        (r#"{"running": 1, "waiting": 2, "requests_per_second": 4.5}"#, rate(4.5)),
        (r#"{"running": 1, "waiting": 2, "requests_per_second": null}"#, None),
        (r#"{"running": 1, "waiting": 2, "requests_per_second": -1}"#, None),
    ] {
        let load: UpstreamLoad = serde_json::from_str(text).expect("a load report");
        assert_eq!((load.running, load.waiting, load.limit), (1, 2, expected), "{text}");
    }
}
