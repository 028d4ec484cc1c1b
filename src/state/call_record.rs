//! Record of a call to a plain service.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ModelName;

/// State of a call. One that was intended and has no result may or may not have run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum CallState {
    /// The call is in the log and may have been sent.
    Intended,
    /// The service responded.
    Finished { status: u16, body: Arc<str> },
    /// It can't be determined whether the call ran, and it is never sent again.
    Unknown,
}

/// A call in a program's history.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct CallRecord {
    pub(crate) service: ModelName,
    /// Hash of the request, which distinguishes a repeat from another request under the same number.
    pub(crate) fingerprint: u64,
    /// Whether the call may be sent more than once.
    pub(crate) is_repeatable: bool,
    pub(crate) state: CallState,
    /// Time of the intent, in milliseconds since the Unix epoch.
    pub(crate) at_ms: u64,
}
