//! Limits that upstreams have stated, as far as any host has heard, and this host's share of them.
//!
//! See docs/design/platform.md, "Limits of upstreams".

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use tokio::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    entry::UpstreamRecord,
    upstreams::rate_limit::{RateBucket, RequestRate},
};

/// Limits that are kept at once. The one that was stated first is dropped first.
const MAX_LIMITS: usize = 4_096;

/// Time by which a statement of a run with an earlier start must be later than the known one. Its upstream's clock was then set
/// back before it started. A report about a run that is over is on its way for less, unless links hang; the next response
/// of the upstream then corrects it.
const MAX_NOTE_DELAY: Duration = Duration::from_secs(1);

/// What a run of an upstream has stated, as hosts report it to each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct LimitNote {
    pub(crate) upstream: Arc<str>,
    /// Start of the run, in milliseconds since the Unix epoch.
    pub(crate) run: u64,
    /// The limit, or `None` once a response no longer names one.
    pub(crate) rate: Option<RequestRate>,
    /// Time since the statement, in milliseconds.
    pub(crate) age_ms: u64,
}

/// A host that may send requests to upstreams.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct SharingHost {
    pub(crate) name: Arc<str>,
    pub(crate) region: Arc<str>,
}

/// Last statement of an upstream.
#[derive(Clone, Debug)]
struct StatedLimit {
    run: u64,
    rate: Option<RequestRate>,
    stated_at: Instant,
    /// This host's share, or `None` if it leaves the upstream to others.
    bucket: Option<RateBucket>,
}

/// The stated limits, and the hosts that share them.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamLimits {
    /// Origin of the times in buckets.
    origin: Instant,
    limits: HashMap<Arc<str>, StatedLimit>,
    /// Name of this host.
    local_host: Arc<str>,
    /// All hosts that place requests, with this one.
    hosts: Vec<SharingHost>,
    /// Upstreams whose statements the other hosts have not been told.
    unreported: HashSet<Arc<str>>,
}

impl Default for UpstreamLimits {
    fn default() -> Self {
        Self {
            origin: Instant::now(),
            limits: HashMap::new(),
            local_host: Arc::default(),
            hosts: Vec::new(),
            unreported: HashSet::new(),
        }
    }
}

impl UpstreamLimits {
    /// Sets the hosts that share each limit, and which of them is this one.
    pub(crate) fn set_hosts(&mut self, local_host: &Arc<str>, hosts: Vec<SharingHost>) {
        self.local_host = Arc::clone(local_host);
        self.hosts = hosts;
    }

    /// Name of this host; empty until the hosts are set.
    pub(crate) fn local_host(&self) -> &Arc<str> {
        &self.local_host
    }

    /// Records what a response of an upstream states: a limit, or by its absence that there is none. Returns whether that is new.
    pub(crate) fn record_stated(
        &mut self,
        record: &UpstreamRecord,
        rate: Option<RequestRate>,
        now: Instant,
    ) -> bool {
        let is_new = self.insert(&record.id, record.started_at_ms, rate, now);
        if is_new {
            self.unreported.insert(Arc::clone(&record.id));
        }
        is_new
    }

    /// Merges what another host has heard. Returns whether that is new.
    pub(crate) fn merge(&mut self, note: &LimitNote, now: Instant) -> bool {
        let stated_at = now.checked_sub(Duration::from_millis(note.age_ms)).unwrap_or(now);
        self.insert(&note.upstream, note.run, note.rate, stated_at)
    }

    fn insert(
        &mut self,
        id: &Arc<str>,
        run: u64,
        rate: Option<RequestRate>,
        stated_at: Instant,
    ) -> bool {
        if let Some(known) = self.limits.get_mut(id) {
            let is_outdated = if run < known.run {
                stated_at < known.stated_at + MAX_NOTE_DELAY
            } else {
                run == known.run && stated_at < known.stated_at
            };
            if is_outdated {
                return false;
            }

            let is_new = run != known.run || rate != known.rate;
            if run != known.run {
                known.bucket = None;
            }
            (known.run, known.rate, known.stated_at) = (run, rate, stated_at);
            return is_new;
        }

        if rate.is_none() {
            return false;
        }

        self.limits.insert(Arc::clone(id), StatedLimit { run, rate, stated_at, bucket: None });
        if self.limits.len() > MAX_LIMITS {
            let oldest = self.limits.iter().min_by_key(|(_, limit)| limit.stated_at);
            if let Some(id) = oldest.map(|(id, _)| Arc::clone(id)) {
                self.limits.remove(&id);
                self.unreported.remove(&id);
            }
        }
        true
    }

