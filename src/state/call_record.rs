//! What is kept of a call to a plain service.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ModelName;

/// State of a call. An intent without a result means that the call may have run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum CallState {
    /// The intent is logged; the call may have been sent.
    Intended,
    /// The service answered.
    Finished { status: u16, body: Arc<str> },
    /// Nobody can tell whether the call ran, and it is never sent again.
    Unknown,
}

/// A call, under its number.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct CallRecord {
    pub(crate) service: ModelName,
    /// Hash of the request, by which a repeat is told from another request.
    pub(crate) fingerprint: u64,
    pub(crate) is_repeatable: bool,
    pub(crate) state: CallState,
    pub(crate) at_ms: u64,
}
