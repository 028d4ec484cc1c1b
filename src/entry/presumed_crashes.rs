//! Crashes that a host presumes from attempts that broke or went silent, until the upstream proves to be alive.
//!
//! See docs/design/platform.md, "Requests that crash upstreams".

use std::collections::BTreeMap;

use tokio::time::{Duration, Instant};

use crate::CrashedRun;

/// Shortest time in which an upstream that has ended starts again. The response to a request that was sent sooner comes from
/// the run that was presumed to have ended.
const MIN_RESTART_TIME: Duration = Duration::from_secs(1);

/// Time for which a presumed crash is kept.
const RETENTION: Duration = Duration::from_mins(5);

/// A presumed crash of one run.
#[derive(Debug)]
struct PresumedCrash {
    at: Instant,
    /// Fingerprints of the requests that it counts against.
    suspects: Vec<u64>,
}

/// The presumed crashes of a host.
#[derive(Debug, Default)]
pub(crate) struct PresumedCrashes {
    crashes: BTreeMap<CrashedRun, PresumedCrash>,
}

impl PresumedCrashes {
    /// Whether a request was sent to a run after the last end of it that this host has counted.
    pub(crate) fn is_sent_after(&self, crashed: &CrashedRun, sent_at: Instant) -> bool {
        self.crashes.get(crashed).is_some_and(|it| sent_at > it.at)
    }

    pub(crate) fn add(&mut self, now: Instant, crashed: CrashedRun, suspects: Vec<u64>) {
        self.crashes.retain(|_, it| now.duration_since(it.at) < RETENTION);
        let crash =
            self.crashes.entry(crashed).or_insert(PresumedCrash { at: now, suspects: Vec::new() });
        crash.at = now;
        crash.suspects.extend(suspects);
    }

    /// Returns the suspects of a run that has responded to a request which was sent at `sent_at`, if this proves that the run
    /// did not end.
    pub(crate) fn take_disproved(
        &mut self,
        crashed: &CrashedRun,
        sent_at: Instant,
    ) -> Option<Vec<u64>> {
        let at = self.crashes.get(crashed)?.at;
        let is_proof = sent_at > at && sent_at < at + MIN_RESTART_TIME;
        is_proof.then(|| self.crashes.remove(crashed).map(|it| it.suspects)).flatten()
    }
}
