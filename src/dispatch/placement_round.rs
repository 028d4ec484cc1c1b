//! Placement: the choice of an upstream for a request.

use crate::{
    CachedPrefix, CellQueue, GrantReason, QueuedRequest, RequestKey, UpstreamKey, UpstreamState,
};

/// Upstream that was chosen for a request, with the reason and the expected cost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlacementChoice {
    pub(crate) request: RequestKey,
    pub(crate) upstream: UpstreamKey,
    pub(crate) reason: GrantReason,
    pub(crate) cached_tokens: u64,
    pub(crate) cost_us: u64,
}

/// Room that a cache must have before programs without a cached prefix are considered at all.
const MIN_CACHE_ROOM_TOKENS: u64 = 1_000;

/// Placement of requests against one state of the queue. What is the same for all of them, such as the least loaded
/// upstream, is computed once.
#[derive(Debug)]
pub(crate) struct PlacementRound<'a> {
    queue: &'a CellQueue,
    now_ms: u64,
    /// Least loaded upstream with room in its window.
    least_loaded: Option<UpstreamKey>,
    /// Whether the cache of the least loaded upstream has room for another program.
    pub(crate) has_cache_room: bool,
}

/// An upstream that has the program's prefix cached, with the expected time to the first token.
#[derive(Clone, Copy)]
struct WarmUpstream {
    upstream: UpstreamKey,
    cached_tokens: u64,
    wait_us: u64,
    prefill_us: u64,
}

impl<'a> PlacementRound<'a> {
    pub(crate) fn new(queue: &'a CellQueue, now_ms: u64) -> Self {
        let least_loaded = queue
            .upstreams
            .iter()
            .filter(|(_, state)| state.has_room(now_ms))
            .min_by_key(|(key, state)| (Self::load(queue, *key, state), *key))
            .map(|(key, _)| key);

        let mut round = Self { queue, now_ms, least_loaded, has_cache_room: false };
        round.has_cache_room =
            least_loaded.is_some_and(|it| round.has_cache_room(it, MIN_CACHE_ROOM_TOKENS));
        round
    }

    /// Places a request. Returns `None` if no upstream may take it now, or if waiting for a warm upstream or for cache
    /// room is better; `is_urgent` rules such waiting out.
    pub(crate) fn place(&self, key: RequestKey, is_urgent: bool) -> Option<PlacementChoice> {
        let queued = &self.queue.requests[key];
        let warm = self.best_warm(queued);
        let least_loaded = self.least_loaded_for(queued);

        let Some(warm) = warm else {
            let least_loaded = least_loaded
                .filter(|it| is_urgent || self.has_cache_room(*it, queued.request.prompt_tokens));
            return least_loaded.map(|it| self.choose_by_load(key, it, GrantReason::LeastLoaded));
        };

        let least_loaded_us = least_loaded.map_or(u64::MAX, |it| self.prefill_us(queued, it, 0));
        let warm_us = warm.wait_us.saturating_add(warm.prefill_us);

        if warm.wait_us == 0 && warm_us <= least_loaded_us {
            return Some(PlacementChoice {
                request: key,
                upstream: warm.upstream,
                reason: GrantReason::WarmPrefix,
                cached_tokens: warm.cached_tokens,
                cost_us: warm.prefill_us,
            });
        }

        let is_waiting_better = warm_us < least_loaded_us
            || least_loaded
                .is_some_and(|it| !self.has_cache_room(it, queued.request.prompt_tokens));

        if is_waiting_better && !is_urgent && self.may_hold(queued) {
            return None;
        }

        least_loaded.map(|it| self.choose_by_load(key, it, GrantReason::HoldExpired))
    }

    /// Used share of an upstream's window, plus that of its cache if the policy considers prefixes, in thousandths.
    fn load(queue: &CellQueue, key: UpstreamKey, state: &UpstreamState) -> u64 {
        match queue.policy.uses_prefixes {
            true => state.load_permille() + queue.prefixes.fill_permille(key),
            false => state.load_permille(),
        }
    }

