//! Deterministic bench of the placement code: hosts that share the engines of a region, in virtual time. See
//! docs/design/upstream-load.md, "Shared prompt parts".

use std::{collections::BTreeMap, sync::Arc};

use parking_lot::Mutex;
use tokio::time::{Duration, Instant, sleep, sleep_until};

use super::{entry_fakes::upstream, entry_placement::request};
use crate::entry::{
    PlacementPool, PromptPart, ReportedLoad, placement_request::PlacementRequest,
    pooled_upstream::LeaseOutcome, prompt_cache::PromptCache,
};

const HOSTS: usize = 6;
const ENGINES: usize = 16;
const SLOTS: u32 = 8;
const ENGINE_MEMORY_TOKENS: u64 = 234_075;
const SHARED_PARTS: u64 = 16;
const SHARED_TOKENS: u64 = 12_600;
const PREFILL_TOKENS_PER_MS: f64 = 247.0;
const WARM_UP: Duration = Duration::from_secs(10);
const RUN_TIME: Duration = Duration::from_secs(70);

/// An engine with its real cache, which all hosts use.
#[derive(Debug, Default)]
struct BenchEngine {
    cache: PromptCache,
    running: u32,
}

/// Sums over all turns after the warm-up.
#[derive(Clone, Debug, Default)]
struct BenchTotals {
    turns: u64,
    read_tokens: u64,
    /// Tokens of shared parts that were read although another engine had them.
    repeated_tokens: u64,
    rejections: u64,
    refusals: u64,
    turn_ms: f64,
}

impl BenchTotals {
    fn repeated_share(&self) -> f64 {
        self.repeated_tokens as f64 / self.read_tokens as f64
    }

    fn mean_turn_ms(&self) -> f64 {
        self.turn_ms / self.turns as f64
    }
}

/// Linear congruential generator, so that each run has the same load.
#[derive(Debug)]
pub(super) struct BenchRandom(pub(super) u64);

impl BenchRandom {
    pub(super) fn next_unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963);
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// A shared part; the most popular one has about a sixth of the load.
    fn next_part(&mut self) -> u64 {
        let weight = |part: u64| (part as f64).powf(-0.7);
        let mut rest = self.next_unit() * (1..=SHARED_PARTS).map(weight).sum::<f64>();
        (1..SHARED_PARTS)
            .find(|part| {
                rest -= weight(*part);
                rest < 0.0
            })
            .unwrap_or(SHARED_PARTS)
    }
}

#[derive(Debug)]
struct RegionBench {
    pools: Vec<Arc<PlacementPool>>,
    engines: Mutex<Vec<BenchEngine>>,
    totals: Mutex<BenchTotals>,
    begun_at: Instant,
}

impl RegionBench {
    fn new(hosts: usize) -> Arc<Self> {
        let data_centre = |index: usize| -> Arc<str> { ["dc-a", "dc-b"][index % 2].into() };
        let regions =
            BTreeMap::from([("dc-a".into(), "north".into()), ("dc-b".into(), "north".into())]);
        let pools = (0..hosts).map(|host| {
            let pool = Arc::new(PlacementPool::new(data_centre(host), regions.clone()));
            let name = format!("host-{host}").into();
            pool.limits().lock().set_hosts(&name, Vec::new());
            for engine in 0..ENGINES {
                let mut record = upstream(&format!("engine-{engine}"), "model", SLOTS);
                record.data_centre = data_centre(engine);
                pool.upsert(record);
            }
            pool.set_cache_capacities([("model".into(), ENGINE_MEMORY_TOKENS)].into());
            pool
        });
        let engines = (0..ENGINES).map(|_| {
            let mut engine = BenchEngine::default();
            engine.cache.set_capacity(ENGINE_MEMORY_TOKENS);
            engine
        });
        Arc::new(Self {
            pools: pools.collect(),
            engines: Mutex::new(engines.collect()),
            totals: Mutex::default(),
            begun_at: Instant::now(),
        })
    }

    /// Runs a program whose turns all pass through one host.
    async fn run_program(self: Arc<Self>, host: usize, part: u64, session: u64, turns: u64) {
        for turn in 0..turns {
            let own_tokens = 1_000 + turn * 7_000 / 11;
            let parts = vec![
                PromptPart { id: part, tokens: SHARED_TOKENS },
                PromptPart { id: 1_000 + session, tokens: own_tokens },
            ];
            self.run_turn(host, parts, turn > 0).await;
            sleep(Duration::from_millis(20)).await;
        }
    }

