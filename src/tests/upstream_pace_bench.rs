//! Deterministic bench of slow start in virtual time: upstreams that join a loaded service and are slow until they are warm.
//! See docs/design/pace.md.

use std::{collections::BTreeMap, sync::Arc};

use parking_lot::Mutex;
use tokio::time::{Duration, Instant, sleep, sleep_until};

use super::{entry_fakes::upstream, entry_placement::request, upstream_load_bench::BenchRandom};
use crate::entry::{
    PlacementPool, ReportedLoad, placement_request::PlacementRequest, pooled_upstream::LeaseOutcome,
};

const SLOTS: u32 = 8;
const FIRST_EVENT: Duration = Duration::from_millis(60);
const WHOLE: Duration = Duration::from_millis(200);
/// Factor by which a cold upstream takes longer.
const COLD_FACTOR: u32 = 10;
const JOIN_AT: Duration = Duration::from_secs(10);
const RUN_TIME: Duration = Duration::from_secs(45);
const BUCKET_MS: u128 = 500;

/// How new upstreams are treated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum JoinMode {
    /// As this code treats them.
    Paced,
    /// They get requests like all others at once, as before slow start.
    Unpaced,
    /// They are listed when they are warm, which no host can know.
    Ideal,
}

/// A case: `joining` upstreams are listed at the same time, and as many leave if `replaces` is set.
#[derive(Clone, Copy, Debug)]
struct JoinCase {
    old: usize,
    joining: usize,
    replaces: bool,
    warm_up: Duration,
    /// Period of an upstream that fails every other second, if it does.
    flaps: bool,
    hosts: usize,
    load_share: f64,
}

