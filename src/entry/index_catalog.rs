//! The segment indexes that this host has merged, and where they say that their writers go on.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use crate::entry::segment_index::SegmentIndex;

/// Where a writer's open segment is, by one of its indexes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SegmentPosition {
    /// Number of the segment that the index covers.
    pub(crate) sequence: u64,
    /// Position of the segment that follows.
    pub(crate) position: u32,
    /// Number of the last batch that an index covers.
    pub(crate) last_number: u64,
}

/// What an index in the store says, which never changes.
#[derive(Clone, Debug)]
pub(crate) struct CatalogEntry {
    pub(crate) writer: Arc<str>,
    pub(crate) position: SegmentPosition,
}

impl CatalogEntry {
    pub(crate) fn new(index: &SegmentIndex) -> Self {
        let position = SegmentPosition {
            sequence: index.sequence,
            position: index.next_position,
            last_number: index.last_number,
        };
        Self { writer: Arc::clone(&index.writer), position }
    }
}

/// Merged indexes, by name.
#[derive(Debug, Default)]
pub(crate) struct IndexCatalog {
    entries: HashMap<Arc<str>, CatalogEntry>,
}

impl IndexCatalog {
    pub(crate) fn entry(&self, name: &str) -> Option<CatalogEntry> {
        self.entries.get(name).cloned()
    }

    pub(crate) fn insert(&mut self, name: &Arc<str>, entry: CatalogEntry) {
        self.entries.insert(Arc::clone(name), entry);
    }

    /// Forgets the indexes that are no longer in the store. One that another reading has listed meanwhile is merged again.
    pub(crate) fn retain(&mut self, listed: &HashSet<Arc<str>>) {
        self.entries.retain(|name, _| listed.contains(name));
    }
}

/// Indexes that one reading has listed. Each reading finds the open segments by its own listing: what another one has listed
/// may be older.
#[derive(Debug, Default)]
pub(crate) struct IndexListing {
    pub(crate) names: HashSet<Arc<str>>,
    /// The last listed position of each writer.
    pub(crate) positions: HashMap<Arc<str>, SegmentPosition>,
    /// Number of listed objects that could not be decoded.
    pub(crate) unreadable: usize,
}

impl IndexListing {
    pub(crate) fn add(&mut self, entry: CatalogEntry) {
        let CatalogEntry { writer, position } = entry;
        let last = self.positions.entry(writer).or_insert(position);
        if position.sequence >= last.sequence {
            *last = position;
        }
    }
}