    async fn run_turn(&self, host: usize, parts: Vec<PromptPart>, is_continuation: bool) {
        let begun_at = Instant::now();
        let prompt_tokens = parts.iter().map(|it| it.tokens).sum();
        let mut excluded = Vec::new();

        for _ in 0..4 {
            let request = PlacementRequest {
                prompt_parts: parts.clone(),
                prompt_tokens,
                excluded: excluded.clone(),
                ..request(0, is_continuation)
            };
            let Ok(mut lease) = self.pools[host].acquire(request).await else {
                self.totals.lock().refusals += 1;
                return;
            };
            let index: usize = lease.record.id["engine-".len()..].parse().expect("a number");
            let (is_full, running, uncached) = self.admit(index, &parts);
            let load = ReportedLoad { running, waiting: 0, slots: SLOTS, slowness: None };

            if is_full {
                self.pools[host].record_load(lease.key, load);
                excluded.push(Arc::clone(&lease.record.id));
                lease.finish(LeaseOutcome::Full);
                self.totals.lock().rejections += 1;
                continue;
            }

            let prefill_ms = 5.0 + uncached as f64 / PREFILL_TOKENS_PER_MS;
            sleep(Duration::from_secs_f64(prefill_ms / 1_000.0)).await;
            self.pools[host].record_load(lease.key, load);
            lease.record_first_event();
            let decode_ms = 238.0 * (0.9 + 0.038 * f64::from(running));
            sleep(Duration::from_secs_f64(decode_ms / 1_000.0)).await;
            self.engines.lock()[index].running -= 1;
            lease.finish(LeaseOutcome::Answered);

            if self.begun_at.elapsed() > WARM_UP {
                let mut totals = self.totals.lock();
                totals.turns += 1;
                totals.turn_ms += begun_at.elapsed().as_secs_f64() * 1_000.0;
            }
            return;
        }
    }

    /// Starts a request on an engine. Returns whether the engine is full, its running requests and the tokens to be read.
    fn admit(&self, index: usize, parts: &[PromptPart]) -> (bool, u32, u64) {
        let mut engines = self.engines.lock();
        if engines[index].running >= SLOTS {
            return (true, engines[index].running, 0);
        }
        let tokens: u64 = parts.iter().map(|it| it.tokens).sum();
        let uncached = tokens - engines[index].cache.cached_tokens(parts);
        let shared = &parts[..1];
        let is_elsewhere = engines.iter().any(|it| it.cache.cached_tokens(shared) > 0);
        let is_here = engines[index].cache.cached_tokens(shared) > 0;
        engines[index].cache.record(parts);
        engines[index].running += 1;

        if self.begun_at.elapsed() > WARM_UP {
            let mut totals = self.totals.lock();
            totals.read_tokens += uncached;
            totals.repeated_tokens += if is_elsewhere && !is_here { SHARED_TOKENS } else { 0 };
        }
        (false, engines[index].running, uncached)
    }
}

/// Runs a load, as a share of about 400 turns a second that the engines bear.
async fn run_region(hosts: usize, load_share: f64) -> BenchTotals {
    let bench = RegionBench::new(hosts);
    let mut random = BenchRandom(7);
    let mut next_at = bench.begun_at;
    let mut session = 0;

    while bench.begun_at.elapsed() < RUN_TIME {
        sleep_until(next_at).await;
        let host = (random.next_unit() * hosts as f64) as usize;
        let turns = if random.next_unit() < 0.5 { 3 } else { 11 };
        let part = random.next_part();
        tokio::spawn(Arc::clone(&bench).run_program(host, part, session, turns));
        session += 1;
        // Programs have 7 turns on average.
        let mean_gap_s = 7.0 / (400.0 * load_share);
        next_at += Duration::from_secs_f64(-mean_gap_s * (1.0 - random.next_unit()).ln());
    }
    let totals = bench.totals.lock().clone();
    println!(
        "hosts {hosts} load {load_share}: repeated share {:.3}, turn {:.1} ms, turns {}, rejections {}, refusals {}",
        totals.repeated_share(),
        totals.mean_turn_ms(),
        totals.turns,
        totals.rejections,
        totals.refusals
    );
    totals
}

/// Guards against hosts that each build up their own set of engines for the same shared part.
#[tokio::test(start_paused = true)]
async fn upstream_load_bench_shares_prompt_parts_between_hosts() {
    for (load_share, limit) in [(0.25, 0.1), (0.5, 0.1), (0.65, 0.1), (0.8, 0.11)] {
        let totals = run_region(HOSTS, load_share).await;
        let share = totals.repeated_share();
        assert!(share < limit, "{share} of the reads were repeated at load {load_share}");
        assert_eq!(totals.refusals, 0, "a turn was refused at load {load_share}");
    }
}

/// Guards against a preference that helps six pools and harms the single pool of a dispatcher.
#[tokio::test(start_paused = true)]
async fn upstream_load_bench_shares_prompt_parts_in_one_pool() {
    for load_share in [0.25, 0.5, 0.65, 0.8] {
        let totals = run_region(1, load_share).await;
        let share = totals.repeated_share();
        assert!(share < 0.05, "{share} of the reads were repeated at load {load_share}");
    }
}
