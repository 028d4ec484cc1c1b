//! Counts the upstream runs that have ended under each request.
//!
//! Each host knows of other crashes, so a count is the sum over a set of runs: a run of an upstream ends once, whoever sees it,
//! unless requests that were sent later end it again.
//! See docs/design/platform.md, "Requests that crash upstreams".

use std::collections::BTreeMap;

use crate::{CrashNote, CrashedRun};

/// Requests that are tracked at once. The one that was added first is dropped first.
const MAX_ENTRIES: usize = 4_096;

/// Runs that are kept for one request. It is refused long before as many count.
const MAX_RUNS: usize = 32;

/// Crashes of one request.
#[derive(Clone, Debug, Default)]
struct CrashEntry {
    /// What is known of each run, `presumed` and `cleared` as in [`CrashNote`].
    runs: BTreeMap<CrashedRun, (u32, u32)>,
    /// Value of `change_counter` when the entry was added.
    added_at_change: u64,
    /// Whether this tracker has seen one of the crashes itself.
    is_witness: bool,
    /// Count that is recorded in the store.
    recorded_count: u32,
}

impl CrashEntry {
    fn count(&self) -> u32 {
        self.runs.values().map(|(presumed, cleared)| presumed.saturating_sub(*cleared)).sum()
    }

    /// What is known of a run. A new one replaces one that no longer counts if there are many.
    fn run(&mut self, crashed: &CrashedRun) -> &mut (u32, u32) {
        if self.runs.len() >= MAX_RUNS && !self.runs.contains_key(crashed) {
            let replaced =
                self.runs.iter().min_by_key(|(_, (presumed, cleared))| presumed > cleared);

            if let Some(replaced) = replaced.map(|(crashed, _)| crashed.clone()) {
                self.runs.remove(&replaced);
            }
        }

        self.runs.entry(crashed.clone()).or_default()
    }

    fn notes(&self, fingerprint: u64) -> impl Iterator<Item = CrashNote> + '_ {
        self.runs.iter().map(move |(crashed, (presumed, cleared))| CrashNote {
            fingerprint,
            crashed: crashed.clone(),
            presumed: *presumed,
            cleared: *cleared,
        })
    }
}

/// Crashes by the fingerprint of the requests that ran meanwhile. A request that completes elsewhere is cleared, so that
/// those that only ran beside the one that caused a crash don't stay suspected.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashTracker {
    entries: BTreeMap<u64, CrashEntry>,
    change_counter: u64,
    /// Changes that have not been sent to the other trackers yet.
    pending_notes: Vec<CrashNote>,
}

impl CrashTracker {
    /// Clears a request of the crashes that are known here, as it has completed.
    pub(crate) fn clear(&mut self, fingerprint: u64) {
        let Some(entry) = self.entries.get_mut(&fingerprint) else {
            return;
        };

        for (crashed, (presumed, cleared)) in &mut entry.runs {
            if *presumed > *cleared {
                *cleared = *presumed;
                self.pending_notes.push(CrashNote {
                    fingerprint,
                    crashed: crashed.clone(),
                    presumed: *presumed,
                    cleared: *cleared,
                });
            }
        }
    }

    /// Merges what another tracker knows.
    pub(crate) fn merge(&mut self, note: &CrashNote) {
        let (presumed, cleared) = self.entry(note.fingerprint).run(&note.crashed);
        *presumed = note.presumed.max(*presumed);
        *cleared = note.cleared.max(*cleared);
        self.evict_oldest();
    }

    /// All that is known, for a tracker that starts.
    pub(crate) fn notes(&self) -> Vec<CrashNote> {
        self.entries.iter().flat_map(|(fingerprint, entry)| entry.notes(*fingerprint)).collect()
    }

    /// Takes the changes since the last call, for the other trackers.
    pub(crate) fn take_pending_notes(&mut self) -> Vec<CrashNote> {
        std::mem::take(&mut self.pending_notes)
    }

    /// Number of times at which upstreams have ended under a request, as far as it has not been cleared of them.
    pub(crate) fn crash_count(&self, fingerprint: u64) -> u32 {
        self.entries.get(&fingerprint).map_or(0, CrashEntry::count)
    }

    /// The runs whose ends count against a request.
    pub(crate) fn counted_runs(&self, fingerprint: u64) -> Vec<CrashedRun> {
        let runs = self.entries.get(&fingerprint).into_iter().flat_map(|it| &it.runs);
        let counted = runs.filter(|(_, (presumed, cleared))| presumed > cleared);
        counted.map(|(run, _)| run.clone()).collect()
    }

