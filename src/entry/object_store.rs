//! Border to the platform's store of versioned objects.

use std::{fmt::Debug, sync::Arc, time::Duration};

use async_trait::async_trait;
use derive_more::{Display, Error};
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

/// One object of the store. `content` is what its writer decides, `status` what the system reports about it.
#[derive(Clone, Debug)]
pub struct StoredObject {
    /// Name, unique within the object's kind.
    pub name: Arc<str>,
    /// Revision of the object's last change, by which writes are made conditional.
    pub revision: u64,
    /// Content as JSON text.
    pub content: Option<Arc<RawValue>>,
    /// Status as JSON text.
    pub status: Option<Arc<RawValue>>,
}

impl StoredObject {
    /// Content as JSON text; empty where there is none, which decodes to an error.
    pub fn content_text(&self) -> &str {
        self.content.as_ref().map_or("", |it| it.get())
    }

    /// Decodes the content, if it is what the caller expects.
    pub(crate) fn decode<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_str(self.content_text()).ok()
    }
}

/// A part of a listing, in the order of names.
#[derive(Clone, Debug)]
pub struct ObjectPage {
    /// Objects of this page.
    pub items: Vec<StoredObject>,
    /// Whether objects follow after the last one.
    pub has_more: bool,
    /// Revision of the store at which the page was read.
    pub store_revision: u64,
}

/// A change that a watch has reported.
#[derive(Clone, Debug)]
pub struct ObjectChange {
    /// The object after the change, or as it was last.
    pub object: StoredObject,
    /// Whether the object is gone.
    pub is_removed: bool,
}

/// What a watch has reported.
#[derive(Clone, Debug)]
pub struct WatchBatch {
    /// Changes in the order in which they were made; empty if the wait has run out.
    pub changes: Vec<ObjectChange>,
    /// Revision from which to go on.
    pub store_revision: u64,
}

/// How fresh a listing has to be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadFreshness {
    /// Everything acknowledged before the call is in it.
    Linearizable,
    /// It may be seconds old, and is cheaper.
    MayBeStale,
}

/// Result of a conditional write that the store has answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The object has the new content, at this revision.
    Written {
        /// Revision of the change.
        revision: u64,
    },
    /// The condition did not hold; nothing was changed.
    Conflict,
}

/// Why a call to the store has brought nothing.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum StoreError {
    /// The history that a watch asked for is gone; list again.
    #[display("the store no longer has the history that the watch asked for")]
    HistoryGone,
    /// The store has refused the call and done nothing.
    #[display("the store refused the call with status {status}")]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// No usable answer; a write may have been done, or may be done later.
    #[display("the store gave no usable answer: {reason}")]
    Unanswered {
        /// What went wrong.
        reason: Arc<str>,
    },
}

/// The part of the store that the system uses.
#[async_trait]
pub trait ObjectStore: Debug + Send + Sync {
    /// Lists objects of a kind whose names come after `after`.
    async fn list(
        &self,
        kind: &str,
        after: Option<&str>,
        freshness: ReadFreshness,
    ) -> Result<ObjectPage, StoreError>;

    /// Reads one object.
    async fn get(&self, kind: &str, name: &str) -> Result<Option<StoredObject>, StoreError>;

    /// Creates an object, unless one has its name.
    async fn create(
        &self,
        kind: &str,
        name: &str,
        content: &RawValue,
    ) -> Result<WriteOutcome, StoreError>;

    /// Replaces an object's content, if it still has the given revision.
    async fn replace(
        &self,
        kind: &str,
        name: &str,
        content: &RawValue,
        revision: u64,
    ) -> Result<WriteOutcome, StoreError>;

    /// Replaces an object's status, if it still has the given revision.
    async fn replace_status(
        &self,
        kind: &str,
        name: &str,
        status: &RawValue,
        revision: u64,
    ) -> Result<WriteOutcome, StoreError>;

    /// Removes an object, if it still has the given revision.
    async fn remove(
        &self,
        kind: &str,
        name: &str,
        revision: u64,
    ) -> Result<WriteOutcome, StoreError>;

    /// Waits for changes of a kind after a revision of the store.
    async fn watch(
        &self,
        kind: &str,
        after_revision: u64,
        wait: Duration,
    ) -> Result<WatchBatch, StoreError>;
}
