//! The schedulers that a host may forward requests to, and in which order.

use std::{collections::HashSet, net::SocketAddr, sync::Arc};

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use tokio::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{entry::RouteLimits, gateway::SchedulerEntry};

/// Time after the last response of a ready scheduler for which a gateway counts as ready. The load balancer checks each
/// second, and a gateway asks more often.
const CONTACT_LIFETIME: Duration = Duration::from_millis(2_500);

#[derive(Debug, Default)]
struct DirectoryState {
    /// Schedulers that did not respond, until one of their probes is answered.
    suspects: HashSet<SocketAddr>,
    /// When a ready scheduler last responded.
    last_contact: Option<Instant>,
    limits: RouteLimits,
    /// Highest version of the configuration that a scheduler has used or reported; on a scheduler, its own one counts.
    config_version: u64,
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
        self.state.lock().suspects.retain(|it| addresses.contains(it));
        self.schedulers.store(Arc::new(schedulers));
    }

    pub(crate) fn scheduler_count(&self) -> usize {
        self.schedulers.load().len()
    }

    /// Schedulers in the order in which a request should be offered to them. Responsive schedulers come before those
    /// that did not respond, schedulers of this region before others, and within that the order depends on the key
    /// alone, so that all hosts of a region choose the same scheduler for a program.
    pub(crate) fn candidates(&self, key: &str) -> Vec<SchedulerEntry> {
        let seed = xxh3_64_with_seed(key.as_bytes(), 0);
        let state = self.state.lock();

        let mut candidates: Vec<(bool, bool, bool, std::cmp::Reverse<u64>, SchedulerEntry)> = self
            .schedulers
            .load()
            .iter()
            .map(|it| {
                let score = xxh3_64_with_seed(it.host.as_bytes(), seed);
                let is_suspect = state.suspects.contains(&it.address);
                let is_remote = it.region != self.region;
                (it.is_draining, is_suspect, is_remote, std::cmp::Reverse(score), it.clone())
            })
            .collect();

        drop(state);
        candidates.sort_by(|left, right| {
            (left.0, left.1, left.2, left.3).cmp(&(right.0, right.1, right.2, right.3))
        });
        candidates.into_iter().map(|it| it.4).collect()
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
