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
