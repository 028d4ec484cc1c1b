//! An upstream as a candidate for a request.

use std::{borrow::Cow, sync::Arc};

use serde::{Deserialize, Serialize};

/// A named part of a cost.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CostTerm {
    /// Name of the cause.
    pub name: Cow<'static, str>,
    /// Cost, as an equivalent wait in milliseconds.
    pub ms: f64,
}

/// An upstream as a candidate for a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CandidateView {
    /// Id of the upstream.
    pub upstream: Arc<str>,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Its software version.
    pub software_version: Arc<str>,
    /// Requests on it, as this host knows them.
    pub load: u32,
    /// Its slots.
    pub slots: u32,
    /// Leading tokens of the prompt that it has, by what this host has sent there.
    pub cached_tokens: u64,
    /// Whether the request would be placed here.
    pub is_chosen: bool,
    /// What keeps it from the request now; empty if it may take it.
    pub obstacle: Cow<'static, str>,
    /// Why others go before it at any cost: `memory`, `backoff`, `unproven`, `may have left`.
    pub handicaps: Vec<Cow<'static, str>>,
    /// Whole cost, in milliseconds.
    pub cost_ms: f64,
    /// Parts of the cost.
    pub costs: Vec<CostTerm>,
}
