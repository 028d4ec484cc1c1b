//! The schedulers that a host may forward requests to, and in which order.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
};

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use tokio::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{entry::RouteLimits, gateway::SchedulerEntry, membership::rendezvous::weighted_score};

/// Time for which a scheduler that has declined a request, since it does not reach a service, comes after others, unless the
/// list of schedulers says so as well. Lists are received at shorter intervals.
const DECLINE_MEMORY: Duration = Duration::from_secs(1);

/// Time after the last response of a ready scheduler for which a gateway counts as ready. The load balancer checks each
/// second, and a gateway asks more often.
const CONTACT_LIFETIME: Duration = Duration::from_millis(2_500);

#[derive(Debug, Default)]
struct DirectoryState {
    /// Schedulers that did not respond, until one of their probes is answered.
    suspects: HashSet<SocketAddr>,
    /// Schedulers that have declined a request since they do not reach a service, and when they last did so.
    declined: HashMap<SocketAddr, Instant>,
    /// Schedulers that have declined a request as they were not ready or overloaded, or accepted one late, and when.
    busy: HashMap<SocketAddr, Instant>,
    /// When a ready scheduler last responded.
    last_contact: Option<Instant>,
    limits: RouteLimits,
    /// Highest version of the configuration that a scheduler has used or reported; on a scheduler, its own one counts.
    config_version: u64,
}

/// Whether a scheduler is expected to take a request; the best state comes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum CandidateState {
    Serving,
    OutOfReach,
    Suspect,
    Draining,
}

/// Sort key of a scheduler to which a request may be offered; the smallest comes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct CandidateRank {
    state: CandidateState,
    is_remote: bool,
    score: u64,
}

/// The known schedulers, and which of them respond. Lock order: the state is the only lock.
#[derive(Debug)]
pub(crate) struct SchedulerDirectory {
    region: Arc<str>,
    schedulers: ArcSwap<Vec<SchedulerEntry>>,
    state: Mutex<DirectoryState>,
}

impl SchedulerDirectory {
    pub(crate) fn new(region: Arc<str>) -> Self {
        Self { region, schedulers: ArcSwap::default(), state: Mutex::default() }
    }

    /// Replaces the list of schedulers.
    pub(crate) fn set_schedulers(&self, schedulers: Vec<SchedulerEntry>) {
        let addresses: HashSet<SocketAddr> = schedulers.iter().map(|it| it.address).collect();
        {
            let mut state = self.state.lock();
            state.suspects.retain(|it| addresses.contains(it));
            state.declined.retain(|it, _| addresses.contains(it));
            state.busy.retain(|it, _| addresses.contains(it));
        }
        self.schedulers.store(Arc::new(schedulers));
    }

    pub(crate) fn scheduler_count(&self) -> usize {
        self.schedulers.load().len()
    }

    /// Names of all known schedulers, in alphabetical order.
    pub(crate) fn scheduler_names(&self) -> Vec<Arc<str>> {
        let mut names: Vec<Arc<str>> =
            self.schedulers.load().iter().map(|it| Arc::clone(&it.host)).collect();
        names.sort();
        names
    }

    /// Schedulers in the order in which a request should be offered to them: responsive ones before those that did not
    /// respond, those that reach the service before others, and schedulers of this region before others. Within that the order
    /// depends on the key and on the schedulers' processor time alone, so that all hosts of a region choose the same scheduler
    /// for a program. Without a `service`,
    /// which only schedulers know, one that has lost any service comes after the others.
    ///
    /// If less than half of this region's processor time reaches the service, schedulers of other regions count as near as well. The few
    /// would not have room for the load of all.
    pub(crate) fn candidates(&self, key: &str, service: Option<&str>) -> Vec<SchedulerEntry> {
        let seed = xxh3_64_with_seed(key.as_bytes(), 0);
        let schedulers = self.schedulers.load();
        let out_of_reach = self.out_of_reach(&schedulers, service);
        let is_local = |it: &&SchedulerEntry| it.region == self.region;
        let millis = |it: &SchedulerEntry| u64::from(it.processor_millis);
        let local_millis: u64 = schedulers.iter().filter(is_local).map(millis).sum();
        let is_in_reach = |it: &&SchedulerEntry| !out_of_reach.contains(&it.address);
        let serving = schedulers.iter().filter(is_local).filter(is_in_reach);
        let prefers_local = 2 * serving.map(millis).sum::<u64>() >= local_millis;
        let state = self.state.lock();

        let mut candidates: Vec<(CandidateRank, &SchedulerEntry)> = schedulers
            .iter()
            .map(|it| {
                let candidate_state = if it.is_draining {
                    CandidateState::Draining
                } else if state.suspects.contains(&it.address) {
                    CandidateState::Suspect
                } else if out_of_reach.contains(&it.address) {
                    CandidateState::OutOfReach
                } else {
                    CandidateState::Serving
                };
                let rank = CandidateRank {
                    state: candidate_state,
                    is_remote: prefers_local && it.region != self.region,
                    score: weighted_score(seed, &it.host, it.processor_millis),
                };
                (rank, it)
            })
            .collect();

        drop(state);
        candidates.sort_by_key(|(rank, _)| *rank);
        candidates.into_iter().map(|(_, scheduler)| scheduler.clone()).collect()
    }

