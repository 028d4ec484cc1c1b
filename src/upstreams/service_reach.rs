//! Decides whether this host reaches the upstreams of a service, from how its own attempts end.
//!
//! An upstream that fails alone is in trouble itself. When several fail and no other is heard, this host's links are
//! lost. Each function takes the time as an argument and does no I/O. See docs/design/reach.md.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use tokio::time::{Duration, Instant};

/// Upstreams that have failed, with nothing heard of any other, when a service counts as lost.
const SILENT_LIMIT: usize = 2;

/// Upstreams to which no connection could be made, and none to another, when a service counts as lost although kept
/// connections may still work.
const UNCONNECTED_LIMIT: usize = 5;

/// Number of these from which on probes find out whether the upstreams or this host's links are the cause.
const DOUBT_LIMIT: usize = 3;

/// Upstreams that have to answer before a lost service counts as reached again. A single one may be an exception.
const ANSWERING_LIMIT: usize = 2;

/// Time between two probes of a service.
pub(crate) const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Shortest loss after which the load comes back by steps. A shorter one has moved little of it.
const MIN_STEPPED_LOSS: Duration = Duration::from_secs(1);

/// Number of steps in which the load comes back.
const RETURN_STEPS: u32 = 4;

/// Duration of one step.
const RETURN_STEP: Duration = Duration::from_millis(250);

/// Upstreams of which the time of their last data is kept before older times are dropped.
const MAX_HEARD: usize = 256;

/// Time for which it is kept then.
const HEARD_MEMORY: Duration = Duration::from_secs(10);

/// What a host may do with a request for a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReachPhase {
    /// The host reaches upstreams, or nothing shows that it does not.
    Reached,
    /// Upstreams answer again, and part of the requests goes to them.
    Returning {
        /// When they answered.
        since: Instant,
    },
    /// The host reaches no upstream, so requests have to run elsewhere.
    Lost {
        /// When that was found.
        since: Instant,
        /// Whether data of kept connections shows nothing, as only new connections fail.
        is_unconnected: bool,
    },
}

/// What the attempts of this host tell about its way to the upstreams of one service.
#[derive(Debug)]
pub(crate) struct ServiceReach {
    phase: ReachPhase,
    /// When each upstream was last heard.
    heard: BTreeMap<Arc<str>, Instant>,
    last_heard: Option<Instant>,
    /// Upstreams of which an attempt has failed that began after the last data of any upstream.
    silent: BTreeSet<Arc<str>>,
    /// Upstreams to which no connection could be made since the last one that was made to any.
    unconnected: BTreeSet<Arc<str>>,
    /// Upstreams that have answered since the service was lost.
    answering: BTreeSet<Arc<str>>,
    /// Number of upstreams that the service had at the last failure.
    upstream_count: usize,
    next_probe: Option<Instant>,
    /// When each upstream was last probed since the service was lost.
    probed: BTreeMap<Arc<str>, Instant>,
    /// Requests that were asked about while the load comes back.
    asked: u32,
}

impl Default for ServiceReach {
    fn default() -> Self {
        Self {
            phase: ReachPhase::Reached,
            heard: BTreeMap::new(),
            last_heard: None,
            silent: BTreeSet::new(),
            unconnected: BTreeSet::new(),
            answering: BTreeSet::new(),
            upstream_count: 0,
            next_probe: None,
            probed: BTreeMap::new(),
            asked: 0,
        }
    }
}

impl ServiceReach {
    pub(crate) fn phase(&self) -> ReachPhase {
        self.phase
    }

    pub(crate) fn is_lost(&self) -> bool {
        matches!(self.phase, ReachPhase::Lost { .. })
    }

    /// When any upstream was last heard.
    pub(crate) fn last_heard(&self) -> Option<Instant> {
        self.last_heard
    }

    /// Whether another upstream was heard after `since`, so that the silence of this one is its own.
    pub(crate) fn has_heard_other(&self, upstream: &str, since: Instant) -> bool {
        self.heard.iter().any(|(other, at)| **other != *upstream && *at > since)
    }

    /// Whether failures tell nothing about single upstreams, as several have failed and none is heard.
    pub(crate) fn is_doubtful(&self) -> bool {
        self.is_lost() || self.silent.len() >= SILENT_LIMIT
    }

    /// Records data of an upstream.
    pub(crate) fn record_heard(&mut self, now: Instant, upstream: &Arc<str>) {
        match self.heard.get_mut(upstream) {
            Some(at) => *at = now,
            None => drop(self.heard.insert(Arc::clone(upstream), now)),
        }
        self.last_heard = Some(now);
        self.silent.clear();

        if self.heard.len() > MAX_HEARD {
            self.heard.retain(|_, at| now.saturating_duration_since(*at) < HEARD_MEMORY);
        }

        if let ReachPhase::Lost { is_unconnected: false, .. } = self.phase {
            self.record_answer(now, upstream);
        }
    }