    /// Whether a prompt fits into an upstream's cache without evicting prefixes in use. An upstream that runs nothing
    /// always has room.
    fn has_cache_room(&self, upstream: UpstreamKey, tokens: u64) -> bool {
        let policy = &self.queue.policy;
        let idle_before_ms = self.now_ms.saturating_sub(policy.keep_ms);
        let headroom_percent = policy.headroom_percent;

        !policy.uses_memory
            || self.queue.upstreams[upstream].in_flight.is_empty()
            || self.queue.prefixes.has_room(upstream, tokens, headroom_percent, idle_before_ms)
    }

    fn may_hold(&self, queued: &QueuedRequest) -> bool {
        let since_ms = queued.held_since_ms.unwrap_or(self.now_ms);
        let is_within_limit = self.now_ms - since_ms < self.queue.policy.hold_limit_ms;
        self.queue.policy.uses_holds && is_within_limit
    }

    fn choose_by_load(
        &self,
        request: RequestKey,
        upstream: UpstreamKey,
        reason: GrantReason,
    ) -> PlacementChoice {
        let queued = &self.queue.requests[request];
        let cached_tokens = self.queue.prefixes.cached_tokens(queued.request.program, upstream);
        let cost_us = self.prefill_us(queued, upstream, cached_tokens);
        PlacementChoice { request, upstream, reason, cached_tokens, cost_us }
    }

    /// Time to prefill the part of a prompt that is not cached, weighted by the policy, in microseconds.
    fn prefill_us(&self, queued: &QueuedRequest, upstream: UpstreamKey, cached_tokens: u64) -> u64 {
        let tokens = queued.request.prompt_tokens.saturating_sub(cached_tokens);
        tokens * self.queue.upstreams[upstream].prefill_us * self.queue.policy.prefill_percent / 100
    }

    /// Warm upstream with the least expected time to the first token, whether or not its window has room.
    fn best_warm(&self, queued: &QueuedRequest) -> Option<WarmUpstream> {
        if !self.queue.policy.uses_prefixes {
            return None;
        }

        self.queue
            .prefixes
            .cached_prefixes(queued.request.program)
            .iter()
            .filter(|prefix| self.is_eligible(queued, prefix.upstream))
            .map(|prefix| self.warm_upstream(queued, prefix))
            .min_by_key(|warm| (warm.wait_us + warm.prefill_us, warm.upstream))
    }

    fn warm_upstream(&self, queued: &QueuedRequest, prefix: &CachedPrefix) -> WarmUpstream {
        let upstream = prefix.upstream;

        WarmUpstream {
            upstream,
            cached_tokens: prefix.tokens,
            wait_us: self.queue.upstreams[upstream].wait_us(self.now_ms),
            prefill_us: self.prefill_us(queued, upstream, prefix.tokens),
        }
    }

    /// Least loaded upstream with room in its window that may run the request.
    fn least_loaded_for(&self, queued: &QueuedRequest) -> Option<UpstreamKey> {
        let least_loaded = self.least_loaded?;

        if self.is_eligible(queued, least_loaded) {
            return Some(least_loaded);
        }

        self.queue
            .upstreams
            .iter()
            .filter(|(key, state)| state.has_room(self.now_ms) && self.is_eligible(queued, *key))
            .min_by_key(|(key, state)| (Self::load(self.queue, *key, state), *key))
            .map(|(key, _)| key)
    }

    /// Whether an upstream may run a request. Two requests that are suspected of crashing upstreams never run on one
    /// upstream at a time, so that the next crash identifies the one that caused it.
    fn is_eligible(&self, queued: &QueuedRequest, upstream: UpstreamKey) -> bool {
        let state = &self.queue.upstreams[upstream];
        let crashes = &self.queue.crashes;
        let is_suspect = crashes.crash_count(queued.request.fingerprint) > 0;

        let runs_beside_suspect = is_suspect
            && state
                .in_flight
                .iter()
                .any(|it| crashes.crash_count(self.queue.requests[*it].request.fingerprint) > 0);

        state.is_serving && !runs_beside_suspect && !queued.request.excluded.contains(&state.name)
    }
}