impl Default for JoinCase {
    fn default() -> Self {
        Self {
            old: 15,
            joining: 1,
            replaces: false,
            warm_up: Duration::ZERO,
            flaps: false,
            hosts: 6,
            load_share: 0.65,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct JoinTotals {
    late: u64,
    failed: u64,
    refused: u64,
    answers: u64,
    /// Answers of new upstreams by time since they joined, in steps of [`BUCKET_MS`].
    new_answers: Vec<u64>,
}

#[derive(Debug)]
struct JoinBench {
    case: JoinCase,
    pools: Vec<Arc<PlacementPool>>,
    running: Mutex<Vec<u32>>,
    totals: Mutex<JoinTotals>,
    joined_at: Instant,
}

impl JoinBench {
    /// When work of a length ends at an upstream: while it is cold, work takes longer.
    fn done_at(&self, index: usize, work: Duration) -> Instant {
        let now = Instant::now();
        let warm_at = self.joined_at + self.case.warm_up;
        if index < self.case.old || now >= warm_at {
            return now + work;
        }
        (now + work * COLD_FACTOR).min(warm_at + work)
    }

    async fn run_request(self: Arc<Self>, host: usize) {
        let arrived_at = Instant::now();
        let mut excluded = Vec::new();

        for _ in 0..4 {
            let request = PlacementRequest { excluded: excluded.clone(), ..request(0, false) };
            let Ok(mut lease) = self.pools[host].acquire(request).await else {
                self.totals.lock().refused += 1;
                return;
            };
            let index: usize = lease.record.id["u".len()..].parse().expect("a number");
            let running = {
                let mut running = self.running.lock();
                running[index] += 1;
                running[index]
            };
            let load = ReportedLoad {
                running: running.min(SLOTS),
                waiting: 0,
                slots: SLOTS,
                slowness: None,
            };
            let is_new = index >= self.case.old;
            let seconds = self.joined_at.elapsed().as_secs();
            let outcome = if running > SLOTS {
                self.pools[host].record_load(lease.key, load);
                LeaseOutcome::Full
            } else if is_new && self.case.flaps && seconds % 2 == 1 {
                sleep(FIRST_EVENT).await;
                self.totals.lock().failed += 1;
                LeaseOutcome::Failed
            } else {
                let (first_at, done_at) =
                    (self.done_at(index, FIRST_EVENT), self.done_at(index, WHOLE));
                sleep_until(first_at).await;
                self.pools[host].record_load(lease.key, load);
                lease.record_first_event();
                sleep_until(done_at).await;
                LeaseOutcome::Answered
            };
            self.running.lock()[index] -= 1;
            excluded.push(Arc::clone(&lease.record.id));
            lease.finish(outcome);

            if outcome == LeaseOutcome::Answered {
                let mut totals = self.totals.lock();
                totals.answers += 1;
                totals.late += u64::from(arrived_at.elapsed() > WHOLE * 2);
                if is_new {
                    let bucket = (self.joined_at.elapsed().as_millis() / BUCKET_MS) as usize;
                    let length = totals.new_answers.len().max(bucket + 1);
                    totals.new_answers.resize(length, 0);
                    totals.new_answers[bucket] += 1;
                }
                return;
            }
        }
        self.totals.lock().refused += 1;
    }
}

fn join(pools: &[Arc<PlacementPool>], case: JoinCase, mode: JoinMode) {
    for pool in pools {
        for index in case.old..case.old + case.joining {
            let mut record = upstream(&format!("u{index}"), "model", SLOTS);
            record.started_at_ms = if mode == JoinMode::Paced { 900_000 } else { 1 };
            pool.upsert(record);
            if case.replaces {
                pool.remove(&format!("u{}", index - case.old), 2);
            }
        }
    }
}

async fn run_case(name: &str, case: JoinCase, mode: JoinMode) -> JoinTotals {
    let pools: Vec<_> = (0..case.hosts)
        .map(|_| {
            let pool = Arc::new(PlacementPool::new("dc-a".into(), BTreeMap::new()));
            let records =
                (0..case.old).map(|it| upstream(&format!("u{it}"), "model", SLOTS)).collect();
            pool.reset(records, 1, None);
            pool
        })
        .collect();
    let begun_at = Instant::now();
    let bench = Arc::new(JoinBench {
        case,
        pools,
        running: Mutex::new(vec![0; case.old + case.joining]),
        totals: Mutex::default(),
        joined_at: begun_at + JOIN_AT,
    });
    let listed_at = match mode {
        JoinMode::Ideal => bench.joined_at + case.warm_up,
        _ => bench.joined_at,
    };
    let rate = f64::from(SLOTS) * case.old as f64 / WHOLE.as_secs_f64() * case.load_share;
    let (mut number, mut has_joined) = (0_u64, false);
    let (mut random, mut next_at) = (BenchRandom(7), begun_at);

    while begun_at.elapsed() < RUN_TIME {
        next_at += Duration::from_secs_f64(-(1.0 - random.next_unit()).ln() / rate);
        if !has_joined && next_at >= listed_at {
            sleep_until(listed_at).await;
            join(&bench.pools, case, mode);
            has_joined = true;
        }
        sleep_until(next_at).await;
        bench.pools.iter().filter(|_| number.is_multiple_of(64)).for_each(|it| it.maintain());
        let host = (random.next_unit() * case.hosts as f64) as usize;
        tokio::spawn(Arc::clone(&bench).run_request(host));
        number += 1;
    }
    sleep(WHOLE * COLD_FACTOR * 2).await;
    let totals = bench.totals.lock().clone();
    let upstream_count = if case.replaces { case.old } else { case.old + case.joining };
    let usual = rate / upstream_count as f64 * case.joining as f64 * BUCKET_MS as f64 / 1_000.0;
    let loaded = totals.new_answers.iter().position(|it| *it as f64 >= usual * 0.9);
    println!(
        "{name} {mode:?}: {:?} ms until 90 % of the usual load, late {}, failed {}, refused {}, answers {}",
        loaded.map(|it| (it as u128 + 1) * BUCKET_MS),
        totals.late,
        totals.failed,
        totals.refused,
        totals.answers
    );
    totals
}

/// Guards against slow start that makes more requests late than it spares, or that keeps load from warm upstreams.
#[tokio::test(start_paused = true)]
async fn upstream_pace_bench_makes_fewer_requests_late() {
    for hosts in [6, 1] {
        for seconds in [0, 1, 5, 20, 1_000] {
            let warm_up = Duration::from_secs(seconds);
            let case = JoinCase { warm_up, hosts, ..JoinCase::default() };
            let name = format!("{hosts} hosts, warm-up of {seconds} s");
            let paced = run_case(&name, case, JoinMode::Paced).await;
            let unpaced = run_case(&name, case, JoinMode::Unpaced).await;
            run_case(&name, case, JoinMode::Ideal).await;
            assert!(paced.late <= unpaced.late, "{name}: {} and {}", paced.late, unpaced.late);
        }
    }
}

/// Guards against slow start of many upstreams that leaves too few for the load.
#[tokio::test(start_paused = true)]
async fn upstream_pace_bench_bears_many_starts() {
    let ten = JoinCase { old: 16, joining: 10, ..JoinCase::default() };
    let half =
        JoinCase { old: 16, joining: 8, replaces: true, load_share: 0.45, ..JoinCase::default() };
    for seconds in [0, 5] {
        for (name, case) in [("ten start", ten), ("half is replaced", half)] {
            let case = JoinCase { warm_up: Duration::from_secs(seconds), ..case };
            let name = format!("{name}, warm-up of {seconds} s");
            let paced = run_case(&name, case, JoinMode::Paced).await;
            let unpaced = run_case(&name, case, JoinMode::Unpaced).await;
            run_case(&name, case, JoinMode::Ideal).await;
            assert!(paced.late <= unpaced.late, "{name}: {} and {}", paced.late, unpaced.late);
        }
    }
}

/// Guards against an upstream that fails every other second and gets a full load in between.
#[tokio::test(start_paused = true)]
async fn upstream_pace_bench_bears_an_upstream_that_flaps() {
    let case = JoinCase { flaps: true, ..JoinCase::default() };
    // 221 requests failed without slow start after failures.
    for mode in [JoinMode::Paced, JoinMode::Unpaced] {
        let totals = run_case("flaps", case, mode).await;
        assert!(totals.failed < 120, "{} requests failed", totals.failed);
    }
}
