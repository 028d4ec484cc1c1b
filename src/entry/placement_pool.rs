//! Chooses upstreams for requests, and holds requests back while all are full.
//!
//! The decision is in [`PoolState`], which reads no clock and does no I/O. See docs/design/platform.md, "Placement".

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use parking_lot::Mutex;
use slotmap::{SlotMap, new_key_type};
use tokio::{
    sync::oneshot,
    time::{Duration, Instant, timeout_at},
};

use crate::entry::{
    UpstreamRecord,
    placement_request::{PlacementRefusal, PlacementRequest},
    pooled_upstream::{PooledUpstream, UpstreamVerdict},
    upstream_channel::ReportedLoad,
    upstream_lease::UpstreamLease,
};

new_key_type! {
    /// Key of an upstream in its pool's arena.
    pub(crate) struct PooledKey;
}

/// Prompt tokens that an engine reads in a millisecond, from the users' sheets.
const PREFILL_TOKENS_PER_MS: f64 = 147.0;

/// What one more running request costs all that run beside it, in milliseconds: an answer of 250 tokens, 0.038 ms a
/// token, felt by the request and by its neighbours.
const NEIGHBOUR_COST_MS: f64 = 18.0;

/// What sending a request to another region costs against waiting, in milliseconds: the way there and back, and the
/// price of its bytes.
const REGION_COST_MS: f64 = 120.0;

/// What sending a request to another data centre of the region costs, in milliseconds.
const DATA_CENTRE_COST_MS: f64 = 12.0;

/// Time that a request is thought to stay before any has been seen.
const FIRST_STAY: Duration = Duration::from_millis(300);

/// Weight of a new sample in the mean stay, one part in this many.
const MEAN_PARTS: u32 = 16;

/// Part of its remaining time that a request may be expected to wait.
const WAIT_SHARE: f64 = 0.5;

/// Longest expected wait with which a request is taken into the queue.
const WAIT_LIMIT: Duration = Duration::from_millis(1_200);

/// Shortest time after which a refused client is asked to come back.
const RETRY_AFTER_FLOOR: Duration = Duration::from_millis(100);

/// Time for which an upstream that the list has dropped is kept after the store came back: its entry may have lapsed
/// while the store was away, and returns within two seconds if the upstream lives.
const LAPSE_GRACE: Duration = Duration::from_millis(2_100);

/// Position in a queue: priority, then work that was begun, then the program that should end first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct QueuePosition {
    priority: u32,
    is_new: bool,
    finish_by: Instant,
    ticket: u64,
}

#[derive(Debug)]
struct WaitingRequest {
    request: PlacementRequest,
    grant: oneshot::Sender<GrantedPlace>,
}

#[derive(Clone, Debug)]
struct GrantedPlace {
    key: PooledKey,
    record: Arc<UpstreamRecord>,
    cached_tokens: u64,
}

#[derive(Debug)]
struct ServicePool {
    keys: Vec<PooledKey>,
    waiting: BTreeMap<QueuePosition, WaitingRequest>,
    mean_stay: Duration,
}

impl Default for ServicePool {
    fn default() -> Self {
        Self { keys: Vec::new(), waiting: BTreeMap::new(), mean_stay: FIRST_STAY }
    }
}

#[derive(Debug, Default)]
struct PoolState {
    upstreams: SlotMap<PooledKey, PooledUpstream>,
    by_id: HashMap<Arc<str>, PooledKey>,
    services: HashMap<Arc<str>, ServicePool>,
    cache_tokens: HashMap<Arc<str>, u64>,
    next_ticket: u64,
    /// When the store answered again after an outage.
    store_returned: Option<Instant>,
    is_store_away: bool,
}

/// Upstreams of all services as one entry host sees them.
#[derive(Debug)]
pub struct PlacementPool {
    data_centre: Arc<str>,
    regions: BTreeMap<Arc<str>, Arc<str>>,
    state: Mutex<PoolState>,
}

impl PlacementPool {
    /// Makes an empty pool for a host in a data centre. `regions` has the region of each data centre.
    pub fn new(data_centre: Arc<str>, regions: BTreeMap<Arc<str>, Arc<str>>) -> Self {
        Self { data_centre, regions, state: Mutex::default() }
    }

