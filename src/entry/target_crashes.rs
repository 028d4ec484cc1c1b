//! What is counted against a target, and whether one of the contents that are sent to it explains all of it.
//!
//! See docs/design/platform.md, "Requests that crash upstreams".

use std::{collections::BTreeSet, sync::Arc};

use crate::{CrashTracker, CrashedRun};

/// Begins the name under which the crashes of older requests are noted. No upstream's id has a space in it.
const CONTENT_PREFIX: &str = "content ";

/// The crashes that count against a target.
#[derive(Debug)]
pub(crate) struct TargetCrashes {
    /// Runs of upstreams that have ended under requests which were sent shortly before.
    runs: Vec<CrashedRun>,
    /// Crashes under older requests, by their content and generation. Those of one generation were sent before the previous crash
    /// at the target was known, so they count once, however many upstreams have ended.
    generations: BTreeSet<(u64, Arc<str>)>,
}

/// The run under which the crash of an older request is noted at its target.
pub(crate) fn generation_run(content: u64, generation: u64) -> CrashedRun {
    CrashedRun { upstream: format!("{CONTENT_PREFIX}{content:016x}").into(), run: generation }
}

impl TargetCrashes {
    pub(crate) fn new(crashes: &CrashTracker, target: u64) -> Self {
        let (old, runs): (Vec<_>, Vec<_>) = crashes
            .counted_runs(target)
            .into_iter()
            .partition(|it| it.upstream.starts_with(CONTENT_PREFIX));
        Self { runs, generations: old.into_iter().map(|it| (it.run, it.upstream)).collect() }
    }

    pub(crate) fn count(&self) -> u32 {
        let generations: BTreeSet<u64> = self.generations.iter().map(|(it, _)| *it).collect();
        (self.runs.len() + generations.len()) as u32
    }

    /// Number of the crash that a request which is sent now would prove.
    pub(crate) fn next_generation(&self) -> u64 {
        self.generations.last().map_or(1, |(generation, _)| generation + 1)
    }

    /// Whether the requests of one content were there each time. The others ran beside them by chance, or not at all.
    pub(crate) fn is_explained(&self, crashes: &CrashTracker, target: u64) -> bool {
        let candidates: Vec<u64> = match self.runs.first() {
            Some(run) => crashes.suspects_of(run).filter(|it| *it != target).collect(),
            None => self.generations.iter().filter_map(|(_, name)| parse_content(name)).collect(),
        };

        candidates.into_iter().any(|content| {
            let has_old = |generation: u64| {
                let name = generation_run(content, generation).upstream;
                self.generations.contains(&(generation, name))
            };
            self.runs.iter().all(|run| crashes.is_counted(content, run))
                && self.generations.iter().all(|(generation, _)| has_old(*generation))
        })
    }
}

fn parse_content(name: &str) -> Option<u64> {
    u64::from_str_radix(name.strip_prefix(CONTENT_PREFIX)?, 16).ok()
}
