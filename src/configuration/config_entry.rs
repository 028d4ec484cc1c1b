//! One change of the configuration.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::WriterId;

/// A patch under its number, as the platform keeps it and as hosts pass it on. Numbers have no gaps.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ConfigEntry {
    pub(crate) number: u64,
    /// JSON merge patch against the configuration of the number before.
    pub(crate) patch: Arc<str>,
    /// Who wrote it, by which a writer whose answer was lost knows its own entry again.
    pub(crate) writer: WriterId,
    pub(crate) at_ms: u64,
}
