//! Finds turns that another host, or an earlier run of this one, has finished.

use std::{collections::HashSet, sync::Arc};

use futures_util::{StreamExt, TryStreamExt, stream};
use parking_lot::Mutex;
use tokio::{
    sync::Semaphore,
    time::{Duration, Instant},
};

use crate::entry::{
    BudgetLedger, ObjectStore, StoreError, StoredObject,
    batch_index::BatchIndex,
    index_catalog::{CatalogEntry, IndexCatalog, IndexListing, SegmentPosition},
    page_reader::PageReader,
    peer_mesh::PeerMesh,
    record_readings::RecordReadings,
    segment_index::{INDEX_KIND, SegmentIndex, segment_prefix},
    segment_reader::{BatchSummary, SegmentReader},
    turn_history::{HistoryTurn, TurnChain, TurnHistory},
    turn_journal::{JOURNAL_KIND, JournalBatch},
};

/// Most lookups, at peers and in the store, for the missing turns of one chain.
const LOOKUP_LIMIT: usize = 256;

/// Batches that are read concurrently. Each takes up to three times its size in memory while it is decoded.
const CONCURRENT_READ_LIMIT: usize = 3;

/// Open segments for which peers are asked, or which are read, concurrently.
const CONCURRENT_SEGMENT_LIMIT: usize = 64;

/// Result of a search for a chain of turns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum TurnSearch {
    Found(Vec<Arc<HistoryTurn>>),
    /// No batch that was recorded before the search has the turn, or the one that the index names has been overwritten.
    Absent,
    /// The store could not be searched, or the chain takes more than [`LOOKUP_LIMIT`] lookups.
    Unknown,
}

/// Last complete listing of the recorded turns.
#[derive(Clone, Copy, Debug)]
struct TurnListing {
    started: Instant,
    /// Number of indexes and batches that could not be decoded, each of which may have any turn.
    unreadable: usize,
}

/// What one reading of the records has read.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadingSummary {
    pub(super) pages: usize,
    /// Number of indexes and batches that could not be decoded.
    pub(super) unreadable: usize,
}

/// What a reading of the records is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ReadingScope {
    /// Spends and turns: each open segment is read.
    Turns,
    /// Spends alone: runs that respond are asked for those of their open segments.
    Spends,
}

/// Searches for turns in memory, then at the other hosts, then in the store.
#[derive(Debug)]
pub(crate) struct TurnLocator {
    pub(crate) store: Arc<dyn ObjectStore>,
    pub(crate) history: Arc<Mutex<TurnHistory>>,
    pub(crate) ledger: Arc<Mutex<BudgetLedger>>,
    pub(crate) mesh: Arc<PeerMesh>,
    index: Arc<Mutex<BatchIndex>>,
    /// Locked while a listing is running, so that concurrent searches share it.
    last_listing: tokio::sync::Mutex<Option<TurnListing>>,
    /// Limits the batches that are read concurrently, since they are large.
    read_permits: Semaphore,
    /// Locked while recorded spends are read.
    pub(super) reading: Arc<tokio::sync::Mutex<()>>,
    pub(super) readings: Arc<Mutex<RecordReadings>>,
    catalog: Mutex<IndexCatalog>,
    segments: Arc<SegmentReader>,
}

impl TurnLocator {
    pub(crate) fn new(
        store: Arc<dyn ObjectStore>,
        history: Arc<Mutex<TurnHistory>>,
        ledger: Arc<Mutex<BudgetLedger>>,
        mesh: Arc<PeerMesh>,
        index: Arc<Mutex<BatchIndex>>,
        readings: Arc<Mutex<RecordReadings>>,
    ) -> Self {
        let segments = Arc::new(SegmentReader::new(Arc::clone(&store)));
        mesh.set_segment_reader(Arc::clone(&segments));

        Self {
            store,
            history,
            ledger,
            mesh,
            index,
            last_listing: tokio::sync::Mutex::default(),
            read_permits: Semaphore::new(CONCURRENT_READ_LIMIT),
            reading: Arc::default(),
            readings,
            catalog: Mutex::default(),
            segments,
        }
    }

