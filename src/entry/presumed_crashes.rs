//! Crashes that a host presumes from attempts that broke or went silent, until the upstream proves to be alive.
//!
//! See docs/design/platform.md, "Requests that crash upstreams".

use std::{
    collections::{BTreeMap, btree_map::Entry},
    sync::Arc,
};

use tokio::time::{Duration, Instant};

use crate::{
    CrashedRun,
    entry::{UpstreamRecord, crash_suspects::CrashSuspects},
};

/// Shortest time in which an upstream that has ended starts again. The response to a request that was sent sooner comes from
/// the run that was presumed to have ended.
const MIN_RESTART_TIME: Duration = Duration::from_secs(1);

/// Time for which a presumed crash is kept.
const RETENTION: Duration = Duration::from_mins(5);

/// A presumed crash of one run.
#[derive(Clone, Debug)]
pub(crate) struct PresumedCrash {
    pub(crate) at: Instant,
    /// Entry of the run.
    pub(crate) record: Arc<UpstreamRecord>,
    /// Requests that it counts against.
    pub(crate) suspects: CrashSuspects,
}

/// The presumed crashes of a host.
#[derive(Debug, Default)]
pub(crate) struct PresumedCrashes {
    crashes: BTreeMap<CrashedRun, PresumedCrash>,
    /// Crashes of services of which no upstream is heard, so that they may be none.
    held: BTreeMap<CrashedRun, PresumedCrash>,
}

impl PresumedCrashes {
    /// Whether a request was sent to a run after the last end of it that this host has counted.
    pub(crate) fn is_sent_after(&self, crashed: &CrashedRun, sent_at: Instant) -> bool {
        self.crashes.get(crashed).is_some_and(|it| sent_at > it.at)
    }

    pub(crate) fn add(&mut self, crashed: CrashedRun, new: PresumedCrash) {
        self.crashes.retain(|_, it| new.at.duration_since(it.at) < RETENTION);
        let at = new.at;
        let crash = add_suspects(&mut self.crashes, crashed, new);
        crash.at = crash.at.max(at);
    }

    /// Holds the crash of a run under a request back, as no upstream of its service is heard.
    pub(crate) fn hold(&mut self, crashed: CrashedRun, new: PresumedCrash) {
        add_suspects(&mut self.held, crashed, new);
    }

    /// Holds those crashes of a service back that were presumed after `last_heard`, the last time at which any of its upstreams
    /// was heard. Returns them with their suspects, against which they no longer count.
    pub(crate) fn hold_since(
        &mut self,
        service: &Arc<str>,
        last_heard: Option<Instant>,
    ) -> Vec<(CrashedRun, CrashSuspects)> {
        let is_held = |it: &PresumedCrash| {
            it.record.service == *service && last_heard.is_none_or(|last_heard| it.at >= last_heard)
        };
        let (held, kept): (BTreeMap<_, _>, BTreeMap<_, _>) =
            std::mem::take(&mut self.crashes).into_iter().partition(|(_, it)| is_held(it));
        self.crashes = kept;
        let suspects = held.iter().map(|(run, it)| (run.clone(), it.suspects.clone())).collect();
        held.into_iter().for_each(|(run, it)| self.hold(run, it));
        suspects
    }

    /// Takes the held crashes for which `is_due` holds.
    pub(crate) fn take_held(
        &mut self,
        is_due: impl Fn(&PresumedCrash) -> bool,
    ) -> BTreeMap<CrashedRun, PresumedCrash> {
        if self.held.is_empty() {
            return BTreeMap::new();
        }

        let (taken, kept) =
            std::mem::take(&mut self.held).into_iter().partition(|(_, it)| is_due(it));
        self.held = kept;
        taken
    }

    /// Returns the suspects of a run that has responded to a request which was sent at `sent_at`, if this proves that the run
    /// did not end.
    pub(crate) fn take_disproved(
        &mut self,
        crashed: &CrashedRun,
        sent_at: Instant,
    ) -> Option<CrashSuspects> {
        let at = self.crashes.get(crashed)?.at;
        let is_proof = sent_at > at && sent_at < at + MIN_RESTART_TIME;
        is_proof.then(|| self.crashes.remove(crashed).map(|it| it.suspects)).flatten()
    }
}

/// Adds the suspects of a crash to those that are known of it.
fn add_suspects(
    crashes: &mut BTreeMap<CrashedRun, PresumedCrash>,
    run: CrashedRun,
    new: PresumedCrash,
) -> &mut PresumedCrash {
    match crashes.entry(run) {
        Entry::Occupied(known) => {
            let known = known.into_mut();
            known.suspects.merge(new.suspects);
            known
        }
        Entry::Vacant(place) => place.insert(new),
    }
}
