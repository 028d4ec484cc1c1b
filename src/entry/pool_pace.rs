//! How the placement pool paces upstreams that have just started or recover from failures. See docs/design/pace.md.

use std::sync::Arc;

use tokio::time::{Duration, Instant};

use crate::entry::{
    HostFeature, PlacementPool,
    pool_state::{PoolState, UpstreamKey},
    upstream_load::{granted_load::GrantedLoad, pace_window::PaceCause, start_cohort::StartCohort},
};

/// Which answer a time was taken of. A service may give both kinds, and their times differ.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AnswerKind {
    FirstEvent,
    Whole,
}

impl PlacementPool {
    /// Records that the first event of a stream has arrived, after `time` since the grant.
    pub(crate) fn record_first_event(
        &self,
        key: UpstreamKey,
        granted: GrantedLoad,
        time: Duration,
    ) -> u32 {
        let mut state = self.state.lock();
        let now = Instant::now();
        state.record_answer_time(now, key, AnswerKind::FirstEvent, granted, time);
        let Some(upstream) = state.upstreams.get(key) else {
            return 0;
        };
        let (requests, service) = (upstream.load(now), Arc::clone(&upstream.record.service));
        self.serve_queue(&mut state, &service);
        requests
    }

    /// Number of upstreams that are in slow start at this host.
    pub(crate) fn slow_start_count(&self) -> usize {
        let now = Instant::now();
        self.state.lock().upstreams.values().filter(|it| it.is_paced(now)).count()
    }
}

impl PlacementPool {
    /// Number of upstreams whose memory this host's requests nearly fill.
    pub(crate) fn full_memory_count(&self) -> usize {
        self.state.lock().upstreams.values().filter(|it| it.is_memory_nearly_full()).count()
    }
}

impl PoolState {
    /// Begins slow start for those of `keys` that have just started, compared with the others of their service.
    pub(super) fn pace_new_upstreams(&mut self, now: Instant, keys: &[UpstreamKey]) {
        for key in keys {
            let Some(upstream) = self.upstreams.get(*key) else {
                continue;
            };
            let started_at_ms = upstream.record.started_at_ms;
            let pool = self.services.get(&upstream.record.service);
            let service_keys = pool.into_iter().flat_map(|it| &it.keys);
            let cohort =
                StartCohort::new(service_keys.map(|key| self.upstreams[*key].record.started_at_ms));

            if cohort.is_new(started_at_ms) {
                self.upstreams[*key].begin_pace(now, PaceCause::Started);
            }
        }
    }

    /// Whether slow start holds at a service. It doesn't while more than half of the upstreams are in slow start, since the
    /// others could not bear the load: then there is nothing to spare them for.
    pub(super) fn applies_pace(&self, service: &str, now: Instant) -> bool {
        let Some(pool) = self.services.get(service) else {
            return false;
        };
        let paced = pool.keys.iter().filter(|key| self.upstreams[**key].is_paced(now)).count();
        paced * 2 <= pool.keys.len()
    }

    /// Records how long an upstream took to answer: one at full pace sets the measure, one in slow start is measured.
    pub(super) fn record_answer_time(
        &mut self,
        now: Instant,
        key: UpstreamKey,
        kind: AnswerKind,
        granted: GrantedLoad,
        time: Duration,
    ) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        let Some(pool) = self.services.get_mut(&upstream.record.service) else {
            return;
        };
        let times = match kind {
            AnswerKind::FirstEvent => &mut pool.first_event_times,
            AnswerKind::Whole => &mut pool.answer_times,
        };
        // What the upstream states of its machine now is no sign of a slow start, and no lasting cost.
        let time = time.div_f64(upstream.slowness(now));
        let prefill_ms = upstream.costs.prefill_ms(granted.uncached_tokens);

        if upstream.is_paced(now) {
            // It has handled hardly any object, whereas most of the measured answers were of preferred upstreams.
            let lease_ms = pool.mean_lease_time.as_secs_f64() * 1_000.0;
            let missed_ms =
                granted.object_place.map_or(0.0, |_| pool.object_gain.gain_ms(lease_ms));
            let prefill_ms = prefill_ms + missed_ms;
            upstream.record_speed(now, granted.granted_at, times.speed(time, prefill_ms));
            return;
        }
        times.record(time, prefill_ms);

        if !self.switches.is_on(HostFeature::UpstreamLoad) {
            return;
        }
        if kind == AnswerKind::FirstEvent
            && granted.is_prefill_known
            && upstream.cache.has_capacity()
        {
            let (tokens, time_ms) = (granted.uncached_tokens, time.as_secs_f64() * 1_000.0);
            let service_costs = pool.costs;
            pool.costs.record_prefill(tokens, time_ms, &service_costs);

            if let Some(change) = upstream.costs.record_prefill(tokens, time_ms, &pool.costs) {
                log::info!(
                    upstream:% = upstream.record.id, old = change.old, new = change.new;
                    "the estimate of the tokens that an upstream reads in a millisecond has changed"
                );
            }
        }
    }

    /// Records how long a stream ran after its first event, with the requests on the upstream at that time.
    pub(super) fn record_run_time(
        &mut self,
        now: Instant,
        key: UpstreamKey,
        granted: GrantedLoad,
        time: Duration,
    ) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        let Some(pool) = self.services.get_mut(&upstream.record.service) else {
            return;
        };
        let is_learned = self.switches.is_on(HostFeature::UpstreamLoad);
        if !is_learned || upstream.is_paced(now) || !upstream.cache.has_capacity() {
            return;
        }
        let load = f64::from(granted.requests);
        let (time_ms, service_costs) = (time.as_secs_f64() * 1_000.0, pool.costs);
        pool.costs.record_concurrency(load, time_ms, &service_costs);

        if let Some(change) = upstream.costs.record_concurrency(load, time_ms, &pool.costs) {
            log::info!(
                upstream:% = upstream.record.id, old_ms = change.old, new_ms = change.new;
                "the estimate of what a concurrent request costs at an upstream has changed"
            );
        }
    }
}
