//! Prefix cache of a stand-in engine.

use std::collections::HashMap;

/// One cached message prefix.
#[derive(Clone, Debug)]
struct CachedPrefix {
    tokens: u64,
    cache_key: String,
    last_use: u64,
}

/// Prompt prefixes by the hash of the messages up to each message, evicted by least recent use.
#[derive(Debug)]
pub struct EngineCache {
    prefixes: HashMap<u64, CachedPrefix>,
    capacity_tokens: u64,
    held_tokens: u64,
    uses: u64,
}

impl EngineCache {
    /// Makes an empty cache that holds up to `capacity_tokens`.
    pub fn new(capacity_tokens: u64) -> Self {
        Self { prefixes: HashMap::new(), capacity_tokens, held_tokens: 0, uses: 0 }
    }

    /// Cache keys that hold memory, each with its tokens.
    pub fn cached_tokens(&self) -> HashMap<String, u64> {
        let mut held = HashMap::new();

        for prefix in self.prefixes.values() {
            *held.entry(prefix.cache_key.clone()).or_default() += prefix.tokens;
        }

        held
    }

    /// Looks a chain of (prefix hash, tokens of its last message) up, stores it whole, and gives the tokens that were
    /// cached already.
    pub fn lookup(&mut self, chain: &[(u64, u64)], cache_key: &str) -> u64 {
        self.uses += 1;
        let mut cached = 0;
        let mut is_prefix = true;

        for (hash, tokens) in chain {
            if let Some(prefix) = self.prefixes.get_mut(hash) {
                prefix.last_use = self.uses;
                cached += if is_prefix { *tokens } else { 0 };
                continue;
            }

            is_prefix = false;
            let prefix = CachedPrefix {
                tokens: *tokens,
                cache_key: cache_key.to_owned(),
                last_use: self.uses,
            };
            self.prefixes.insert(*hash, prefix);
            self.held_tokens += tokens;
        }

        self.evict();
        cached
    }

    /// Frees what a cache key holds.
    pub fn release(&mut self, cache_key: &str) {
        self.prefixes.retain(|_, prefix| prefix.cache_key != cache_key);
        self.held_tokens = self.prefixes.values().map(|prefix| prefix.tokens).sum();
    }

    fn evict(&mut self) {
        while self.held_tokens > self.capacity_tokens {
            let oldest = self
                .prefixes
                .iter()
                .min_by_key(|(_, prefix)| prefix.last_use)
                .map(|(hash, _)| *hash);
            let Some(prefix) = oldest.and_then(|hash| self.prefixes.remove(&hash)) else {
                return;
            };
            self.held_tokens -= prefix.tokens;
        }
    }
}
