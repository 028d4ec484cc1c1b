//! What an entry host knows of one upstream.

use std::sync::Arc;

use tokio::time::{Duration, Instant};

use crate::entry::{
    PromptPart, UpstreamPhase, UpstreamRecord, prompt_cache::PromptCache,
    upstream_channel::ReportedLoad,
};

/// Time after which a report of load from an answer says nothing any more. Requests stay for half a second or less.
const LOAD_LIFETIME: Duration = Duration::from_millis(800);

/// Failures in a row after which an upstream is passed over; a single broken answer says little.
const FAILURE_LIMIT: u32 = 2;

/// First time for which an upstream is passed over.
const FIRST_PAUSE: Duration = Duration::from_millis(400);

/// Longest time for which an upstream is passed over before it is tried again.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// How a request at an upstream has ended, as far as it tells about the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum UpstreamVerdict {
    /// A proper answer came.
    Answered,
    /// The connection broke or what came was no answer.
    Broken,
    /// No connection could be made, or another upstream has the address.
    Unreachable,
    /// It has refused the request as full.
    Full,
    /// The request ended for a reason that says nothing about the upstream.
    Withdrawn,
}

#[derive(Clone, Copy, Debug)]
struct LoadReport {
    /// Requests of other hosts, running or waiting.
    others: u32,
    at: Instant,
}

/// Load, health and cache of one upstream.
#[derive(Clone, Debug)]
pub(crate) struct PooledUpstream {
    pub(crate) record: Arc<UpstreamRecord>,
    /// Requests that this host has there.
    pub(crate) in_flight: u32,
    pub(crate) cache: PromptCache,
    /// When the list has dropped the upstream, and it is kept for a while since the list may be wrong.
    pub(crate) dropped_at: Option<Instant>,
    report: Option<LoadReport>,
    failures: u32,
    paused_until: Option<Instant>,
}

impl PooledUpstream {
    pub(crate) fn new(record: Arc<UpstreamRecord>, cache_tokens: u64) -> Self {
        let mut cache = PromptCache::default();
        cache.set_capacity(cache_tokens);

        Self {
            record,
            in_flight: 0,
            cache,
            dropped_at: None,
            report: None,
            failures: 0,
            paused_until: None,
        }
    }

    /// Takes the list's newest word. A restarted upstream has lost what it held.
    pub(crate) fn update(&mut self, record: Arc<UpstreamRecord>) {
        if record.started_at_ms != self.record.started_at_ms {
            self.cache.clear();
            self.report = None;
            self.failures = 0;
            self.paused_until = None;
        }

        self.record = record;
        self.dropped_at = None;
    }

    pub(crate) fn is_serving(&self) -> bool {
        self.record.phase == UpstreamPhase::Serving
    }

    pub(crate) fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Requests that the upstream has, of this host and by the last report of others.
    pub(crate) fn load(&self, now: Instant) -> u32 {
        let others = match self.report {
            Some(report) => {
                let age = now.duration_since(report.at).as_secs_f64();
                let weight = 1.0 - age / LOAD_LIFETIME.as_secs_f64();
                (f64::from(report.others) * weight.max(0.0)).round() as u32
            }
            None => 0,
        };

        self.in_flight + others
    }

    pub(crate) fn has_room(&self, now: Instant) -> bool {
        self.load(now) < self.record.slots.max(1)
    }

    pub(crate) fn cached_tokens(&self, parts: &[PromptPart]) -> u64 {
        self.cache.cached_tokens(parts)
    }

    pub(crate) fn record_load(&mut self, now: Instant, load: ReportedLoad) {
        let others = (load.running + load.waiting).saturating_sub(self.in_flight);
        self.report = Some(LoadReport { others, at: now });
    }

    pub(crate) fn record_verdict(&mut self, now: Instant, verdict: UpstreamVerdict) {
        match verdict {
            UpstreamVerdict::Answered => {
                self.failures = 0;
                self.paused_until = None;
            }
            UpstreamVerdict::Broken => self.fail(now, 1),
            UpstreamVerdict::Unreachable => self.fail(now, FAILURE_LIMIT),
            UpstreamVerdict::Full => {
                let others = self.record.slots.saturating_sub(self.in_flight);
                self.report = Some(LoadReport { others, at: now });
            }
            UpstreamVerdict::Withdrawn => (),
        }
    }

    fn fail(&mut self, now: Instant, weight: u32) {
        self.failures += weight;

        if self.failures >= FAILURE_LIMIT {
            let exponent = (self.failures - FAILURE_LIMIT).min(8);
            let pause = FIRST_PAUSE.saturating_mul(1 << exponent).min(LONGEST_PAUSE);
            self.paused_until = Some(now + pause);
        }
    }
}
