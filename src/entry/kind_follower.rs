//! Keeps a local picture of one kind of object up to date.

use std::{fmt::Debug, sync::Arc, time::Duration};

use crate::{
    BackoffPolicy,
    entry::{ObjectChange, ObjectStore, StoreError, StoredObject, page_reader::PageReader},
};

/// Longest time that one watch call waits. Each call is priced, so it is long; a silent connection is found by
/// keep-alive probes.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Pause between tries while the store does not answer. A change has to be in force within seconds of its
/// acknowledgement, so the limit is short.
const RETRY_BACKOFF: BackoffPolicy =
    BackoffPolicy { first: Duration::from_millis(40), limit: Duration::from_millis(400) };

/// Receiver of what a [`KindFollower`] learns. It decodes the objects.
pub trait ObjectListener: Debug + Send + Sync {
    /// Takes the whole kind as it stood at a moment after the call began.
    fn reset(&self, objects: Vec<StoredObject>);

    /// Takes one change.
    fn apply_change(&self, change: ObjectChange);

    /// Learns whether the store answers at present.
    fn set_available(&self, is_available: bool);
}

/// Lists a kind, then watches it, and lists again whenever the store has dropped the history in between.
#[derive(Clone, Debug)]
pub struct KindFollower {
    /// The store.
    pub store: Arc<dyn ObjectStore>,
    /// Kind of the objects.
    pub kind: &'static str,
    /// Who is told.
    pub listener: Arc<dyn ObjectListener>,
}

impl KindFollower {
    /// Follows the kind until the task is dropped.
    pub async fn run(self) {
        let mut attempt = 0;
        let mut position = None;

        loop {
            let result = match position {
                None => self.list_all().await,
                Some(revision) => self.watch_from(revision).await,
            };

            match result {
                Ok(revision) => {
                    if attempt > 0 {
                        log::info!(kind = self.kind, attempts = attempt; "the store answers again");
                        self.listener.set_available(true);
                    }
                    attempt = 0;
                    position = Some(revision);
                }
                Err(StoreError::HistoryGone) => {
                    log::info!(kind = self.kind; "the store has dropped the watched history, listing again");
                    position = None;
                }
                Err(error) => {
                    if attempt == 0 {
                        log::warn!(kind = self.kind; "the store can't be followed: {error}");
                        self.listener.set_available(false);
                    }
                    // Changes may have been made while nothing was heard, and a watch from the old position does not
                    // always say so.
                    position = None;
                    RETRY_BACKOFF.sleep(attempt).await;
                    attempt += 1;
                }
            }
        }
    }

    /// Lists the kind for the listener. Gives the revision from which to watch.
    pub(crate) async fn list_all(&self) -> Result<u64, StoreError> {
        let mut pages = PageReader::new(&*self.store, self.kind, None);
        let mut objects = Vec::new();
        let mut first_revision = None;

        while let Some(page) = pages.next().await? {
            // Later pages may miss changes to earlier ones, so the watch starts where the first page was read.
            first_revision.get_or_insert(page.store_revision);
            objects.extend(page.items);
        }

        let revision = first_revision.unwrap_or(0);
        log::info!(kind = self.kind, objects = objects.len(), revision; "listed a kind of the store");
        self.listener.reset(objects);
        Ok(revision)
    }

    async fn watch_from(&self, revision: u64) -> Result<u64, StoreError> {
        let batch = self.store.watch(self.kind, revision, WATCH_WAIT).await?;
        batch.changes.into_iter().for_each(|change| self.listener.apply_change(change));
        Ok(batch.store_revision.max(revision))
    }
}
