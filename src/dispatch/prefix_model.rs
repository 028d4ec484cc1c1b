//! Model of the engines' prefix caches.

use std::collections::{BTreeMap, BTreeSet};

use slotmap::SecondaryMap;

use crate::{ProgramId, UpstreamKey};

/// Share of its tokens that a cache is taken to hold after it was found to have dropped a prefix, in percent.
const SHRINK_PERCENT: u64 = 95;

/// Part of its stated size below which a cache's modelled capacity does not shrink, in percent. An engine that was
/// started again, or that releases early, says nothing about its size.
const FLOOR_PERCENT: u64 = 50;

/// Growth of a cache's modelled capacity with each hit, in tokens.
const GROWTH_TOKENS: u64 = 256;

/// Prefix of one program at one upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct CachedPrefix {
    pub(crate) upstream: UpstreamKey,
    pub(crate) tokens: u64,
    last_use: u64,
    last_ms: u64,
}

#[derive(Clone, Debug, Default)]
struct CacheModel {
    /// Tokens that the cache is thought to hold before it evicts.
    capacity_tokens: u64,
    limit_tokens: u64,
    held_tokens: u64,
    by_use: BTreeSet<(u64, ProgramId)>,
}

/// Where each program's prefix should be cached. Engines evict by least recent use, and so does the model; answers'
/// own counts of cached tokens correct it, since cache events come late and with gaps.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefixModel {
    caches: SecondaryMap<UpstreamKey, CacheModel>,
    residences: BTreeMap<ProgramId, Vec<CachedPrefix>>,
    uses: u64,
}

impl PrefixModel {
    /// Adds a cache, or changes its size. One of size 0, as a plain service has, keeps nothing and always has room.
    pub(crate) fn add(&mut self, upstream: UpstreamKey, capacity_tokens: u64) {
        if !self.caches.contains_key(upstream) {
            self.caches.insert(upstream, CacheModel::default());
        }

        let cache = &mut self.caches[upstream];
        cache.capacity_tokens = capacity_tokens;
        cache.limit_tokens = capacity_tokens;
        self.evict(upstream);
    }

    /// Forgets what an upstream holds; a crashed engine comes back with an empty cache.
    pub(crate) fn clear(&mut self, upstream: UpstreamKey) {
        let Some(cache) = self.caches.get(upstream) else {
            return;
        };

        let programs: Vec<ProgramId> = cache.by_use.iter().map(|(_, program)| *program).collect();
        programs.into_iter().for_each(|program| self.drop_prefix(upstream, program));
    }

    pub(crate) fn remove(&mut self, upstream: UpstreamKey) {
        self.clear(upstream);
        self.caches.remove(upstream);
    }

    /// Tokens of a program's prefix at an upstream.
    pub(crate) fn cached(&self, program: ProgramId, upstream: UpstreamKey) -> u64 {
        let residence = self.residences(program).iter().find(|it| it.upstream == upstream);
        residence.map_or(0, |it| it.tokens)
    }

    /// Where a program's prefix is cached.
    pub(crate) fn residences(&self, program: ProgramId) -> &[CachedPrefix] {
        self.residences.get(&program).map_or(&[], Vec::as_slice)
    }

    /// Tokens that an upstream holds, as a share of its capacity in thousandths.
    pub(crate) fn fill_permille(&self, upstream: UpstreamKey) -> u64 {
        let Some(cache) = self.caches.get(upstream) else {
            return 0;
        };

        cache.held_tokens * 1_000 / cache.capacity_tokens.max(1)
    }

