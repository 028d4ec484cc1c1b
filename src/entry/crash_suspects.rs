//! The requests against which a crash of an upstream counts.
//!
//! See docs/design/platform.md, "Requests that crash upstreams".

use tokio::time::{Duration, Instant};

use crate::{
    CrashTracker, CrashedRun,
    entry::{
        request_signature::RequestSignature,
        target_crashes::{TargetCrashes, generation_run},
    },
};

/// Time after it was sent in which a request that crashes upstreams mostly does so. When many upstreams end at once for another
/// reason, most requests on them are older, or others at their target have just completed.
const YOUNG_AGE: Duration = Duration::from_secs(2);

/// An attempt at an upstream, as far as its target matters.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetAttempt {
    sent_at: Instant,
    /// Number of the crash that it proves if it is older than [`YOUNG_AGE`] then.
    generation: u64,
}

impl TargetAttempt {
    /// An attempt that begins now.
    pub(crate) fn begin(crashes: &CrashTracker, target: u64) -> Self {
        let generation = TargetCrashes::new(crashes, target).next_generation();
        Self { sent_at: Instant::now(), generation }
    }

    /// The run whose crash is noted at the target if the upstream's run `crashed` has ended at `ended_at`.
    fn noted_run(&self, content: u64, crashed: &CrashedRun, ended_at: Instant) -> CrashedRun {
        if ended_at.saturating_duration_since(self.sent_at) < YOUNG_AGE {
            crashed.clone()
        } else {
            generation_run(content, self.generation)
        }
    }
}

/// A target at which a crash counts.
#[derive(Clone, Debug, Eq, PartialEq)]
struct TargetSuspect {
    target: u64,
    run: CrashedRun,
}

/// Requests that ran on an upstream when it ended.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashSuspects {
    contents: Vec<u64>,
    targets: Vec<TargetSuspect>,
}

impl CrashSuspects {
    pub(crate) fn new(
        signature: RequestSignature,
        attempt: TargetAttempt,
        crashed: &CrashedRun,
        ended_at: Instant,
    ) -> Self {
        let run = attempt.noted_run(signature.content, crashed, ended_at);
        let target = TargetSuspect { target: signature.target, run };
        Self { contents: vec![signature.content], targets: vec![target] }
    }

    /// Adds the suspects of another attempt on the same upstream.
    pub(crate) fn merge(&mut self, other: Self) {
        let contents = other.contents.into_iter().filter(|it| !self.contents.contains(it));
        let contents: Vec<u64> = contents.collect();
        self.contents.extend(contents);
        let targets = other.targets.into_iter().filter(|it| !self.targets.contains(it));
        let targets: Vec<TargetSuspect> = targets.collect();
        self.targets.extend(targets);
    }

    /// Counts the end of a run against the suspects. `is_another` is as for [`CrashTracker::record_another_crash`]. Returns those
    /// against which it counts.
    pub(crate) fn record(
        self,
        tracker: &mut CrashTracker,
        run: &CrashedRun,
        is_another: bool,
    ) -> Self {
        let mut record = |noted: &CrashedRun, running| {
            if is_another && noted == run {
                tracker.record_another_crash(noted, running)
            } else {
                tracker.record_crash(noted, running)
            }
        };

        for suspect in &self.targets {
            record(&suspect.run, vec![suspect.target]);
        }
        Self { contents: record(run, self.contents), targets: self.targets }
    }

    /// Takes back that the end of a run counts against the suspects.
    pub(crate) fn retract(&self, tracker: &mut CrashTracker, run: &CrashedRun) {
        tracker.retract_crash(run, &self.contents);

        for suspect in &self.targets {
            tracker.retract_crash(&suspect.run, &[suspect.target]);
        }
    }
}
