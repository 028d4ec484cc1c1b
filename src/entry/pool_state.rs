//! The upstreams and queues of all services, behind the lock of the placement pool.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use slotmap::{SlotMap, new_key_type};
use tokio::{
    sync::oneshot,
    time::{Duration, Instant},
};

use crate::{
    entry::{
        FeatureSwitches, UpstreamRecord,
        admission::{admission_state::AdmissionState, admission_ticket::AdmissionTicket},
        object_affinity::object_gain::ObjectGain,
        placement_pool::MIN_RETRY_AFTER,
        placement_request::{NO_UPSTREAM, NO_USABLE_UPSTREAM, PlacementRefusal, PlacementRequest},
        pooled_upstream::PooledUpstream,
        upstream_departures::UpstreamDepartures,
        upstream_load::{
            answer_times::AnswerTimes, granted_load::GrantedLoad, part_demand::PartDemand,
            request_costs::RequestCosts,
        },
    },
    upstreams::rate_limit::RequestRate,
};

new_key_type! {
    /// Key of an upstream in its pool's arena.
    pub(crate) struct UpstreamKey;
}

/// Assumed mean lease time of a service until leases have been measured.
const INITIAL_LEASE_TIME: Duration = Duration::from_millis(300);

/// Largest part of its remaining time that a request may be expected to spend in the queue.
const MAX_WAIT_FRACTION: f64 = 0.5;

/// Longest expected wait with which a request is admitted to the queue.
const MAX_EXPECTED_WAIT: Duration = Duration::from_millis(1_200);

/// Sort key of a waiting request. Services with a prompt cache serve their queues by [`QueueRank`], which changes with time;
/// the others by this key: by priority, then continuations of earlier work before new work, then by the time at
/// which the program should finish, then by arrival.
///
/// [`QueueRank`]: crate::entry::admission::queue_rank::QueueRank
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct QueuePosition {
    pub(super) priority: u32,
    pub(super) is_new: bool,
    pub(super) finish_by: Instant,
    pub(super) sequence: u64,
}

impl QueuePosition {
    pub(super) fn new(request: &PlacementRequest, sequence: u64) -> Self {
        Self {
            priority: request.priority,
            is_new: !request.is_continuation,
            finish_by: request.finish_by,
            sequence,
        }
    }
}

#[derive(Debug)]
pub(super) struct WaitingRequest {
    pub(super) request: PlacementRequest,
    pub(super) slot_sender: oneshot::Sender<GrantedSlot>,
    /// Set for requests that take part in admission control.
    pub(super) ticket: Option<Arc<AdmissionTicket>>,
}

#[derive(Clone, Debug)]
pub(super) struct GrantedSlot {
    pub(super) key: UpstreamKey,
    pub(super) record: Arc<UpstreamRecord>,
    pub(super) cached_tokens: u64,
    pub(super) granted: GrantedLoad,
}

#[derive(Debug)]
pub(super) struct ServicePool {
    pub(super) keys: Vec<UpstreamKey>,
    pub(super) waiting: BTreeMap<QueuePosition, WaitingRequest>,
    pub(super) mean_lease_time: Duration,
    /// Used for services with a prompt cache.
    pub(super) admission: AdmissionState,
    /// Software versions of upstreams that are gone, and when the last of each left.
    pub(super) past_versions: HashMap<Arc<str>, Instant>,
    /// First prompt parts of the requests that this host has placed.
    pub(super) demand: PartDemand,
    /// Times to the first events of streams.
    pub(super) first_event_times: AnswerTimes,
    /// Times to the ends of leases whose first event was not recorded.
    pub(super) answer_times: AnswerTimes,
    /// Costs at the service's upstreams taken together.
    pub(super) costs: RequestCosts,
    /// Objects of the requests that this host has placed.
    pub(super) object_demand: PartDemand,
    pub(super) object_gain: ObjectGain,
}

impl Default for ServicePool {
    fn default() -> Self {
        Self {
            keys: Vec::new(),
            waiting: BTreeMap::new(),
            mean_lease_time: INITIAL_LEASE_TIME,
            admission: AdmissionState::default(),
            past_versions: HashMap::new(),
            demand: PartDemand::default(),
            first_event_times: AnswerTimes::default(),
            answer_times: AnswerTimes::default(),
            costs: RequestCosts::default(),
            object_demand: PartDemand::default(),
            object_gain: ObjectGain::default(),
        }
    }
}

