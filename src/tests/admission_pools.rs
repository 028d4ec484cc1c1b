//! Tests of admission by placement pools, in virtual time.

use std::{collections::BTreeMap, sync::Arc};

use parking_lot::Mutex;
use tokio::time::{Duration, Instant, sleep};

use super::entry_fakes::upstream;
use crate::entry::{
    PlacementPool, ReportedLoad,
    placement_request::{PlacementRefusal, PlacementRequest},
    pooled_upstream::LeaseOutcome,
};

const LEASE_TIME: Duration = Duration::from_millis(300);
const SLOTS: u32 = 8;

fn pool(upstreams: usize) -> Arc<PlacementPool> {
    let pool = PlacementPool::new("dc-a".into(), BTreeMap::from([("dc-a".into(), "north".into())]));
    pool.set_cache_capacities([("model".into(), 100_000)].into());
    (0..upstreams).for_each(|it| pool.upsert(upstream(&format!("u{it}"), "model", SLOTS)));
    Arc::new(pool)
}

fn request(program: usize, is_continuation: bool, time_left: Duration) -> PlacementRequest {
    let now = Instant::now();
    PlacementRequest {
        service: "model".into(),
        route: "route".into(),
        request: format!("request of {program} at {now:?}").into(),
        team: None,
        program: Some(format!("program {program}").into()),
        priority: 0,
        is_continuation,
        finish_by: now + time_left,
        deadline: now + Duration::from_secs(3),
        prompt_parts: Vec::new(),
        prompt_tokens: 1_000,
        completion_tokens: 0,
        object: None,
        may_repeat: false,
        software_version: None,
        excluded: Vec::new(),
    }
}

/// Requests running at each upstream, whoever has sent them.
type Running = Arc<Mutex<BTreeMap<Arc<str>, u32>>>;

/// Runs one turn. An upstream without a free slot rejects it, and the turn goes elsewhere.
async fn run_turn(
    pool: &Arc<PlacementPool>,
    running: &Running,
    mut request: PlacementRequest,
) -> Result<(), PlacementRefusal> {
    loop {
        let lease = pool.acquire(request.clone()).await?;
        let id = Arc::clone(&lease.record.id);
        sleep(Duration::from_millis(1)).await;
        let load = *running.lock().entry(Arc::clone(&id)).or_default();
        if load >= SLOTS {
            lease.finish(LeaseOutcome::Full);
            // A full upstream may have room again after a few others have been tried.
            request.excluded.push(id);
            let excess = request.excluded.len().saturating_sub(3);
            request.excluded.drain(..excess);
            continue;
        }

        *running.lock().entry(Arc::clone(&id)).or_default() += 1;
        sleep(LEASE_TIME).await;
        let load = running.lock()[&id];
        let load = ReportedLoad { running: load, waiting: 0, slots: SLOTS, slowness: None };
        pool.record_load(lease.key, load);
        *running.lock().entry(id).or_default() -= 1;
        lease.finish(LeaseOutcome::Answered);
        return Ok(());
    }
}

/// Programs with 5 turns, one each `interval`, at pools in turn. Programs that don't state a finish time get the rules from
/// before admission control. Returns how many first and later turns were refused, and how
/// many programs ended in time.
async fn run_programs(
    pools: usize,
    count: usize,
    interval: Duration,
    objective: Duration,
    states_finish: bool,
) -> (usize, usize, usize) {
    let pools: Vec<_> = (0..pools).map(|_| pool(16)).collect();
    let running = Running::default();
    let mut programs = Vec::new();

    for program in 0..count {
        let pool = Arc::clone(&pools[program % pools.len()]);
        let running = Arc::clone(&running);
        programs.push(tokio::spawn(async move {
            let finish_at = Instant::now() + objective;
            for turn in 0..5 {
                let left = finish_at.saturating_duration_since(Instant::now());
                let mut request = request(program, turn > 0, left);
                request.program = request.program.filter(|_| states_finish);
                if let Err(refusal) = run_turn(&pool, &running, request).await {
                    assert!(refusal.retry_after > Duration::ZERO);
                    return (usize::from(turn == 0), usize::from(turn > 0), 0);
                }
                sleep(Duration::from_millis(50)).await;
            }
            (0, 0, usize::from(Instant::now() <= finish_at + Duration::from_millis(50)))
        }));
        sleep(interval).await;
    }

    let mut sums = (0, 0, 0);
    for program in programs {
        let (first, later, in_time) = program.await.expect("the program does not panic");
        sums = (sums.0 + first, sums.1 + later, sums.2 + in_time);
    }
    sums
}

/// Guards against refusals on a calm day, right after the start, with one scheduler or many: 128 slots serve 85 programs/s.
#[tokio::test(start_paused = true)]
async fn acquire_refuses_nothing_below_the_capacity() {
    for pools in [1, 6] {
        // 0.83 of the capacity.
        let interval = Duration::from_millis(14);
        let objective = Duration::from_secs(3);
        let outcome = run_programs(pools, 700, interval, objective, true).await;
        assert_eq!(outcome, (0, 0, 700), "with {pools} pools");
    }
}

/// Guards against refusals because of objectives that no program can meet, which make all estimates wrong.
#[tokio::test(start_paused = true)]
async fn acquire_refuses_nothing_below_the_capacity_with_impossible_objectives() {
    let interval = Duration::from_millis(14);
    let (first, later, _) = run_programs(6, 700, interval, Duration::from_millis(400), true).await;
    assert_eq!((first, later), (0, 0));
}

/// Guards against overload in which all programs end late: at 1.8 times the capacity, 0.55 of them can end in time.
#[tokio::test(start_paused = true)]
async fn acquire_refuses_the_excess_and_no_turn_of_a_program_under_way() {
    for pools in [1, 6] {
        let interval = Duration::from_micros(6_500);
        let objective = Duration::from_secs(3);
        let (first, later, in_time) = run_programs(pools, 1_500, interval, objective, true).await;
        assert_eq!(later, 0, "turns of programs under way were refused with {pools} pools");
        assert!(first > 300, "only {first} programs were refused with {pools} pools");
        assert!(in_time > 675, "only {in_time} programs ended in time with {pools} pools");
    }
}

/// Prints the table of docs/BENCHMARKS.md: `cargo test --lib acquire_prints -- --nocapture`.
#[tokio::test(start_paused = true)]
async fn acquire_prints_its_table() {
    println!(
        "| pools | load | rules | programs | first turns refused | later turns refused | in time |"
    );
    println!("|---|---|---|---|---|---|---|");

    for pools in [1, 6] {
        for (interval_us, count) in [(14_000, 700), (9_700, 1_000), (6_500, 1_500), (4_500, 2_000)]
        {
            for (rules, states_finish) in [("before", false), ("admission", true)] {
                let interval = Duration::from_micros(interval_us);
                let objective = Duration::from_secs(3);
                let (first, later, in_time) =
                    run_programs(pools, count, interval, objective, states_finish).await;
                // 128 slots, 5 turns of 301 ms each.
                let load = 1_505.0 / 128.0 / (interval_us as f64 / 1_000.0);
                println!(
                    "| {pools} | {load:.2} | {rules} | {count} | {first} | {later} | {in_time} |"
                );
            }
        }
    }
}
