//! Counts the upstream crashes that each request is suspected of.

use std::collections::BTreeMap;

use crate::CrashNote;

/// Requests that are tracked at once. The one that was added first is dropped first.
const MAX_ENTRIES: usize = 4_096;

/// Crash count of one request.
#[derive(Clone, Copy, Debug)]
struct CrashEntry {
    crashes: u32,
    /// Value of `change_counter` when the entry was added.
    added_at_change: u64,
}

/// Crash counts by the fingerprint of the requests that ran during a crash. A request that completes elsewhere is
/// cleared, so that those that only ran beside the one that caused a crash don't stay suspected.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashTracker {
    entries: BTreeMap<u64, CrashEntry>,
    change_counter: u64,
    /// Changes that have not been sent to the other trackers yet.
    pending_notes: Vec<CrashNote>,
}

impl CrashTracker {
    /// Resets a request's count, as it has completed.
    pub(crate) fn clear(&mut self, fingerprint: u64) {
        if self.entries.remove(&fingerprint).is_some() {
            self.pending_notes.push(CrashNote { fingerprint, crashes: 0 });
        }
    }

    /// Merges a change of another tracker: 0 clears a request, any other count is a lower bound.
    pub(crate) fn merge(&mut self, note: CrashNote) {
        if note.crashes == 0 {
            self.entries.remove(&note.fingerprint);
            return;
        }

        self.change_counter += 1;
        let added_at_change = self.change_counter;
        let entry = self.entries.entry(note.fingerprint);
        let entry = entry.or_insert(CrashEntry { crashes: 0, added_at_change });
        entry.crashes = entry.crashes.max(note.crashes);
        self.evict_oldest();
    }

    /// All counts, for a tracker that starts.
    pub(crate) fn notes(&self) -> Vec<CrashNote> {
        let entries = self.entries.iter();
        let note = |(fingerprint, entry): (&u64, &CrashEntry)| CrashNote {
            fingerprint: *fingerprint,
            crashes: entry.crashes,
        };
        entries.map(note).collect()
    }

    /// Takes the changes since the last call, for the other trackers.
    pub(crate) fn take_pending_notes(&mut self) -> Vec<CrashNote> {
        std::mem::take(&mut self.pending_notes)
    }

    /// Number of upstreams that crashed while a request ran on them, since it last completed.
    pub(crate) fn crash_count(&self, fingerprint: u64) -> u32 {
        self.entries.get(&fingerprint).map_or(0, |entry| entry.crashes)
    }

    /// Takes back a crash that proved to be none, given the requests that [`CrashTracker::record_crash`] returned.
    pub(crate) fn retract_crash(&mut self, suspects: &[u64]) {
        for fingerprint in suspects {
            if let Some(entry) = self.entries.get_mut(fingerprint) {
                entry.crashes = entry.crashes.saturating_sub(1);
                let crashes = entry.crashes;
                self.pending_notes.push(CrashNote { fingerprint: *fingerprint, crashes });
            }
        }

        self.entries.retain(|_, entry| entry.crashes > 0);
    }

    /// Counts a crash against the requests that ran and returns their fingerprints. If some of them were suspected
    /// already, it counts against those alone.
    pub(crate) fn record_crash(&mut self, running: Vec<u64>) -> Vec<u64> {
        let previous_suspects: Vec<u64> =
            running.iter().copied().filter(|it| self.crash_count(*it) > 0).collect();

        let suspects = if previous_suspects.is_empty() { running } else { previous_suspects };
        suspects.iter().for_each(|fingerprint| self.increment_count(*fingerprint));
        suspects
    }

    fn increment_count(&mut self, fingerprint: u64) {
        self.change_counter += 1;
        let added_at_change = self.change_counter;
        let entry =
            self.entries.entry(fingerprint).or_insert(CrashEntry { crashes: 0, added_at_change });
        entry.crashes += 1;
        let crashes = entry.crashes;
        self.pending_notes.push(CrashNote { fingerprint, crashes });
        self.evict_oldest();
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
