//! Bodies and headers of responses to callers.

use axum::{
    Json,
    http::{HeaderValue, StatusCode},
    response::{IntoResponse, Response},
};
use serde_json::{Value, json};

use crate::{
    CallAnswer, Node, ProgramAnswer, ProgramEntry, ProgramHistory, ProgramStatus, RequestOutcome,
    TurnAnswer, interface::problem::OUTCOME_HEADER,
};

/// Header that contains the id of the answer's program. A chat completions request with it is that program's next turn.
pub(crate) const PROGRAM_HEADER: &str = "ragwortknot-program";

/// Header that contains the receipt of a turn that could not be written to the shard log.
const RECEIPT_HEADER: &str = "ragwortknot-receipt";

/// Header that states what makes the turn durable: the shard log, or a receipt that the caller keeps.
const DURABILITY_HEADER: &str = "ragwortknot-durability";

/// Builds the response for an answer, and counts the request as completed. `status` is the HTTP status of a response
/// that contains the status of a program.
pub(crate) fn answer_response(
    node: &Node,
    operation: &'static str,
    status: StatusCode,
    answer: ProgramAnswer,
) -> Response {
    node.metrics.count_request(operation, RequestOutcome::Completed);

    let mut response = match answer {
        ProgramAnswer::Call(answer) => call_response(&answer),
        ProgramAnswer::History(history) => Json(history_json(&history)).into_response(),
        ProgramAnswer::Problem(problem) => return problem.into_response(),
        ProgramAnswer::Status(program) => (status, Json(status_json(&program))).into_response(),
        ProgramAnswer::Turn(turn) => turn_response(&turn),
    };

    set_outcome(&mut response, RequestOutcome::Completed);
    response
}

/// Sets the header that states the outcome.
pub(crate) fn set_outcome(response: &mut Response, outcome: RequestOutcome) {
    if let Ok(value) = HeaderValue::from_str(&outcome.to_string()) {
        response.headers_mut().insert(OUTCOME_HEADER, value);
    }
}

/// Builds the response of a call. A body that isn't JSON is returned as a JSON string.
fn call_response(answer: &CallAnswer) -> Response {
    let body: Value = serde_json::from_str(&answer.body)
        .unwrap_or_else(|_| Value::String(answer.body.to_string()));

    Json(json!({ "status": answer.status, "body": body })).into_response()
}

fn status_json(status: &ProgramStatus) -> Value {
    json!({
        "program": status.program,
        "team": status.team,
        "model": status.model,
        "state": status.state,
        "end_reason": status.end_reason,
        "parent": status.parent,
        "children": status.children,
        "budget_tokens": status.budget_tokens,
        "spent_tokens": status.spent_tokens,
        "presumed_tokens": status.presumed_tokens,
        "reserved_tokens": status.reserved_tokens,
        "next": status.next_number,
        "durable": status.is_durable,
    })
}

fn history_json(history: &ProgramHistory) -> Value {
    let entries: Vec<Value> = history
        .entries
        .iter()
        .enumerate()
        .map(|(index, entry)| entry_json(index + 1, entry))
        .collect();

    json!({ "program": history.program, "entries": entries })
}

fn entry_json(number: usize, entry: &ProgramEntry) -> Value {
    match entry {
        ProgramEntry::Turn(turn) => {
            let messages: Vec<Value> = turn.messages.iter().map(|text| json_value(text)).collect();

            json!({
                "number": number,
                "kind": "turn",
                "messages": messages,
                "answer": json_value(&turn.answer),
                "usage": turn.usage,
            })
        }
        ProgramEntry::Call(call) => json!({
            "number": number,
            "kind": "call",
            "service": call.service,
            "repeatable": call.is_repeatable,
            "state": call.state,
        }),
    }
}

/// Parses stored JSON. Text that isn't valid JSON becomes `null`.
pub(crate) fn json_value(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_default()
}

/// Token usage in the format of the chat completions protocol.
pub(crate) fn usage_json(turn: &TurnAnswer) -> Value {
    json!({
        "prompt_tokens": turn.usage.prompt,
        "completion_tokens": turn.usage.completion,
        "total_tokens": turn.usage.total(),
        "prompt_tokens_details": { "cached_tokens": turn.usage.cached },
    })
}

/// Field `ragwortknot`, which extends the chat completions protocol.
pub(crate) fn extension_json(turn: &TurnAnswer) -> Value {
    let mut extension = json!({
        "program": turn.program,
        "number": turn.number,
        "outcome": RequestOutcome::Completed,
        "durability": turn.durability,
        "replayed": turn.is_replay,
    });

    if let Some(receipt) = &turn.receipt {
        extension["receipt"] = json!(receipt);
    }

    extension
}

/// Builds the response of a turn in the format of the chat completions protocol.
fn turn_response(turn: &TurnAnswer) -> Response {
    let body = json!({
        "id": format!("{}-{}", turn.program, turn.number),
        "object": "chat.completion",
        "created": 0,
        "model": turn.model,
        "choices": [{
            "index": 0,
            "message": json_value(&turn.message),
            "finish_reason": turn.finish_reason,
        }],
        "usage": usage_json(turn),
        "ragwortknot": extension_json(turn),
    });

    let mut response = Json(body).into_response();
    let headers = response.headers_mut();

    let turn_headers = [
        (DURABILITY_HEADER, Some(turn.durability.to_string())),
        (PROGRAM_HEADER, Some(turn.program.to_string())),
        (RECEIPT_HEADER, turn.receipt.as_ref().map(ToString::to_string)),
    ];

    for (name, value) in turn_headers {
        if let Some(value) = value.and_then(|it| HeaderValue::from_str(&it).ok()) {
            headers.insert(name, value);
        }
    }

    response
}