    /// Takes what was stated since the last call, for the other hosts.
    pub(crate) fn take_unreported(&mut self, now: Instant) -> Vec<LimitNote> {
        let ids = std::mem::take(&mut self.unreported);
        ids.iter().filter_map(|id| self.note(id, now)).collect()
    }

    /// All statements, for a host that joins.
    pub(crate) fn all(&self, now: Instant) -> Vec<LimitNote> {
        self.limits.keys().filter_map(|id| self.note(id, now)).collect()
    }

    fn note(&self, id: &Arc<str>, now: Instant) -> Option<LimitNote> {
        let limit = self.limits.get(id)?;
        let age_ms = now.saturating_duration_since(limit.stated_at).as_millis() as u64;
        Some(LimitNote { upstream: Arc::clone(id), run: limit.run, rate: limit.rate, age_ms })
    }

    /// This host's share of an upstream's limit: `None` without a limit, a rate of 0 if other hosts have it all.
    pub(crate) fn share(&self, record: &UpstreamRecord, region: &str) -> Option<RequestRate> {
        let limit = self.limits.get(&record.id).filter(|it| it.run == record.started_at_ms)?;
        let rate = limit.rate?;
        let count = rate.sharing_count(self.hosts.len());

        // Hosts that have not learned of the others yet are few, and may send before they know.
        let is_sharing = self.hosts.is_empty()
            || self.rank_of_local_host(&record.id, region).is_some_and(|rank| rank < count);
        if is_sharing { Some(rate.share(count)) } else { RequestRate::from_per_second(0.0) }
    }

    /// Position of this host among those that may share an upstream's limit. All hosts compute the same order: those of the
    /// upstream's region first.
    fn rank_of_local_host(&self, upstream: &str, region: &str) -> Option<usize> {
        let seed = xxh3_64_with_seed(upstream.as_bytes(), 0);
        let key = |host: &SharingHost| {
            (*host.region != *region, xxh3_64_with_seed(host.name.as_bytes(), seed))
        };
        let local = key(self.hosts.iter().find(|it| it.name == self.local_host)?);
        Some(self.hosts.iter().filter(|host| key(host) < local).count())
    }

    /// Whether this host may send a request to an upstream now.
    pub(crate) fn may_send(&self, record: &UpstreamRecord, region: &str, now: Instant) -> bool {
        self.ready_at(record, region, now).is_some_and(|at| at <= now)
    }

    /// When this host may send the next request to an upstream; `None` if it leaves the upstream to other hosts.
    pub(crate) fn ready_at(
        &self,
        record: &UpstreamRecord,
        region: &str,
        now: Instant,
    ) -> Option<Instant> {
        let Some(share) = self.share(record, region) else {
            return Some(now);
        };

        if share.per_second() == 0.0 {
            return None;
        }

        let time = now.saturating_duration_since(self.origin);
        let bucket = self.limits.get(&record.id).and_then(|it| it.bucket.clone());
        let mut bucket = bucket.unwrap_or_else(|| RateBucket::new(share, time));
        bucket.set_rate(share, time);
        Some(if bucket.is_ready(time) { now } else { self.origin + bucket.ready_at(time) })
    }

    /// Counts a request that this host is about to send to an upstream.
    pub(crate) fn take(&mut self, record: &UpstreamRecord, region: &str, now: Instant) {
        let Some(share) = self.share(record, region) else {
            return;
        };

        if let Some(limit) = self.limits.get_mut(&record.id) {
            let time = now.saturating_duration_since(self.origin);
            let bucket = limit.bucket.get_or_insert_with(|| RateBucket::new(share, time));
            bucket.set_rate(share, time);
            bucket.take(time);
        }
    }
}
