//! A request for a slot as it is sent to a dispatcher.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tokio::time::{Duration, Instant};

use crate::entry::{
    PromptPart,
    dispatching::{NamedNumbers, dispatch_request::DispatchRequest, named_number},
    placement_request::PlacementRequest,
};

/// Name of the largest number of tokens in the response.
const COMPLETION_TOKENS: &str = "completion-tokens";

/// Name of the number that is 1 if the request may be sent again after it may have run.
const MAY_REPEAT: &str = "may-repeat";

/// A part of a prompt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct QueriedPart {
    pub(crate) id: u64,
    pub(crate) tokens: u64,
}

/// Content of a [`PlacementRequest`], with times as durations from the moment at which it is sent: hosts share no clock.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct PlacementQuery {
    /// Name of the host that asks.
    pub(crate) requester: Arc<str>,
    /// Data centre of the host that asks, from which the upstream will get the request.
    pub(crate) data_centre: Arc<str>,
    /// Id of the client's request.
    pub(crate) request: Arc<str>,
    pub(crate) route: Arc<str>,
    /// Team that the request belongs to, if teams are known.
    pub(crate) team: Option<Arc<str>>,
    pub(crate) service: Arc<str>,
    pub(crate) priority: u32,
    pub(crate) is_continuation: bool,
    /// Whether the request may wait in the dispatcher's queue.
    pub(crate) may_wait: bool,
    /// Time until the program should have finished, in microseconds; negative once that time has passed.
    pub(crate) finish_in_us: i64,
    /// Time until the request must have been answered, in microseconds.
    pub(crate) time_left_us: u64,
    /// Time for which the request has waited for a slot so far, also at other dispatchers, in microseconds.
    pub(crate) waited_us: u64,
    pub(crate) prompt_parts: Vec<QueriedPart>,
    pub(crate) prompt_tokens: u64,
    pub(crate) software_version: Option<Arc<str>>,
    pub(crate) excluded: Vec<Arc<str>>,
    /// Program of the request, if that states a finish time; scoped by team.
    pub(crate) program: Option<Arc<str>>,
    pub(crate) numbers: NamedNumbers,
}

impl PlacementQuery {
    pub(crate) fn encode(
        request: &DispatchRequest,
        requester: &Arc<str>,
        data_centre: &Arc<str>,
        now: Instant,
    ) -> Self {
        let placement = &request.placement;
        let parts = placement.prompt_parts.iter();

        Self {
            requester: Arc::clone(requester),
            data_centre: Arc::clone(data_centre),
            request: Arc::clone(&request.id),
            route: Arc::clone(&request.route),
            team: placement.team.clone(),
            service: Arc::clone(&placement.service),
            priority: placement.priority,
            is_continuation: placement.is_continuation,
            may_wait: request.may_wait,
            finish_in_us: signed_us(placement.finish_by, now),
            time_left_us: unsigned_us(placement.deadline.saturating_duration_since(now)),
            waited_us: unsigned_us(now.saturating_duration_since(request.waiting_since)),
            prompt_parts: parts.map(|it| QueriedPart { id: it.id, tokens: it.tokens }).collect(),
            prompt_tokens: placement.prompt_tokens,
            software_version: placement.software_version.clone(),
            excluded: placement.excluded.clone(),
            program: placement.program.clone(),
            numbers: vec![
                (COMPLETION_TOKENS.into(), positive(placement.completion_tokens)),
                (MAY_REPEAT.into(), i64::from(placement.may_repeat)),
            ],
        }
    }

    /// The request as the dispatcher's own pool takes it.
    pub(crate) fn decode(&self, now: Instant) -> PlacementRequest {
        let parts = self.prompt_parts.iter();

        PlacementRequest {
            service: Arc::clone(&self.service),
            route: Arc::clone(&self.route),
            request: Arc::clone(&self.request),
            team: self.team.clone(),
            program: self.program.clone(),
            priority: self.priority,
            is_continuation: self.is_continuation,
            finish_by: shifted(now, self.finish_in_us),
            deadline: later(now, self.time_left_us),
            prompt_parts: parts.map(|it| PromptPart { id: it.id, tokens: it.tokens }).collect(),
            prompt_tokens: self.prompt_tokens,
            completion_tokens: named_number(&self.numbers, COMPLETION_TOKENS).unwrap_or(0),
            // Requests of services without a prompt cache are placed by their own hosts.
            object: None,
            may_repeat: named_number(&self.numbers, MAY_REPEAT) == Some(1),
            software_version: self.software_version.clone(),
            excluded: self.excluded.clone(),
        }
    }
}

fn positive(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}

fn unsigned_us(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn signed_us(time: Instant, now: Instant) -> i64 {
    let until = unsigned_us(time.saturating_duration_since(now));
    let since = unsigned_us(now.saturating_duration_since(time));
    if until > 0 { positive(until) } else { -positive(since) }
}

/// Longest time that a peer's message may name, so that no sum of times overflows.
const MAX_TIME: Duration = Duration::from_hours(24);

fn later(now: Instant, us: u64) -> Instant {
    now + Duration::from_micros(us).min(MAX_TIME)
}

fn shifted(now: Instant, us: i64) -> Instant {
    if us >= 0 {
        return later(now, us.unsigned_abs());
    }

    // The clock may have begun later than that time.
    now.checked_sub(Duration::from_micros(us.unsigned_abs()).min(MAX_TIME)).unwrap_or(now)
}
