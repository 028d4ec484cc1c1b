//! Prefix cache of the stand-in engine.

use std::collections::HashMap;

/// One cached message prefix. Its tokens are those of its last message, since each shorter prefix is a separate
/// entry.
#[derive(Clone, Debug)]
struct CachedPrefix {
    tokens: u64,
    cache_key: String,
    /// Value of `EngineCache::lookups` at the last use, which orders eviction.
    last_use: u64,
}

/// LRU cache of prompt prefixes, keyed by the hash of the messages up to and including each message.
#[derive(Debug)]
pub struct EngineCache {
    prefixes: HashMap<u64, CachedPrefix>,
    capacity_tokens: u64,
    total_tokens: u64,
    lookups: u64,
}

impl EngineCache {
    /// Makes an empty cache with room for `capacity_tokens`.
    pub fn new(capacity_tokens: u64) -> Self {
        Self { prefixes: HashMap::new(), capacity_tokens, total_tokens: 0, lookups: 0 }
    }

    /// Cached tokens by cache key; keys without any are left out.
    pub fn cached_tokens(&self) -> HashMap<String, u64> {
        let mut tokens_by_key = HashMap::new();

        for prefix in self.prefixes.values() {
            *tokens_by_key.entry(prefix.cache_key.clone()).or_default() += prefix.tokens;
        }

        tokens_by_key
    }

    /// Looks up a prompt, given as (prefix hash, tokens of the prefix's last message) of every prefix from the shortest
    /// to the longest, and caches what is missing. Returns the number of leading tokens that were cached already.
    pub fn lookup_and_insert(&mut self, prefixes: &[(u64, u64)], cache_key: &str) -> u64 {
        self.lookups += 1;
        let mut cached_tokens = 0;
        let mut is_contiguous = true;

        for (hash, tokens) in prefixes {
            if let Some(prefix) = self.prefixes.get_mut(hash) {
                prefix.last_use = self.lookups;
                cached_tokens += if is_contiguous { *tokens } else { 0 };
                continue;
            }

            is_contiguous = false;
            let prefix = CachedPrefix {
                tokens: *tokens,
                cache_key: cache_key.to_owned(),
                last_use: self.lookups,
            };
            self.prefixes.insert(*hash, prefix);
            self.total_tokens += tokens;
        }

        self.evict();
        cached_tokens
    }

    /// Removes the prefixes of a cache key.
    pub fn release(&mut self, cache_key: &str) {
        self.prefixes.retain(|_, prefix| prefix.cache_key != cache_key);
        self.total_tokens = self.prefixes.values().map(|prefix| prefix.tokens).sum();
    }

    /// Removes the least recently used prefixes until the cache is within its capacity.
    fn evict(&mut self) {
        while self.total_tokens > self.capacity_tokens {
            let least_recent = self
                .prefixes
                .iter()
                .min_by_key(|(_, prefix)| prefix.last_use)
                .map(|(hash, _)| *hash);
            let Some(prefix) = least_recent.and_then(|hash| self.prefixes.remove(&hash)) else {
                return;
            };
            self.total_tokens -= prefix.tokens;
        }
    }
}
