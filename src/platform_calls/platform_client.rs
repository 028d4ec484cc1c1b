//! Border to the platform's object API and to its list of hosts.

use std::{fmt::Debug, sync::Arc};

use async_trait::async_trait;
use bytes::Bytes;

use crate::{HostRecord, PlatformError};

/// Result of a conditional creation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CreateOutcome {
    Created,
    /// An object stands under this key, perhaps from an earlier try of the same creation.
    Exists,
}

/// The part of the platform that we use. Reads are linearizable, as the platform promises; its host list lags.
#[async_trait]
pub(crate) trait PlatformClient: Debug + Send + Sync {
    /// Creates an object if none stands under its key.
    async fn create(&self, key: &str, value: Bytes) -> Result<CreateOutcome, PlatformError>;

    /// Deletes an object; one that is not there counts as deleted.
    async fn delete(&self, key: &str) -> Result<(), PlatformError>;

    /// Reads an object.
    async fn get(&self, key: &str) -> Result<Option<Bytes>, PlatformError>;

    /// Lists the hosts that the platform knows.
    async fn hosts(&self) -> Result<Vec<HostRecord>, PlatformError>;

    /// Tells whether calls are let through at present.
    fn is_available(&self) -> bool;

    /// Lists all keys with a prefix that come after a key, in order.
    async fn list(&self, prefix: &str, after: &str) -> Result<Vec<Arc<str>>, PlatformError>;
}
