//! Finds turns that another host, or an earlier run of this one, has finished.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use parking_lot::Mutex;
use serde::Deserialize;
use tokio::{
    sync::Semaphore,
    time::{Duration, Instant},
};

use crate::entry::{
    BudgetLedger, ObjectStore, StoreError, StoredObject,
    batch_index::BatchIndex,
    budget_ledger::SpendRecord,
    page_reader::PageReader,
    peer_mesh::PeerMesh,
    segment_index::{INDEX_KIND, SegmentIndex, segment_prefix},
    turn_history::{HistoryTurn, TurnChain, TurnHistory},
    turn_journal::{JOURNAL_KIND, JournalBatch},
};

/// Most lookups, at peers and in the store, for the missing turns of one chain.
const LOOKUP_LIMIT: usize = 256;

/// Batches that are read concurrently. Each takes up to three times its size in memory while it is decoded.
const CONCURRENT_READ_LIMIT: usize = 3;

/// Result of a search for a chain of turns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum TurnSearch {
    Found(Vec<Arc<HistoryTurn>>),
    /// No batch that was recorded before the search has the turn, or the one that the index names has been overwritten.
    Absent,
    /// The store could not be searched, or the chain takes more than [`LOOKUP_LIMIT`] lookups.
    Unknown,
}

/// The part of a batch that the index and the ledger need. The turns' content is read again on demand.
#[derive(Deserialize)]
struct BatchSummary {
    number: u64,
    writer: Arc<str>,
    turns: Vec<TurnSummary>,
    spends: Vec<SpendRecord>,
}

#[derive(Deserialize)]
struct TurnSummary {
    id: Arc<str>,
}

/// Where a writer's open segment is, by its latest index.
#[derive(Clone, Copy, Debug, Default)]
struct SegmentPosition {
    sequence: u64,
    position: u32,
    /// Number of the last batch that an index covers.
    last_number: u64,
}

impl SegmentPosition {
    /// Takes the position from an index if that is the latest one so far.
    fn advance(&mut self, index: &SegmentIndex) {
        if index.sequence >= self.sequence {
            self.sequence = index.sequence;
            self.position = index.next_position;
            self.last_number = index.last_number;
        }
    }
}

/// Searches for turns in memory, then at the other hosts, then in the store.
#[derive(Debug)]
pub(crate) struct TurnLocator {
    pub(crate) store: Arc<dyn ObjectStore>,
    pub(crate) history: Arc<Mutex<TurnHistory>>,
    pub(crate) ledger: Arc<Mutex<BudgetLedger>>,
    pub(crate) mesh: Arc<PeerMesh>,
    index: Arc<Mutex<BatchIndex>>,
    /// Start of the last complete listing. Locked while one is running, so that concurrent searches share it.
    last_listing: tokio::sync::Mutex<Option<Instant>>,
    /// Limits the batches that are read concurrently, since they are large.
    read_permits: Semaphore,
    /// Start of the last listing of each host by [`TurnLocator::list_batches_of`].
    last_host_listings: tokio::sync::Mutex<HashMap<Arc<str>, Instant>>,
}

