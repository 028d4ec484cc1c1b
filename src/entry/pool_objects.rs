//! How the placement pool prefers upstreams for requests about an object. See docs/design/object-affinity.md.

use tokio::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::entry::{
    PlacementPool, PromptPart,
    object_affinity::{
        object_key::ObjectKey,
        object_preference::{ObjectPreference, ObjectShare},
    },
    placement_request::PlacementRequest,
    pool_state::{PoolState, ServicePool, UpstreamKey},
    upstream_departures::UpstreamDepartures,
    upstream_load::granted_load::GrantedLoad,
};

impl PlacementPool {
    /// Which upstreams the object of a request prefers; `None` for a request without an object. Upstreams that are in backoff
    /// or in slow start, or that the request may not use, leave their places to the next in order.
    pub(super) fn object_preference(
        &self,
        state: &PoolState,
        now: Instant,
        request: &PlacementRequest,
        departures: &UpstreamDepartures,
    ) -> Option<ObjectPreference> {
        let object = request.object?;
        let pool = state.services.get(&request.service)?;
        let applies_pace = state.applies_pace(&request.service, now);
        let upstreams = pool
            .keys
            .iter()
            .map(|key| (*key, &state.upstreams[*key]))
            .filter(|(_, upstream)| {
                state.is_open(upstream, now, departures)
                    && request.may_use(upstream)
                    && !upstream.is_in_backoff(now)
                    && !(applies_pace && upstream.is_paced(now))
            })
            .map(|(key, upstream)| (key, upstream, self.region_of(&upstream.record)));
        let request_hash = xxh3_64_with_seed(request.request.as_bytes(), 0);
        let is_trial = pool.object_gain.is_trial(request_hash);
        let upstreams = upstreams.filter(|_| !is_trial);
        let lease_ms = pool.mean_lease_time.as_secs_f64() * 1_000.0;
        let costs = (pool.object_gain.gain_ms(lease_ms), lease_ms);
        Some(ObjectPreference::new(object, pool.object_share(now, object), costs, upstreams))
    }
}

impl ServicePool {
    /// Counts a granted request about an object.
    pub(super) fn record_object(&mut self, now: Instant, object: ObjectKey) {
        self.object_demand.record(now, &[PromptPart { id: object.0, tokens: 0 }]);
    }

    fn object_share(&self, now: Instant, object: ObjectKey) -> ObjectShare {
        let demand = &self.object_demand;
        ObjectShare { requests: demand.requests(now, object.0), share: demand.share(object.0) }
    }
}

impl PoolState {
    /// Records how long an upstream at full pace took for a request about an object.
    pub(super) fn record_object_time(
        &mut self,
        now: Instant,
        key: UpstreamKey,
        granted: GrantedLoad,
        lease_time: Duration,
    ) {
        let Some((place, upstream)) = granted.object_place.zip(self.upstreams.get(key)) else {
            return;
        };
        let time_ms = lease_time.as_secs_f64() * 1_000.0 / upstream.slowness(now);

        if !upstream.is_paced(now)
            && let Some(pool) = self.services.get_mut(&upstream.record.service)
        {
            pool.object_gain.record(place, time_ms);
        }
    }
}
