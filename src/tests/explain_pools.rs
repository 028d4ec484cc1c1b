//! Compares what a pool explains with what it does, in random states and in virtual time.

use std::{collections::BTreeMap, sync::Arc};

use futures_util::FutureExt;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::{
    task::JoinSet,
    time::{Duration, Instant, sleep},
};

use super::entry_fakes::upstream;
use crate::{
    RequestRate,
    entry::{
        PlacementPool, PromptPart, ReportedLoad, UpstreamPhase,
        object_affinity::object_key::ObjectKey, placement_request::PlacementRequest,
        pooled_upstream::LeaseOutcome, upstream_lease::UpstreamLease,
    },
};

/// Requests of one random schedule.
const STEPS: usize = 60;

/// Which part of the requests has become of each kind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct OutcomeCounts {
    placed: usize,
    queued: usize,
    refused: usize,
}

/// A pool with random upstreams, and the leases and requests that wait there.
struct RandomPool {
    random: StdRng,
    pool: Arc<PlacementPool>,
    leases: Vec<UpstreamLease>,
    waiting: JoinSet<()>,
    outcomes: Vec<String>,
    counts: OutcomeCounts,
}

impl RandomPool {
    fn new(seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let regions = BTreeMap::from([
            ("dc-a".into(), "north".into()),
            ("dc-b".into(), "north".into()),
            ("dc-c".into(), "south".into()),
        ]);
        let pool = Arc::new(PlacementPool::new("dc-a".into(), regions));
        // Without a cache, with one that holds few prompts, and with a large one.
        let capacity = [0, 40_000, 400_000][random.random_range(0..3)];
        pool.set_cache_capacities([("model".into(), capacity)].into());
        let count = random.random_range(1..12);
        let pool = Self {
            random,
            pool,
            leases: Vec::new(),
            waiting: JoinSet::new(),
            outcomes: Vec::new(),
            counts: OutcomeCounts::default(),
        };
        (0..count).fold(pool, |mut pool, number| {
            pool.list_upstream(number);
            pool
        })
    }

    fn list_upstream(&mut self, number: usize) {
        let random = &mut self.random;
        let mut record = upstream(&format!("u{number}"), "model", random.random_range(1..4));
        record.data_centre = ["dc-a", "dc-b", "dc-c"][random.random_range(0..3)].into();
        record.software_version = ["v1", "v2"][usize::from(random.random_bool(0.3))].into();
        // Some have started long after the others.
        record.started_at_ms = if random.random_bool(0.2) { 100_000 } else { 1 };
        if random.random_bool(0.05) {
            record.phase = UpstreamPhase::Draining;
        }
        self.pool.upsert(record);
    }

    fn request(&mut self, number: usize) -> PlacementRequest {
        let random = &mut self.random;
        let now = Instant::now();
        let first = PromptPart { id: random.random_range(0..4), tokens: 3_000 };
        let second = PromptPart { id: random.random_range(10..30), tokens: 1_000 };
        let prompt_parts = [vec![], vec![first], vec![first, second]];
        let left = Duration::from_millis(random.random_range(10..4_000));
        PlacementRequest {
            service: if random.random_bool(0.01) { "none" } else { "model" }.into(),
            route: "route".into(),
            request: format!("request {number}").into(),
            team: random
                .random_bool(0.7)
                .then(|| ["red", "blue"][random.random_range(0..2)].into()),
            program: random
                .random_bool(0.7)
                .then(|| format!("program {}", random.random_range(0..20)).into()),
            priority: random.random_range(0..2),
            is_continuation: random.random_bool(0.3),
            finish_by: now + left,
            deadline: now + Duration::from_millis(random.random_range(50..3_000)),
            prompt_parts: prompt_parts[random.random_range(0..3)].clone(),
            prompt_tokens: random.random_range(0..8_000),
            completion_tokens: random.random_range(0..500),
            may_repeat: random.random_bool(0.5),
            software_version: random.random_bool(0.1).then(|| "v2".into()),
            object: random.random_bool(0.3).then(|| ObjectKey(random.random_range(0..5))),
            excluded: if random.random_bool(0.1) { vec!["u0".into()] } else { vec![] },
        }
    }