    /// The requests against which the end of a run counts.
    pub(crate) fn suspects_of(&self, crashed: &CrashedRun) -> impl Iterator<Item = u64> + '_ {
        let fingerprints = self.entries.keys().copied();
        let crashed = crashed.clone();
        fingerprints.filter(move |it| self.is_counted(*it, &crashed))
    }

    /// Whether the end of a run counts against a request.
    pub(crate) fn is_counted(&self, fingerprint: u64, crashed: &CrashedRun) -> bool {
        let run = self.entries.get(&fingerprint).and_then(|it| it.runs.get(crashed));
        run.is_some_and(|(presumed, cleared)| presumed > cleared)
    }

    /// Takes back a crash that proved to be none, given the requests that [`CrashTracker::record_crash`] returned.
    pub(crate) fn retract_crash(&mut self, crashed: &CrashedRun, suspects: &[u64]) {
        for fingerprint in suspects {
            let run = self.entries.get_mut(fingerprint).and_then(|it| it.runs.get_mut(crashed));

            if let Some((presumed, cleared)) = run
                && *presumed > *cleared
            {
                *cleared = *presumed;
                self.pending_notes.push(CrashNote {
                    fingerprint: *fingerprint,
                    crashed: crashed.clone(),
                    presumed: *presumed,
                    cleared: *cleared,
                });
            }
        }
    }

    /// Counts the end of a run against the requests that ran there and returns their fingerprints. If some of them were
    /// suspected already, it counts against those alone. Other trackers may have seen the same end.
    pub(crate) fn record_crash(&mut self, crashed: &CrashedRun, running: Vec<u64>) -> Vec<u64> {
        self.record(crashed, running, false)
    }

    /// As [`CrashTracker::record_crash`], for requests that were sent after the last end that was counted: the upstream has
    /// started anew since, though that is not known, and has ended another time.
    pub(crate) fn record_another_crash(
        &mut self,
        crashed: &CrashedRun,
        running: Vec<u64>,
    ) -> Vec<u64> {
        self.record(crashed, running, true)
    }

    fn record(&mut self, crashed: &CrashedRun, running: Vec<u64>, is_another: bool) -> Vec<u64> {
        let previous_suspects: Vec<u64> =
            running.iter().copied().filter(|it| self.crash_count(*it) > 0).collect();

        let suspects = if previous_suspects.is_empty() { running } else { previous_suspects };
        suspects.iter().for_each(|fingerprint| self.add_run(*fingerprint, crashed, is_another));
        suspects
    }

    fn add_run(&mut self, fingerprint: u64, crashed: &CrashedRun, is_another: bool) {
        let entry = self.entry(fingerprint);
        entry.is_witness = true;
        let (presumed, cleared) = entry.run(crashed);
        *presumed =
            if is_another { *cleared.max(presumed) + 1 } else { (*cleared + 1).max(*presumed) };
        let (presumed, cleared) = (*presumed, *cleared);
        let crashed = crashed.clone();
        self.pending_notes.push(CrashNote { fingerprint, crashed, presumed, cleared });
        self.evict_oldest();
    }

    /// Takes what the store lacks of the requests that have reached a count of `limit`, or had when they were last
    /// recorded, and of which this tracker is a witness. A request that is refused can't reach further upstreams, so its
    /// count would not be found again after the loss of all trackers.
    pub(crate) fn take_unrecorded(&mut self, limit: u32) -> Vec<Vec<CrashNote>> {
        let mut unrecorded = Vec::new();

        for (fingerprint, entry) in &mut self.entries {
            let count = entry.count();
            let is_due = count >= limit && entry.recorded_count < limit
                || count < limit && entry.recorded_count >= limit;

            if entry.is_witness && is_due {
                entry.recorded_count = count;
                unrecorded.push(entry.notes(*fingerprint).collect());
            }
        }

        unrecorded
    }

    fn entry(&mut self, fingerprint: u64) -> &mut CrashEntry {
        self.change_counter += 1;
        let added_at_change = self.change_counter;
        let new_entry = || CrashEntry { added_at_change, ..CrashEntry::default() };
        self.entries.entry(fingerprint).or_insert_with(new_entry)
    }

    fn evict_oldest(&mut self) {
        if self.entries.len() > MAX_ENTRIES {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.added_at_change);

            if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.entries.remove(&fingerprint);
            }
        }
    }
}
