//! Places requests on upstreams, and queues requests while all upstreams of their service are full.
//!
//! Each decision depends only on the pool, the request and a time that the caller passes in; it does no I/O. See
//! docs/design/platform.md, "Placement".

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use parking_lot::Mutex;
use tokio::{
    sync::oneshot,
    time::{Duration, Instant, timeout_at},
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    entry::{
        ExpiryBounds, FeatureSwitches, HostFeature, UpstreamRecord,
        admission::admission_ticket::AdmissionTicket,
        host_reach::HostReach,
        object_affinity::object_preference::ObjectPreference,
        placement_request::{PlacementRefusal, PlacementRequest},
        pool_pace::AnswerKind,
        pool_state::{GrantedSlot, PoolState, QueuePosition, UpstreamKey, WaitingRequest},
        pooled_upstream::{LeaseOutcome, PooledUpstream},
        upstream_channel::ReportedLoad,
        upstream_choice::UpstreamChoice,
        upstream_departures::{UpstreamDeparture, UpstreamDepartures},
        upstream_lease::UpstreamLease,
        upstream_limits::UpstreamLimits,
        upstream_load::{
            granted_load::{GrantedLoad, LeaseEnd},
            part_preference::PartPreference,
            placement_cost::PlacementCost,
        },
    },
    upstreams::rate_limit::RequestRate,
};

/// Cost of sending a request to another region, as an equivalent wait in milliseconds. It covers the round trip and the
/// price of the transferred bytes.
const CROSS_REGION_COST_MS: f64 = 120.0;

/// Cost of sending a request to another data centre of the same region, as an equivalent wait in milliseconds.
const CROSS_DATA_CENTRE_COST_MS: f64 = 12.0;

/// Largest cost by which hosts order alike upstreams in different ways, so that hosts without a report don't all choose the
/// same upstream. It decides between equal costs only: 6 ms moved requests away from cached parts, and repeated reads rose
/// from 8 to 11 % at 0.65 of the capacity.
const MAX_SPREAD_MS: f64 = 0.5;

/// Reciprocal of the weight of a new sample in the moving average of lease times.
const MEAN_DIVISOR: u32 = 16;

/// Shortest time for which a software version counts after its last upstream has left.
const MIN_VERSION_MEMORY: Duration = Duration::from_secs(30);

/// Shortest time after which a refused client is asked to retry.
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The upstreams of all services, with their load and queues as seen by one entry host.
#[derive(Debug)]
pub struct PlacementPool {
    pub(super) data_centre: Arc<str>,
    pub(super) regions: BTreeMap<Arc<str>, Arc<str>>,
    pub(super) expiry: ExpiryBounds,
    pub(crate) state: Mutex<PoolState>,
    /// Upstreams that leave, shared with the mesh. Lock order: after `state`.
    pub(super) departures: Arc<Mutex<UpstreamDepartures>>,
    /// Limits that upstreams have stated, shared with the mesh. Lock order: after `departures`.
    pub(super) limits: Arc<Mutex<UpstreamLimits>>,
    /// Which services this host reaches, shared with the mesh. It is not used while another lock is held.
    pub(super) reach: Arc<HostReach>,
}

impl PlacementPool {
    /// Creates an empty pool for a host in `data_centre`. `regions` maps each data centre to its region.
    pub fn new(data_centre: Arc<str>, regions: BTreeMap<Arc<str>, Arc<str>>) -> Self {
        Self {
            data_centre,
            regions,
            expiry: ExpiryBounds::default(),
            state: Mutex::default(),
            departures: Arc::default(),
            limits: Arc::default(),
            reach: Arc::default(),
        }
    }

    /// Sets what the platform states of its upstreams' entries.
    #[must_use]
    pub(crate) fn with_expiry(self, expiry: ExpiryBounds) -> Self {
        Self { expiry, ..self }
    }

    /// Sets the upstreams that leave, as far as this host has heard of them before it places requests.
    #[must_use]
    pub(crate) fn with_departures(self, departures: Arc<Mutex<UpstreamDepartures>>) -> Self {
        Self { departures, ..self }
    }

    /// Sets which optional parts are in use.
    #[must_use]
    pub(crate) fn with_switches(self, switches: FeatureSwitches) -> Self {
        self.state.lock().switches = switches;
        self
    }

