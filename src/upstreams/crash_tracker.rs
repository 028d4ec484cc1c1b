//! Which requests are suspected of crashing upstreams.

use std::collections::BTreeMap;

use crate::CrashNote;

/// Requests that are remembered at once. The oldest is forgotten first.
const LEDGER_LIMIT: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct CrashEntry {
    crashes: u32,
    order: u64,
}

/// Crashes by the fingerprint of what ran at the time. A request that ran beside a culprit is cleared as soon as it
/// completes elsewhere.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashTracker {
    entries: BTreeMap<u64, CrashEntry>,
    orders: u64,
    /// What this cell has found out and others have to be told.
    news: Vec<CrashNote>,
}

impl CrashTracker {
    pub(crate) fn clear(&mut self, fingerprint: u64) {
        if self.entries.remove(&fingerprint).is_some() {
            self.news.push(CrashNote { fingerprint, crashes: 0 });
        }
    }

    /// Takes over what another cell has found out.
    pub(crate) fn import(&mut self, note: CrashNote) {
        if note.crashes == 0 {
            self.entries.remove(&note.fingerprint);
            return;
        }

        self.orders += 1;
        let order = self.orders;
        let entry = self.entries.entry(note.fingerprint);
        let entry = entry.or_insert(CrashEntry { crashes: 0, order });
        entry.crashes = entry.crashes.max(note.crashes);
        self.forget_oldest();
    }

    /// Gives all that is known, for a cell that opens.
    pub(crate) fn notes(&self) -> Vec<CrashNote> {
        let entries = self.entries.iter();
        let note = |(fingerprint, entry): (&u64, &CrashEntry)| CrashNote {
            fingerprint: *fingerprint,
            crashes: entry.crashes,
        };
        entries.map(note).collect()
    }

    /// Gives what others have to be told, once.
    pub(crate) fn take_pending_notes(&mut self) -> Vec<CrashNote> {
        std::mem::take(&mut self.news)
    }

    /// Upstreams that crashed while this request ran on them, as far as it is not cleared.
    pub(crate) fn crash_count(&self, fingerprint: u64) -> u32 {
        self.entries.get(&fingerprint).map_or(0, |entry| entry.crashes)
    }

    /// Takes back the blame for a crash that was none.
    pub(crate) fn pardon(&mut self, blamed: &[u64]) {
        for fingerprint in blamed {
            if let Some(entry) = self.entries.get_mut(fingerprint) {
                entry.crashes = entry.crashes.saturating_sub(1);
                let crashes = entry.crashes;
                self.news.push(CrashNote { fingerprint: *fingerprint, crashes });
            }
        }

        self.entries.retain(|_, entry| entry.crashes > 0);
    }

    /// Takes note of a crash, and gives those that are blamed. If suspects of an earlier crash were among those that
    /// ran, they alone are.
    pub(crate) fn record_crash(&mut self, running: Vec<u64>) -> Vec<u64> {
        let suspects: Vec<u64> =
            running.iter().copied().filter(|it| self.crash_count(*it) > 0).collect();

        let blamed = if suspects.is_empty() { running } else { suspects };
        blamed.iter().for_each(|fingerprint| self.blame(*fingerprint));
        blamed
    }

    fn blame(&mut self, fingerprint: u64) {
        self.orders += 1;
        let order = self.orders;
        let entry = self.entries.entry(fingerprint).or_insert(CrashEntry { crashes: 0, order });
        entry.crashes += 1;
        let crashes = entry.crashes;
        self.news.push(CrashNote { fingerprint, crashes });
        self.forget_oldest();
    }

    fn forget_oldest(&mut self) {
        if self.entries.len() > LEDGER_LIMIT {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.order);

            if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.entries.remove(&fingerprint);
            }
        }
    }
}