    /// Finds the chain that ends with a turn, and keeps it in memory for `retention`.
    pub(crate) async fn find(&self, last: &Arc<str>, retention: Duration) -> TurnSearch {
        let started = Instant::now();
        let mut has_queried_peers = false;

        for _ in 0..LOOKUP_LIMIT {
            let chain = self.history.lock().chain(last, retention);
            let missing = match chain {
                TurnChain::Complete(chain) => return TurnSearch::Found(chain),
                TurnChain::Missing(missing) => missing,
            };

            if !has_queried_peers {
                has_queried_peers = true;
                let turns = self.mesh.find_turns(&missing).await;
                if !turns.is_empty() {
                    self.insert_turns(turns, retention);
                    continue;
                }
            }

            let batch = self.index.lock().batch(&missing);
            let result = match batch {
                Some(batch) => self.read_batch_or_list(&batch, &missing, retention).await,
                None => self.list_for(&missing, started).await,
            };

            match result {
                Ok(true) => (),
                Ok(false) => return TurnSearch::Absent,
                Err(error) => {
                    log::warn!(turn:% = missing; "the store can't be searched for a turn: {error}");
                    return TurnSearch::Unknown;
                }
            }
        }

        TurnSearch::Unknown
    }

    fn is_indexed(&self, turn: &Arc<str>) -> bool {
        self.index.lock().batch(turn).is_some()
    }

    fn insert_turns(&self, turns: Vec<HistoryTurn>, retention: Duration) {
        let mut history = self.history.lock();
        turns.into_iter().for_each(|turn| history.insert(Arc::new(turn), retention));
    }

    /// Lists what was recorded before `since` at least, and returns whether a batch has the turn. Fails if something that may
    /// have it could not be decoded.
    async fn list_for(&self, turn: &Arc<str>, since: Instant) -> Result<bool, StoreError> {
        let unreadable = self.list_batches(since).await?;

        match self.is_indexed(turn) {
            false if unreadable > 0 => {
                let reason = format!("{unreadable} records of turns can't be decoded");
                Err(StoreError::Unanswered { reason: reason.into() })
            }
            is_indexed => Ok(is_indexed),
        }
    }

    /// Reads a batch for the content of its turns. If it no longer has the turn, that may have been recorded again in
    /// another batch, so the records are listed again. Returns whether the search can go on.
    async fn read_batch_or_list(
        &self,
        name: &Arc<str>,
        turn: &Arc<str>,
        retention: Duration,
    ) -> Result<bool, StoreError> {
        if self.read_batch(name, turn, retention).await? {
            return Ok(true);
        }

        self.list_for(turn, Instant::now()).await
    }

    /// Reads a batch for the content of its turns, and keeps them in memory. Returns whether the turn is in it.
    async fn read_batch(
        &self,
        name: &Arc<str>,
        turn: &Arc<str>,
        retention: Duration,
    ) -> Result<bool, StoreError> {
        let Ok(_permit) = self.read_permits.acquire().await else {
            return Ok(false);
        };

        // Another search may have read the batch while this one waited for a permit.
        if matches!(self.history.lock().chain(turn, retention), TurnChain::Complete(_)) {
            return Ok(true);
        }

        let object = self.store.get(JOURNAL_KIND, name).await?;
        let turns = match &object {
            Some(object) => decode_batch(object)?.turns,
            None => Vec::new(),
        };

        if turns.iter().all(|it| it.id != *turn) {
            // The batch's object has been reused since it was listed, so its present content is merged with the next listing.
            self.index.lock().remove(turn, name);
            return Ok(false);
        }

        self.insert_turns(turns, retention);
        Ok(true)
    }

    /// Reads what is recorded and not read yet into the index and the ledger, unless the last reading was started at
    /// `since` or later: the indexes of all closed segments, and then the batches of each writer's open segment. Returns the
    /// number of indexes and batches that could not be decoded.
    pub(crate) async fn list_batches(&self, since: Instant) -> Result<usize, StoreError> {
        let mut last_listing = self.last_listing.lock().await;

        if let Some(listing) = last_listing.filter(|it| it.started >= since) {
            return Ok(listing.unreadable);
        }

        let started = Instant::now();
        let ReadingSummary { pages, unreadable } = self.read_records(ReadingScope::Turns).await?;

        log::info!(
            pages, unreadable, turns = self.index.lock().turn_count(), took_ms = started.elapsed().as_millis() as u64;
            "listed the recorded turns"
        );
        *last_listing = Some(TurnListing { started, unreadable });
        Ok(unreadable)
    }

