//! Rendezvous hashing: which host plays a role for a shard or a cell follows from the list of hosts alone.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::HostName;

/// Gives the candidate with the highest score for a key. When a host comes or goes, only what it wins or held moves.
pub(crate) fn rendezvous_winner<'a>(
    key: &str,
    candidates: impl Iterator<Item = &'a HostName>,
) -> Option<&'a HostName> {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);

    candidates.max_by_key(|host| (xxh3_64_with_seed(host.as_str().as_bytes(), seed), *host))
}