    /// Changes the pool as time, responses and the platform do.
    async fn disturb(&mut self) {
        if self.random.random_bool(0.6) {
            sleep(Duration::from_millis(self.random.random_range(1..400))).await;
        }
        while self.random.random_bool(0.4) && !self.leases.is_empty() {
            let index = self.random.random_range(0..self.leases.len());
            let lease = self.leases.swap_remove(index);
            let load = ReportedLoad {
                running: self.random.random_range(0..4),
                waiting: 0,
                slots: 2,
                slowness: self.random.random_bool(0.5).then(|| self.random.random_range(0.5..3.0)),
            };
            if self.random.random_bool(0.5) {
                self.pool.record_load(lease.key, load);
            }
            if self.random.random_bool(0.03) {
                self.pool.record_leaving(&lease.record);
            }
            if self.random.random_bool(0.05) {
                let rate = RequestRate::from_per_second(self.random.random_range(1.0..20.0));
                self.pool.record_limit(&lease.record, rate);
            }
            let outcome = match self.random.random_range(0..10) {
                0 => LeaseOutcome::Failed,
                1 => LeaseOutcome::Full,
                2 => LeaseOutcome::Unreachable,
                3 => LeaseOutcome::Cancelled,
                _ => LeaseOutcome::Answered,
            };
            lease.finish(outcome);
        }
        if self.random.random_bool(0.02) {
            let number = self.random.random_range(0..12);
            self.list_upstream(number);
        }
    }

    /// Sends a request, after it was explained if that is asked for.
    fn send(&mut self, number: usize, is_explained: bool) {
        let request = self.request(number);
        let explained = is_explained.then(|| self.pool.explain(&request));

        if let Some(explained) = &explained {
            assert_eq!(
                self.pool.explain(&request),
                *explained,
                "the first explanation has an effect"
            );
        }

        let mut acquire = Box::pin({
            let (pool, request) = (Arc::clone(&self.pool), request.clone());
            async move { pool.acquire(request).await }
        });
        let result = acquire.as_mut().now_or_never();
        let outcome = match &result {
            Some(Ok(lease)) => {
                self.counts.placed += 1;
                format!("runs on {}", lease.record.id)
            }
            Some(Err(refusal)) => {
                self.counts.refused += 1;
                format!("{refusal:?}")
            }
            None => {
                self.counts.queued += 1;
                "waits".to_owned()
            }
        };

        if let Some(explained) = explained {
            let expected = match (&explained.upstream, &explained.refusal) {
                (Some(upstream), None) => format!("runs on {upstream}"),
                (None, Some(refusal)) => format!("{refusal:?}"),
                _ => "waits".to_owned(),
            };
            assert_eq!(outcome, expected, "request {number}: {request:?}\n{explained:#?}");
            let first = explained.candidates.first().filter(|it| it.is_chosen);
            assert_eq!(first.map(|it| &it.upstream), explained.upstream.as_ref());
            assert_eq!(explained.queue.position.is_some(), result.is_none());
        }

        self.outcomes.push(outcome);
        match result {
            Some(Ok(lease)) => self.leases.push(lease),
            Some(Err(_)) => (),
            None => drop(self.waiting.spawn(async move {
                if let Ok(lease) = acquire.await {
                    sleep(Duration::from_millis(200)).await;
                    lease.finish(LeaseOutcome::Answered);
                }
            })),
        }
    }
}

/// Runs one random schedule. Returns what has become of its requests.
fn run_schedule(seed: u64, is_explained: bool) -> (Vec<String>, OutcomeCounts) {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_time().start_paused(true).build().expect("the runtime starts");
    runtime.block_on(async {
        let mut pool = RandomPool::new(seed);
        for number in 0..STEPS {
            pool.disturb().await;
            pool.send(number, is_explained);
        }
        (pool.outcomes, pool.counts)
    })
}

/// Schedules that are run.
const SEEDS: u64 = 100;

/// Guards against an explanation by other rules than those of placement and admission, and against one that changes what becomes of
/// requests.
#[test]
fn explain_agrees_with_what_becomes_of_random_requests() {
    let mut sum = OutcomeCounts::default();
    for seed in 0..SEEDS {
        let (explained, counts) = run_schedule(seed, true);
        let (alone, _) = run_schedule(seed, false);
        assert_eq!(explained, alone, "seed {seed}: explanations change what becomes of requests");
        sum.placed += counts.placed;
        sum.queued += counts.queued;
        sum.refused += counts.refused;
    }
    println!("{sum:?}");
    let least = SEEDS as usize;
    assert!(sum.placed > least && sum.queued > least && sum.refused > least, "{sum:?}");
}
