//! What becomes of a request, and why.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::entry::{
    EntryRefusal,
    explain::{CandidateView, ProgramExplanation, QueueForecast, QuotaExplanation},
};

/// What would become of a request now.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ExplainedOutcome {
    /// It would run on an upstream at once.
    Placed {
        /// Id of the upstream.
        upstream: Arc<str>,
    },
    /// It would wait for a slot.
    Queued,
    /// It would be rejected.
    Rejected {
        /// The rejection.
        refusal: EntryRefusal,
        /// Its reason, as the client gets it.
        reason: Arc<str>,
        /// Rule that rejects it.
        rule: Arc<str>,
    },
    /// Another scheduler would decide; see [`Explanation::dispatcher`].
    Dispatched,
}

/// The scheduler that places requests of the service for all schedulers of a region.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ExplainedDispatcher {
    /// Name of the scheduler; `None` if no scheduler is able to dispatch, so that this host places the request.
    pub host: Option<Arc<str>>,
    /// Whether this host decides.
    pub is_local: bool,
}

/// What would become of a request now, and why.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Explanation {
    /// The scheduler that explains.
    pub host: Arc<str>,
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Name of the route.
    pub route: Arc<str>,
    /// Name of the service.
    pub service: Arc<str>,
    /// Name of the team, if the request has one.
    pub team: Option<Arc<str>>,
    /// What would become of the request.
    pub outcome: ExplainedOutcome,
    /// Whether the outcome holds only if the owner of the team's quota grants a token, which this host does not hold.
    pub needs_token: bool,
    /// What the outcome depends on beyond what this host knows.
    pub notes: Vec<Arc<str>>,
    /// Who places the request, where one host does so for a region.
    pub dispatcher: Option<ExplainedDispatcher>,
    /// The team's quota, if it has one.
    pub quota: Option<QuotaExplanation>,
    /// The request's program, if it has one.
    pub program: Option<ProgramExplanation>,
    /// The queue of the service at this host.
    pub queue: QueueForecast,
    /// The service's upstreams: the chosen one first, then the others that may take the request, each by cost.
    pub candidates: Vec<CandidateView>,
}
