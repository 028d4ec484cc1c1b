//! Streamed answers to callers.

use std::sync::Arc;

use axum::{
    body::{Body, Bytes},
    http::{HeaderValue, header},
    response::{IntoResponse, Response},
};
use futures_util::stream;
use serde_json::json;
use tokio::sync::mpsc;

use crate::{
    InFlightGuard, Node, Problem, ProblemKind, ProgramAnswer, ProgramEvent, RequestOutcome,
    TurnAnswer,
    interface::{
        answer_body::{json_value, own_json, set_outcome, usage_json},
        caller_api::no_answer,
    },
};

/// Passes a stream on as it arrives. Its last chunk comes after the turn is safe, and states the outcome.
pub(crate) fn stream_response(
    node: &Arc<Node>,
    first: ProgramEvent,
    events: mpsc::Receiver<ProgramEvent>,
) -> Response {
    let guard = InFlightGuard::new(node);
    let state =
        StreamState { first: Some(first), events, guard, has_parts: false, is_ended: false };

    let body = stream::unfold(state, |mut state| async move {
        let part = state.next().await?;
        Some((Ok::<_, std::convert::Infallible>(part), state))
    });

    let mut response = Body::from_stream(body).into_response();
    let content_type = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    set_outcome(&mut response, RequestOutcome::Pending);
    response
}

struct StreamState {
    first: Option<ProgramEvent>,
    events: mpsc::Receiver<ProgramEvent>,
    guard: InFlightGuard,
    has_parts: bool,
    is_ended: bool,
}

impl StreamState {
    async fn next(&mut self) -> Option<Bytes> {
        if self.is_ended {
            return None;
        }

        let event = match self.first.take() {
            Some(event) => Some(event),
            None => self.events.recv().await,
        };

        let (text, outcome) = match event {
            Some(ProgramEvent::Delta(chunk)) => {
                self.has_parts = true;
                return Some(format!("data: {chunk}\n\n").into());
            }
            Some(ProgramEvent::Answer(ProgramAnswer::Turn(turn))) if turn.is_stream_whole => {
                (closing_chunks(&turn, self.has_parts), RequestOutcome::Completed)
            }
            Some(ProgramEvent::Answer(ProgramAnswer::Turn(_))) => {
                (error_chunk(&left_behind()), RequestOutcome::Completed)
            }
            Some(ProgramEvent::Answer(ProgramAnswer::Problem(problem))) => {
                (error_chunk(&problem), problem.outcome)
            }
            Some(_) | None => (error_chunk(&no_answer()), RequestOutcome::Unknown),
        };

        self.is_ended = true;
        self.guard.node.metrics.count_request("turn", outcome);
        Some(text.into())
    }
}

fn left_behind() -> Problem {
    let detail = "the stream was read too slowly and has gaps; ask again under the same number";
    Problem {
        outcome: RequestOutcome::Completed,
        ..Problem::failed(ProblemKind::LimitReached, detail)
    }
}

/// Last chunks of a stream. An answer of which no part was streamed, as one that is given again, comes as one piece.
fn closing_chunks(turn: &TurnAnswer, has_parts: bool) -> String {
    let delta = if has_parts { json!({}) } else { json_value(&turn.message) };

    let chunk = json!({
        "id": format!("{}-{}", turn.program, turn.number),
        "object": "chat.completion.chunk",
        "created": 0,
        "model": turn.model,
        "choices": [{ "index": 0, "delta": delta, "finish_reason": turn.finish_reason }],
        "usage": usage_json(turn),
        "ragwortknot": own_json(turn),
    });

    format!("data: {chunk}\n\ndata: [DONE]\n\n")
}

fn error_chunk(problem: &Problem) -> String {
    let chunk = json!({
        "error": {
            "type": format!("urn:ragwortknot:problem:{}", problem.kind),
            "message": problem.detail,
            "outcome": problem.outcome,
            "retry_after_s": problem.retry_after_s,
        },
    });

    format!("data: {chunk}\n\n")
}
