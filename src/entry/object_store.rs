//! Interface to the platform's store of versioned objects.

use std::{fmt::Debug, sync::Arc, time::Duration};

use async_trait::async_trait;
use derive_more::{Display, Error};
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

/// Time within which a call that waits must fail once the connection on which it waits has gone silent. A host has to act
/// on what it has missed within three seconds, so this leaves one for another call.
pub const SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// One object of the store. Its writer sets `content`; the system reports `status`.
#[derive(Clone, Debug)]
pub struct StoredObject {
    /// Name, unique within the object's kind.
    pub name: Arc<str>,
    /// Revision of the object's last change, on which writes are conditional.
    pub revision: u64,
    /// Content as JSON text.
    pub content: Option<Arc<RawValue>>,
    /// Status as JSON text.
    pub status: Option<Arc<RawValue>>,
}

impl StoredObject {
    /// Returns the content as JSON text. Without content it is empty, which is invalid JSON, so that decoding fails.
    pub fn content_text(&self) -> &str {
        self.content.as_ref().map_or("", |it| it.get())
    }

    /// Decodes the content. Returns `None` if there is none or it does not fit the type.
    pub(crate) fn decode<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_str(self.content_text()).ok()
    }
}

/// One page of a listing, ordered by name.
#[derive(Clone, Debug)]
pub struct ObjectPage {
    /// Objects of the page.
    pub items: Vec<StoredObject>,
    /// Whether the listing has further objects.
    pub has_more: bool,
    /// Revision of the store at which the page was read.
    pub store_revision: u64,
}

/// A change that a watch reports.
#[derive(Clone, Debug)]
pub struct ObjectChange {
    /// The object after the change; a removed object as it was last.
    pub object: StoredObject,
    /// Whether the object was removed.
    pub is_removed: bool,
}

/// Response to a watch.
#[derive(Clone, Debug)]
pub struct WatchBatch {
    /// Changes in the order in which they were made; empty if none came within the wait.
    pub changes: Vec<ObjectChange>,
    /// Revision from which to watch next.
    pub store_revision: u64,
}

/// Consistency that a listing needs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadFreshness {
    /// The listing contains every write that was acknowledged before the call.
    Linearizable,
    /// The listing may be seconds old; the call is cheaper.
    MayBeStale,
}

/// Result of a conditional write to which the store responded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The write was applied.
    Written {
        /// Revision of the change.
        revision: u64,
    },
    /// The condition did not hold, so nothing was changed.
    Conflict,
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum StoreError {
    /// The store no longer has the history from which a watch was to start; the kind has to be listed again.
    #[display("the store no longer has the history that the watch asked for")]
    HistoryGone,
    /// The store refused the call and did nothing.
    #[display("the store refused the call with status {status}")]
    Refused {
        /// HTTP status of the response.
        status: u16,
    },
    /// There was no usable response. A write may have been applied, or may still be.
    #[display("the store gave no usable answer: {reason}")]
    Unanswered {
        /// What went wrong.
        reason: Arc<str>,
    },
}

impl StoreError {
    /// Whether the store will never take the same content: it is malformed or too large.
    pub(crate) fn is_rejection(&self) -> bool {
        matches!(self, Self::Refused { status: 400 | 413 | 422 })
    }
}

/// Operations of the store that the system uses.
#[async_trait]
pub trait ObjectStore: Debug + Send + Sync {
    /// Lists one page of a kind's objects, ordered by name: those whose names come after `after`, or the first ones.
    async fn list(
        &self,
        kind: &str,
        after: Option<&str>,
        freshness: ReadFreshness,
    ) -> Result<ObjectPage, StoreError>;

    /// Reads one object.
    async fn get(&self, kind: &str, name: &str) -> Result<Option<StoredObject>, StoreError>;

    /// Creates an object, unless the kind already has one by this name.
    async fn create(
        &self,
        kind: &str,
        name: &str,
        content: &RawValue,
    ) -> Result<WriteOutcome, StoreError>;

    /// Replaces an object's content if the object still has the given revision.
    async fn replace(
        &self,
        kind: &str,
        name: &str,
        content: &RawValue,
        revision: u64,
    ) -> Result<WriteOutcome, StoreError>;

    /// Replaces an object's status if the object still has the given revision.
    async fn replace_status(
        &self,
        kind: &str,
        name: &str,
        status: &RawValue,
        revision: u64,
    ) -> Result<WriteOutcome, StoreError>;

    /// Removes an object if it still has the given revision.
    async fn remove(
        &self,
        kind: &str,
        name: &str,
        revision: u64,
    ) -> Result<WriteOutcome, StoreError>;

    /// Waits up to `wait` for changes to objects of a kind after a revision of the store.
    async fn watch(
        &self,
        kind: &str,
        after_revision: u64,
        wait: Duration,
    ) -> Result<WatchBatch, StoreError>;
}
