//! Candidates among which a scheduler chooses quota owners.

use std::sync::Arc;

use tokio::time::Instant;
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// The schedulers that may be owners, by what one host knows. Hosts with the same candidates choose the same owners.
#[derive(Clone, Debug)]
pub(crate) struct QuotaView {
    /// Names in their order.
    pub(super) candidates: Vec<Arc<str>>,
    /// Schedulers that are known, reachable or not.
    pub(super) known_hosts: u32,
    pub(super) hash: u64,
    /// Number of changes of the candidates.
    pub(super) number: u64,
    /// When the candidates last changed.
    pub(super) since: Instant,
}

impl QuotaView {
    /// A view in which a host knows itself alone.
    pub(super) fn new(now: Instant, host: &Arc<str>) -> Self {
        let candidates = vec![Arc::clone(host)];
        let hash = hash_of(&candidates);
        Self { candidates, known_hosts: 1, hash, number: 0, since: now }
    }

    /// Sets the candidates. Returns whether they have changed.
    pub(super) fn update(
        &mut self,
        now: Instant,
        mut candidates: Vec<Arc<str>>,
        known_hosts: u32,
    ) -> bool {
        candidates.sort();
        candidates.dedup();
        self.known_hosts = known_hosts.max(candidates.len() as u32);

        if candidates == self.candidates {
            return false;
        }

        self.hash = hash_of(&candidates);
        self.candidates = candidates;
        self.number += 1;
        self.since = now;
        true
    }

    /// The owner of a team.
    pub(super) fn owner(&self, team: &str) -> Option<&Arc<str>> {
        owner_among(&self.candidates, team)
    }
}

/// The owner of a team: the candidate with the highest score, so that a change of one candidate moves only its teams.
pub(super) fn owner_among<'a>(candidates: &'a [Arc<str>], team: &str) -> Option<&'a Arc<str>> {
    let seed = xxh3_64_with_seed(team.as_bytes(), 0);
    candidates.iter().max_by_key(|host| (xxh3_64_with_seed(host.as_bytes(), seed), *host))
}

pub(super) fn hash_of(candidates: &[Arc<str>]) -> u64 {
    let mut hasher = Xxh3::new();
    for host in candidates {
        hasher.update(host.as_bytes());
        // Separates names, which contain no line feed.
        hasher.update(b"\n");
    }
    hasher.digest()
}
