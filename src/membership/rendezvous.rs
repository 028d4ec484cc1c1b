//! Rendezvous hashing (highest random weight): which host plays a role for a shard or a cell depends on the set of
//! hosts alone, so hosts agree on it without coordination.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::HostName;

/// Returns the candidate with the highest score for a key, or `None` if there are no candidates. When a host joins or
/// leaves, only the keys that it wins or had won move.
pub(crate) fn rendezvous_winner<'a>(
    key: &str,
    candidates: impl Iterator<Item = &'a HostName>,
) -> Option<&'a HostName> {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);

    candidates.max_by_key(|host| (xxh3_64_with_seed(host.as_str().as_bytes(), seed), *host))
}

/// Score of a host for a key with the hash `seed`; the lowest is the first. Each host is the first for a part of all keys that is
/// in proportion to its weight, and a change of one host moves only keys of its own.
pub(crate) fn weighted_score(seed: u64, host: &str, weight: u32) -> u64 {
    let hash = xxh3_64_with_seed(host.as_bytes(), seed);
    // A number from 0 to 1, neither of them included.
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    let score = -uniform.ln() / f64::from(weight.max(1));
    // The bits of positive numbers have the same order as the numbers.
    score.to_bits()
}
