//! Model of the engines' prefix caches.

use std::collections::{BTreeMap, BTreeSet};

use slotmap::SecondaryMap;

use crate::{ProgramId, UpstreamKey};

/// Share of its used tokens to which a cache's modelled capacity shrinks when an answer shows that an expected prefix
/// was evicted.
const SHRINK_PERCENT: u64 = 95;

/// Share of its configured size below which a cache's modelled capacity does not shrink: a missing prefix may also mean
/// that the engine was restarted or released it early.
const MIN_CAPACITY_PERCENT: u64 = 50;

/// Growth of a cache's modelled capacity with each cache hit.
const CAPACITY_GROWTH_TOKENS: u64 = 256;

/// Prefix of one program in the cache of one upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct CachedPrefix {
    pub(crate) upstream: UpstreamKey,
    pub(crate) tokens: u64,
    /// Value of `use_counter` at the last use, which orders eviction.
    last_use: u64,
    last_used_ms: u64,
}

/// Model of one upstream's cache.
#[derive(Clone, Debug, Default)]
struct CacheModel {
    /// Estimated number of tokens that the cache holds before it evicts.
    capacity_tokens: u64,
    configured_tokens: u64,
    used_tokens: u64,
    /// Programs with a cached prefix by their last use, the least recent first.
    by_last_use: BTreeSet<(u64, ProgramId)>,
}

/// Estimates which upstreams have each program's prefix cached. Like the engines, the model evicts the least recently
/// used prefix. The counts of cached tokens in answers correct it, since cache events arrive late and incomplete.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefixModel {
    caches: SecondaryMap<UpstreamKey, CacheModel>,
    prefixes: BTreeMap<ProgramId, Vec<CachedPrefix>>,
    use_counter: u64,
}

impl PrefixModel {
    /// Adds an upstream's cache or changes its size. A cache of size 0, as for a plain service, stores nothing and
    /// always has room.
    pub(crate) fn set_capacity(&mut self, upstream: UpstreamKey, capacity_tokens: u64) {
        if !self.caches.contains_key(upstream) {
            self.caches.insert(upstream, CacheModel::default());
        }

        let cache = &mut self.caches[upstream];
        cache.capacity_tokens = capacity_tokens;
        cache.configured_tokens = capacity_tokens;
        self.evict(upstream);
    }

    /// Drops all prefixes of an upstream; a crashed engine restarts with an empty cache.
    pub(crate) fn clear_upstream(&mut self, upstream: UpstreamKey) {
        let Some(cache) = self.caches.get(upstream) else {
            return;
        };

        let programs: Vec<ProgramId> =
            cache.by_last_use.iter().map(|(_, program)| *program).collect();
        programs.into_iter().for_each(|program| self.drop_prefix(upstream, program));
    }

    pub(crate) fn remove_upstream(&mut self, upstream: UpstreamKey) {
        self.clear_upstream(upstream);
        self.caches.remove(upstream);
    }

    /// Tokens of a program's prefix in an upstream's cache.
    pub(crate) fn cached_tokens(&self, program: ProgramId, upstream: UpstreamKey) -> u64 {
        let prefix = self.cached_prefixes(program).iter().find(|it| it.upstream == upstream);
        prefix.map_or(0, |it| it.tokens)
    }

    /// Cached prefixes of a program, one for each upstream that has one.
    pub(crate) fn cached_prefixes(&self, program: ProgramId) -> &[CachedPrefix] {
        self.prefixes.get(&program).map_or(&[], Vec::as_slice)
    }

    /// Used share of an upstream's cache, in thousandths.
    pub(crate) fn fill_permille(&self, upstream: UpstreamKey) -> u64 {
        let Some(cache) = self.caches.get(upstream) else {
            return 0;
        };

        cache.used_tokens * 1_000 / cache.capacity_tokens.max(1)
    }

