//! Iteration over a listing, page by page.

use std::sync::Arc;

use crate::entry::{ObjectPage, ObjectStore, ReadFreshness, StoreError};

/// Lists the objects of one kind, ordered by name.
#[derive(Debug)]
pub(crate) struct PageReader<'a> {
    store: &'a dyn ObjectStore,
    kind: &'a str,
    after: Option<Arc<str>>,
    is_done: bool,
}

impl<'a> PageReader<'a> {
    /// Creates a reader of the objects whose names come after `after`, or of all.
    pub(crate) fn new(store: &'a dyn ObjectStore, kind: &'a str, after: Option<Arc<str>>) -> Self {
        Self { store, kind, after, is_done: false }
    }

    /// Reads the next page. Returns `None` after the last one.
    pub(crate) async fn next(&mut self) -> Result<Option<ObjectPage>, StoreError> {
        if self.is_done {
            return Ok(None);
        }

        let after = self.after.as_deref();
        let page = self.store.list(self.kind, after, ReadFreshness::Linearizable).await?;
        self.after = page.items.last().map(|object| Arc::clone(&object.name));
        self.is_done = !page.has_more || page.items.is_empty();
        Ok(Some(page))
    }
}