    /// Takes the sizes of the upstreams' caches from the configuration.
    pub(crate) fn set_cache_tokens(&self, sizes: HashMap<Arc<str>, u64>) {
        let mut state = self.state.lock();

        for upstream in state.upstreams.values_mut() {
            let tokens = sizes.get(&upstream.record.service).copied().unwrap_or(0);
            upstream.cache.set_capacity(tokens);
        }

        state.cache_tokens = sizes;
    }

    /// Takes the whole list of upstreams.
    pub fn reset(&self, records: Vec<UpstreamRecord>) {
        let listed: std::collections::HashSet<Arc<str>> =
            records.iter().map(|it| Arc::clone(&it.id)).collect();
        records.into_iter().for_each(|record| self.upsert(record));

        let missing: Vec<Arc<str>> = {
            let state = self.state.lock();
            state.by_id.keys().filter(|id| !listed.contains(*id)).cloned().collect()
        };
        missing.iter().for_each(|id| self.remove(id));
    }

    /// Takes the list's newest word about one upstream.
    pub fn upsert(&self, record: UpstreamRecord) {
        let mut state = self.state.lock();
        let record = Arc::new(record);
        let service = Arc::clone(&record.service);

        if let Some(key) = state.by_id.get(&record.id).copied() {
            let old = Arc::clone(&state.upstreams[key].record);

            if old.phase != record.phase || old.started_at_ms != record.started_at_ms {
                log::info!(
                    upstream:% = record.id, phase:? = record.phase, born_ms = record.started_at_ms;
                    "an upstream's entry has changed"
                );
            }

            state.upstreams[key].update(record);
            if old.service != service {
                state.leave_service(&old.service, key);
                state.services.entry(Arc::clone(&service)).or_default().keys.push(key);
            }
        } else {
            let cache_tokens = state.cache_tokens.get(&service).copied().unwrap_or(0);
            let id = Arc::clone(&record.id);
            log::info!(upstream:% = id, service:% = service, data_centre:% = record.data_centre; "an upstream is listed");
            let key = state.upstreams.insert(PooledUpstream::new(record, cache_tokens));
            state.by_id.insert(id, key);
            state.services.entry(Arc::clone(&service)).or_default().keys.push(key);
        }

        self.serve_queue(&mut state, &service);
    }

    /// Takes note that the list has no entry for an upstream any more. While the store is away, and just after, that
    /// may be because the entry has lapsed; the upstream is kept until [`LAPSE_GRACE`] has passed.
    pub fn remove(&self, id: &str) {
        let now = Instant::now();
        let mut state = self.state.lock();
        let Some(key) = state.by_id.get(id).copied() else {
            return;
        };

        if state.may_have_lapsed(now) {
            state.upstreams[key].dropped_at.get_or_insert(now);
            log::info!(upstream = id; "an upstream's entry is missing after an outage of the store; kept for now");
        } else {
            state.drop_upstream(key);
            log::info!(upstream = id; "an upstream is gone");
        }
    }

    /// Learns whether the store answers.
    pub fn set_store_availability(&self, is_available: bool) {
        let mut state = self.state.lock();
        state.is_store_away = !is_available;
        if is_available {
            state.store_returned = Some(Instant::now());
        }
    }

    /// Removes upstreams whose entries have not come back after an outage.
    pub(crate) fn expire(&self) {
        let now = Instant::now();
        let mut state = self.state.lock();

        if state.may_have_lapsed(now) {
            return;
        }

        let gone: Vec<PooledKey> = state
            .upstreams
            .iter()
            .filter(|(_, upstream)| upstream.dropped_at.is_some())
            .map(|(key, _)| key)
            .collect();

        for key in gone {
            log::info!(upstream:% = state.upstreams[key].record.id; "an upstream has not come back after the outage and is gone");
            state.drop_upstream(key);
        }

        let services: Vec<Arc<str>> = state.services.keys().cloned().collect();
        services.iter().for_each(|service| self.serve_queue(&mut state, service));
    }