    /// Schedulers that do not reach the service, by the list of schedulers or by what they have declined.
    fn out_of_reach(
        &self,
        schedulers: &[SchedulerEntry],
        service: Option<&str>,
    ) -> HashSet<SocketAddr> {
        let state = self.state.lock();
        let has_declined = |it: &SchedulerEntry| {
            state.declined.get(&it.address).is_some_and(|at| at.elapsed() < DECLINE_MEMORY)
        };
        let is_lost = |it: &SchedulerEntry| match service {
            Some(service) => it.lost_services.contains(service),
            None => !it.lost_services.is_empty(),
        };
        let out_of_reach = schedulers.iter().filter(|it| is_lost(it) || has_declined(it));
        out_of_reach.map(|it| it.address).collect()
    }

    /// Candidates for a request that this host can't serve, as it does not reach the service: all other schedulers that
    /// reach it.
    pub(crate) fn candidates_in_reach(
        &self,
        key: &str,
        service: &str,
        this_host: &str,
    ) -> Vec<SchedulerEntry> {
        let out_of_reach = self.out_of_reach(&self.schedulers.load(), Some(service));
        let mut candidates = self.candidates(key, Some(service));
        candidates.retain(|it| {
            *it.host != *this_host && !it.is_draining && !out_of_reach.contains(&it.address)
        });
        candidates
    }

    /// Records that a scheduler has declined a request since it does not reach a service.
    pub(crate) fn mark_out_of_reach(&self, address: SocketAddr) {
        self.state.lock().declined.insert(address, Instant::now());
    }

    /// Records that a scheduler has declined a request as it was not ready or overloaded, or accepted one late.
    pub(crate) fn mark_busy(&self, address: SocketAddr) {
        self.state.lock().busy.insert(address, Instant::now());
    }

    /// Moves schedulers that are busy behind those that are not, for requests that any of them may serve. If half or more of
    /// those of a region are busy, the order stays: the others would have no room for the load of all.
    pub(crate) fn put_busy_last(&self, candidates: &mut [SchedulerEntry]) {
        let state = self.state.lock();
        let is_busy = |it: &SchedulerEntry| {
            state.busy.get(&it.address).is_some_and(|at| at.elapsed() < DECLINE_MEMORY)
        };
        // Those of other regions, and those that do not respond, keep their place after the first ones.
        let is_first = |it: &&SchedulerEntry| {
            it.region == self.region && !it.is_draining && !state.suspects.contains(&it.address)
        };
        let first_count = candidates.iter().take_while(is_first).count();
        let first = &mut candidates[..first_count];

        if 2 * first.iter().filter(|it| is_busy(it)).count() < first_count {
            first.sort_by_key(is_busy);
        }
    }

    /// Marks a scheduler that did not respond. Returns whether it was not marked before.
    pub(crate) fn mark_suspect(&self, address: SocketAddr) -> bool {
        self.state.lock().suspects.insert(address)
    }

    /// Marks a scheduler as responsive.
    pub(crate) fn mark_responsive(&self, address: SocketAddr) {
        self.state.lock().suspects.remove(&address);
    }

    /// Addresses of the schedulers that did not respond.
    pub(crate) fn suspects(&self) -> Vec<SocketAddr> {
        self.state.lock().suspects.iter().copied().collect()
    }

    /// Records the response of a ready scheduler.
    pub(crate) fn record_contact(&self, config_version: u64, limits: RouteLimits) {
        let mut state = self.state.lock();
        state.last_contact = Some(Instant::now());

        if config_version >= state.config_version {
            state.config_version = config_version;
            state.limits = limits;
        }
    }

    /// Records that a scheduler, which may be this host, uses a version of the configuration for requests of this host.
    pub(crate) fn record_config_version(&self, version: u64) {
        let mut state = self.state.lock();
        state.config_version = state.config_version.max(version);
    }

    /// Highest version of the configuration that was recorded. A scheduler with an older one must not serve this host's
    /// requests, as the host's clients would see the configuration go back.
    pub(crate) fn config_version(&self) -> u64 {
        self.state.lock().config_version
    }

    /// Limits on clients, as a scheduler has reported them.
    pub(crate) fn limits(&self) -> RouteLimits {
        self.state.lock().limits
    }

    /// Whether a ready scheduler has responded recently.
    pub(crate) fn is_in_contact(&self) -> bool {
        self.state.lock().last_contact.is_some_and(|at| at.elapsed() < CONTACT_LIFETIME)
    }
}