    /// Limits that upstreams have stated.
    pub(crate) fn limits(&self) -> &Arc<Mutex<UpstreamLimits>> {
        &self.limits
    }

    /// Records what a response states of the number of requests that its upstream takes.
    pub(crate) fn record_limit(&self, record: &UpstreamRecord, rate: Option<RequestRate>) {
        let now = Instant::now();
        let mut limits = self.limits.lock();

        if limits.record_stated(record, rate, now) {
            let share = limits.share(record, self.region_of(record));
            log::info!(
                upstream:% = record.id, born_ms = record.started_at_ms, limit:? = rate.map(RequestRate::per_second),
                share:? = share.map(RequestRate::per_second);
                "an upstream has stated another limit of requests a second"
            );
        }
    }

    /// Region of an upstream; empty if its data centre is not known.
    pub(super) fn region_of(&self, record: &UpstreamRecord) -> &str {
        self.regions.get(&record.data_centre).map_or("", |it| it)
    }

    /// Upstreams that leave.
    pub(crate) fn departures(&self) -> &Arc<Mutex<UpstreamDepartures>> {
        &self.departures
    }

    /// Records that an upstream has stated in a response that it leaves.
    pub(crate) fn record_leaving(&self, record: &UpstreamRecord) {
        if self.departures.lock().add_stated(UpstreamDeparture::of_run(record)) {
            log::info!(upstream:% = record.id, born_ms = record.started_at_ms; "an upstream has stated that it is leaving, so it gets no new requests");
        }
    }

    /// Sets the cache capacity of each upstream by its service, in tokens. Services that are not listed get 0.
    pub(crate) fn set_cache_capacities(&self, capacities: HashMap<Arc<str>, u64>) {
        let mut state = self.state.lock();

        for upstream in state.upstreams.values_mut() {
            let tokens = capacities.get(&upstream.record.service).copied().unwrap_or(0);
            upstream.cache.set_capacity(tokens);
        }

        state.cache_capacities = capacities;
    }

    /// Returns the software version of a service's upstreams if a stream that may still be taken up can only have begun at
    /// this one: they have had no other for so long, and this host has followed their list for as long. `lifetime` is how
    /// long clients may take up a stream. `None` as well while the store, which lists the upstreams, is not available.
    pub(crate) fn sole_version(
        &self,
        service: &str,
        now: Instant,
        lifetime: Duration,
    ) -> Option<Arc<str>> {
        // Another host may use an upstream that has left until it is in contact with the store.
        let memory = MIN_VERSION_MEMORY.max(lifetime + self.expiry.contact_time);
        self.state.lock().sole_version(service, now, memory)
    }

