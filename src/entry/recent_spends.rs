//! Spends that this run has recorded in its latest segments. A host that needs them asks this run, and so need not read the
//! batches, which hold the content of turns.

use std::collections::VecDeque;

use crate::entry::budget_ledger::SpendRecord;

/// Segments whose spends are kept: the open one, and those that are closed while another host lists the indexes.
const KEPT_SEGMENTS: usize = 4;

/// Spends of the segments that this run has written last, the oldest segment first.
#[derive(Debug, Default)]
pub(crate) struct RecentSpends {
    segments: VecDeque<(u64, Vec<SpendRecord>)>,
}

impl RecentSpends {
    /// Adds the spends of a batch that is durable in the segment with the number `sequence`.
    pub(crate) fn add(&mut self, sequence: u64, spends: &[SpendRecord]) {
        match self.segments.back_mut() {
            Some((last, kept)) if *last == sequence => kept.extend_from_slice(spends),
            _ => self.segments.push_back((sequence, spends.to_vec())),
        }

        if self.segments.len() > KEPT_SEGMENTS {
            self.segments.pop_front();
        }
    }

    /// Returns the spends of all segments that follow the one with the number `sequence`. Returns `None` if some of these
    /// are no longer kept.
    pub(crate) fn after(&self, sequence: u64) -> Option<Vec<SpendRecord>> {
        // The numbers of segments that have batches follow each other and begin with 1.
        let first = self.segments.front().map_or(1, |(first, _)| *first);

        if first > sequence + 1 {
            return None;
        }

        let later = self.segments.iter().filter(|(number, _)| *number > sequence);
        Some(later.flat_map(|(_, spends)| spends.iter().cloned()).collect())
    }
}