    /// Waits for a place at an upstream.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        request: PlacementRequest,
    ) -> Result<UpstreamLease, PlacementRefusal> {
        let deadline = request.deadline;
        let service = Arc::clone(&request.service);

        let (receiver, position) = {
            let now = Instant::now();
            let mut state = self.state.lock();
            let pool = state.services.get(&service);
            let is_queue_empty = pool.is_none_or(|pool| pool.waiting.is_empty());

            if is_queue_empty && let Some(place) = self.place(&mut state, now, &request) {
                return Ok(self.lease(place, now));
            }

            state.check_wait(now, &request)?;
            state.next_ticket += 1;
            let position = QueuePosition {
                priority: request.priority,
                is_new: !request.is_continuation,
                finish_by: request.finish_by,
                ticket: state.next_ticket,
            };
            let (grant, receiver) = oneshot::channel();
            let pool = state.services.entry(Arc::clone(&service)).or_default();
            pool.waiting.insert(position, WaitingRequest { request, grant });
            self.serve_queue(&mut state, &service);
            (receiver, position)
        };

        let mut wait = QueueWait { pool: self, service: &service, position, receiver };

        match timeout_at(deadline, &mut wait.receiver).await {
            Ok(Ok(place)) => Ok(self.lease(place, Instant::now())),
            _ => Err(PlacementRefusal {
                reason: "no upstream became free in time",
                retry_after: RETRY_AFTER_FLOOR,
            }),
        }
    }

    fn lease(self: &Arc<Self>, place: GrantedPlace, now: Instant) -> UpstreamLease {
        UpstreamLease {
            pool: Arc::clone(self),
            key: place.key,
            record: place.record,
            cached_tokens: place.cached_tokens,
            granted: now,
            verdict: UpstreamVerdict::Withdrawn,
        }
    }

    /// Chooses the cheapest upstream with room and takes a place there.
    fn place(
        &self,
        state: &mut PoolState,
        now: Instant,
        request: &PlacementRequest,
    ) -> Option<GrantedPlace> {
        let keys = &state.services.get(&request.service)?.keys;

        let eligible = |key: &&PooledKey| {
            let upstream = &state.upstreams[**key];
            upstream.is_serving()
                && upstream.has_room(now)
                && !request.excluded.contains(&upstream.record.id)
        };

        let cost = |key: &PooledKey| self.cost_ms(&state.upstreams[*key], now, request);
        let cheapest = |paused: bool| {
            keys.iter()
                .filter(eligible)
                .filter(|key| paused || !state.upstreams[**key].is_paused(now))
                .map(|key| (cost(key), *key))
                .min_by(|left, right| left.0.total_cmp(&right.0))
        };

        // Paused upstreams are better than none.
        let (_, key) = cheapest(false).or_else(|| cheapest(true))?;
        let upstream = &mut state.upstreams[key];
        let cached_tokens = upstream.cached_tokens(&request.parts);
        upstream.in_flight += 1;
        upstream.cache.record(&request.parts);
        Some(GrantedPlace { key, record: Arc::clone(&upstream.record), cached_tokens })
    }

    fn cost_ms(&self, upstream: &PooledUpstream, now: Instant, request: &PlacementRequest) -> f64 {
        let load = f64::from(upstream.load(now));
        let uncached =
            request.prompt_tokens.saturating_sub(upstream.cached_tokens(&request.parts)) as f64;
        let prefill_ms = uncached / PREFILL_TOKENS_PER_MS;
        prefill_ms + load * NEIGHBOUR_COST_MS + self.distance_ms(&upstream.record.data_centre)
    }

    fn distance_ms(&self, data_centre: &Arc<str>) -> f64 {
        if *data_centre == self.data_centre {
            return 0.0;
        }

        let own = self.regions.get(&self.data_centre);
        if own.is_some() && own == self.regions.get(data_centre) {
            DATA_CENTRE_COST_MS
        } else {
            REGION_COST_MS
        }
    }

    fn serve_queue(&self, state: &mut PoolState, service: &Arc<str>) {
        let now = Instant::now();

        loop {
            let Some(pool) = state.services.get(service) else {
                return;
            };
            let Some((position, waiting)) = pool.waiting.first_key_value() else {
                return;
            };
            let (position, request) = (*position, waiting.request.clone());
            let Some(place) = self.place(state, now, &request) else {
                return;
            };
            let waiting =
                state.services.get_mut(service).and_then(|it| it.waiting.remove(&position));

            if let Some(waiting) = waiting
                && waiting.grant.send(place.clone()).is_err()
            {
                state.upstreams[place.key].in_flight -= 1;
            }
        }
    }

    /// Takes the load that an upstream has reported with an answer.
    pub(super) fn record_load(&self, key: PooledKey, load: ReportedLoad) {
        let mut state = self.state.lock();

        if let Some(upstream) = state.upstreams.get_mut(key) {
            upstream.record_load(Instant::now(), load);
        }
    }

    pub(super) fn release(&self, key: PooledKey, verdict: UpstreamVerdict, stay: Duration) {
        let now = Instant::now();
        let mut state = self.state.lock();
        let Some(upstream) = state.upstreams.get_mut(key) else {
            return;
        };

        upstream.in_flight = upstream.in_flight.saturating_sub(1);
        upstream.record_verdict(now, verdict);
        let service = Arc::clone(&upstream.record.service);

        if verdict == UpstreamVerdict::Answered
            && let Some(pool) = state.services.get_mut(&service)
        {
            pool.mean_stay = (pool.mean_stay * (MEAN_PARTS - 1) + stay) / MEAN_PARTS;
        }

        self.serve_queue(&mut state, &service);
    }
}