    /// Waits for a slot on an upstream. Fails at once if no slot is to be expected in time, and else when the request's
    /// deadline passes.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        request: PlacementRequest,
    ) -> Result<UpstreamLease, PlacementRefusal> {
        let deadline = request.deadline;
        let service = Arc::clone(&request.service);

        let (receiver, position, ticket) = {
            let now = Instant::now();
            let mut state = self.state.lock();
            let ticket = state.record_arrival(now, &request);

            if let Some(slot) = self.take_free_slot(&mut state, now, &request) {
                return Ok(self.lease(slot, ticket));
            }

            self.check_admission(&mut state, now, &request)?;
            state.last_sequence += 1;
            let position = QueuePosition::new(&request, state.last_sequence);
            let (slot_sender, receiver) = oneshot::channel();
            let pool = state.services.entry(Arc::clone(&service)).or_default();
            let waiting = WaitingRequest { request, slot_sender, ticket: ticket.clone() };
            pool.waiting.insert(position, waiting);
            self.serve_queue(&mut state, &service);
            (receiver, position, ticket)
        };

        let mut guard = QueueGuard {
            pool: self,
            service: &service,
            position,
            receiver,
            ticket: ticket.clone(),
        };

        loop {
            // A share of a limit becomes free without any event.
            let next_at = self.next_share(&service).map_or(deadline, |at| at.min(deadline));

            match timeout_at(next_at, &mut guard.receiver).await {
                Ok(Ok(slot)) => return Ok(self.lease(slot, ticket)),
                Err(_) if Instant::now() < deadline => {
                    self.serve_queue(&mut self.state.lock(), &service);
                }
                _ => {
                    return Err(PlacementRefusal {
                        reason: "no upstream became free in time",
                        retry_after: MIN_RETRY_AFTER,
                    });
                }
            }
        }
    }

    /// When a request may next be sent to an upstream of a service whose limit keeps this host from it now.
    fn next_share(&self, service: &str) -> Option<Instant> {
        let now = Instant::now();
        let state = self.state.lock();
        let limits = self.limits.lock();
        let keys = state.services.get(service).into_iter().flat_map(|it| &it.keys);
        keys.filter_map(|key| {
            let record = &state.upstreams[*key].record;
            limits.ready_at(record, self.region_of(record), now)
        })
        .filter(|at| *at > now)
        .min()
    }

    /// Takes a slot if one is free that no waiting request may take.
    pub(crate) fn try_acquire(
        self: &Arc<Self>,
        request: &PlacementRequest,
    ) -> Option<UpstreamLease> {
        let now = Instant::now();
        let mut state = self.state.lock();
        let ticket = state.record_arrival(now, request);
        let slot = self.take_free_slot(&mut state, now, request)?;
        Some(self.lease(slot, ticket))
    }

    fn take_free_slot(
        &self,
        state: &mut PoolState,
        now: Instant,
        request: &PlacementRequest,
    ) -> Option<GrantedSlot> {
        self.serve_queue(state, &request.service);
        let slot = self.take_slot(state, now, request)?;
        state.record_grant(now, request);
        Some(slot)
    }

    fn lease(
        self: &Arc<Self>,
        slot: GrantedSlot,
        ticket: Option<Arc<AdmissionTicket>>,
    ) -> UpstreamLease {
        UpstreamLease {
            pool: Arc::clone(self),
            key: slot.key,
            record: slot.record,
            cached_tokens: slot.cached_tokens,
            granted: slot.granted,
            first_event_time: None,
            ticket,
            outcome: LeaseOutcome::Cancelled,
            remote: None,
        }
    }

    /// Takes a slot on the cheapest upstream that has room.
    fn take_slot(
        &self,
        state: &mut PoolState,
        now: Instant,
        request: &PlacementRequest,
    ) -> Option<GrantedSlot> {
        let departures = self.departures.lock();
        let mut limits = self.limits.lock();
        let choice = UpstreamChoice::new(self, state, now, request, &departures, &limits)?;
        let key = choice.best()?;
        let UpstreamChoice { preference, objects, .. } = choice;
        drop(departures);
        let has_cache = state.upstreams[key].cache.has_capacity();
        let upstream = &mut state.upstreams[key];
        limits.take(&upstream.record, self.region_of(&upstream.record), now);
        let cached_tokens = upstream.cached_tokens(&request.prompt_parts);
        upstream.cache.record(&request.prompt_parts);
        let uncached_tokens = request.prompt_tokens.saturating_sub(cached_tokens);
        let is_prefill_known = preference.believed_tokens(key, 0.0) <= cached_tokens;
        let granted = GrantedLoad {
            granted_at: now,
            uncached_tokens,
            is_prefill_known,
            memory_tokens: request.memory_tokens(),
            requests: 0,
            object_place: objects.as_ref().map(|it| it.place(key)),
        };
        upstream.record_grant(granted);
        let record = Arc::clone(&upstream.record);
        let slot = GrantedSlot { key, record, cached_tokens, granted };
        if let Some((object, pool)) = request.object.zip(state.services.get_mut(&request.service)) {
            pool.record_object(now, object);
        }
        if has_cache && let Some(pool) = state.services.get_mut(&request.service) {
            pool.demand.record(now, &request.prompt_parts);
        }
        Some(slot)
    }

    /// Which open upstreams should have the first part of a request's prompt; none for a service without a prompt cache.
    pub(super) fn part_preference(
        &self,
        state: &PoolState,
        now: Instant,
        request: &PlacementRequest,
        departures: &UpstreamDepartures,
    ) -> PartPreference {
        let is_on = state.switches.is_on(HostFeature::UpstreamLoad);
        let Some(pool) = state.services.get(&request.service).filter(|_| is_on) else {
            return PartPreference::default();
        };
        let upstreams = pool
            .keys
            .iter()
            .map(|key| (*key, &state.upstreams[*key]))
            .filter(|(_, upstream)| upstream.cache.has_capacity())
            .filter(|(_, upstream)| state.is_open(upstream, now, departures))
            .map(|(key, upstream)| (key, upstream, self.region_of(&upstream.record)));
        PartPreference::new(&request.prompt_parts, &pool.demand, upstreams)
    }

    /// Cost of running a request on an upstream: prefill of the uncached tokens, load and network distance.
    pub(super) fn work_cost(
        &self,
        key: UpstreamKey,
        upstream: &PooledUpstream,
        now: Instant,
        request: &PlacementRequest,
        preference: &PartPreference,
        objects: Option<&ObjectPreference>,
    ) -> PlacementCost {
        let requests = f64::from(upstream.load(now));
        let believed_tokens = preference.believed_tokens(key, upstream.load_share(now));
        let cached_tokens = upstream.cached_tokens(&request.prompt_parts);
        let read_tokens = request.prompt_tokens.saturating_sub(cached_tokens.max(believed_tokens))
            + preference.displaced_tokens(key, cached_tokens);
        let costs = &upstream.costs;
        let prefill = costs.prefill_ms(request.prompt_tokens.saturating_sub(cached_tokens));
        let preference = costs.prefill_ms(read_tokens) - prefill;
        let slowness = upstream.slowness(now);
        let (concurrency_ms, object) = objects.map_or((costs.concurrency_ms(), 0.0), |it| {
            let concurrency_ms = it.concurrency_ms(costs.concurrency_ms(), upstream.record.slots);
            (concurrency_ms, it.missed_ms(key, upstream.load_share(now), slowness))
        });
        let load = requests * concurrency_ms;
        PlacementCost {
            prefill,
            load,
            distance: self.network_cost_ms(&upstream.record.data_centre),
            slowness: (prefill + preference + load) * (slowness - 1.0),
            preference,
            object,
            spread: 0.0,
        }
    }

    fn network_cost_ms(&self, data_centre: &Arc<str>) -> f64 {
        if *data_centre == self.data_centre {
            return 0.0;
        }

        let local_region = self.regions.get(&self.data_centre);
        if local_region.is_some() && local_region == self.regions.get(data_centre) {
            CROSS_DATA_CENTRE_COST_MS
        } else {
            CROSS_REGION_COST_MS
        }
    }

    /// Grants free slots to the waiting requests of a service, in the order of the queue. A request that may use none of
    /// the free slots leaves them to those behind it.
    pub(super) fn serve_queue(&self, state: &mut PoolState, service: &Arc<str>) {
        let now = Instant::now();
        self.serve_waiting(state, now, service);
        state.record_queue(now, service);
    }

    fn serve_waiting(&self, state: &mut PoolState, now: Instant, service: &Arc<str>) {
        // The order is costly to find in a long queue, and most calls find no free slot.
        if state.services.get(service).is_none_or(|it| it.waiting.is_empty())
            || !self.has_free_slot(state, now, service)
        {
            return;
        }

        for position in state.queue_order(now, service) {
            if !self.has_free_slot(state, now, service) {
                return;
            }

            let pool = &state.services[service];
            let request = pool.waiting[&position].request.clone();
            let Some(slot) = self.take_slot(state, now, &request) else {
                continue;
            };
            let waiting =
                state.services.get_mut(service).and_then(|it| it.waiting.remove(&position));

            if let Some(waiting) = waiting
                && waiting.slot_sender.send(slot.clone()).is_err()
            {
                state.upstreams[slot.key].record_end(slot.granted);
            } else {
                state.record_grant(now, &request);
            }
        }
    }

    fn has_free_slot(&self, state: &PoolState, now: Instant, service: &Arc<str>) -> bool {
        let applies_pace = state.applies_pace(service, now);
        let departures = self.departures.lock();
        let limits = self.limits.lock();
        let is_free = |key: &UpstreamKey| {
            let upstream = &state.upstreams[*key];
            state.is_open(upstream, now, &departures)
                && upstream.has_room(now, applies_pace)
                && limits.may_send(&upstream.record, self.region_of(&upstream.record), now)
        };
        state.services.get(service).is_some_and(|pool| pool.keys.iter().any(is_free))
    }

    /// Whether the upstream that a slot was granted on still takes new requests, and is the same run.
    pub(super) fn is_open(&self, key: UpstreamKey, record: &UpstreamRecord) -> bool {
        let state = self.state.lock();
        let departures = self.departures.lock();
        state.upstreams.get(key).is_some_and(|upstream| {
            upstream.record.started_at_ms == record.started_at_ms
                && state.is_open(upstream, Instant::now(), &departures)
        })
    }

    /// Records the load that an upstream has reported with a response.
    pub(crate) fn record_load(&self, key: UpstreamKey, load: ReportedLoad) {
        let mut state = self.state.lock();

        let uses_slowness = state.switches.is_on(HostFeature::UpstreamLoad);
        let load = ReportedLoad { slowness: load.slowness.filter(|_| uses_slowness), ..load };

        if let Some(upstream) = state.upstreams.get_mut(key) {
            upstream.record_load(Instant::now(), load);
        }
    }

    /// Refuses a request that can't be expected to get a slot, or to end its program, in time.
    fn check_admission(
        &self,
        state: &mut PoolState,
        now: Instant,
        request: &PlacementRequest,
    ) -> Result<(), PlacementRefusal> {
        let departures = self.departures.lock();
        let limits = self.limits.lock();
        let share = |record: &UpstreamRecord| limits.share(record, self.region_of(record));
        state.check_admission(now, request, &departures, &share)
    }

    /// Returns the slot of a lease and records how the lease ended.
    pub(super) fn release(
        &self,
        key: UpstreamKey,
        end: LeaseEnd,
        ticket: Option<&AdmissionTicket>,
    ) {
        let now = Instant::now();
        let lease_time = now.saturating_duration_since(end.granted.granted_at);
        let mut state = self.state.lock();
        let Some(upstream) = state.upstreams.get_mut(key) else {
            return;
        };

        upstream.record_end(end.granted);
        upstream.record_outcome(now, end.outcome);
        let service = Arc::clone(&upstream.record.service);

        if end.outcome == LeaseOutcome::Answered {
            if let Some(time) = end.first_event_time {
                let run_time = lease_time.saturating_sub(time);
                state.record_run_time(now, key, end.granted, run_time);
            } else {
                let kind = AnswerKind::Whole;
                state.record_answer_time(now, key, kind, end.granted, lease_time);
            }
            state.record_object_time(now, key, end.granted, lease_time);
        }
        if end.outcome == LeaseOutcome::Answered
            && let Some(pool) = state.services.get_mut(&service)
        {
            pool.mean_lease_time =
                (pool.mean_lease_time * (MEAN_DIVISOR - 1) + lease_time) / MEAN_DIVISOR;
        }

        if let Some((pool, ticket)) = state.services.get_mut(&service).zip(ticket) {
            let is_answered = end.outcome == LeaseOutcome::Answered;
            pool.admission.record_end(now, ticket, lease_time, is_answered);
        }

        self.serve_queue(&mut state, &service);
    }
}

