//! Finds turns that another run of some host has finished.

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

/// Turns of one chain that are looked for one after the other at most.
const LOOKUP_LIMIT: usize = 256;

/// Batches that are read at once. Each takes up to three times its size in memory while it is decoded.
const READER_LIMIT: usize = 3;

/// Result of a search.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum TurnSearch {
    Found(Vec<Arc<HistoryTurn>>),
    /// Every batch that was recorded before the search has been read, and none has the turn.
    Absent,
    /// Not all places could be asked.
    Unknown,
}

/// What a listing needs of a batch; contents are read again when a turn is asked for.
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

/// Searches memory, then the other hosts, then the store.
#[derive(Debug)]
pub(crate) struct TurnLocator {
    pub(crate) store: Arc<dyn ObjectStore>,
    pub(crate) history: Arc<Mutex<TurnHistory>>,
    pub(crate) ledger: Arc<Mutex<BudgetLedger>>,
    pub(crate) mesh: Arc<PeerMesh>,
    index: Arc<Mutex<BatchIndex>>,
    /// Start of the last complete listing. Held while one is made, so that searches share it.
    listed: tokio::sync::Mutex<Option<Instant>>,
    /// Batches are large, so few are read at once.
    readers: Semaphore,
    /// Start of the last listing of single hosts.
    hosts_listed: tokio::sync::Mutex<HashMap<Arc<str>, Instant>>,
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
            listed: tokio::sync::Mutex::default(),
            readers: Semaphore::new(READER_LIMIT),
            hosts_listed: tokio::sync::Mutex::default(),
        }
    }

    /// Gives the chain that ends with a turn.
    pub(crate) async fn find(&self, last: &Arc<str>, retention: Duration) -> TurnSearch {
        let asked = Instant::now();
        let mut has_asked_peers = false;

        for _ in 0..LOOKUP_LIMIT {
            let chain = self.history.lock().chain(last, retention);
            let missing = match chain {
                TurnChain::Complete(chain) => return TurnSearch::Found(chain),
                TurnChain::Missing(missing) => missing,
            };

            if !has_asked_peers {
                has_asked_peers = true;
                let turns = self.mesh.find_turns(&missing).await;
                if !turns.is_empty() {
                    self.take_in(turns, retention);
                    continue;
                }
            }

            let batch = self.index.lock().batch(&missing);
            let result = match batch {
                Some(batch) => self.read_batch(&batch, &missing, retention).await,
                None => self.list_batches(asked).await.map(|()| self.is_indexed(&missing)),
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

    fn take_in(&self, turns: Vec<HistoryTurn>, retention: Duration) {
        let mut history = self.history.lock();
        turns.into_iter().for_each(|turn| history.insert(Arc::new(turn), retention));
    }

    /// Reads a batch again for its content. Gives whether the turn was in it.
    async fn read_batch(
        &self,
        name: &Arc<str>,
        turn: &Arc<str>,
        retention: Duration,
    ) -> Result<bool, StoreError> {
        let Ok(_permit) = self.readers.acquire().await else {
            return Ok(false);
        };

        // Another search may have read the batch in the meantime.
        if matches!(self.history.lock().chain(turn, retention), TurnChain::Complete(_)) {
            return Ok(true);
        }

        let object = self.store.get(JOURNAL_KIND, name).await?;
        let batch = object.as_ref().and_then(StoredObject::decode::<JournalBatch>);
        let turns = batch.map(|batch| batch.turns).unwrap_or_default();
        let is_there = turns.iter().any(|it| it.id == *turn);

        if !is_there {
            // The batch has been used again since it was listed.
            self.index.lock().remove(turn);
            return Ok(false);
        }

        self.take_in(turns, retention);
        Ok(true)
    }

    /// Reads all batches, unless somebody has begun to do so after `since`.
    pub(crate) async fn list_batches(&self, since: Instant) -> Result<(), StoreError> {
        let mut listed = self.listed.lock().await;

        if listed.is_some_and(|started| started >= since) {
            return Ok(());
        }

        let started = Instant::now();
        let pages = self.list_range(None, None, false).await?;

        log::info!(
            pages, turns = self.index.lock().turns(), took_ms = started.elapsed().as_millis() as u64;
            "listed the recorded turns"
        );
        *listed = Some(started);
        Ok(())
    }

    /// Reads the batches whose names come after `after` and not after `end`. Gives how many pages that took.
    async fn list_range(
        &self,
        after: Option<Arc<str>>,
        end: Option<Arc<str>>,
        is_silent: bool,
    ) -> Result<usize, StoreError> {
        let is_inside = |object: &StoredObject| end.as_ref().is_none_or(|end| object.name <= *end);
        let mut pages = PageReader::new(&*self.store, JOURNAL_KIND, after);
        let mut count = 0;

        while let Some(page) = pages.next().await? {
            count += 1;
            let inside = page.items.iter().take_while(|object| is_inside(object));
            inside.for_each(|object| self.learn_batch(object, is_silent));

            if !page.items.last().is_some_and(is_inside) {
                break;
            }
        }

        Ok(count)
    }

    /// Reads the batches of some hosts, unless that was begun after `since`. Gives whether all could be read.
    pub(crate) async fn list_hosts(&self, hosts: &[Arc<str>], since: Instant) -> bool {
        for host in hosts {
            let mut listed = self.hosts_listed.lock().await;

            if listed.get(host).is_some_and(|started| *started >= since) {
                continue;
            }

            let started = Instant::now();

            if let Err(error) = self.list_host(host).await {
                log::warn!(peer:% = host; "the records of a host can't be read: {error}");
                return false;
            }

            listed.insert(Arc::clone(host), started);
        }

        true
    }

    async fn list_host(&self, host: &Arc<str>) -> Result<(), StoreError> {
        // The slash comes right after the dot that ends the host's part of a name.
        let range = (format!("{host}."), format!("{host}/"));
        self.list_range(Some(range.0.into()), Some(range.1.into()), true).await?;
        Ok(())
    }

    fn learn_batch(&self, object: &StoredObject, is_silent: bool) {
        let mut index = self.index.lock();

        if !is_silent && index.is_read(&object.name, object.revision) {
            return;
        }

        let Some(batch) = object.decode::<BatchSummary>() else {
            log::warn!(batch:% = object.name; "a recorded batch can't be read");
            return;
        };

        index.set_read(&object.name, object.revision);
        for turn in &batch.turns {
            index.insert(&object.name, Arc::clone(&turn.id));
        }

        drop(index);
        self.ledger.lock().merge_recorded(&batch.writer, &batch.spends, is_silent);
    }
}
