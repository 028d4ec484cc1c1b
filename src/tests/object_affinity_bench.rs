//! Deterministic bench of the placement of requests about objects: hosts that each know only their own requests and the
//! reports of upstreams, in virtual time. See docs/design/object-affinity.md, "Figures".

use std::{collections::HashMap, sync::Arc};

use parking_lot::Mutex;
use tokio::time::{Duration, Instant, sleep, sleep_until};

use super::{entry_fakes::upstream, entry_placement::request, upstream_load_bench::BenchRandom};
use crate::entry::{
    PlacementPool, ReportedLoad, object_affinity::object_key::ObjectKey,
    placement_request::PlacementRequest, pooled_upstream::LeaseOutcome,
};

const HOSTS: usize = 50;
const UPSTREAMS: usize = 20;
const FAST_UPSTREAMS: usize = 5;
const FAST_SPEED: f64 = 1.3;
const SLOTS: u32 = 6;
const OBJECTS: usize = 4_000;
const WORK_MS: f64 = 40.0;
/// Time for which an upstream has an object after it has handled it.
const MEMORY: Duration = Duration::from_secs(5);
const WARM_UP: Duration = Duration::from_secs(6);
/// Time after the warm-up.
const RUN_TIME: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug)]
pub(super) struct ObjectLoad {
    /// Share of the requests that the upstreams bear when they have no object.
    pub(super) share: f64,
    pub(super) is_skewed: bool,
    pub(super) has_affinity: bool,
    /// Part of the work that is left at an upstream that has the object.
    pub(super) warm_part: f64,
}

#[derive(Debug, Default)]
struct ObjectUpstream {
    running: u32,
    handled_at: HashMap<usize, Instant>,
    busy_ms: f64,
}

/// Outcome of a run after its warm-up.
#[derive(Debug, Default)]
pub(super) struct ObjectTotals {
    times_ms: Vec<f64>,
    pub(super) rejections: usize,
    pub(super) refusals: usize,
    pub(super) fullest: f64,
}

impl ObjectTotals {
    pub(super) fn mean_ms(&self) -> f64 {
        self.times_ms.iter().sum::<f64>() / self.times_ms.len() as f64
    }

    fn percentile_ms(&self, share: f64) -> f64 {
        let mut times = self.times_ms.clone();
        times.sort_by(f64::total_cmp);
        times[(times.len() as f64 * share) as usize]
    }
}

#[derive(Debug)]
struct ObjectBench {
    load: ObjectLoad,
    pools: Vec<Arc<PlacementPool>>,
    upstreams: Mutex<Vec<ObjectUpstream>>,
    totals: Mutex<ObjectTotals>,
    begun_at: Instant,
}

impl ObjectBench {
    fn new(load: ObjectLoad) -> Arc<Self> {
        let data_centre = |index: usize| -> Arc<str> { ["dc-a", "dc-b"][index % 2].into() };
        let regions = [("dc-a".into(), "north".into()), ("dc-b".into(), "north".into())];
        let pools = (0..HOSTS).map(|host| {
            let pool = Arc::new(PlacementPool::new(data_centre(host), regions.clone().into()));
            pool.limits().lock().set_hosts(&format!("host-{host}").into(), Vec::new());
            for index in 0..UPSTREAMS {
                let mut record = upstream(&format!("plain-{index}"), "model", SLOTS);
                record.data_centre = data_centre(index);
                pool.upsert(record);
            }
            pool
        });
        Arc::new(Self {
            load,
            pools: pools.collect(),
            upstreams: Mutex::new((0..UPSTREAMS).map(|_| ObjectUpstream::default()).collect()),
            totals: Mutex::default(),
            begun_at: Instant::now(),
        })
    }