    /// Whether a prefix fits into a cache, with headroom, without evicting one that was used after `idle_before_ms`.
    pub(crate) fn has_room(
        &self,
        upstream: UpstreamKey,
        tokens: u64,
        headroom_percent: u64,
        idle_before_ms: u64,
    ) -> bool {
        let Some(cache) = self.caches.get(upstream).filter(|cache| cache.configured_tokens > 0)
        else {
            return true;
        };

        let limit = cache.capacity_tokens * (100 - headroom_percent) / 100;
        let mut needed = (cache.used_tokens + tokens).saturating_sub(limit);

        for (_, program) in &cache.by_last_use {
            if needed == 0 {
                break;
            }

            match self.cached_prefixes(*program).iter().find(|it| it.upstream == upstream) {
                Some(it) if it.last_used_ms <= idle_before_ms => {
                    needed = needed.saturating_sub(it.tokens);
                }
                _ => break,
            }
        }

        // An empty cache has room for any prefix; otherwise one larger than the cache would never be placed.
        needed == 0 || cache.used_tokens == 0
    }

    /// Records that a program's prefix is about to grow to `tokens` in an upstream's cache.
    pub(crate) fn reserve(
        &mut self,
        now_ms: u64,
        program: ProgramId,
        upstream: UpstreamKey,
        tokens: u64,
    ) {
        let tokens = tokens.max(self.cached_tokens(program, upstream));
        self.store(now_ms, program, upstream, tokens);
    }

    /// Records an answer: the program's prefix now has `tokens` in the cache, which had `cached_tokens` of the
    /// `expected_tokens` before. Shrinks the estimated capacity if less than half of the expected tokens were cached,
    /// and otherwise grows it, at most to the configured one. It stays if none were expected.
    pub(crate) fn record_usage(
        &mut self,
        now_ms: u64,
        expected_tokens: u64,
        program: ProgramId,
        upstream: UpstreamKey,
        cached_tokens: u64,
        tokens: u64,
    ) {
        if let Some(cache) = self.caches.get_mut(upstream) {
            if cached_tokens < expected_tokens / 2 {
                let floor = cache.configured_tokens * MIN_CAPACITY_PERCENT / 100;
                cache.capacity_tokens = (cache.used_tokens * SHRINK_PERCENT / 100).max(floor);
            } else if expected_tokens > 0 {
                let grown = cache.capacity_tokens + CAPACITY_GROWTH_TOKENS;
                cache.capacity_tokens = grown.min(cache.configured_tokens);
            }
        }

        self.store(now_ms, program, upstream, tokens);
    }

    /// Removes a program's prefix from one upstream's cache.
    pub(crate) fn drop_prefix(&mut self, upstream: UpstreamKey, program: ProgramId) {
        let Some(prefixes) = self.prefixes.get_mut(&program) else {
            return;
        };

        let Some(index) = prefixes.iter().position(|it| it.upstream == upstream) else {
            return;
        };

        let prefix = prefixes.swap_remove(index);

        if prefixes.is_empty() {
            self.prefixes.remove(&program);
        }

        if let Some(cache) = self.caches.get_mut(upstream) {
            cache.by_last_use.remove(&(prefix.last_use, program));
            cache.used_tokens -= prefix.tokens;
        }
    }

    /// Removes a program's prefixes from the model only. [`DispatcherTable`](crate::DispatcherTable) orders the engines
    /// to release them.
    pub(crate) fn drop_program(&mut self, program: ProgramId) {
        let upstreams: Vec<UpstreamKey> =
            self.cached_prefixes(program).iter().map(|prefix| prefix.upstream).collect();

        upstreams.into_iter().for_each(|upstream| self.drop_prefix(upstream, program));
    }

    fn store(&mut self, now_ms: u64, program: ProgramId, upstream: UpstreamKey, tokens: u64) {
        self.drop_prefix(upstream, program);
        self.use_counter += 1;

        let Some(cache) = self.caches.get_mut(upstream).filter(|cache| cache.configured_tokens > 0)
        else {
            return;
        };

        cache.used_tokens += tokens;
        cache.by_last_use.insert((self.use_counter, program));
        let prefix =
            CachedPrefix { upstream, tokens, last_use: self.use_counter, last_used_ms: now_ms };
        self.prefixes.entry(program).or_default().push(prefix);
        self.evict(upstream);
    }

    /// Evicts the least recently used prefixes until the others fit, but never the last one.
    fn evict(&mut self, upstream: UpstreamKey) {
        loop {
            let cache = &self.caches[upstream];
            let must_evict =
                cache.used_tokens > cache.capacity_tokens && cache.by_last_use.len() > 1;

            let Some((_, program)) = cache.by_last_use.first().filter(|_| must_evict) else {
                return;
            };

            self.drop_prefix(upstream, *program);
        }
    }
}