    /// Tells whether a prefix fits into a cache without evicting one that was used after `idle_before_ms`.
    pub(crate) fn has_room(
        &self,
        upstream: UpstreamKey,
        tokens: u64,
        headroom_percent: u64,
        idle_before_ms: u64,
    ) -> bool {
        let Some(cache) = self.caches.get(upstream).filter(|cache| cache.limit_tokens > 0) else {
            return true;
        };

        let limit = cache.capacity_tokens * (100 - headroom_percent) / 100;
        let mut needed = (cache.held_tokens + tokens).saturating_sub(limit);

        for (_, program) in &cache.by_use {
            if needed == 0 {
                break;
            }

            match self.residences(*program).iter().find(|it| it.upstream == upstream) {
                Some(it) if it.last_ms <= idle_before_ms => {
                    needed = needed.saturating_sub(it.tokens);
                }
                _ => break,
            }
        }

        // A prefix that is larger than any cache fits into an empty one as well as it ever will.
        needed == 0 || cache.held_tokens == 0
    }

    /// Takes note that a program is about to have `tokens` at an upstream.
    pub(crate) fn reserve(
        &mut self,
        now_ms: u64,
        program: ProgramId,
        upstream: UpstreamKey,
        tokens: u64,
    ) {
        let tokens = tokens.max(self.cached(program, upstream));
        self.store(now_ms, program, upstream, tokens);
    }

    /// Learns from an answer: the program's prefix now has `tokens` there, and `cached` of the `expected` ones were
    /// there before.
    pub(crate) fn record_answer(
        &mut self,
        now_ms: u64,
        expected: u64,
        program: ProgramId,
        upstream: UpstreamKey,
        cached: u64,
        tokens: u64,
    ) {
        if let Some(cache) = self.caches.get_mut(upstream) {
            if cached < expected / 2 {
                let floor = cache.limit_tokens * FLOOR_PERCENT / 100;
                cache.capacity_tokens = (cache.held_tokens * SHRINK_PERCENT / 100).max(floor);
            } else if expected > 0 {
                let grown = cache.capacity_tokens + GROWTH_TOKENS;
                cache.capacity_tokens = grown.min(cache.limit_tokens);
            }
        }

        self.store(now_ms, program, upstream, tokens);
    }

    /// Takes a program's prefix out of the model of one upstream.
    pub(crate) fn drop_prefix(&mut self, upstream: UpstreamKey, program: ProgramId) {
        let Some(residences) = self.residences.get_mut(&program) else {
            return;
        };

        let Some(index) = residences.iter().position(|it| it.upstream == upstream) else {
            return;
        };

        let residence = residences.swap_remove(index);

        if residences.is_empty() {
            self.residences.remove(&program);
        }

        if let Some(cache) = self.caches.get_mut(upstream) {
            cache.by_use.remove(&(residence.last_use, program));
            cache.held_tokens -= residence.tokens;
        }
    }

    /// Takes a program out of the model; its engines get an order to release it.
    pub(crate) fn drop_program(&mut self, program: ProgramId) {
        let upstreams: Vec<UpstreamKey> =
            self.residences(program).iter().map(|residence| residence.upstream).collect();

        upstreams.into_iter().for_each(|upstream| self.drop_prefix(upstream, program));
    }

    fn store(&mut self, now_ms: u64, program: ProgramId, upstream: UpstreamKey, tokens: u64) {
        self.drop_prefix(upstream, program);
        self.uses += 1;

        let Some(cache) = self.caches.get_mut(upstream).filter(|cache| cache.limit_tokens > 0)
        else {
            return;
        };

        cache.held_tokens += tokens;
        cache.by_use.insert((self.uses, program));
        let residence = CachedPrefix { upstream, tokens, last_use: self.uses, last_ms: now_ms };
        self.residences.entry(program).or_default().push(residence);
        self.evict(upstream);
    }

    fn evict(&mut self, upstream: UpstreamKey) {
        loop {
            let cache = &self.caches[upstream];
            let is_over = cache.held_tokens > cache.capacity_tokens && cache.by_use.len() > 1;

            let Some((_, program)) = cache.by_use.first().filter(|_| is_over) else {
                return;
            };

            self.drop_prefix(upstream, *program);
        }
    }
}
