//! Requests that have crashed upstreams, in the store, so that they are still refused after the loss of all hosts.
//!
//! See docs/design/platform.md, "Requests that crash upstreams".

use std::sync::Arc;

use serde_json::value::to_raw_value;
use tokio::time::Duration;

use crate::{
    BackoffPolicy, CrashNote,
    entry::{ObjectStore, StoreError, StoredObject, WriteOutcome, page_reader::PageReader},
};

/// Object kind of the records.
pub(crate) const CRASH_RECORD_KIND: &str = "request-crashes";

/// Number of objects that hold records. A further record replaces an older one, so that nothing has to be deleted.
const SLOT_COUNT: u64 = 64;

/// Backoff between attempts to write a record.
const WRITE_BACKOFF: BackoffPolicy =
    BackoffPolicy { first: Duration::from_millis(100), limit: Duration::from_secs(2) };

/// The recorded crashes of requests that are refused, one object for each of them.
#[derive(Clone, Debug)]
pub(crate) struct CrashRecords {
    store: Arc<dyn ObjectStore>,
}

impl CrashRecords {
    pub(crate) fn new(store: Arc<dyn ObjectStore>) -> Self {
        Self { store }
    }

    /// Reads all records.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer or refuses the call.
    pub(crate) async fn read(&self) -> Result<Vec<CrashNote>, StoreError> {
        let mut pages = PageReader::new(&*self.store, CRASH_RECORD_KIND, None);
        let mut notes = Vec::new();

        while let Some(page) = pages.next().await? {
            let decode = |object: &StoredObject| object.decode::<Vec<CrashNote>>();
            notes.extend(page.items.iter().filter_map(decode).flatten());
        }

        Ok(notes)
    }

    /// Writes what is known of one request's crashes, as often as it takes.
    pub(crate) async fn write(self, notes: Vec<CrashNote>) {
        let Some(fingerprint) = notes.first().map(|it| it.fingerprint) else {
            return;
        };
        let name = format!("{:02}", fingerprint % SLOT_COUNT);
        let mut attempt = 0;

        loop {
            match self.try_write(&name, &notes).await {
                Ok(WriteOutcome::Written { .. }) => {
                    log::info!(fingerprint, runs = notes.len(); "the crashes of a request are recorded");
                    return;
                }
                Ok(WriteOutcome::Conflict) => (),
                Err(error) => {
                    log::warn!(fingerprint; "the crashes of a request can't be recorded yet: {error}");
                }
            }

            WRITE_BACKOFF.sleep(attempt).await;
            attempt += 1;
        }
    }

    async fn try_write(&self, name: &str, notes: &[CrashNote]) -> Result<WriteOutcome, StoreError> {
        let Ok(content) = to_raw_value(notes) else {
            return Ok(WriteOutcome::Conflict);
        };

        match self.store.get(CRASH_RECORD_KIND, name).await? {
            Some(object) => {
                self.store.replace(CRASH_RECORD_KIND, name, &content, object.revision).await
            }
            None => self.store.create(CRASH_RECORD_KIND, name, &content).await,
        }
    }
}