    /// Reads the indexes and the open segments, as far as they have not been read before. Several readings may run at a time,
    /// each of which goes by its own listing.
    pub(super) async fn read_records(
        &self,
        scope: ReadingScope,
    ) -> Result<ReadingSummary, StoreError> {
        let started = Instant::now();
        let mut pages = PageReader::new(&*self.store, INDEX_KIND, None);
        let mut page_count = 0;
        let mut listing = IndexListing::default();

        while let Some(page) = pages.next().await? {
            page_count += 1;
            page.items.iter().for_each(|object| self.merge_index(object, &mut listing));
        }

        self.catalog.lock().retain(&listing.names);
        let IndexListing { names, positions, unreadable } = listing;
        let writers: HashSet<Arc<str>> = positions.keys().cloned().collect();
        self.mesh.retain_runs(&writers);

        let prefixes = positions.iter().map(|(writer, it)| segment_prefix(writer, it.position));
        self.segments.retain(&prefixes.map(Arc::from).collect());
        let mut segments = self.uncovered_segments(positions);
        let uncovered = segments.len();
        if scope == ReadingScope::Spends {
            segments = self.query_open_segments(segments).await;
        }
        log::info!(
            pages = page_count, indexes = names.len(), writers = writers.len(), uncovered, segments = segments.len(),
            unreadable, took_ms = started.elapsed().as_millis() as u64;
            "listed the indexes of recorded turns"
        );

        let segment_summaries: Vec<ReadingSummary> = stream::iter(segments)
            .map(|(writer, position)| async move {
                let summary = self.list_open_segment(&writer, position, scope).await?;
                if summary.unreadable == 0 {
                    self.readings.lock().record_segment(&writer, started);
                }
                Ok::<ReadingSummary, StoreError>(summary)
            })
            .buffer_unordered(CONCURRENT_SEGMENT_LIMIT)
            .try_collect()
            .await?;

        self.readings.lock().record_reading(started, Instant::now(), &writers);
        Ok(ReadingSummary {
            pages: page_count + segment_summaries.iter().map(|it| it.pages).sum::<usize>(),
            unreadable: unreadable
                + segment_summaries.iter().map(|it| it.unreadable).sum::<usize>(),
        })
    }

    /// Adds an index to a listing, and merges it if that was not done before.
    fn merge_index(&self, object: &StoredObject, listing: &mut IndexListing) {
        listing.names.insert(Arc::clone(&object.name));

        if let Some(entry) = self.catalog.lock().entry(&object.name) {
            listing.add(entry);
            return;
        }

        let Some(index) = object.decode::<SegmentIndex>() else {
            log::warn!(index:% = object.name; "the index of a segment can't be decoded");
            listing.unreadable += 1;
            return;
        };

        let entry = CatalogEntry::new(&index);
        self.ledger.lock().merge_recorded(&index.writer, &index.spends);
        self.index.lock().merge(index.batches);
        // Last, as another reading takes an index of the catalog for merged.
        self.catalog.lock().insert(&object.name, entry.clone());
        listing.add(entry);
    }

    /// Reads the batches of a writer's open segment: turns at the host that reads it for all, or here if that one does not
    /// answer. Each budget waits for a reading of spends, of few segments, so that one is not left to a host that may be busy:
    /// beside a lost host these readings took 1.3 s at others, at the median.
    async fn list_open_segment(
        &self,
        writer: &Arc<str>,
        position: SegmentPosition,
        scope: ReadingScope,
    ) -> Result<ReadingSummary, StoreError> {
        let prefix: Arc<str> = segment_prefix(writer, position.position).into();
        let shared = match scope {
            ReadingScope::Turns => self.mesh.query_segment(writer, &prefix).await,
            ReadingScope::Spends => None,
        };
        let summary = match shared {
            Some(summary) => summary,
            None => self.segments.read(&prefix).await?,
        };

        summary.batches.iter().for_each(|it| self.merge_batch(it, position));
        Ok(ReadingSummary {
            pages: summary.pages as usize,
            unreadable: summary.unreadable as usize,
        })
    }

    /// Merges a batch of an open segment into the index and the ledger, unless this revision was merged before. Objects of
    /// the segment that was at the same position before have lower numbers.
    fn merge_batch(&self, batch: &BatchSummary, position: SegmentPosition) {
        let mut index = self.index.lock();

        if index.is_read(&batch.name, batch.revision) {
            return;
        }

        if batch.number > position.last_number {
            self.ledger.lock().merge_recorded(&batch.writer, &batch.spends);

            for turn in &batch.turns {
                index.insert(&batch.name, Arc::clone(turn));
            }
        }

        index.mark_read(&batch.name, batch.revision);
    }
}

/// Decodes a batch with its content. One that can't be decoded may have any turn.
fn decode_batch(object: &StoredObject) -> Result<JournalBatch, StoreError> {
    object.decode().ok_or_else(|| {
        let reason = format!("the batch {} can't be decoded", object.name);
        StoreError::Unanswered { reason: reason.into() }
    })
}
