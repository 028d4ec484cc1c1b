//! A request once its route is known, as the placement pool and an upstream see it.

use std::sync::Arc;

use bytes::Bytes;
use tokio::time::Instant;

use crate::entry::{
    EntryRequest, ServiceConfig, ServiceRoute, Team, TeamScope, UpstreamRequest,
    buffer_budget::BufferLease, host_load::StreamHolder, object_affinity::object_key::ObjectKey,
    placement_request::PlacementRequest, request_signature::RequestSignature,
    turn_history::HistoryTurn,
};

/// A request with its route, its service and its deadline.
#[derive(Debug)]
pub(crate) struct RoutedRequest {
    pub(crate) request: EntryRequest,
    pub(crate) route: Arc<ServiceRoute>,
    /// Team of the client's key.
    pub(crate) team: Option<Arc<Team>>,
    pub(crate) service: Arc<ServiceConfig>,
    /// Body to send: that of the request, preceded by the inputs and outputs of the turns that it continues.
    pub(crate) body: Bytes,
    /// Counts the body, if it is not that of the request.
    pub(crate) _body_lease: Option<BufferLease>,
    /// Identifies requests that crash upstreams.
    pub(crate) signature: RequestSignature,
    /// Latest time of the final response.
    pub(crate) deadline: Instant,
    /// The turns that the request continues, the oldest first.
    pub(crate) chain: Vec<Arc<HistoryTurn>>,
    /// Software version that has begun the request's stream. The stream may only go on at this version.
    pub(crate) software_version: Option<Arc<str>>,
}

impl RoutedRequest {
    /// Id of the program that the request belongs to, or an empty string.
    pub(crate) fn program_id(&self) -> &str {
        self.request.program.as_ref().map_or("", |program| &program.id)
    }

    /// Scope of the request's ids.
    pub(crate) fn scope(&self) -> TeamScope<'_> {
        TeamScope::new(self.team.as_ref())
    }

    /// Whose stream it is.
    pub(crate) fn holder(&self) -> StreamHolder {
        StreamHolder::new(&self.request, self.team.as_deref())
    }

    fn team_name(&self) -> Option<Arc<str>> {
        self.team.as_ref().map(|it| Arc::clone(&it.name))
    }

    /// What the request is about. Requests of a service with a prompt cache are placed by the parts of their prompts.
    fn object(&self) -> Option<ObjectKey> {
        let cookie =
            self.route.object_cookie.as_ref().filter(|_| self.service.cache_tokens == 0)?;
        ObjectKey::from_cookies(&self.request.headers, cookie)
    }

    /// The request as the placement pool sees it. `excluded` lists upstreams that must not get it.
    pub(crate) fn placement_request(&self, excluded: &[Arc<str>]) -> PlacementRequest {
        let program = self.request.program.as_ref().filter(|it| it.finish_by.is_some());
        let finish_by = program.and_then(|program| program.finish_by);

        PlacementRequest {
            service: Arc::clone(&self.service.name),
            route: Arc::clone(&self.route.name),
            request: Arc::clone(&self.request.id),
            team: self.team_name(),
            program: program.map(|it| self.scope().id(&it.id)),
            priority: self.team.as_ref().and_then(|it| it.priority).unwrap_or(self.route.priority),
            is_continuation: !self.chain.is_empty(),
            finish_by: finish_by.unwrap_or(self.deadline),
            deadline: self.deadline,
            prompt_parts: self.request.prompt_parts.clone(),
            prompt_tokens: self.request.prompt_tokens,
            completion_tokens: self.request.max_completion_tokens,
            object: self.object(),
            may_repeat: self.route.kind.is_retryable(),
            software_version: self.software_version.clone(),
            excluded: excluded.to_vec(),
        }
    }

    /// The request as it is sent to an upstream. `last_event_id` is the event after which a stream is to resume.
    pub(crate) fn upstream_request(&self, last_event_id: Option<Arc<str>>) -> UpstreamRequest {
        let now = Instant::now();

        UpstreamRequest {
            id: Arc::clone(&self.request.id),
            method: self.request.method.clone(),
            target: Arc::clone(&self.request.target),
            host: Arc::clone(&self.request.host),
            team: self.team_name(),
            headers: self.request.headers.clone(),
            body: self.body.clone(),
            time_left: Some(self.deadline.saturating_duration_since(now)),
            last_event_id: last_event_id.or_else(|| self.request.last_event_id.clone()),
            connection_limit: self.service.connection_limit,
        }
    }
}
