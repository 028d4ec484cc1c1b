//! The programs whose turns a pool has placed lately.

use std::{
    collections::{HashMap, hash_map::Entry},
    sync::Arc,
};

use tokio::time::{Duration, Instant};

use super::{
    admission_ticket::AdmissionTicket, estimate_key::EstimateKey,
    program_progress::ProgramProgress, program_view::ProgramView, route_estimate::RouteEstimate,
};
use crate::entry::placement_request::PlacementRequest;

/// Most programs that are remembered, about 2 MB. The others are treated by what their requests state.
const MAX_PROGRAMS: usize = 8_192;

/// Most estimates.
const MAX_ESTIMATES: usize = 1_024;

/// Most ended programs that a copy has. A sweep finds fewer, unless there was none for seconds; copies of all would take 2 ms.
const MAX_COPIED_ENDS: usize = 256;

/// Time between sweeps of ended programs.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Time without requests after which a program has ended, since clients wait for 3 s and then send a failed turn again soon.
const RETRY_TIME: Duration = Duration::from_secs(4);

/// Time without requests after which a program is forgotten whatever its finish time is.
const MAX_SILENCE: Duration = Duration::from_mins(1);

/// Programs by team and id, and the estimates of their routes. Ids of two teams may be equal.
#[derive(Debug, Default)]
pub(super) struct ProgramTable {
    programs: HashMap<(Option<Arc<str>>, Arc<str>), ProgramProgress>,
    estimates: HashMap<EstimateKey, RouteEstimate>,
    swept_at: Option<Instant>,
}

