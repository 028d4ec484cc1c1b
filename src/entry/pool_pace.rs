//! How the placement pool paces upstreams that have just started or recover from failures. See docs/design/pace.md.

use std::sync::Arc;

use tokio::time::{Duration, Instant};

use crate::entry::{
    PlacementPool,
    pool_state::{PoolState, UpstreamKey},
    upstream_load::{granted_load::GrantedLoad, pace_window::PaceCause, start_cohort::StartCohort},
};

/// Prompt tokens that an engine prefills in a millisecond, as the users' specifications state.
pub(super) const PREFILL_TOKENS_PER_MS: f64 = 147.0;

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
    ) {
        let mut state = self.state.lock();
        state.record_answer_time(Instant::now(), key, AnswerKind::FirstEvent, granted, time);
        let service = state.upstreams.get(key).map(|it| Arc::clone(&it.record.service));

        if let Some(service) = service {
            self.serve_queue(&mut state, &service);
        }
    }

    /// Number of upstreams that are in slow start at this host.
    pub(crate) fn slow_start_count(&self) -> usize {
        let now = Instant::now();
        self.state.lock().upstreams.values().filter(|it| it.is_paced(now)).count()
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
        let prefill_ms = granted.uncached_tokens as f64 / PREFILL_TOKENS_PER_MS;

        if upstream.is_paced(now) {
            upstream.record_speed(now, granted.granted_at, times.speed(time, prefill_ms));
        } else {
            times.record(time, prefill_ms);
        }
    }
}
