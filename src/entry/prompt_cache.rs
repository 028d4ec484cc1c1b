//! Estimate of the prompt parts that an upstream has cached.

use std::collections::{BTreeMap, HashMap};

use crate::entry::PromptPart;

/// Prompt parts that an upstream should have cached. The least recently used part is evicted first, as in the upstream
/// itself.
#[derive(Clone, Debug, Default)]
pub(crate) struct PromptCache {
    capacity_tokens: u64,
    used_tokens: u64,
    use_count: u64,
    parts: HashMap<u64, CachedPart>,
    /// Ids of the parts by the number of their last use.
    lru_order: BTreeMap<u64, u64>,
}

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u64,
    last_use: u64,
}

impl PromptCache {
    pub(crate) fn set_capacity(&mut self, tokens: u64) {
        self.capacity_tokens = tokens;
        self.evict();
    }

    /// Tokens that the upstream can hold, or 0 if it has no prompt cache.
    pub(crate) fn capacity_tokens(&self) -> u64 {
        self.capacity_tokens
    }

    /// Whether the upstream has a prompt cache at all.
    pub(crate) fn has_capacity(&self) -> bool {
        self.capacity_tokens > 0
    }

    pub(crate) fn clear(&mut self) {
        let capacity_tokens = self.capacity_tokens;
        *self = Self { capacity_tokens, ..Self::default() };
    }

    /// A copy that knows of `parts` alone, if they are cached.
    pub(crate) fn copy_for(&self, parts: &[PromptPart]) -> Self {
        let mut copy = Self { capacity_tokens: self.capacity_tokens, ..Self::default() };
        let cached = parts.iter().filter_map(|it| Some((it.id, *self.parts.get(&it.id)?)));

        for (id, part) in cached {
            if copy.parts.insert(id, part).is_none() {
                copy.used_tokens += part.tokens;
                copy.lru_order.insert(part.last_use, id);
            }
        }

        copy.use_count = self.use_count;
        copy
    }

    /// Number of leading tokens of a prompt that are cached. Parts after one that is missing, or cached only partly, do
    /// not count.
    pub(crate) fn cached_tokens(&self, parts: &[PromptPart]) -> u64 {
        let mut tokens = 0;

        for part in parts {
            match self.parts.get(&part.id) {
                Some(cached) if cached.tokens >= part.tokens => tokens += part.tokens,
                Some(cached) => return tokens + cached.tokens,
                None => return tokens,
            }
        }

        tokens
    }

    /// Records that the upstream has read a prompt. A cached part keeps the larger of its two lengths, since a response
    /// extends the last part of its prompt.
    pub(crate) fn record(&mut self, parts: &[PromptPart]) {
        for part in parts {
            self.use_count += 1;
            let last_use = self.use_count;

            if let Some(cached) = self.parts.get_mut(&part.id) {
                self.lru_order.remove(&cached.last_use);
                self.used_tokens -= cached.tokens;
                cached.tokens = cached.tokens.max(part.tokens);
                cached.last_use = last_use;
                self.used_tokens += cached.tokens;
            } else {
                self.parts.insert(part.id, CachedPart { tokens: part.tokens, last_use });
                self.used_tokens += part.tokens;
            }

            self.lru_order.insert(last_use, part.id);
        }

        self.evict();
    }

    fn evict(&mut self) {
        while self.used_tokens > self.capacity_tokens {
            let Some((_, id)) = self.lru_order.pop_first() else {
                return;
            };
            if let Some(part) = self.parts.remove(&id) {
                self.used_tokens -= part.tokens;
            }
        }
    }
}
