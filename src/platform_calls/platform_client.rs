//! Interface to the platform's object API and host list.

use std::{fmt::Debug, sync::Arc};

use async_trait::async_trait;
use bytes::Bytes;

use crate::{HostRecord, PlatformError};

/// Result of creating an object on condition that it does not exist.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CreateOutcome {
    Created,
    /// There is an object with this key already, possibly from an earlier attempt whose response was lost.
    Exists,
}

/// The platform's operations that hosts use. The platform guarantees linearizable reads of objects; its host list lags
/// behind.
#[async_trait]
pub(crate) trait PlatformClient: Debug + Send + Sync {
    /// Creates an object unless there is one with its key. After an error it may or may not have been created.
    async fn create(&self, key: &str, value: Bytes) -> Result<CreateOutcome, PlatformError>;

    /// Deletes an object. Deleting one that does not exist succeeds.
    async fn delete(&self, key: &str) -> Result<(), PlatformError>;

    /// Reads an object. Returns `None` if it does not exist.
    async fn get(&self, key: &str) -> Result<Option<Bytes>, PlatformError>;

    /// Lists the hosts of the platform.
    async fn hosts(&self) -> Result<Vec<HostRecord>, PlatformError>;

    /// Whether calls are made at present. False while a circuit breaker is open.
    fn is_available(&self) -> bool;

    /// Lists all keys that begin with `prefix` and are greater than `after`, in order.
    async fn list(&self, prefix: &str, after: &str) -> Result<Vec<Arc<str>>, PlatformError>;
}
