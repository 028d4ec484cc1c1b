//! Crashes that a host presumes from attempts that broke or went silent, until the upstream proves to be alive.
//!
//! See docs/design/platform.md, "Requests that crash upstreams".

use std::{collections::BTreeMap, sync::Arc};

use tokio::time::{Duration, Instant};

use crate::{CrashedRun, entry::crash_suspects::CrashSuspects};

/// Shortest time in which an upstream that has ended starts again. The response to a request that was sent sooner comes from
/// the run that was presumed to have ended.
const MIN_RESTART_TIME: Duration = Duration::from_secs(1);

/// Time for which a presumed crash is kept.
const RETENTION: Duration = Duration::from_mins(5);

/// A presumed crash of one run.
#[derive(Debug)]
struct PresumedCrash {
    at: Instant,
    service: Arc<str>,
    /// Requests that it counts against.
    suspects: CrashSuspects,
}

/// A crash that was held back.
#[derive(Debug)]
pub(crate) struct HeldCrash {
    pub(crate) crashed: CrashedRun,
    pub(crate) at: Instant,
    /// Requests that it would count against.
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

    pub(crate) fn add(
        &mut self,
        now: Instant,
        service: Arc<str>,
        crashed: CrashedRun,
        suspects: CrashSuspects,
    ) {
        self.crashes.retain(|_, it| now.duration_since(it.at) < RETENTION);
        let new = PresumedCrash { at: now, service, suspects: CrashSuspects::default() };
        let crash = self.crashes.entry(crashed).or_insert(new);
        crash.at = now;
        crash.suspects.merge(suspects);
    }

    /// Holds the crash of a run under a request back, as no upstream of its service is heard.
    pub(crate) fn hold(
        &mut self,
        now: Instant,
        service: Arc<str>,
        crashed: CrashedRun,
        suspects: CrashSuspects,
    ) {
        let new = PresumedCrash { at: now, service, suspects: CrashSuspects::default() };
        self.held.entry(crashed).or_insert(new).suspects.merge(suspects);
    }

    /// Holds those crashes of a service back that were presumed after `last_heard`, the last time at which any of its upstreams
    /// was heard. Returns them with their suspects, against which they no longer count.
    pub(crate) fn hold_since(
        &mut self,
        service: &Arc<str>,
        last_heard: Option<Instant>,
    ) -> Vec<(CrashedRun, CrashSuspects)> {
        let is_held = |it: &PresumedCrash| {
            it.service == *service && last_heard.is_none_or(|last_heard| it.at >= last_heard)
        };
        let crashed: Vec<CrashedRun> =
            self.crashes.iter().filter(|(_, it)| is_held(it)).map(|(run, _)| run.clone()).collect();
        let mut held = Vec::new();

        for run in crashed {
            if let Some(crash) = self.crashes.remove(&run) {
                self.hold(crash.at, crash.service, run.clone(), crash.suspects.clone());
                held.push((run, crash.suspects));
            }
        }
        held
    }

    /// Takes the crashes of a service that were held back.
    pub(crate) fn take_held(&mut self, service: &Arc<str>) -> Vec<HeldCrash> {
        if self.held.is_empty() {
            return Vec::new();
        }

        let (taken, kept): (BTreeMap<_, _>, BTreeMap<_, _>) =
            std::mem::take(&mut self.held).into_iter().partition(|(_, it)| it.service == *service);
        self.held = kept;
        let held =
            |(crashed, PresumedCrash { at, suspects, .. })| HeldCrash { crashed, at, suspects };
        taken.into_iter().map(held).collect()
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
