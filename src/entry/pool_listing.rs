//! How the placement pool follows the list of upstreams in the store. See docs/design/platform.md, "Upstreams that leave".

use std::{collections::HashSet, sync::Arc};

use tokio::time::{Duration, Instant};

use crate::entry::{
    FollowGap, HostFeature, PlacementPool, UpstreamPhase, UpstreamRecord,
    pool_state::{PoolState, UpstreamKey},
    pooled_upstream::PooledUpstream,
};

impl PlacementPool {
    /// Replaces the list of upstreams by the one at a revision of the store. An upstream that is not in `records` is removed
    /// as by [`PlacementPool::remove`]. `gap` is the time before in which the list could not be followed.
    pub fn reset(&self, records: Vec<UpstreamRecord>, revision: u64, gap: Option<FollowGap>) {
        let now = Instant::now();
        self.state.lock().followed_since = Some(now);
        self.departures.lock().record_listing(gap);
        if let Some(gap) = gap {
            let grace_end = self.expiry.grace_end(gap, now);
            log::info!(
                revision, without_contact_ms = (now - gap.last_contact).as_millis() as u64,
                last_failure_ms = (now - gap.last_failure).as_millis() as u64,
                grace_ms = grace_end.map_or(0, |it| it.saturating_duration_since(now).as_millis() as u64);
                "the upstreams are listed after a time without contact to the store"
            );
            // While this host had no contact with the store, it may have had none with other hosts either.
            self.departures.lock().request_exchange();

            if let Some(until) = grace_end {
                let mut state = self.state.lock();
                state.grace_until = Some(until);
                state.upstreams.values_mut().for_each(|upstream| upstream.kept_until = None);
            }
        }
        let listed_ids: HashSet<Arc<str>> = records.iter().map(|it| Arc::clone(&it.id)).collect();

        // First, so that no waiting request gets a slot on one of them.
        let unlisted_ids: Vec<Arc<str>> = {
            let state = self.state.lock();
            state.by_id.keys().filter(|id| !listed_ids.contains(*id)).cloned().collect()
        };
        unlisted_ids.iter().for_each(|id| self.remove(id, revision));
        let mut state = self.state.lock();
        let keys: Vec<UpstreamKey> =
            records.into_iter().filter_map(|record| self.apply(&mut state, record)).collect();
        // Only the whole list tells which of its upstreams have started after the others.
        state.pace_new_upstreams(now, &keys);
        let services: Vec<Arc<str>> = state.services.keys().cloned().collect();
        services.iter().for_each(|service| self.serve_queue(&mut state, service));
    }

    /// Adds an upstream, or updates it from its new entry in the store.
    pub fn upsert(&self, record: UpstreamRecord) {
        let mut state = self.state.lock();
        let service = Arc::clone(&record.service);
        let key = self.apply(&mut state, record);
        state.pace_new_upstreams(Instant::now(), key.as_slice());
        self.serve_queue(&mut state, &service);
    }

    /// Adds an upstream, or updates it. Returns its key if this host has not known the run before.
    fn apply(&self, state: &mut PoolState, record: UpstreamRecord) -> Option<UpstreamKey> {
        let record = Arc::new(record);
        let service = Arc::clone(&record.service);

        if record.phase == UpstreamPhase::Draining {
            // Kept beyond the entry, since a report from before the drain may arrive late.
            self.departures.lock().add_leaving(&record);
        }

        if let Some(key) = state.by_id.get(&record.id).copied() {
            let old = Arc::clone(&state.upstreams[key].record);

            // A watch may report changes that the listing before it already contains.
            if record.revision < old.revision {
                log::info!(upstream:% = record.id, revision = record.revision, known_revision = old.revision; "an older entry of an upstream is ignored");
                return None;
            }

            if old.phase != record.phase || old.started_at_ms != record.started_at_ms {
                log::info!(
                    upstream:% = record.id, phase:? = record.phase, born_ms = record.started_at_ms, revision = record.revision;
                    "an upstream's entry has changed"
                );
            }

            if old.software_version != record.software_version || old.service != service {
                state.record_past_version(&old);
            }

            let is_new_run = old.started_at_ms != record.started_at_ms;
            state.upstreams[key].update(record);
            if old.service != service {
                state.remove_from_service(&old.service, key);
                state.services.entry(Arc::clone(&service)).or_default().keys.push(key);
            }
            is_new_run.then_some(key)
        } else {
            let cache_tokens = state.cache_capacities.get(&service).copied().unwrap_or(0);
            let id = Arc::clone(&record.id);
            log::info!(upstream:% = id, service:% = service, revision = record.revision, born_ms = record.started_at_ms, software_version:% = record.software_version, data_centre:% = record.data_centre; "an upstream is listed");
            let has_slow_start = state.switches.is_on(HostFeature::SlowStart);
            let upstream =
                PooledUpstream::new(record, cache_tokens).with_slow_start(has_slow_start);
            let key = state.upstreams.insert(upstream);
            state.by_id.insert(id, key);
            state.services.entry(service).or_default().keys.push(key);
            Some(key)
        }
    }

