//! Numbered change of the configuration.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::WriterId;

/// A patch with its number, as stored in the platform and sent between hosts. Numbers have no gaps.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ConfigEntry {
    pub(crate) number: u64,
    /// JSON merge patch against the configuration with the previous number.
    pub(crate) patch: Arc<str>,
    /// Random identity of the write, by which a host that got no response recognises its entry.
    pub(crate) writer: WriterId,
    /// Time of the change, in milliseconds since the Unix epoch.
    pub(crate) at_ms: u64,
}
