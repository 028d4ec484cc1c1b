//! What a pool would do with a request now.

use std::sync::Arc;

use tokio::{sync::oneshot, time::Instant};

use crate::entry::{
    PlacementPool, UpstreamRecord,
    explain::{
        CandidateView, CostTerm, ProgramExplanation, QueueForecast,
        pool_copy::{PoolCopy, millis},
    },
    placement_request::{PlacementRefusal, PlacementRequest},
    pool_state::{PoolState, QueuePosition, UpstreamKey, WaitingRequest},
    slot_obstacle::SlotObstacle,
    upstream_choice::UpstreamChoice,
};

/// What a pool would do with a request now.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PoolExplanation {
    /// Upstream that the request would get at once.
    pub(crate) upstream: Option<Arc<str>>,
    /// Set if the request finds no free slot and may not wait for one.
    pub(crate) refusal: Option<PlacementRefusal>,
    pub(crate) queue: QueueForecast,
    /// What the pool knows of the request's program.
    pub(crate) program: Option<ProgramExplanation>,
    /// The chosen upstream first, then the others that may take the request, each by rank and cost.
    pub(crate) candidates: Vec<CandidateView>,
}

impl PlacementPool {
    /// Explains what [`PlacementPool::acquire`] would do with a request now. The pool does not change.
    pub(crate) fn explain(&self, request: &PlacementRequest) -> PoolExplanation {
        let now = Instant::now();
        let copy = PoolCopy::new(self, now, request);
        copy.pool.explain_arrival(now, request)
    }

    /// Does what an arriving request does, up to its decision. To be called on a copy.
    fn explain_arrival(&self, now: Instant, request: &PlacementRequest) -> PoolExplanation {
        let mut state = self.state.lock();
        let program = state.program_explanation(now, request);
        let ticket = state.record_arrival(now, request);
        self.serve_queue(&mut state, &request.service);
        let (chosen, candidates) = self.candidates(&state, now, request);
        let length = state.services.get(&request.service).map_or(0, |it| it.waiting.len());

        if let Some(chosen) = chosen {
            return PoolExplanation {
                upstream: Some(Arc::clone(&state.upstreams[chosen].record.id)),
                refusal: None,
                queue: QueueForecast { length, ..QueueForecast::default() },
                program,
                candidates,
            };
        }

        let forecast = {
            let departures = self.departures.lock();
            let limits = self.limits.lock();
            let share = |record: &UpstreamRecord| limits.share(record, self.region_of(record));
            state.forecast(now, request, &departures, &share)
        };

        let position = forecast.refusal.is_none().then(|| {
            let position = QueuePosition::new(request, state.last_sequence + 1);
            let request = request.clone();
            let slot_sender = oneshot::channel().0;
            let service = Arc::clone(&request.service);
            let pool = state.services.entry(Arc::clone(&service)).or_default();
            pool.waiting.insert(position, WaitingRequest { request, slot_sender, ticket });
            state.queue_order(now, &service).iter().position(|it| *it == position)
        });

        PoolExplanation {
            upstream: None,
            refusal: forecast.refusal,
            queue: QueueForecast {
                length,
                position: position.flatten(),
                expected_wait_ms: forecast.expected_wait.map(millis),
                allowed_wait_ms: forecast.allowed_wait.map(millis),
                class: forecast.class.map(|it| it.to_string().into()),
            },
            program,
            candidates,
        }
    }

    /// The upstreams of a request's service as placement sees them, and the one that it would choose.
    fn candidates(
        &self,
        state: &PoolState,
        now: Instant,
        request: &PlacementRequest,
    ) -> (Option<UpstreamKey>, Vec<CandidateView>) {
        let departures = self.departures.lock();
        let limits = self.limits.lock();
        let Some(choice) = UpstreamChoice::new(self, state, now, request, &departures, &limits)
        else {
            return (None, Vec::new());
        };

        let chosen = choice.best();
        let mut ranked: Vec<_> = choice
            .keys()
            .iter()
            .map(|key| {
                let obstacle = choice.obstacle(*key);
                let (rank, cost) = (choice.rank(*key), choice.cost(*key));
                (
                    (Some(*key) != chosen, obstacle.is_some(), rank, cost.total()),
                    *key,
                    obstacle,
                    cost,
                )
            })
            .collect();
        ranked.sort_by(|(left, ..), (right, ..)| {
            let order = (left.0, left.1, left.2).cmp(&(right.0, right.1, right.2));
            order.then(left.3.total_cmp(&right.3))
        });

        let candidates = ranked.into_iter().map(|((_, _, rank, total), key, obstacle, cost)| {
            let upstream = &state.upstreams[key];
            let record = &upstream.record;
            let handicaps = [
                (rank.is_memory_exceeded, "memory"),
                (upstream.is_in_backoff(now), "backoff"),
                (rank.is_risky && !upstream.is_in_backoff(now), "unproven"),
                (rank.is_kept, "may have left"),
            ];
            let costs = cost.terms().into_iter();
            CandidateView {
                upstream: Arc::clone(&record.id),
                data_centre: Arc::clone(&record.data_centre),
                software_version: Arc::clone(&record.software_version),
                load: upstream.load(now),
                slots: record.slots,
                cached_tokens: upstream.cached_tokens(&request.prompt_parts),
                is_chosen: Some(key) == chosen,
                obstacle: obstacle.map_or("", SlotObstacle::text).into(),
                handicaps: handicaps
                    .into_iter()
                    .filter(|(applies, _)| *applies)
                    .map(|(_, name)| name.into())
                    .collect(),
                cost_ms: total,
                costs: costs.map(|(name, ms)| CostTerm { name: name.into(), ms }).collect(),
            }
        });
        (chosen, candidates.collect())
    }
}