    async fn run_request(self: Arc<Self>, id: Arc<str>, host: usize, object: usize, work: f64) {
        let begun_at = Instant::now();
        let is_counted = self.begun_at.elapsed() > WARM_UP;
        let mut excluded = Vec::new();

        for _ in 0..4 {
            let key = ObjectKey((object as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
            let request = PlacementRequest {
                request: Arc::clone(&id),
                prompt_tokens: 0,
                object: self.load.has_affinity.then_some(key),
                excluded: excluded.clone(),
                ..request(0, false)
            };
            let Ok(lease) = self.pools[host].acquire(request).await else {
                break;
            };
            let index: usize = lease.record.id["plain-".len()..].parse().expect("a number");
            let trip_ms = if index % 2 == host % 2 { 1 } else { 3 };
            sleep(Duration::from_millis(trip_ms)).await;
            let work_ms = self.admit(index, object, work, is_counted);

            if let Some(work_ms) = work_ms {
                sleep(Duration::from_secs_f64(work_ms / 1_000.0)).await;
                self.upstreams.lock()[index].running -= 1;
            }
            let running = self.upstreams.lock()[index].running;
            let load = ReportedLoad { running, waiting: 0, slots: SLOTS, slowness: None };
            self.pools[host].record_load(lease.key, load);

            if work_ms.is_none() {
                excluded.push(Arc::clone(&lease.record.id));
                lease.finish(LeaseOutcome::Full);
                self.totals.lock().rejections += usize::from(is_counted);
                continue;
            }
            lease.finish(LeaseOutcome::Answered);
            if is_counted {
                let time_ms = begun_at.elapsed().as_secs_f64() * 1_000.0;
                self.totals.lock().times_ms.push(time_ms);
            }
            return;
        }
        self.totals.lock().refusals += usize::from(is_counted);
    }

    /// Starts a request on an upstream and returns its time; `None` if the upstream is full.
    fn admit(&self, index: usize, object: usize, work: f64, is_counted: bool) -> Option<f64> {
        let now = Instant::now();
        let upstream = &mut self.upstreams.lock()[index];
        if upstream.running >= SLOTS {
            return None;
        }
        upstream.running += 1;
        let last = upstream.handled_at.insert(object, now);
        let is_warm = last.is_some_and(|at| now - at < MEMORY);
        let part = if is_warm { self.load.warm_part } else { 1.0 };
        let speed = if index < FAST_UPSTREAMS { FAST_SPEED } else { 1.0 };
        let time_ms = WORK_MS * work * part / speed;
        upstream.busy_ms += if is_counted { time_ms } else { 0.0 };
        Some(time_ms)
    }
}

/// Cumulated popularity of the objects; the most popular one of a skewed load has a ninth of the requests.
fn popularity(is_skewed: bool) -> Vec<f64> {
    let weight = |object: usize| if is_skewed { 1.0 / (object + 1) as f64 } else { 1.0 };
    let total: f64 = (0..OBJECTS).map(weight).sum();
    let cumulated = (0..OBJECTS).scan(0.0, |sum, object| {
        *sum += weight(object) / total;
        Some(*sum)
    });
    cumulated.collect()
}

pub(super) async fn run_objects(load: ObjectLoad) -> ObjectTotals {
    let bench = ObjectBench::new(load);
    let popularity = popularity(load.is_skewed);
    let mut random = BenchRandom(11);
    let mut next_at = bench.begun_at;
    let speeds = (UPSTREAMS - FAST_UPSTREAMS) as f64 + FAST_UPSTREAMS as f64 * FAST_SPEED;
    let rate_per_s = speeds * f64::from(SLOTS) / (WORK_MS / 1_000.0) * load.share;

    while bench.begun_at.elapsed() < WARM_UP + RUN_TIME {
        sleep_until(next_at).await;
        let host = (random.next_unit() * HOSTS as f64) as usize;
        let point = random.next_unit();
        let object = popularity.partition_point(|sum| *sum < point).min(OBJECTS - 1);
        let work = 0.5 + random.next_unit();
        let id = format!("{next_at:?}");
        tokio::spawn(Arc::clone(&bench).run_request(id.into(), host, object, work));
        next_at += Duration::from_secs_f64(-(1.0 - random.next_unit()).ln() / rate_per_s);
    }
    sleep(Duration::from_secs(1)).await;
    let mut totals = std::mem::take(&mut *bench.totals.lock());
    let slots_ms = RUN_TIME.as_secs_f64() * 1_000.0 * f64::from(SLOTS);
    let upstreams = bench.upstreams.lock();
    totals.fullest = upstreams.iter().map(|it| it.busy_ms / slots_ms).fold(0.0, f64::max);
    println!(
        "load {} skewed {} warm part {} affinity {}: mean {:.1} ms, p95 {:.1} ms, requests {}, rejections {}, refusals {}, fullest {:.2}",
        load.share,
        load.is_skewed,
        load.warm_part,
        load.has_affinity,
        totals.mean_ms(),
        totals.percentile_ms(0.95),
        totals.times_ms.len(),
        totals.rejections,
        totals.refusals,
        totals.fullest
    );
    totals
}

/// Guards against hosts that send requests about one object to different upstreams, and against a preference that fills
/// some upstreams while others are idle.
#[tokio::test(start_paused = true)]
async fn object_affinity_bench_saves_time_at_all_loads() {
    for is_skewed in [false, true] {
        for share in [0.3, 0.6, 0.9] {
            let load = ObjectLoad { share, is_skewed, has_affinity: false, warm_part: 0.5 };
            let without = run_objects(load).await;
            let with = run_objects(ObjectLoad { has_affinity: true, ..load }).await;
            let saved = 1.0 - with.mean_ms() / without.mean_ms();
            assert!(saved > 0.1, "{saved} of the time was saved at load {share}");
            let limit = without.rejections + with.times_ms.len() / 100;
            assert!(with.rejections <= limit, "more rejections at load {share}");
            assert!(with.refusals <= without.refusals, "more refusals at load {share}");
        }
    }
}

/// Guards against harm by the preference where upstreams are not faster for an object that they have handled.
#[tokio::test(start_paused = true)]
async fn object_affinity_bench_costs_little_without_any_gain() {
    for share in [0.3, 0.6, 0.9] {
        let load = ObjectLoad { share, is_skewed: true, has_affinity: false, warm_part: 1.0 };
        let without = run_objects(load).await;
        let with = run_objects(ObjectLoad { has_affinity: true, ..load }).await;
        let lost = with.mean_ms() / without.mean_ms() - 1.0;
        assert!(lost < 0.05, "{lost} of the time was lost at load {share}");
    }
}
