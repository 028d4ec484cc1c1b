//! Which upstream gets a request. Pure: placement takes a slot on the upstream that [`UpstreamChoice::best`] returns, and
//! explain shows the same figures for each upstream.
//!
//! | Input | Source | Age |
//! |---|---|---|
//! | upstreams, their slots and phases | the store's list, as this host follows it | as the watch |
//! | departures, limits | any host's reports | as the mesh's last update |
//! | load, slowness, window, failures | this host's requests, and load reports with a weight that declines | up to 0.8 s |
//! | cached parts, demand, learned costs | this host's requests | none |
//!
//! It answers the load of services whose upstreams differ in distance, load and cached prompt parts.

use tokio::time::{Duration, Instant};

use crate::entry::{
    HostFeature, PlacementPool,
    object_affinity::object_preference::ObjectPreference,
    placement_pool::{slowness_cost_ms, spread_ms},
    placement_request::PlacementRequest,
    pool_state::{PoolState, ServicePool, UpstreamKey},
    slot_obstacle::SlotObstacle,
    upstream_departures::UpstreamDepartures,
    upstream_limits::UpstreamLimits,
    upstream_load::{part_preference::PartPreference, placement_cost::PlacementCost},
};

/// What goes before costs: an upstream in backoff, one that may have left, or one that has not answered since it failed, is
/// better than none. The smallest rank comes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct UpstreamRank {
    /// More requests than its memory holds end an upstream, with all requests on it.
    pub(super) is_memory_exceeded: bool,
    /// It is in backoff, or has not answered since it failed, and the request may not run twice.
    pub(super) is_risky: bool,
    /// It may have left, as its entry is missing.
    pub(super) is_kept: bool,
}

/// The upstreams of a service from the view of one request.
pub(super) struct UpstreamChoice<'a> {
    pool: &'a PlacementPool,
    state: &'a PoolState,
    service: &'a ServicePool,
    now: Instant,
    request: &'a PlacementRequest,
    departures: &'a UpstreamDepartures,
    limits: &'a UpstreamLimits,
    applies_pace: bool,
    lease_time: Duration,
    /// Belief in what upstreams have of the prompt.
    pub(super) preference: PartPreference,
    /// Where requests about the request's object go; `None` for a request without one.
    pub(super) objects: Option<ObjectPreference>,
}

impl<'a> UpstreamChoice<'a> {
    /// The choice for a request; `None` if its service is not known.
    pub(super) fn new(
        pool: &'a PlacementPool,
        state: &'a PoolState,
        now: Instant,
        request: &'a PlacementRequest,
        departures: &'a UpstreamDepartures,
        limits: &'a UpstreamLimits,
    ) -> Option<Self> {
        let service = state.services.get(&request.service)?;
        Some(Self {
            pool,
            state,
            service,
            now,
            request,
            departures,
            limits,
            applies_pace: state.applies_pace(&request.service, now),
            lease_time: service.mean_lease_time,
            preference: pool.part_preference(state, now, request, departures),
            objects: pool.object_preference(state, now, request, departures),
        })
    }

    /// The service's upstreams.
    pub(super) fn keys(&self) -> &'a [UpstreamKey] {
        &self.service.keys
    }

    /// What keeps an upstream from the request; `None` if it may take it now.
    pub(super) fn obstacle(&self, key: UpstreamKey) -> Option<SlotObstacle> {
        let upstream = &self.state.upstreams[key];
        let record = &upstream.record;

        if !self.state.is_open(upstream, self.now, self.departures) {
            return Some(SlotObstacle::Leaving);
        }

        self.request
            .obstacle(upstream)
            .or_else(|| upstream.room_obstacle(self.now, self.applies_pace))
            .or_else(|| {
                let may_send = self.limits.may_send(record, self.pool.region_of(record), self.now);
                (!may_send).then_some(SlotObstacle::Limit)
            })
    }

    pub(super) fn rank(&self, key: UpstreamKey) -> UpstreamRank {
        let upstream = &self.state.upstreams[key];
        let is_risky = !self.request.may_repeat && upstream.is_unproven(self.now);
        let tokens = self.request.memory_tokens();
        UpstreamRank {
            is_memory_exceeded: self.state.switches.is_on(HostFeature::UpstreamLoad)
                && upstream.is_memory_exceeded_by(self.now, tokens),
            is_risky: upstream.is_in_backoff(self.now) || is_risky,
            is_kept: upstream.kept_until.is_some(),
        }
    }

    pub(super) fn cost(&self, key: UpstreamKey) -> PlacementCost {
        let upstream = &self.state.upstreams[key];
        let objects = self.objects.as_ref();
        let cost =
            self.pool.work_cost(key, upstream, self.now, self.request, &self.preference, objects);
        PlacementCost {
            slowness: cost.slowness + slowness_cost_ms(upstream, self.now, self.lease_time),
            spread: spread_ms(upstream, self.limits.local_host()),
            ..cost
        }
    }

    /// The cheapest upstream of the lowest rank that may take the request now.
    pub(super) fn best(&self) -> Option<UpstreamKey> {
        let free = self.keys().iter().copied().filter(|key| self.obstacle(*key).is_none());
        free.map(|key| (self.rank(key), self.cost(key).total(), key))
            .min_by(|left, right| left.0.cmp(&right.0).then(left.1.total_cmp(&right.1)))
            .map(|(_, _, key)| key)
    }
}
