//! Finds turns that another host, or an earlier run of this one, has finished.

use std::{collections::HashMap, sync::Arc};

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
    writer: Arc<str>,
    turns: Vec<TurnSummary>,
    spends: Vec<SpendRecord>,
}

#[derive(Deserialize)]
struct TurnSummary {
    id: Arc<str>,
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
                Some(batch) => self.read_batch(&batch, &missing, retention).await,
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
            self.index.lock().remove(turn);
            return Ok(false);
        }

        self.insert_turns(turns, retention);
        Ok(true)
    }

    /// Lists all batches, and merges them into the index and the ledger, unless the last listing was started at `since`
    /// or later.
    pub(crate) async fn list_batches(&self, since: Instant) -> Result<(), StoreError> {
        let mut last_listing = self.last_listing.lock().await;

        if last_listing.is_some_and(|started| started >= since) {
            return Ok(());
        }

        let started = Instant::now();
        let pages = self.list_range(None, None, false).await?;

        log::info!(
            pages, turns = self.index.lock().turn_count(), took_ms = started.elapsed().as_millis() as u64;
            "listed the recorded turns"
        );
        *last_listing = Some(started);
        Ok(())
    }

    /// Lists the batches whose names come after `after`, up to `end`. `is_unresponsive` says that the hosts which
    /// wrote them do not respond. Returns the number of pages read.
    async fn list_range(
        &self,
        after: Option<Arc<str>>,
        end: Option<Arc<str>>,
        is_unresponsive: bool,
    ) -> Result<usize, StoreError> {
        let is_in_range =
            |object: &StoredObject| end.as_ref().is_none_or(|end| object.name <= *end);
        let mut pages = PageReader::new(&*self.store, JOURNAL_KIND, after);
        let mut page_count = 0;

        while let Some(page) = pages.next().await? {
            page_count += 1;
            let in_range = page.items.iter().take_while(|object| is_in_range(object));
            in_range.for_each(|object| self.merge_batch(object, is_unresponsive));

            if !page.items.last().is_some_and(is_in_range) {
                break;
            }
        }

        Ok(page_count)
    }

    /// Lists the batches of unresponsive hosts, except where the last listing was started at `since` or later.
    /// Returns false as soon as one can't be listed.
    pub(crate) async fn list_batches_of(&self, hosts: &[Arc<str>], since: Instant) -> bool {
        for host in hosts {
            let mut last_listings = self.last_host_listings.lock().await;

            if last_listings.get(host).is_some_and(|started| *started >= since) {
                continue;
            }

            let started = Instant::now();

            if let Err(error) = self.list_host_batches(host).await {
                log::warn!(peer:% = host; "the records of a host can't be read: {error}");
                return false;
            }

            last_listings.insert(Arc::clone(host), started);
        }

        true
    }

    async fn list_host_batches(&self, host: &Arc<str>) -> Result<(), StoreError> {
        // Names begin with the host and a dot, and the slash is the character after the dot.
        let range = (format!("{host}."), format!("{host}/"));
        self.list_range(Some(range.0.into()), Some(range.1.into()), true).await?;
        Ok(())
    }

    /// Merges a listed batch into the index and the ledger. A revision that was read before is skipped, unless its host
    /// is unresponsive: its records then replace lower reports, see [`BudgetLedger::merge_recorded`].
    fn merge_batch(&self, object: &StoredObject, is_unresponsive: bool) {
        let mut index = self.index.lock();

        if !is_unresponsive && index.is_read(&object.name, object.revision) {
            return;
        }

        let Some(batch) = object.decode::<BatchSummary>() else {
            log::warn!(batch:% = object.name; "a recorded batch can't be decoded");
            return;
        };

        index.mark_read(&object.name, object.revision);
        for turn in &batch.turns {
            index.insert(&object.name, Arc::clone(&turn.id));
        }

        drop(index);
        self.ledger.lock().merge_recorded(&batch.writer, &batch.spends, is_unresponsive);
    }
}
