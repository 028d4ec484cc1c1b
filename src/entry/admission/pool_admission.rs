//! How the placement pool uses admission control.

use std::sync::Arc;

use tokio::time::{Duration, Instant};

use super::{
    admission_state::AdmissionState, admission_ticket::AdmissionTicket, queue_rank::QueueRank,
    queue_view::QueueView, wait_forecast::WaitForecast,
};
use crate::entry::{
    HostFeature, UpstreamRecord,
    explain::ProgramExplanation,
    placement_request::{PlacementRefusal, PlacementRequest},
    pool_state::{PoolState, QueuePosition},
    upstream_departures::UpstreamDepartures,
};
use crate::upstreams::rate_limit::RequestRate;

/// Part of a service's slots that a host counts on at least. A host that has sent little fills few slots itself, but gets some
/// of those that others free.
const MIN_SLOT_SHARE: f64 = 0.125;

impl PoolState {
    /// Admission control of a service; `None` for services without a prompt cache, and if it is switched off.
    fn admission(&mut self, service: &str) -> Option<&mut AdmissionState> {
        let has_admission = self.has_admission(service);
        self.services.get_mut(service).filter(|_| has_admission).map(|pool| &mut pool.admission)
    }

    fn has_admission(&self, service: &str) -> bool {
        let has_cache = self.cache_capacities.get(service).is_some_and(|tokens| *tokens > 0);
        has_cache && self.switches.is_on(HostFeature::Admission)
    }

    /// Records that a request has arrived. The returned ticket belongs to its lease.
    pub(crate) fn record_arrival(
        &mut self,
        now: Instant,
        request: &PlacementRequest,
    ) -> Option<Arc<AdmissionTicket>> {
        self.admission(&request.service)?.record_arrival(now, request)
    }

    /// What the pool knows of a request's program; `None` without admission control.
    pub(in crate::entry) fn program_explanation(
        &self,
        now: Instant,
        request: &PlacementRequest,
    ) -> Option<ProgramExplanation> {
        let pool = self.services.get(&request.service)?;
        let has_admission = request.program.is_some() && self.has_admission(&request.service);
        has_admission.then(|| pool.admission.program_explanation(now, request))
    }

    /// Records that a request has got a slot.
    pub(in crate::entry) fn record_grant(&mut self, now: Instant, request: &PlacementRequest) {
        if let Some(admission) = self.admission(&request.service) {
            admission.record_grant(now, request);
        }
    }

    /// Positions of the requests that wait for a service, in the order in which they are served.
    pub(in crate::entry) fn queue_order(
        &mut self,
        now: Instant,
        service: &str,
    ) -> Vec<QueuePosition> {
        let has_admission = self.admission(service).is_some();
        let Some(pool) = self.services.get(service) else {
            return Vec::new();
        };

        if !has_admission {
            return pool.waiting.keys().copied().collect();
        }

        let waiting =
            pool.waiting.iter().map(|(position, it)| (*position, position.sequence, &it.request));
        pool.admission.sort_queue(now, waiting)
    }

    /// Records whether requests wait for a service.
    pub(in crate::entry) fn record_queue(&mut self, now: Instant, service: &str) {
        if let Some(pool) = self.services.get_mut(service) {
            pool.admission.record_queue(now, pool.waiting.is_empty());
        }
    }

    /// Decides whether a request that finds no free slot may wait.
    pub(in crate::entry) fn check_admission(
        &mut self,
        now: Instant,
        request: &PlacementRequest,
        departures: &UpstreamDepartures,
        share: &dyn Fn(&UpstreamRecord) -> Option<RequestRate>,
    ) -> Result<(), PlacementRefusal> {
        let Some((rank, view)) = self.queue_view(now, request, departures, share) else {
            return self.check_expected_wait(now, request, departures, share).map(drop);
        };
        let Some(admission) = self.admission(&request.service) else {
            return Ok(());
        };
        admission.check(now, request, &view).map_err(|refusal| {
            log::info!(
                request:% = request.request, program = request.program.as_deref().unwrap_or_default(),
                route:% = request.route, service:% = request.service, team = request.team.as_deref().unwrap_or_default(),
                priority = request.priority, class:? = rank.class, overuse = rank.overuse,
                under_way_ahead = view.under_way_ahead, new_ahead = view.new_ahead,
                slots_per_s = view.slots_per_s, queue_age_ms = view.queue_age.as_millis() as u64,
                longest_wait_ms = view.longest_wait.as_millis() as u64,
                expected_wait_ms = refusal.expected_wait.as_millis() as u64,
                allowed_wait_ms = refusal.allowed_wait.as_millis() as u64,
                time_left_ms = refusal.time_left.as_millis() as u64, slack_ms = refusal.slack.as_millis() as u64,
                turns = refusal.turns, lease_excess_ms = refusal.lease_excess.as_millis() as u64,
                retry_after_ms = refusal.retry_after.as_millis() as u64;
                "a request is not admitted: {}", refusal.reason.text()
            );
            PlacementRefusal { reason: refusal.reason.text(), retry_after: refusal.retry_after }
        })
    }

