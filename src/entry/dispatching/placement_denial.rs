//! A dispatcher's refusal.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tokio::time::Duration;

use crate::entry::{
    dispatching::NamedNumbers,
    placement_request::{NO_UPSTREAM, NO_USABLE_UPSTREAM, PlacementRefusal},
};

/// Texts of refusals that a requester passes on to its client, as a dispatcher's pool states them.
const KNOWN_REASONS: [&str; 6] = [
    "the new program would not end in time",
    "no upstream became free in time",
    "the queue is too long",
    NO_USABLE_UPSTREAM,
    NO_UPSTREAM,
    "no upstream is free now",
];

/// Text for a client in place of one that this build does not know. The log has the dispatcher's own text.
const OTHER_REASON: &str = "the dispatcher of the region refuses the request";

/// Longest time after which a refused client is asked to retry, so that no message of a peer keeps clients away for long.
const MAX_RETRY_AFTER: Duration = Duration::from_mins(1);

/// What a refusal says.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum DenialKind {
    /// The host does not dispatch now, so that another one has to be asked.
    NotReady,
    /// The request gets no slot.
    Refused,
}

/// Why a dispatcher grants no slot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct PlacementDenial {
    pub(crate) kind: DenialKind,
    pub(crate) reason: Arc<str>,
    /// Time after which a retry may succeed, in microseconds.
    pub(crate) retry_after_us: u64,
    pub(crate) numbers: NamedNumbers,
}

impl PlacementDenial {
    /// States that the host does not dispatch now.
    pub(crate) fn not_ready(reason: &str) -> Self {
        let numbers = NamedNumbers::new();
        Self { kind: DenialKind::NotReady, reason: reason.into(), retry_after_us: 0, numbers }
    }

    /// States that a request gets no slot.
    pub(crate) fn refused(refusal: &PlacementRefusal) -> Self {
        Self {
            kind: DenialKind::Refused,
            reason: refusal.reason.into(),
            retry_after_us: refusal.retry_after.as_micros() as u64,
            numbers: NamedNumbers::new(),
        }
    }

    /// The refusal as a label of a metric.
    pub(crate) fn label(&self) -> &'static str {
        match self.kind {
            DenialKind::NotReady => "not_ready",
            DenialKind::Refused => "refused",
        }
    }

    /// The refusal as this host's own pool would state it.
    pub(crate) fn decode(&self) -> PlacementRefusal {
        let known = KNOWN_REASONS.iter().find(|it| ***it == *self.reason);
        let retry_after = Duration::from_micros(self.retry_after_us).min(MAX_RETRY_AFTER);
        PlacementRefusal { reason: known.copied().unwrap_or(OTHER_REASON), retry_after }
    }
}
