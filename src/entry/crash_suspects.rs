//! The requests against which a crash of an upstream counts.
//!
//! See docs/design/platform.md, "Requests that crash upstreams".

use tokio::time::{Duration, Instant};

use crate::{CrashTracker, CrashedRun, entry::request_signature::RequestSignature};

/// Time after it was sent in which a request that crashes upstreams mostly does so. When many upstreams end at once for another
/// reason, most requests on them are older, or others at their target have just completed.
const YOUNG_AGE: Duration = Duration::from_secs(2);

/// An attempt at an upstream, as far as its target matters.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetAttempt {
    sent_at: Instant,
    /// The first number whose crash did not count at the target when the request was sent.
    generation: u64,
}

impl TargetAttempt {
    /// An attempt that begins now.
    pub(crate) fn begin(crashes: &CrashTracker, target: u64) -> Self {
        let mut generation = 1;

        while crashes.is_counted(target, &generation_run(generation)) {
            generation += 1;
        }

        Self { sent_at: Instant::now(), generation }
    }

    /// The run whose crash is noted at the target if the upstream's run `crashed` has ended at `ended_at`.
    fn noted_run(&self, crashed: &CrashedRun, ended_at: Instant) -> CrashedRun {
        if ended_at.saturating_duration_since(self.sent_at) < YOUNG_AGE {
            crashed.clone()
        } else {
            generation_run(self.generation)
        }
    }
}

/// Stands for all upstreams that end under older requests which were sent before the previous crash at their target was known.
/// Together they count once, on whichever hosts they are seen. No upstream has an empty name.
fn generation_run(generation: u64) -> CrashedRun {
    CrashedRun { upstream: "".into(), run: generation }
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
        let run = attempt.noted_run(crashed, ended_at);
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