    /// Records a connection that was made to an upstream.
    pub(crate) fn record_connected(&mut self, now: Instant, upstream: &Arc<str>) {
        self.unconnected.clear();
        self.record_heard(now, upstream);

        if self.is_lost() {
            self.record_answer(now, upstream);
        }
    }

    /// Records an attempt that has brought no data of an upstream since `began_at`. `upstream_count` is the number of upstreams
    /// that the service has.
    pub(crate) fn record_silent(
        &mut self,
        now: Instant,
        upstream: &Arc<str>,
        began_at: Instant,
        upstream_count: usize,
    ) {
        self.upstream_count = upstream_count;
        self.answering.remove(upstream);

        if self.last_heard.is_some_and(|at| at > began_at) {
            return;
        }

        self.silent.insert(Arc::clone(upstream));

        // A single upstream that is silent may as well be lost itself, which its next connection shows.
        if self.silent.len() >= SILENT_LIMIT {
            self.lose(now, false);
        } else if upstream_count <= 1 && !self.unconnected.is_empty() {
            self.lose(now, true);
        }
    }

    /// Records that no connection could be made to an upstream, in an attempt that began at `began_at`.
    pub(crate) fn record_unconnected(
        &mut self,
        now: Instant,
        upstream: &Arc<str>,
        began_at: Instant,
        upstream_count: usize,
    ) {
        self.unconnected.insert(Arc::clone(upstream));
        self.record_silent(now, upstream, began_at, upstream_count);

        if self.unconnected.len() >= UNCONNECTED_LIMIT.min(upstream_count.max(1)) {
            self.lose(now, true);
        }
    }

    fn lose(&mut self, now: Instant, is_unconnected: bool) {
        if !self.is_lost() {
            self.phase = ReachPhase::Lost { since: now, is_unconnected };
            self.answering.clear();
            self.probed.clear();
            self.next_probe = Some(now);
        }
    }

    fn record_answer(&mut self, now: Instant, upstream: &Arc<str>) {
        let ReachPhase::Lost { since, .. } = self.phase else {
            return;
        };

        self.answering.insert(Arc::clone(upstream));
        self.next_probe = Some(now);
        let limit = ANSWERING_LIMIT.min(self.upstream_count.max(1));

        if self.answering.len() >= limit {
            let is_stepped = now.saturating_duration_since(since) >= MIN_STEPPED_LOSS;
            self.phase =
                if is_stepped { ReachPhase::Returning { since: now } } else { ReachPhase::Reached };
            self.silent.clear();
            self.unconnected.clear();
            self.asked = 0;
        }
    }

    /// Decides whether the next request may go to the upstreams. While the load comes back, a growing part of them may.
    pub(crate) fn admit(&mut self, now: Instant) -> bool {
        match self.phase {
            ReachPhase::Reached => true,
            ReachPhase::Lost { .. } => false,
            ReachPhase::Returning { since } => {
                let elapsed = now.saturating_duration_since(since);
                let step = (elapsed.as_millis() / RETURN_STEP.as_millis()) as u32 + 1;

                if step >= RETURN_STEPS {
                    self.phase = ReachPhase::Reached;
                    return true;
                }

                self.asked = self.asked.wrapping_add(1);
                self.asked % RETURN_STEPS < step
            }
        }
    }

    /// Whether probes have to find out what can be reached: while the service is lost, and while new connections fail although
    /// data still arrives.
    pub(crate) fn is_probe_wanted(&self) -> bool {
        self.is_lost() || self.unconnected.len() >= DOUBT_LIMIT
    }

    /// Takes the upstream that is to be probed now, if any. Those that have not answered or failed come first, then those that
    /// were probed the longest ago.
    pub(crate) fn take_probe(&mut self, now: Instant, upstreams: &[Arc<str>]) -> Option<Arc<str>> {
        if !self.is_probe_wanted() || self.next_probe.is_some_and(|at| now < at) {
            return None;
        }

        let rank = |upstream: &&Arc<str>| {
            let has_failed =
                self.unconnected.contains(*upstream) || self.silent.contains(*upstream);
            (self.answering.contains(*upstream), self.probed.get(*upstream), has_failed)
        };
        let upstream = upstreams.iter().min_by_key(rank)?.clone();
        self.next_probe = Some(now + PROBE_INTERVAL);
        self.probed.insert(Arc::clone(&upstream), now);
        Some(upstream)
    }
}
