//! Which upstreams of each region an object prefers, as all hosts agree without a message.

use std::collections::HashMap;

use crate::{
    entry::{
        object_affinity::{object_gain::ObjectPlace, object_key::ObjectKey},
        pool_state::UpstreamKey,
        pooled_upstream::PooledUpstream,
    },
    membership::rendezvous::weighted_score,
};

/// Upstreams that a hot object prefers, as a multiple of what its share of the load would fill.
const HEADROOM: f64 = 1.5;

/// Requests for an object from which its share is believed. A host that has placed few requests can't tell a hot object
/// from one that was asked for twice.
const MIN_REQUESTS: f64 = 8.0;

/// Belief that the upstreams next in order have the object. They take what the preferred ones can't, so that all hosts
/// overflow to the same ones.
const NEXT_BELIEFS: [f64; 2] = [0.5, 0.25];

/// Part of an upstream's slots that is in use when its preference begins to decline; it ends when all are in use.
const NEARLY_FULL: f64 = 0.75;

/// Cost of a full upstream, as a share of a request's time. With 1 in place of a half, 0.25 of the requests were rejected at
/// 0.9 of the capacity in place of 0.1: requests left upstreams that still had room, and slots were used by longer work.
const FULL_COST_SHARE: f64 = 0.5;

/// How much of a host's requests for a service is about one object.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ObjectShare {
    /// Requests about the object, weighted by age.
    pub(crate) requests: f64,
    /// Share of the service's requests, from 0 to 1.
    pub(crate) share: f64,
}

/// Costs of one request about an object, by upstream.
#[derive(Clone, Debug)]
pub(crate) struct ObjectPreference {
    gain_ms: f64,
    lease_ms: f64,
    beliefs: HashMap<UpstreamKey, f64>,
}

impl ObjectPreference {
    /// Ranks the upstreams of each region for an object. `upstreams` gives those that are open and healthy, each with its
    /// region; if there are none, none is preferred. `gain_ms` is what a preferred upstream saves, and `lease_ms` the mean time of a request.
    pub(crate) fn new<'a>(
        object: ObjectKey,
        share: ObjectShare,
        (gain_ms, lease_ms): (f64, f64),
        upstreams: impl Iterator<Item = (UpstreamKey, &'a PooledUpstream, &'a str)>,
    ) -> Self {
        let mut regions: HashMap<&str, Vec<(u64, &str, UpstreamKey)>> = HashMap::new();

        for (key, upstream, region) in upstreams {
            let record = &upstream.record;
            let score = weighted_score(object.0, &record.id, record.slots);
            regions.entry(region).or_default().push((score, &record.id, key));
        }

        let mut beliefs = HashMap::new();
        for ranked in regions.values_mut() {
            let preferred = preferred_count(share, ranked.len());
            ranked.sort_unstable();
            let keys = ranked.iter().map(|(_, _, key)| *key);
            beliefs.extend(keys.zip(std::iter::repeat_n(1.0, preferred).chain(NEXT_BELIEFS)));
        }
        Self { gain_ms, lease_ms, beliefs }
    }

    /// Milliseconds that a request is expected to take longer on an upstream than on one that has its object. An upstream
    /// that is nearly full or slow is not expected to save anything.
    pub(crate) fn missed_ms(&self, key: UpstreamKey, load_share: f64, slowness: f64) -> f64 {
        let room = ((1.0 - load_share) / (1.0 - NEARLY_FULL)).clamp(0.0, 1.0);
        let speed = (2.0 - slowness).clamp(0.0, 1.0);
        self.gain_ms * (1.0 - self.belief(key) * room * speed)
    }

    /// Cost of a request beside: at most its part of [`FULL_COST_SHARE`]. The usual cost is that of engines, which may be as
    /// long as a request of a plain service.
    pub(crate) fn concurrency_ms(&self, usual_ms: f64, slots: u32) -> f64 {
        usual_ms.min(self.lease_ms * FULL_COST_SHARE / f64::from(slots.max(1)))
    }

    /// Where a request is placed by being placed on an upstream.
    pub(crate) fn place(&self, key: UpstreamKey) -> ObjectPlace {
        match self.belief(key) {
            belief if belief >= 1.0 => ObjectPlace::Preferred,
            belief if belief > 0.0 => ObjectPlace::Next,
            _ => ObjectPlace::Beside,
        }
    }

    fn belief(&self, key: UpstreamKey) -> f64 {
        self.beliefs.get(&key).copied().unwrap_or(0.0)
    }
}

/// Number of a region's upstreams that an object prefers: one, unless its load would fill more.
pub(crate) fn preferred_count(share: ObjectShare, upstream_count: usize) -> usize {
    if share.requests < MIN_REQUESTS {
        return 1;
    }
    let needed = (share.share * upstream_count as f64 * HEADROOM).ceil() as usize;
    needed.clamp(1, upstream_count.max(1))
}