/// Cost of a machine that is slower than usual for the rest of a request. One that is faster saves nothing here: all hosts
/// that hear of it would choose it.
pub(super) fn slowness_cost_ms(
    upstream: &PooledUpstream,
    now: Instant,
    lease_time: Duration,
) -> f64 {
    (upstream.slowness(now) - 1.0).max(0.0) * lease_time.as_secs_f64() * 1_000.0
}

/// Cost by which each host orders upstreams that are alike in another way; 0 for services without a prompt cache.
pub(super) fn spread_ms(upstream: &PooledUpstream, local_host: &Arc<str>) -> f64 {
    if !upstream.cache.has_capacity() {
        return 0.0;
    }
    let seed = xxh3_64_with_seed(local_host.as_bytes(), 0);
    let hash = xxh3_64_with_seed(upstream.record.id.as_bytes(), seed);
    hash as f64 / u64::MAX as f64 * MAX_SPREAD_MS
}

/// Removes a request from its queue when the caller stops waiting, and releases a slot that was granted but not taken.
struct QueueGuard<'a> {
    pool: &'a Arc<PlacementPool>,
    service: &'a Arc<str>,
    position: QueuePosition,
    receiver: oneshot::Receiver<GrantedSlot>,
    ticket: Option<Arc<AdmissionTicket>>,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        {
            let mut state = self.pool.state.lock();
            if let Some(pool) = state.services.get_mut(self.service) {
                pool.waiting.remove(&self.position);
            }
        }

        if let Ok(slot) = self.receiver.try_recv() {
            let (outcome, granted) = (LeaseOutcome::Cancelled, slot.granted);
            let end = LeaseEnd { outcome, granted, first_event_time: None };
            self.pool.release(slot.key, end, self.ticket.as_deref());
        }
    }
}