impl TurnLocator {
    pub(crate) fn new(
        store: Arc<dyn ObjectStore>,
        history: Arc<Mutex<TurnHistory>>,
        ledger: Arc<Mutex<BudgetLedger>>,
        mesh: Arc<PeerMesh>,
        index: Arc<Mutex<BatchIndex>>,
    ) -> Self {
        Self {
            store,
            history,
            ledger,
            mesh,
            index,
            last_listing: tokio::sync::Mutex::default(),
            read_permits: Semaphore::new(CONCURRENT_READ_LIMIT),
            last_host_listings: tokio::sync::Mutex::default(),
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
                None => self.list_batches(started).await.map(|()| self.is_indexed(&missing)),
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

        self.list_batches(Instant::now()).await?;
        Ok(self.is_indexed(turn))
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
        let batch = object.as_ref().and_then(StoredObject::decode::<JournalBatch>);
        let turns = batch.map(|batch| batch.turns).unwrap_or_default();
        let has_turn = turns.iter().any(|it| it.id == *turn);

        if !has_turn {
            // The batch's object has been reused since it was listed.
            self.index.lock().remove(turn, name);
            return Ok(false);
        }

        self.insert_turns(turns, retention);
        Ok(true)
    }

    /// Reads what is recorded and not read yet into the index and the ledger, unless the last reading was started at
    /// `since` or later: the indexes of all closed segments, and then the batches of each writer's open segment.
    pub(crate) async fn list_batches(&self, since: Instant) -> Result<(), StoreError> {
        let mut last_listing = self.last_listing.lock().await;

        if last_listing.is_some_and(|started| started >= since) {
            return Ok(());
        }

        let started = Instant::now();
        let pages = self.list_records(&[]).await?;

        log::info!(
            pages, turns = self.index.lock().turn_count(), took_ms = started.elapsed().as_millis() as u64;
            "listed the recorded turns"
        );
        *last_listing = Some(started);
        Ok(())
    }

    /// Reads the records again for the spends of unresponsive hosts, unless the last such reading for each of them was
    /// started at `since` or later. Returns false if they can't be read.
    pub(crate) async fn list_batches_of(&self, hosts: &[Arc<str>], since: Instant) -> bool {
        let mut last_listings = self.last_host_listings.lock().await;
        let is_recent =
            |host| last_listings.get(host).is_some_and(|started: &Instant| *started >= since);

        if hosts.iter().all(is_recent) {
            return true;
        }

        let started = Instant::now();

        if let Err(error) = self.list_records(hosts).await {
            log::warn!("the records of {} unresponsive hosts can't be read: {error}", hosts.len());
            return false;
        }

        last_listings.extend(hosts.iter().map(|host| (Arc::clone(host), started)));
        true
    }

    /// Lists the indexes, and the batches that no index covers. Records about runs of `unresponsive_hosts` replace lower
    /// reports of theirs, see [`BudgetLedger::merge_recorded`]. Returns the number of pages read.
    async fn list_records(&self, unresponsive_hosts: &[Arc<str>]) -> Result<usize, StoreError> {
        let mut pages = PageReader::new(&*self.store, INDEX_KIND, None);
        let mut page_count = 0;
        let mut open_segments: HashMap<Arc<str>, SegmentPosition> = HashMap::new();
        let mut listed = HashSet::new();

        while let Some(page) = pages.next().await? {
            page_count += 1;

            for object in &page.items {
                let Some(index) = object.decode::<SegmentIndex>() else {
                    log::warn!(index:% = object.name; "the index of a segment can't be decoded");
                    continue;
                };
                let position = open_segments.entry(Arc::clone(&index.writer)).or_default();
                position.advance(&index);
                listed.insert(Arc::clone(&object.name));
                self.merge_index(&object.name, &index, unresponsive_hosts);
            }
        }

        self.index.lock().retain_merged(&listed);

        for (writer, position) in open_segments {
            page_count += self.list_open_segment(&writer, position, unresponsive_hosts).await?;
        }

        Ok(page_count)
    }

    /// Merges an index that was not merged before. Its spends are merged again for unresponsive hosts.
    fn merge_index(&self, name: &Arc<str>, index: &SegmentIndex, unresponsive_hosts: &[Arc<str>]) {
        let mut batch_index = self.index.lock();
        let is_new = batch_index.mark_merged(name);

        if is_new {
            batch_index.merge(index.batches.clone());
        }
        drop(batch_index);

        if is_new || !unresponsive_hosts.is_empty() {
            let mut ledger = self.ledger.lock();
            ledger.merge_recorded(&index.writer, &index.spends, unresponsive_hosts);
        }
    }

    /// Reads the batches of a writer's open segment. Returns the number of pages read.
    async fn list_open_segment(
        &self,
        writer: &str,
        position: SegmentPosition,
        unresponsive_hosts: &[Arc<str>],
    ) -> Result<usize, StoreError> {
        let prefix: Arc<str> = segment_prefix(writer, position.position).into();
        let mut pages = PageReader::new(&*self.store, JOURNAL_KIND, Some(Arc::clone(&prefix)));
        let mut page_count = 0;

        while let Some(page) = pages.next().await? {
            page_count += 1;
            let in_segment = |object: &&StoredObject| object.name.starts_with(&*prefix);
            page.items
                .iter()
                .take_while(in_segment)
                .for_each(|object| self.merge_batch(object, position, unresponsive_hosts));

            if !page.items.last().is_some_and(|object| in_segment(&object)) {
                break;
            }
        }

        Ok(page_count)
    }

    /// Merges a batch of an open segment into the index and the ledger. Objects of the segment that was at the same
    /// position before have lower numbers. A revision that was read before is merged again for unresponsive hosts only.
    fn merge_batch(
        &self,
        object: &StoredObject,
        position: SegmentPosition,
        unresponsive_hosts: &[Arc<str>],
    ) {
        let mut index = self.index.lock();

        if unresponsive_hosts.is_empty() && index.is_read(&object.name, object.revision) {
            return;
        }

        let Some(batch) = object.decode::<BatchSummary>() else {
            log::warn!(batch:% = object.name; "a recorded batch can't be decoded");
            return;
        };

        index.mark_read(&object.name, object.revision);

        if batch.number <= position.last_number {
            return;
        }

        for turn in &batch.turns {
            index.insert(&object.name, Arc::clone(&turn.id));
        }

        drop(index);
        self.ledger.lock().merge_recorded(&batch.writer, &batch.spends, unresponsive_hosts);
    }
}
