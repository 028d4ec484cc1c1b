//! Time that placement and explain take with many upstreams. Run with `cargo test --release --lib explain_speed -- --ignored
//! --nocapture`.

use std::{collections::BTreeMap, sync::Arc, time::Instant as WallInstant};

use tokio::time::{Duration, Instant};

use super::entry_fakes::upstream;
use crate::entry::{
    PlacementPool, PromptPart, placement_request::PlacementRequest, pooled_upstream::LeaseOutcome,
};

const UPSTREAMS: usize = 500;

/// Requests that have been placed before the measurement, so that caches and programs are filled.
const WARM_UP: usize = 20_000;

const ROUNDS: usize = 2_000;

fn pool() -> Arc<PlacementPool> {
    let regions = BTreeMap::from([
        ("dc-a".into(), "north".into()),
        ("dc-b".into(), "north".into()),
        ("dc-c".into(), "south".into()),
    ]);
    let pool = PlacementPool::new("dc-a".into(), regions);
    pool.set_cache_capacities([("model".into(), 234_075)].into());
    for number in 0..UPSTREAMS {
        let mut record = upstream(&format!("engine-{number}"), "model", 8);
        record.data_centre = ["dc-a", "dc-b", "dc-c"][number % 3].into();
        pool.upsert(record);
    }
    Arc::new(pool)
}

fn request(number: usize) -> PlacementRequest {
    let now = Instant::now();
    let part = |id: usize, tokens| PromptPart { id: id as u64, tokens };
    PlacementRequest {
        service: "model".into(),
        route: "route".into(),
        request: format!("request {number}").into(),
        team: Some(format!("team {}", number % 78).into()),
        program: Some(format!("program {number}").into()),
        priority: 0,
        is_continuation: false,
        finish_by: now + Duration::from_secs(3),
        deadline: now + Duration::from_secs(3),
        prompt_parts: vec![part(number % 40, 12_600), part(1_000 + number, 1_000)],
        prompt_tokens: 13_600,
        completion_tokens: 200,
        may_repeat: false,
        software_version: None,
        object: None,
        excluded: Vec::new(),
    }
}

fn print_times(name: &str, mut times: Vec<Duration>) {
    times.sort_unstable();
    let at = |share: usize| times[(times.len() - 1) * share / 100].as_micros();
    println!("{name}: median {} us, 99 % {} us, most {} us", at(50), at(99), at(100));
}

#[tokio::test]
#[ignore = "a measurement"]
async fn placement_time_with_many_upstreams() {
    let pool = pool();
    let mut leases = Vec::new();
    for number in 0..WARM_UP {
        leases.push(pool.try_acquire(&request(number)).expect("a slot"));
        if leases.len() > UPSTREAMS * 4 {
            leases.swap_remove(number % leases.len()).finish(LeaseOutcome::Answered);
        }
    }

    let mut times = Vec::with_capacity(ROUNDS);
    for number in 0..ROUNDS {
        let request = request(WARM_UP + number);
        let begin = WallInstant::now();
        let lease = pool.try_acquire(&request).expect("a slot");
        times.push(begin.elapsed());
        lease.finish(LeaseOutcome::Answered);
    }
    print_times("placement", times);
}

#[tokio::test]
#[ignore = "a measurement"]
async fn explain_time_with_many_upstreams() {
    let pool = pool();
    let mut leases = Vec::new();
    for number in 0..WARM_UP {
        leases.push(pool.try_acquire(&request(number)).expect("a slot"));
        if leases.len() > UPSTREAMS * 4 {
            leases.swap_remove(number % leases.len()).finish(LeaseOutcome::Answered);
        }
    }

    let measure = |name: &str| {
        let (mut times, mut json_times) = (Vec::new(), Vec::new());
        for number in 0..ROUNDS {
            let request = request(WARM_UP + number);
            let begin = WallInstant::now();
            let explained = pool.explain(&request);
            times.push(begin.elapsed());
            let begin = WallInstant::now();
            let json = serde_json::to_vec(&explained.candidates).expect("valid JSON");
            json_times.push(begin.elapsed());
            assert!(!json.is_empty());
            assert_eq!(explained.candidates.len(), UPSTREAMS);
        }
        print_times(name, times);
        print_times("candidates as JSON", json_times);
    };
    measure("explain, half full");
    while let Some(lease) = pool.try_acquire(&request(leases.len())) {
        leases.push(lease);
    }
    measure("explain, full");
    let waiting: Vec<_> = (0..500)
        .map(|number| {
            let pool = Arc::clone(&pool);
            tokio::spawn(async move { pool.acquire(request(1_000_000 + number)).await })
        })
        .collect();
    tokio::task::yield_now().await;
    measure("explain, full, 500 sent to wait");
    waiting.iter().for_each(tokio::task::JoinHandle::abort);
}
