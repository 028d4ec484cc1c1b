//! Streamed responses to callers, as server-sent events.

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
        answer_body::{extension_json, json_value, set_outcome, usage_json},
        caller_api::no_answer,
    },
};

/// Builds a response that forwards the chunks of a turn as they arrive. The last chunk states the outcome, since the
/// header is sent before it is determined. It is sent only after the turn is logged or a receipt is issued.
pub(crate) fn stream_response(
    node: &Arc<Node>,
    first: ProgramEvent,
    events: mpsc::Receiver<ProgramEvent>,
) -> Response {
    let guard = InFlightGuard::new(node);
    let state =
        StreamState { first: Some(first), events, guard, has_chunks: false, is_ended: false };

    let body = stream::unfold(state, |mut state| async move {
        let bytes = state.next().await?;
        Some((Ok::<_, std::convert::Infallible>(bytes), state))
    });

    let mut response = Body::from_stream(body).into_response();
    let content_type = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    set_outcome(&mut response, RequestOutcome::Pending);
    response
}

/// State of one streamed response.
struct StreamState {
    /// Event that was received before the stream began, until it is forwarded.
    first: Option<ProgramEvent>,
    events: mpsc::Receiver<ProgramEvent>,
    guard: InFlightGuard,
    /// Whether a chunk of the answer was forwarded.
    has_chunks: bool,
    is_ended: bool,
}

impl StreamState {
    /// Returns the next bytes of the body. The last ones contain the outcome, which is then counted.
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
                self.has_chunks = true;
                return Some(format!("data: {chunk}\n\n").into());
            }
            Some(ProgramEvent::Answer(ProgramAnswer::Turn(turn))) if turn.is_stream_whole => {
                (final_chunks(&turn, self.has_chunks), RequestOutcome::Completed)
            }
            Some(ProgramEvent::Answer(ProgramAnswer::Turn(_))) => {
                (error_chunk(&slow_reader_problem()), RequestOutcome::Completed)
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

/// Problem of a stream whose caller read so slowly that chunks were dropped. The turn itself has completed.
fn slow_reader_problem() -> Problem {
    let detail = "the stream was read too slowly and has gaps; ask again under the same number";
    Problem {
        outcome: RequestOutcome::Completed,
        ..Problem::failed(ProblemKind::LimitReached, detail)
    }
}

/// Builds the last chunks of a stream. If none was streamed before, as for a replayed answer, they contain the whole
/// message.
fn final_chunks(turn: &TurnAnswer, has_chunks: bool) -> String {
    let delta = if has_chunks { json!({}) } else { json_value(&turn.message) };

    let chunk = json!({
        "id": format!("{}-{}", turn.program, turn.number),
        "object": "chat.completion.chunk",
        "created": 0,
        "model": turn.model,
        "choices": [{ "index": 0, "delta": delta, "finish_reason": turn.finish_reason }],
        "usage": usage_json(turn),
        "ragwortknot": extension_json(turn),
    });

    format!("data: {chunk}\n\ndata: [DONE]\n\n")
}

/// Builds the chunk that ends a failed stream.
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
