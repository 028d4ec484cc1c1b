//! Which upstreams of each region should have a shared prompt part, as all hosts agree without a message.

use std::{collections::HashMap, sync::Arc};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::entry::{
    PromptPart, pool_state::UpstreamKey, pooled_upstream::PooledUpstream,
    upstream_load::part_demand::PartDemand,
};

/// Upstreams that a part prefers, as a multiple of what its share of the load would fill. The rest is room for other parts
/// and for the requests of a moment with more load than usual.
const HEADROOM: f64 = 1.5;

/// Fewest upstreams that a part prefers. With two, reads beside them were 13.6 % of all reads at 0.8 of the capacity, and
/// with three 9.5 %; more than three fill the engines' memory with parts that are seldom used. See docs/BENCHMARKS.md.
const MIN_UPSTREAMS: usize = 3;

/// Belief that a preferred upstream has a part that several sessions are known to share. It is below 1, so that an upstream
/// that has certainly read the part goes before one that should have.
const SHARED_BELIEF: f64 = 0.95;

/// Belief as long as only one session is known to use the part. It may be the session's own; then the upstream that has
/// read it must go before a preferred one.
const UNCONFIRMED_BELIEF: f64 = 0.4;

/// Part of the belief that the upstreams next in order get. They take what the preferred ones can't, so that all hosts
/// overflow to the same ones.
const NEXT_FACTOR: f64 = 0.5;

/// Part of a shared part's tokens that are read once more elsewhere when an upstream beside the preferred ones reads it, as
/// its memory then has less room for others. With a half, repeated reads were 16 % at 0.8 of the capacity once hosts had
/// learned that engines read 247 tokens in a millisecond in place of 147; with all of them 12 %, and more changed nothing.
const DISPLACED_SHARE: f64 = 1.0;

/// Part of an upstream's slots that is in use when its preference begins to decline; it ends when all are in use.
const NEARLY_FULL: f64 = 0.75;

/// An upstream with its score for a part. Its id decides between equal scores.
type RankedUpstream<'a> = (u64, &'a Arc<str>, UpstreamKey);

/// Belief about the first part of one prompt, for the upstreams that should have it.
#[derive(Clone, Debug, Default)]
pub(crate) struct PartPreference {
    part_tokens: u64,
    is_shared: bool,
    beliefs: HashMap<UpstreamKey, f64>,
}

impl PartPreference {
    /// Ranks the open upstreams of each region for the first part of a prompt. `upstreams` gives each with its region. A
    /// prompt of one part prefers none, as nothing tells that another prompt will begin with it.
    pub(crate) fn new<'a>(
        prompt_parts: &[PromptPart],
        demand: &PartDemand,
        upstreams: impl Iterator<Item = (UpstreamKey, &'a PooledUpstream, &'a str)>,
    ) -> Self {
        let [first, _, ..] = prompt_parts else {
            return Self::default();
        };
        let is_shared = demand.is_shared(first.id);
        let belief = if is_shared { SHARED_BELIEF } else { UNCONFIRMED_BELIEF };
        let mut regions: HashMap<&str, Vec<RankedUpstream<'_>>> = HashMap::new();

        for (key, upstream, region) in upstreams {
            let id = &upstream.record.id;
            let score = xxh3_64_with_seed(id.as_bytes(), first.id);
            regions.entry(region).or_default().push((score, id, key));
        }

        let mut beliefs = HashMap::new();
        for ranked in regions.values_mut() {
            let preferred = preferred_count(demand.share(first.id), ranked.len());
            let next = preferred.div_ceil(2);
            ranked.sort_unstable_by(|left, right| right.cmp(left));

            for (rank, (_, _, key)) in ranked.iter().enumerate().take(preferred + next) {
                let factor = if rank < preferred { 1.0 } else { NEXT_FACTOR };
                beliefs.insert(*key, belief * factor);
            }
        }
        Self { part_tokens: first.tokens, is_shared, beliefs }
    }

    /// Leading tokens of the prompt that an upstream should have, with its load as a share of its slots. What this host
    /// knows of the upstream's cache is not part of it.
    pub(crate) fn believed_tokens(&self, key: UpstreamKey, load_share: f64) -> u64 {
        let belief = self.beliefs.get(&key).copied().unwrap_or(0.0);
        let room = ((1.0 - load_share) / (1.0 - NEARLY_FULL)).clamp(0.0, 1.0);
        (self.part_tokens as f64 * belief * room) as u64
    }

    /// Tokens that have to be read again elsewhere if an upstream, which has `cached_tokens` of the prompt, reads the part.
    pub(crate) fn displaced_tokens(&self, key: UpstreamKey, cached_tokens: u64) -> u64 {
        let is_extra = self.is_shared && !self.beliefs.contains_key(&key);
        let read_tokens = self.part_tokens.saturating_sub(cached_tokens);
        if is_extra { (read_tokens as f64 * DISPLACED_SHARE) as u64 } else { 0 }
    }
}

/// Number of a region's upstreams that a part with a share of the load prefers.
pub(crate) fn preferred_count(share: f64, upstream_count: usize) -> usize {
    let needed = (share * upstream_count as f64 * HEADROOM).ceil() as usize;
    needed.max(MIN_UPSTREAMS).min(upstream_count)
}
