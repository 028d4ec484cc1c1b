//! Reads the open segments of runs, once for all hosts that ask at the same time.
//!
//! After the loss of all hosts, each of them needs the turns and spends in every open segment, while the store's link carries
//! the content of all turns with them. So each segment is read by one host, which passes on what the others need of it. See
//! docs/design/recovery.md.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::{sync::Semaphore, time::Instant};

use crate::entry::{
    ObjectStore, StoreError, StoredObject, budget_ledger::SpendRecord, page_reader::PageReader,
    turn_journal::JOURNAL_KIND,
};

/// Open segments that are read concurrently. A page of up to 1 MB takes three times its size in memory while it is
/// decoded.
const CONCURRENT_READ_LIMIT: usize = 4;

/// What the index and the ledger need of a batch. The turns' content is read on demand.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct BatchSummary {
    /// Name of the batch's object in the store.
    pub(crate) name: Arc<str>,
    /// Revision at which the object was read.
    pub(crate) revision: u64,
    pub(crate) number: u64,
    pub(crate) writer: Arc<str>,
    pub(crate) turns: Vec<Arc<str>>,
    pub(crate) spends: Vec<SpendRecord>,
}

/// What one reading of a segment has found.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct SegmentSummary {
    pub(crate) batches: Vec<Arc<BatchSummary>>,
    /// Number of pages that were read.
    pub(crate) pages: u32,
    /// Number of batches that could not be decoded, each of which may have any turn.
    pub(crate) unreadable: u32,
}

/// A batch as it is stored, without the content of its turns.
#[derive(Deserialize)]
struct StoredBatch {
    number: u64,
    writer: Arc<str>,
    turns: Vec<StoredTurn>,
    spends: Vec<SpendRecord>,
}

#[derive(Deserialize)]
struct StoredTurn {
    id: Arc<str>,
}

/// Last reading of a segment.
#[derive(Clone, Debug)]
struct SegmentReading {
    started: Instant,
    summary: Arc<SegmentSummary>,
}

/// Locked while the segment is read.
type ReadingSlot = Arc<tokio::sync::Mutex<Option<SegmentReading>>>;

/// Reads segments from the store.
#[derive(Debug)]
pub(crate) struct SegmentReader {
    store: Arc<dyn ObjectStore>,
    slots: Mutex<HashMap<Arc<str>, ReadingSlot>>,
    permits: Semaphore,
}

impl SegmentReader {
    pub(crate) fn new(store: Arc<dyn ObjectStore>) -> Self {
        Self { store, slots: Mutex::default(), permits: Semaphore::new(CONCURRENT_READ_LIMIT) }
    }

    /// Returns the batches whose names begin with `prefix`, by a reading that began after the call. All that wait for the same
    /// segment share the next reading.
    pub(crate) async fn read(&self, prefix: &Arc<str>) -> Result<Arc<SegmentSummary>, StoreError> {
        let asked_at = Instant::now();
        let slot = Arc::clone(self.slots.lock().entry(Arc::clone(prefix)).or_default());
        let mut reading = slot.lock().await;

        if let Some(reading) = reading.as_ref().filter(|it| it.started >= asked_at) {
            return Ok(Arc::clone(&reading.summary));
        }

        let Ok(_permit) = self.permits.acquire().await else {
            return Err(StoreError::Unanswered { reason: "the host stops".into() });
        };
        let started = Instant::now();
        let known = reading.as_ref().map(|it| Arc::clone(&it.summary)).unwrap_or_default();
        let summary = Arc::new(self.read_pages(prefix, &known).await?);
        *reading = Some(SegmentReading { started, summary: Arc::clone(&summary) });
        Ok(summary)
    }

    /// Forgets the readings of other segments than these.
    pub(crate) fn retain(&self, prefixes: &HashSet<Arc<str>>) {
        self.slots.lock().retain(|prefix, _| prefixes.contains(prefix));
    }

    async fn read_pages(
        &self,
        prefix: &Arc<str>,
        known: &SegmentSummary,
    ) -> Result<SegmentSummary, StoreError> {
        let known: HashMap<&str, &Arc<BatchSummary>> =
            known.batches.iter().map(|batch| (&*batch.name, batch)).collect();
        let mut pages = PageReader::new(&*self.store, JOURNAL_KIND, Some(Arc::clone(prefix)));
        let mut summary = SegmentSummary::default();

        while let Some(page) = pages.next().await? {
            summary.pages += 1;
            let in_segment = |object: &&StoredObject| object.name.starts_with(&**prefix);

            for object in page.items.iter().take_while(in_segment) {
                let unchanged =
                    known.get(&*object.name).filter(|it| it.revision == object.revision);
                match unchanged.map(|it| Arc::clone(it)).or_else(|| summarize(object)) {
                    Some(batch) => summary.batches.push(batch),
                    None => summary.unreadable += 1,
                }
            }

            if !page.items.last().is_some_and(|object| in_segment(&object)) {
                break;
            }
        }

        Ok(summary)
    }
}

/// Summary of a batch; `None` if it can't be decoded.
fn summarize(object: &StoredObject) -> Option<Arc<BatchSummary>> {
    let Some(batch) = object.decode::<StoredBatch>() else {
        log::warn!(batch:% = object.name; "a recorded batch can't be decoded");
        return None;
    };

    Some(Arc::new(BatchSummary {
        name: Arc::clone(&object.name),
        revision: object.revision,
        number: batch.number,
        writer: batch.writer,
        turns: batch.turns.into_iter().map(|turn| turn.id).collect(),
        spends: batch.spends,
    }))
}
