//! A dispatcher's grant.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::entry::dispatching::NamedNumbers;

/// The slot that a dispatcher has granted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct PlacementGrant {
    pub(crate) upstream: Arc<str>,
    /// Start of the upstream's process, in milliseconds since the Unix epoch, which tells its runs apart.
    pub(crate) started_at_ms: u64,
    /// Tokens of the prompt that the upstream should have cached.
    pub(crate) cached_tokens: u64,
    pub(crate) numbers: NamedNumbers,
}
