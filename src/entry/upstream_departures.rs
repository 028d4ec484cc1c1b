//! Upstreams that leave, as any host has learned it. See docs/design/platform.md, "Upstreams that leave".

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use tokio::time::{Duration, Instant};

use crate::entry::{ExpiryBounds, FollowGap, UpstreamRecord};

/// Most upstreams that are remembered. The one that was added first is forgotten first.
const MAX_UPSTREAMS: usize = 4_096;

/// Most runs that are remembered of one upstream that is restarted under its id, the latest ones.
const MAX_RUNS: usize = 4;

/// What is known of one upstream's departure. Two such notes merge in any order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct UpstreamDeparture {
    pub(crate) id: Arc<str>,
    /// Runs of its process that have stated, in their entry or in a response, that they leave: their starts, in milliseconds
    /// since the Unix epoch.
    pub(crate) leaving_runs: Vec<u64>,
    /// Revision of the store at which its entry was gone, or 0. Entries that were written later are valid.
    pub(crate) withdrawn_revision: u64,
}

impl UpstreamDeparture {
    fn new(id: &Arc<str>) -> Self {
        Self { id: Arc::clone(id), leaving_runs: Vec::new(), withdrawn_revision: 0 }
    }

    /// The departure of one run, which has stated that it leaves.
    pub(crate) fn of_run(record: &UpstreamRecord) -> Self {
        Self { leaving_runs: vec![record.started_at_ms], ..Self::new(&record.id) }
    }

    /// Whether another note knows of a run that this one does not.
    fn lacks_runs_of(&self, other: &Self) -> bool {
        other.leaving_runs.iter().any(|run| !self.leaving_runs.contains(run))
    }

    /// Adds what another note knows. Returns whether any of it is new.
    fn merge(&mut self, other: &Self) -> bool {
        let new_runs: Vec<u64> = other
            .leaving_runs
            .iter()
            .filter(|run| !self.leaving_runs.contains(run))
            .copied()
            .collect();
        let is_new = !new_runs.is_empty() || other.withdrawn_revision > self.withdrawn_revision;
        self.leaving_runs.extend(new_runs);
        self.leaving_runs.sort_unstable();
        let surplus = self.leaving_runs.len().saturating_sub(MAX_RUNS);
        self.leaving_runs.drain(..surplus);
        self.withdrawn_revision = self.withdrawn_revision.max(other.withdrawn_revision);
        is_new
    }
}

/// A departure, with what only this host keeps of it.
#[derive(Debug)]
struct KnownDeparture {
    departure: UpstreamDeparture,
    /// Position in the order of additions.
    addition: u64,
    /// Until when no run of the upstream is used, since the one that has stated that it leaves may be later than the one in
    /// the entry that was known then.
    unsettled_until: Option<Instant>,
}

/// Upstreams that get no new request, whatever their entry says. Each fact names its basis, the run of the upstream or the
/// revision of the store, so hosts can pass it on in any order.
#[derive(Debug)]
pub(crate) struct UpstreamDepartures {
    departures: HashMap<Arc<str>, KnownDeparture>,
    last_addition: u64,
    /// Time after a statement until the store shows which run has made it.
    settle_time: Duration,
    /// Whether this host has listed the upstreams.
    is_following: bool,
    /// Upstreams of which the other hosts have not been told.
    unreported: HashSet<Arc<str>>,
    is_exchange_wanted: bool,
}

impl Default for UpstreamDepartures {
    fn default() -> Self {
        Self::new(ExpiryBounds::default())
    }
}

impl UpstreamDepartures {
    pub(crate) fn new(expiry: ExpiryBounds) -> Self {
        Self {
            departures: HashMap::new(),
            last_addition: 0,
            settle_time: expiry.settle_time(),
            is_following: false,
            unreported: HashSet::new(),
            is_exchange_wanted: false,
        }
    }

    /// Whether an upstream's run has stated that it leaves.
    pub(crate) fn is_leaving(&self, record: &UpstreamRecord) -> bool {
        let known = self.departures.get(&record.id);
        known.is_some_and(|it| it.departure.leaving_runs.contains(&record.started_at_ms))
    }

    /// Whether any run of an upstream may be the one that has stated that it leaves.
    pub(crate) fn is_unsettled(&self, record: &UpstreamRecord, decided_at: Instant) -> bool {
        let until = self.departures.get(&record.id).and_then(|it| it.unsettled_until);
        until.is_some_and(|until| decided_at < until)
    }

