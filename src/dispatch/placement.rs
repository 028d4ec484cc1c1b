//! Choice of an upstream for a request.

use crate::{
    CachedPrefix, CellQueue, GrantReason, QueuedRequest, RequestKey, UpstreamKey, UpstreamState,
};

/// Where a request goes, and why.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlacementChoice {
    pub(crate) request: RequestKey,
    pub(crate) upstream: UpstreamKey,
    pub(crate) reason: GrantReason,
    pub(crate) cached_tokens: u64,
    pub(crate) cost_us: u64,
}

/// Prompt for which a cache must have room at the least, before programs without a prefix are looked at, in tokens.
const SMALL_PROMPT_TOKENS: u64 = 1_000;

/// One round of placement. The least loaded upstream is the same for all requests of a round.
#[derive(Debug)]
pub(crate) struct Placement<'a> {
    queue: &'a CellQueue,
    now_ms: u64,
    least_loaded: Option<UpstreamKey>,
    /// Whether some upstream with room in its window has room in its cache.
    pub(crate) has_memory: bool,
}

#[derive(Clone, Copy)]
struct WarmUpstream {
    upstream: UpstreamKey,
    cached_tokens: u64,
    wait_us: u64,
    prefill_us: u64,
}

impl<'a> Placement<'a> {
    pub(crate) fn new(queue: &'a CellQueue, now_ms: u64) -> Self {
        let least_loaded = queue
            .upstreams
            .iter()
            .filter(|(_, slot)| slot.has_room())
            .min_by_key(|(key, slot)| (Self::load(queue, *key, slot), *key))
            .map(|(key, _)| key);

        let mut placement = Self { queue, now_ms, least_loaded, has_memory: false };
        placement.has_memory =
            least_loaded.is_some_and(|it| placement.has_memory(it, SMALL_PROMPT_TOKENS));
        placement
    }

    /// Places a request, or gives nothing where it should wait for a warm upstream or no upstream may take it.
    /// `is_urgent` rules waiting out.
    pub(crate) fn place(&self, key: RequestKey, is_urgent: bool) -> Option<PlacementChoice> {
        let queued = &self.queue.requests[key];
        let warm = self.warm(queued);
        let cold = self.cold(queued);

        let Some(warm) = warm else {
            let cold =
                cold.filter(|it| is_urgent || self.has_memory(*it, queued.request.prompt_tokens));
            return cold.map(|it| self.cold_choice(key, it, GrantReason::LeastLoaded));
        };

        let cold_us = cold.map_or(u64::MAX, |it| self.prefill_us(queued, it, 0));
        let warm_us = warm.wait_us.saturating_add(warm.prefill_us);

        if warm.wait_us == 0 && warm_us <= cold_us {
            return Some(PlacementChoice {
                request: key,
                upstream: warm.upstream,
                reason: GrantReason::WarmPrefix,
                cached_tokens: warm.cached_tokens,
                cost_us: warm.prefill_us,
            });
        }

        let is_better = warm_us < cold_us
            || cold.is_some_and(|it| !self.has_memory(it, queued.request.prompt_tokens));

        if is_better && !is_urgent && self.may_hold(queued) {
            return None;
        }

        cold.map(|it| self.cold_choice(key, it, GrantReason::HoldExpired))
    }

    fn load(queue: &CellQueue, key: UpstreamKey, slot: &UpstreamState) -> u64 {
        match queue.policy.uses_prefixes {
            true => slot.load_permille() + queue.prefixes.fill_permille(key),
            false => slot.load_permille(),
        }
    }

    /// Tells whether a prompt fits into an upstream's cache without evicting what is in use.
    fn has_memory(&self, upstream: UpstreamKey, tokens: u64) -> bool {
        let policy = &self.queue.policy;
        let idle_before_ms = self.now_ms.saturating_sub(policy.keep_ms);
        let headroom = policy.headroom_percent;

        !policy.uses_memory
            || self.queue.upstreams[upstream].in_flight.is_empty()
            || self.queue.prefixes.has_room(upstream, tokens, headroom, idle_before_ms)
    }

    fn may_hold(&self, queued: &QueuedRequest) -> bool {
        let since_ms = queued.held_since_ms.unwrap_or(self.now_ms);
        let is_within = self.now_ms - since_ms < self.queue.policy.hold_limit_ms;
        self.queue.policy.uses_holds && is_within
    }

    fn cold_choice(
        &self,
        request: RequestKey,
        upstream: UpstreamKey,
        reason: GrantReason,
    ) -> PlacementChoice {
        let queued = &self.queue.requests[request];
        let cached_tokens = self.queue.prefixes.cached(queued.request.program, upstream);
        let cost_us = self.prefill_us(queued, upstream, cached_tokens);
        PlacementChoice { request, upstream, reason, cached_tokens, cost_us }
    }

    fn prefill_us(&self, queued: &QueuedRequest, upstream: UpstreamKey, cached: u64) -> u64 {
        let tokens = queued.request.prompt_tokens.saturating_sub(cached);
        tokens * self.queue.upstreams[upstream].prefill_us * self.queue.policy.prefill_percent / 100
    }

    /// The warm upstream with the least expected time to the first token, be it full or not.
    fn warm(&self, queued: &QueuedRequest) -> Option<WarmUpstream> {
        if !self.queue.policy.uses_prefixes {
            return None;
        }

        self.queue
            .prefixes
            .residences(queued.request.program)
            .iter()
            .filter(|residence| self.is_eligible(queued, residence.upstream))
            .map(|residence| self.warm_upstream(queued, residence))
            .min_by_key(|warm| (warm.wait_us + warm.prefill_us, warm.upstream))
    }

    fn warm_upstream(&self, queued: &QueuedRequest, residence: &CachedPrefix) -> WarmUpstream {
        let upstream = residence.upstream;

        WarmUpstream {
            upstream,
            cached_tokens: residence.tokens,
            wait_us: self.queue.upstreams[upstream].wait_us(),
            prefill_us: self.prefill_us(queued, upstream, residence.tokens),
        }
    }

    fn cold(&self, queued: &QueuedRequest) -> Option<UpstreamKey> {
        let least_loaded = self.least_loaded?;

        if self.is_eligible(queued, least_loaded) {
            return Some(least_loaded);
        }

        self.queue
            .upstreams
            .iter()
            .filter(|(key, slot)| slot.has_room() && self.is_eligible(queued, *key))
            .min_by_key(|(key, slot)| (Self::load(self.queue, *key, slot), *key))
            .map(|(key, _)| key)
    }

    /// Two suspects never run on one upstream at a time, so that a second crash has one culprit.
    fn is_eligible(&self, queued: &QueuedRequest, upstream: UpstreamKey) -> bool {
        let slot = &self.queue.upstreams[upstream];
        let crashes = &self.queue.crashes;
        let is_suspect = crashes.crash_count(queued.request.fingerprint) > 0;

        let is_shared = is_suspect
            && slot
                .in_flight
                .iter()
                .any(|it| crashes.crash_count(self.queue.requests[*it].request.fingerprint) > 0);

        slot.is_serving && !is_shared && !queued.request.excluded.contains(&slot.name)
    }
}