impl ProgramTable {
    /// A copy with the programs of `requests`, and with those that the next request's arrival has to learn from.
    pub(super) fn copy_for<'a>(
        &self,
        now: Instant,
        requests: impl Iterator<Item = &'a PlacementRequest>,
    ) -> Self {
        let own = requests.filter_map(|request| {
            let key = (request.team.clone(), Arc::clone(request.program.as_ref()?));
            self.programs.get_key_value(&key)
        });
        let ended = self.programs.iter().filter(|(_, it)| it.has_news(now, RETRY_TIME));
        // A sweep that is not due learns from none of them.
        let ended = self.is_sweep_due(now).then_some(ended).into_iter().flatten();
        let ended = ended.take(MAX_COPIED_ENDS);
        Self {
            programs: own.chain(ended).map(|(key, it)| (key.clone(), it.clone())).collect(),
            estimates: self.estimates.clone(),
            swept_at: self.swept_at,
        }
    }

    /// What is known of a request's program.
    pub(super) fn view<'a>(
        &'a self,
        now: Instant,
        request: &'a PlacementRequest,
    ) -> ProgramView<'a> {
        let progress = self.progress(request);
        let left = request.finish_by.saturating_duration_since(now);
        let (estimate, size) = if let Some(progress) = progress {
            (self.estimates.get(&progress.estimate), progress.estimate.size)
        } else {
            let key = EstimateKey::new(&request.route, left);
            (self.estimates.get(&key), key.size)
        };
        let estimate = estimate.copied().unwrap_or_default();
        ProgramView { request, progress, estimate, size, now }
    }

    /// Key of the estimates for a request's program.
    pub(super) fn estimate_key(&self, now: Instant, request: &PlacementRequest) -> EstimateKey {
        if let Some(progress) = self.progress(request) {
            return progress.estimate.clone();
        }
        EstimateKey::new(&request.route, request.finish_by.saturating_duration_since(now))
    }

    /// Progress of a request's program, if it is remembered.
    fn progress(&self, request: &PlacementRequest) -> Option<&ProgramProgress> {
        let program = request.program.as_ref()?;
        self.programs.get(&(request.team.clone(), Arc::clone(program)))
    }

    /// Records that a request of a program has arrived.
    pub(super) fn record_arrival(&mut self, now: Instant, request: &PlacementRequest) {
        self.sweep(now);
        let Some(program) = &request.program else {
            return;
        };
        let is_full = self.programs.len() >= MAX_PROGRAMS;

        match self.programs.entry((request.team.clone(), Arc::clone(program))) {
            Entry::Occupied(mut entry) => {
                let progress = entry.get_mut();
                progress.last_seen = now;
                progress.finish_by = progress.finish_by.min(request.finish_by);
            }
            Entry::Vacant(entry) if !is_full => {
                let left = request.finish_by.saturating_duration_since(now);
                entry.insert(ProgramProgress {
                    estimate: EstimateKey::new(&request.route, left),
                    first_seen: now,
                    last_seen: now,
                    finish_by: request.finish_by,
                    first_left: (!request.is_continuation).then_some(left),
                    has_started: request.is_continuation,
                    in_flight: 0,
                    answered: 0,
                    last_end: None,
                    lost_time: Duration::ZERO,
                    is_learned: false,
                });
            }
            Entry::Vacant(_) => (),
        }
    }

    /// Records that a request of a program has got a slot.
    pub(super) fn record_grant(&mut self, request: &PlacementRequest) {
        let Some(program) = &request.program else {
            return;
        };
        let key = (request.team.clone(), Arc::clone(program));
        if let Some(progress) = self.programs.get_mut(&key) {
            progress.has_started = true;
            progress.in_flight += 1;
        }
    }

    /// Records that a lease has ended.
    pub(super) fn record_end(
        &mut self,
        now: Instant,
        ticket: &AdmissionTicket,
        lease_time: Duration,
        is_answered: bool,
    ) {
        let key = &ticket.estimate;
        if self.estimates.len() >= MAX_ESTIMATES && !self.estimates.contains_key(key) {
            self.estimates.clear();
        }
        let estimate = self.estimates.entry(key.clone()).or_default();
        if is_answered {
            estimate.record_lease(lease_time);
        }
        let idle_lease = estimate.idle_lease();
        let key = (ticket.team.clone(), Arc::clone(&ticket.program));

        if let Some(progress) = self.programs.get_mut(&key) {
            progress.in_flight = progress.in_flight.saturating_sub(1);
            progress.last_seen = now;
            let elapsed = now.saturating_duration_since(ticket.arrived_at);
            // What an unanswered attempt took is lost whole.
            let needed = if is_answered { idle_lease.min(lease_time) } else { Duration::ZERO };
            progress.lost_time += elapsed.saturating_sub(needed);

            if is_answered {
                progress.answered += 1;
                progress.last_end = Some(now);
            }
        }
    }

    fn is_sweep_due(&self, now: Instant) -> bool {
        self.swept_at.is_none_or(|at| now.saturating_duration_since(at) >= SWEEP_INTERVAL)
    }

    /// Learns from programs that have ended, and forgets those that earn nothing any more.
    fn sweep(&mut self, now: Instant) {
        if !self.is_sweep_due(now) {
            return;
        }
        self.swept_at = Some(now);
        let mut ended = Vec::new();

        self.programs.retain(|_, progress| {
            let silence = now.saturating_duration_since(progress.last_seen);
            // The end of a lease is not recorded if its upstream is gone, so silence goes before leases.
            if silence >= MAX_SILENCE || progress.in_flight > 0 {
                return silence < MAX_SILENCE;
            }

            // A late program that goes on would count with too few turns.
            let is_silent = silence >= RETRY_TIME;
            if progress.has_news(now, RETRY_TIME) {
                progress.is_learned = true;
                let times = progress.first_left.zip(progress.idle_time());
                ended.extend(times.map(|(left, idle_time)| {
                    (
                        progress.finish_by,
                        left,
                        idle_time,
                        progress.answered,
                        progress.estimate.clone(),
                    )
                }));
            }
            let expires_at = progress.expires_at();
            let is_over = progress.finish_by <= now && expires_at.is_none_or(|at| at <= now);
            // A program that goes on after twice its time has to be known as one that earns nothing.
            !is_over || !is_silent
        });

        // The order of the map differs from process to process, and samples weigh by their order.
        ended.sort_unstable_by_key(|(finish_by, left, idle_time, answered, _)| {
            (*finish_by, *left, *idle_time, *answered)
        });
        for (_, left, idle_time, answered, key) in ended {
            if let Some(estimate) = self.estimates.get_mut(&key) {
                estimate.record_program(answered, left, idle_time);
            }
        }
    }
}