    /// Forecasts what becomes of a request that finds no free slot, by the same decisions as [`PoolState::check_admission`].
    pub(in crate::entry) fn forecast(
        &self,
        now: Instant,
        request: &PlacementRequest,
        departures: &UpstreamDepartures,
        share: &dyn Fn(&UpstreamRecord) -> Option<RequestRate>,
    ) -> WaitForecast {
        let view = self.queue_view(now, request, departures, share);
        let pool = self.services.get(&request.service);

        let Some(((rank, view), pool)) = view.zip(pool) else {
            let wait = self.check_expected_wait(now, request, departures, share);
            return WaitForecast {
                expected_wait: wait.as_ref().ok().copied(),
                allowed_wait: None,
                class: None,
                refusal: wait.err(),
            };
        };

        let decision = pool.admission.decide(now, request, &view);
        let refusal = decision
            .refusal
            .map(|it| PlacementRefusal { reason: it.reason.text(), retry_after: it.retry_after });
        WaitForecast {
            expected_wait: Some(decision.expected_wait),
            allowed_wait: Some(decision.allowed_wait),
            class: Some(rank.class),
            refusal,
        }
    }

    /// Place and queue of a request that takes part in admission control; `None` for others, and if no upstream may take it, so
    /// that it is refused as any other.
    fn queue_view(
        &self,
        now: Instant,
        request: &PlacementRequest,
        departures: &UpstreamDepartures,
        share: &dyn Fn(&UpstreamRecord) -> Option<RequestRate>,
    ) -> Option<(QueueRank, QueueView)> {
        if request.program.is_none() || !self.has_admission(&request.service) {
            return None;
        }

        let slots_per_s = self.slots_per_s(now, request, departures, share);
        let pool = self.services.get(&request.service).filter(|_| slots_per_s > 0.0)?;
        let admission = &pool.admission;
        let rank = admission.rank(now, request, u64::MAX);
        let ranks = pool.waiting.iter().map(|(position, it)| {
            let waited = it.ticket.as_ref().map_or(Duration::ZERO, |ticket| ticket.age(now));
            (admission.rank(now, &it.request, position.sequence), waited)
        });
        Some((rank, QueueView::new(rank, ranks, slots_per_s, admission.queue_age(now))))
    }

    /// Slots per second that become free for this host's queue. While no slot is free, those are the ones that this host fills
    /// itself; other hosts fill again what they free.
    fn slots_per_s(
        &self,
        now: Instant,
        request: &PlacementRequest,
        departures: &UpstreamDepartures,
        share: &dyn Fn(&UpstreamRecord) -> Option<RequestRate>,
    ) -> f64 {
        let Some(pool) = self.services.get(&request.service) else {
            return 0.0;
        };
        let lease_time = pool.mean_lease_time.as_secs_f64().max(0.001);
        pool.keys
            .iter()
            .map(|key| &self.upstreams[*key])
            .filter(|upstream| self.is_open(upstream, now, departures) && request.may_use(upstream))
            // A turn of a program under way waits also for upstreams that may be failing, since a refusal would lose its work.
            .filter(|upstream| request.is_continuation || !upstream.is_in_backoff(now))
            .map(|upstream| {
                let slots = upstream.record.slots.max(1);
                let free = slots.saturating_sub(upstream.load(now));
                let own = f64::from(upstream.in_flight.saturating_add(free));
                let by_slots = own.max(f64::from(slots) * MIN_SLOT_SHARE) / lease_time;
                share(&upstream.record).map_or(by_slots, |rate| rate.per_second().min(by_slots))
            })
            .sum()
    }
}