    /// Whether the list shows that the run of an entry has ended, and it had not stated that it leaves.
    pub(crate) fn has_ended(&self, record: &UpstreamRecord) -> bool {
        if record.phase == UpstreamPhase::Draining || self.departures.lock().is_leaving(record) {
            return false;
        }

        let state = self.state.lock();
        let listed = state.by_id.get(&record.id).map(|key| &state.upstreams[*key].record);
        listed.is_none_or(|it| it.started_at_ms != record.started_at_ms)
    }

    /// Time until the list shows which runs have ended.
    pub(crate) fn settle_time(&self) -> Duration {
        self.expiry.settle_time()
    }

    /// Removes an upstream whose entry is gone from the store at a revision. If the entry may only have expired in a store
    /// outage, the upstream is kept until the end of the grace period that began with the listing after it.
    pub fn remove(&self, id: &str, revision: u64) {
        let now = Instant::now();
        let mut state = self.state.lock();
        let Some(key) = state.by_id.get(id).copied() else {
            return;
        };

        if let Some(until) = state.grace_end(now) {
            let upstream = &mut state.upstreams[key];
            upstream.missing_revision = revision;
            let kept_until = *upstream.kept_until.get_or_insert(until);
            let kept_ms = kept_until.saturating_duration_since(now).as_millis() as u64;
            log::info!(upstream = id, revision, kept_ms; "an upstream's entry is missing after a store outage, keeping the upstream for now");
        } else {
            self.withdraw(&mut state, key, revision);
            log::info!(upstream = id, revision; "an upstream is gone");
        }
    }

    /// Removes an upstream that has no entry at a revision of the store, and lets the other hosts know.
    fn withdraw(&self, state: &mut PoolState, key: UpstreamKey, revision: u64) {
        let record = Arc::clone(&state.upstreams[key].record);
        // A removal may be reported with the revision of the entry that is removed.
        self.departures.lock().add_withdrawn(&record.id, revision.max(record.revision));
        state.remove_upstream(key);
    }

    /// Records whether the store is available.
    pub fn set_store_availability(&self, is_available: bool) {
        let mut state = self.state.lock();
        state.unavailable_since = (!is_available).then(Instant::now);
    }

    /// Handles what changes with time alone: removes upstreams whose entries have not returned within the grace period
    /// after a store outage, and serves all queues, since load reports lose their weight with age.
    pub(crate) fn maintain(&self) {
        let now = Instant::now();
        let mut state = self.state.lock();

        let is_available = state.unavailable_since.is_none();
        let expired: Vec<UpstreamKey> = state
            .upstreams
            .iter()
            .filter(|(_, upstream)| {
                upstream.kept_until.is_some_and(|until| is_available && until <= now)
            })
            .map(|(key, _)| key)
            .collect();

        for key in expired {
            log::info!(upstream:% = state.upstreams[key].record.id; "an upstream's entry has not returned after a store outage, removing the upstream");
            let revision = state.upstreams[key].missing_revision;
            self.withdraw(&mut state, key, revision);
        }

        let services: Vec<Arc<str>> = state.services.keys().cloned().collect();
        services.iter().for_each(|service| self.serve_queue(&mut state, service));
    }
}