impl PoolState {
    fn may_have_lapsed(&self, now: Instant) -> bool {
        self.is_store_away
            || self.store_returned.is_some_and(|at| now.duration_since(at) < LAPSE_GRACE)
    }

    fn leave_service(&mut self, service: &Arc<str>, key: PooledKey) {
        if let Some(pool) = self.services.get_mut(service) {
            pool.keys.retain(|it| *it != key);
        }
    }

    fn drop_upstream(&mut self, key: PooledKey) {
        if let Some(upstream) = self.upstreams.remove(key) {
            self.by_id.remove(&upstream.record.id);
            self.leave_service(&upstream.record.service, key);
        }
    }

    /// Refuses a request that can't be expected to get a place in time.
    fn check_wait(&self, now: Instant, request: &PlacementRequest) -> Result<(), PlacementRefusal> {
        let Some(pool) = self.services.get(&request.service) else {
            let retry_after = Duration::from_millis(500);
            return Err(PlacementRefusal { reason: "the service has no upstream", retry_after });
        };

        let slots: u32 = pool
            .keys
            .iter()
            .map(|key| &self.upstreams[*key])
            .filter(|upstream| upstream.is_serving() && !upstream.is_paused(now))
            .map(|upstream| upstream.record.slots)
            .sum();

        if slots == 0 {
            let retry_after = Duration::from_millis(300);
            return Err(PlacementRefusal { reason: "the service has no upstream", retry_after });
        }

        let ahead = pool.waiting.len() as u32 + 1;
        let wait = pool.mean_stay * ahead / slots;
        let allowed =
            request.deadline.saturating_duration_since(now).mul_f64(WAIT_SHARE).min(WAIT_LIMIT);

        if wait > allowed {
            let retry_after = wait.max(RETRY_AFTER_FLOOR);
            return Err(PlacementRefusal { reason: "the queue is too long", retry_after });
        }

        Ok(())
    }
}

/// Takes a request out of its queue if nobody waits for it any more, and gives back a place that nobody has taken.
struct QueueWait<'a> {
    pool: &'a Arc<PlacementPool>,
    service: &'a Arc<str>,
    position: QueuePosition,
    receiver: oneshot::Receiver<GrantedPlace>,
}

impl Drop for QueueWait<'_> {
    fn drop(&mut self) {
        {
            let mut state = self.pool.state.lock();
            if let Some(pool) = state.services.get_mut(self.service) {
                pool.waiting.remove(&self.position);
            }
        }

        if let Ok(place) = self.receiver.try_recv() {
            self.pool.release(place.key, UpstreamVerdict::Withdrawn, Duration::ZERO);
        }
    }
}
