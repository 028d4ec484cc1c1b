//! Follows the objects of one kind in the store, by a listing and then by watches.

use std::{fmt::Debug, sync::Arc, time::Duration};

use crate::{
    BackoffPolicy,
    entry::{
        FollowGap, ObjectChange, ObjectStore, StoreError, StoreMonitor, StoredObject,
        object_store::SILENCE_LIMIT, page_reader::PageReader,
    },
};
use tokio::time::{Instant, sleep};

/// Time for which one watch call waits for changes. It is long because each call is priced; keep-alive probes detect
/// dead connections sooner.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Time between two watches after one that has reported changes. Each watch is a call that is priced, and changes often
/// come several at a time, as when the upstreams of a service are replaced; those that come in this time are reported
/// together. The first change after a calm time is reported at once.
const COALESCING_DELAY: Duration = Duration::from_millis(300);

/// Delays between attempts while calls to the store fail. Refused calls are priced as well. A delay ends when the monitor
/// finds that the store answers again; also without it, the limit and the timeout of a call let the host list again within
/// the time after which it counts as in contact with the store.
const RETRY_BACKOFF: BackoffPolicy =
    BackoffPolicy { first: Duration::from_millis(60), limit: Duration::from_secs(1) };

/// A listing of a whole kind. It contains every change that was acknowledged before the listing began.
#[derive(Clone, Debug)]
pub struct KindListing {
    /// All objects of the kind.
    pub objects: Vec<StoredObject>,
    /// Revision of the store at which the listing began. An object that is not listed did not exist then.
    pub revision: u64,
    /// Set if the kind could not be followed immediately before the listing.
    pub gap: Option<FollowGap>,
}

/// Receives and decodes the objects that a [`KindFollower`] reads.
pub trait ObjectListener: Debug + Send + Sync {
    /// Receives a listing of the whole kind.
    fn reset(&self, listing: KindListing);

    /// Applies one change that was made after the last listing began. The listing may already contain it.
    fn apply_change(&self, change: ObjectChange);

    /// Called when calls to the store begin to fail, and when they succeed again.
    fn set_available(&self, is_available: bool);
}

/// Lists a kind, then watches it. Lists it again after a failed call, and when the store no longer has the history from
/// which to watch.
#[derive(Clone, Debug)]
pub struct KindFollower {
    /// Store to read from.
    pub store: Arc<dyn ObjectStore>,
    /// Kind of the objects.
    pub kind: &'static str,
    /// Receiver of listings and changes.
    pub listener: Arc<dyn ObjectListener>,
    /// Tells when a watch may have been lost.
    pub monitor: StoreMonitor,
}

impl KindFollower {
    /// Follows the kind until the task is dropped.
    pub async fn run(self) {
        let mut attempt = 0;
        let mut watch_revision = None;
        let mut last_contact = Instant::now();
        let mut gap = None;
        let mut ended_gaps = self.monitor.ended_gaps();

        loop {
            let called_at = Instant::now();
            let result = match watch_revision {
                None => self.list_all(gap).await,
                Some(revision) => {
                    ended_gaps.mark_unchanged();
                    tokio::select! {
                        result = self.watch_from(revision) => result,
                        Ok(()) = ended_gaps.changed() => {
                            log::info!(kind = self.kind, revision; "the watch may have been lost while the store was silent, listing again");
                            gap = *ended_gaps.borrow_and_update();
                            watch_revision = None;
                            continue;
                        }
                    }
                }
            };
            let now = Instant::now();

            match result {
                Ok(revision) => {
                    if attempt > 0 {
                        log::info!(
                            kind = self.kind, attempts = attempt,
                            without_contact_ms = (now - last_contact).as_millis() as u64;
                            "the store answers again"
                        );
                        self.listener.set_available(true);
                    }
                    attempt = 0;
                    gap = None;
                    last_contact = now;
                    watch_revision = Some(revision);
                }
                Err(StoreError::HistoryGone) => {
                    log::info!(kind = self.kind; "the store no longer has the watched history, listing again");
                    last_contact = now;
                    watch_revision = None;
                }
                Err(error) => {
                    let mut last_failure = called_at;
                    if watch_revision.is_some() {
                        // A watch that waits fails soon after its connection has gone silent, so there was contact until then.
                        last_failure =
                            called_at.max(now.checked_sub(SILENCE_LIMIT).unwrap_or(called_at));
                        last_contact = last_failure;
                    }
                    gap = Some(FollowGap { last_contact, last_failure });

                    if attempt == 0 {
                        log::warn!(
                            kind = self.kind, waited_ms = (now - called_at).as_millis() as u64;
                            "the store can't be followed: {error}"
                        );
                        self.listener.set_available(false);
                    }
                    // A watch from the old revision does not always report the changes that were made while the store
                    // did not answer, so the kind is listed again.
                    watch_revision = None;
                    let backoff = RETRY_BACKOFF.sleep(attempt);
                    if let Some(ended) = self.monitor.wait_to_retry(&mut ended_gaps, backoff).await
                    {
                        last_failure = last_failure.max(ended.last_failure);
                        gap = Some(FollowGap { last_contact, last_failure });
                    }
                    attempt += 1;
                }
            }
        }
    }

    /// Lists the kind and passes it to the listener. Returns the revision from which to watch.
    pub(crate) async fn list_all(&self, gap: Option<FollowGap>) -> Result<u64, StoreError> {
        let mut pages = PageReader::new(&*self.store, self.kind, None);
        let mut objects = Vec::new();
        let mut first_revision = None;

        while let Some(page) = pages.next().await? {
            // Later pages miss changes to objects of earlier ones, so the watch starts at the first page's revision.
            first_revision.get_or_insert(page.store_revision);
            objects.extend(page.items);
        }

        let revision = first_revision.unwrap_or(0);
        log::info!(kind = self.kind, objects = objects.len(), revision; "listed all objects of a kind");
        self.listener.reset(KindListing { objects, revision, gap });
        Ok(revision)
    }

    async fn watch_from(&self, revision: u64) -> Result<u64, StoreError> {
        let batch = self.store.watch(self.kind, revision, WATCH_TIMEOUT).await?;
        let has_changes = !batch.changes.is_empty();
        batch.changes.into_iter().for_each(|change| self.listener.apply_change(change));

        if has_changes {
            sleep(COALESCING_DELAY).await;
        }

        Ok(batch.store_revision.max(revision))
    }
}
