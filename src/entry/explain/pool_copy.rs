//! A copy of one service's pool, on which decisions can be tried.

use std::{collections::HashMap, iter::once, sync::Arc};

use parking_lot::Mutex;
use slotmap::SlotMap;
use tokio::{
    sync::oneshot,
    time::{Duration, Instant},
};

use crate::entry::{
    PlacementPool, PromptPart,
    placement_request::PlacementRequest,
    pool_state::{GrantedSlot, PoolState, ServicePool, WaitingRequest},
};

/// Most prompt parts that the copied caches know. Copies of whole caches would take longer than the decision: 230 parts at each
/// of 500 upstreams.
const MAX_PARTS: usize = 32;

/// A copy of one service's pool. It shares nothing that a decision changes with the original.
pub(super) struct PoolCopy {
    pub(super) pool: PlacementPool,
    /// Receivers of the copied queue. Without them, granted slots would be taken back.
    _receivers: Vec<oneshot::Receiver<GrantedSlot>>,
}

impl PoolCopy {
    /// Copies what decides on a request, as of `now`.
    pub(super) fn new(original: &PlacementPool, now: Instant, request: &PlacementRequest) -> Self {
        let state = original.state.lock();
        let (mut receivers, mut services) = (Vec::new(), HashMap::new());
        let mut upstreams = SlotMap::with_key();

        if let Some(service) = state.services.get(&request.service) {
            let waiting = service.waiting.values().map(|it| &it.request);
            let parts = known_parts(once(request).chain(waiting.clone()));
            let keys = service
                .keys
                .iter()
                .map(|key| upstreams.insert(state.upstreams[*key].copy_for(&parts)))
                .collect();
            let admission = service.admission.copy_for(now, once(request).chain(waiting));
            let mut copy = ServicePool {
                keys,
                mean_lease_time: service.mean_lease_time,
                admission,
                demand: service.demand.clone(),
                object_demand: service.object_demand.clone(),
                object_gain: service.object_gain,
                ..ServicePool::default()
            };

            for (position, original) in &service.waiting {
                let (slot_sender, receiver) = oneshot::channel();
                receivers.push(receiver);
                let (request, ticket) = (original.request.clone(), original.ticket.clone());
                copy.waiting.insert(*position, WaitingRequest { request, slot_sender, ticket });
            }
            services.insert(Arc::clone(&request.service), copy);
        }

        let capacity = state.cache_capacities.get_key_value(&request.service);
        let state = PoolState {
            upstreams,
            services,
            cache_capacities: capacity
                .map(|(key, it)| (Arc::clone(key), *it))
                .into_iter()
                .collect(),
            last_sequence: state.last_sequence,
            switches: state.switches,
            unavailable_since: state.unavailable_since,
            ..PoolState::default()
        };
        // Nothing but a grant changes the limits, and an empty queue gets none.
        let limits = if receivers.is_empty() {
            Arc::clone(&original.limits)
        } else {
            Arc::new(Mutex::new(original.limits.lock().clone()))
        };
        let pool = PlacementPool {
            data_centre: Arc::clone(&original.data_centre),
            regions: original.regions.clone(),
            expiry: original.expiry,
            state: Mutex::new(state),
            departures: Arc::clone(&original.departures),
            limits,
            reach: Arc::default(),
        };
        Self { pool, _receivers: receivers }
    }
}

/// Prompt parts of the first requests.
fn known_parts<'a>(requests: impl Iterator<Item = &'a PlacementRequest>) -> Vec<PromptPart> {
    requests.flat_map(|it| &it.prompt_parts).copied().take(MAX_PARTS).collect()
}

/// Milliseconds of a duration.
pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