#[derive(Debug, Default)]
pub(crate) struct PoolState {
    pub(crate) upstreams: SlotMap<UpstreamKey, PooledUpstream>,
    pub(crate) by_id: HashMap<Arc<str>, UpstreamKey>,
    pub(super) services: HashMap<Arc<str>, ServicePool>,
    pub(super) switches: FeatureSwitches,
    /// Cache capacity of each upstream of a service, in tokens.
    pub(super) cache_capacities: HashMap<Arc<str>, u64>,
    pub(super) last_sequence: u64,
    /// Until when an upstream whose entry is found to be missing may only have lost it in the last store outage.
    pub(super) grace_until: Option<Instant>,
    /// Since when the store can't be followed.
    pub(super) unavailable_since: Option<Instant>,
    /// Since when each change of the list of upstreams has been followed: the last listing. What came and went before it
    /// is not known, also if an earlier listing had the same upstreams.
    pub(super) followed_since: Option<Instant>,
}

impl PoolState {
    /// Returns until when an upstream is kept whose entry is missing now. `None` if it must have left.
    pub(super) fn grace_end(&self, now: Instant) -> Option<Instant> {
        self.grace_until.filter(|until| now < *until)
    }

    /// Whether an upstream takes new requests.
    pub(super) fn is_open(
        &self,
        upstream: &PooledUpstream,
        now: Instant,
        departures: &UpstreamDepartures,
    ) -> bool {
        // In another outage the entry can't return, so the time for that only goes on with the next listing.
        let decided_at = self.unavailable_since.unwrap_or(now);
        upstream.is_open(decided_at, departures)
    }

    pub(super) fn remove_from_service(&mut self, service: &Arc<str>, key: UpstreamKey) {
        if let Some(pool) = self.services.get_mut(service) {
            pool.keys.retain(|it| *it != key);
        }
    }

    /// Returns the software version of a service's upstreams if they have had only one for the time `memory`, all of which
    /// this host has followed their list, and if the store, which lists them, is available.
    pub(super) fn sole_version(
        &self,
        service: &str,
        now: Instant,
        memory: Duration,
    ) -> Option<Arc<str>> {
        let followed_since = self.followed_since.filter(|_| self.unavailable_since.is_none())?;

        if now.saturating_duration_since(followed_since) < memory {
            return None;
        }

        let pool = self.services.get(service)?;
        let current = pool.keys.iter().map(|key| &self.upstreams[*key].record.software_version);
        let past = pool.past_versions.iter().filter(|(_, left_at)| now - **left_at < memory);
        let mut versions = current.chain(past.map(|(version, _)| version));
        let first = versions.next()?;
        versions.all(|it| it == first).then(|| Arc::clone(first))
    }

    pub(super) fn record_past_version(&mut self, record: &UpstreamRecord) {
        if let Some(pool) = self.services.get_mut(&record.service) {
            pool.past_versions.insert(Arc::clone(&record.software_version), Instant::now());
        }
    }

    pub(super) fn remove_upstream(&mut self, key: UpstreamKey) {
        if let Some(upstream) = self.upstreams.remove(key) {
            self.record_past_version(&upstream.record);
            self.by_id.remove(&upstream.record.id);
            self.remove_from_service(&upstream.record.service, key);
        }
    }

    /// Returns the expected wait of a request, or refuses it if it can't be expected to get a slot in time. Admission control takes the place of this for requests
    /// of programs with a finish time, at services with a prompt cache.
    pub(super) fn check_expected_wait(
        &self,
        now: Instant,
        request: &PlacementRequest,
        departures: &UpstreamDepartures,
        share: &dyn Fn(&UpstreamRecord) -> Option<RequestRate>,
    ) -> Result<Duration, PlacementRefusal> {
        let Some(pool) = self.services.get(&request.service) else {
            let retry_after = Duration::from_millis(500);
            return Err(PlacementRefusal { reason: NO_UPSTREAM, retry_after });
        };

        let lease_time = pool.mean_lease_time.as_secs_f64();
        let requests_per_second: f64 = pool
            .keys
            .iter()
            .map(|key| &self.upstreams[*key])
            .filter(|upstream| self.is_open(upstream, now, departures))
            .filter(|upstream| request.may_use(upstream) && !upstream.is_in_backoff(now))
            .map(|upstream| {
                let by_slots = f64::from(upstream.record.slots) / lease_time.max(f64::MIN_POSITIVE);
                share(&upstream.record).map_or(by_slots, |rate| rate.per_second().min(by_slots))
            })
            .sum();

        if requests_per_second == 0.0 {
            let retry_after = Duration::from_millis(300);
            let reason = NO_USABLE_UPSTREAM;
            return Err(PlacementRefusal { reason, retry_after });
        }

        let queue_length = (pool.waiting.len() + 1) as f64;
        let expected_wait = Duration::try_from_secs_f64(queue_length / requests_per_second)
            .unwrap_or(Duration::MAX);
        let max_wait = request
            .deadline
            .saturating_duration_since(now)
            .mul_f64(MAX_WAIT_FRACTION)
            .min(MAX_EXPECTED_WAIT);

        if expected_wait > max_wait {
            let retry_after = expected_wait.max(MIN_RETRY_AFTER);
            return Err(PlacementRefusal { reason: "the queue is too long", retry_after });
        }

        Ok(expected_wait)
    }
}