    /// Whether an upstream's entry was gone at a later revision.
    pub(crate) fn is_withdrawn(&self, record: &UpstreamRecord) -> bool {
        let known = self.departures.get(&record.id);
        known.is_some_and(|it| record.revision <= it.departure.withdrawn_revision)
    }

    /// Called with each listing of the upstreams. A gap does not count for the time in which a run that leaves would have
    /// lost its entry or changed it.
    pub(crate) fn record_listing(&mut self, gap: Option<FollowGap>) {
        self.is_following = true;
        let Some(gap) = gap else {
            return;
        };

        let gap_time = gap.last_contact.elapsed();
        let unsettled = self.departures.values_mut().filter_map(|it| it.unsettled_until.as_mut());
        unsettled.filter(|until| **until > gap.last_contact).for_each(|until| *until += gap_time);
    }

    /// Adds what an upstream has stated in a response, which may come from a later run than the one in the entry that was
    /// known. Returns whether it is new.
    pub(crate) fn add_stated(&mut self, departure: UpstreamDeparture) -> bool {
        let id = Arc::clone(&departure.id);
        let is_new = self.add(departure);
        self.unsettle(&id);
        is_new
    }

    fn unsettle(&mut self, id: &str) {
        let settled_at = Instant::now() + self.settle_time;
        if let Some(known) = self.departures.get_mut(id) {
            known.unsettled_until = known.unsettled_until.max(Some(settled_at));
        }
    }

    /// Adds that a run of an upstream has stated in its entry that it leaves. Returns whether that is new.
    pub(crate) fn add_leaving(&mut self, record: &UpstreamRecord) -> bool {
        self.add(UpstreamDeparture::of_run(record))
    }

    /// Adds that this host has found no entry of an upstream at a revision of the store.
    pub(crate) fn add_withdrawn(&mut self, id: &Arc<str>, revision: u64) {
        self.add(UpstreamDeparture { withdrawn_revision: revision, ..UpstreamDeparture::new(id) });
    }

    /// Adds what this host has learned by itself, for the other hosts as well. Returns whether that is new.
    fn add(&mut self, departure: UpstreamDeparture) -> bool {
        let is_new = self.insert(&departure);
        if is_new {
            self.unreported.insert(departure.id);
        }
        is_new
    }

    /// Adds what another host has reported. Returns whether that is new.
    pub(crate) fn merge(&mut self, departure: &UpstreamDeparture) -> bool {
        let known = self.departures.get(&departure.id);
        let has_new_run = known.is_none_or(|it| it.departure.lacks_runs_of(departure))
            && !departure.leaving_runs.is_empty();
        let is_new = self.insert(departure);
        // A host that starts is told of departures that were settled long ago.
        if has_new_run && self.is_following {
            self.unsettle(&departure.id);
        }
        is_new
    }

    fn insert(&mut self, departure: &UpstreamDeparture) -> bool {
        let id = &departure.id;
        self.last_addition += 1;
        let addition = self.last_addition;
        let known = self.departures.entry(Arc::clone(id)).or_insert_with(|| KnownDeparture {
            departure: UpstreamDeparture::new(id),
            addition,
            unsettled_until: None,
        });
        let is_new = known.departure.merge(departure);

        if is_new {
            known.addition = addition;
        }

        if self.departures.len() > MAX_UPSTREAMS {
            let oldest = self.departures.iter().min_by_key(|(_, known)| known.addition);
            if let Some(id) = oldest.map(|(id, _)| Arc::clone(id)) {
                self.departures.remove(&id);
                self.unreported.remove(&id);
            }
        }
        is_new
    }

    /// Takes what was added since the last call, for the other hosts.
    pub(crate) fn take_unreported(&mut self) -> Vec<UpstreamDeparture> {
        let ids = std::mem::take(&mut self.unreported);
        ids.iter().filter_map(|id| self.departures.get(id)).map(|it| it.departure.clone()).collect()
    }

    /// All departures, for a host that joins.
    pub(crate) fn all(&self) -> Vec<UpstreamDeparture> {
        self.departures.values().map(|it| it.departure.clone()).collect()
    }

    /// Asks for an exchange with all other hosts, since this host may have missed what they have reported.
    pub(crate) fn request_exchange(&mut self) {
        self.is_exchange_wanted = true;
    }

    /// Whether an exchange was asked for since the last call.
    pub(crate) fn take_exchange_request(&mut self) -> bool {
        std::mem::take(&mut self.is_exchange_wanted)
    }
}
