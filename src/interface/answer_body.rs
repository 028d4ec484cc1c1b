//! Bodies and headers of answers to callers.

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

/// Header that names the program of an answer, and by which a plain client names its program.
pub(crate) const PROGRAM_HEADER: &str = "ragwortknot-program";

/// Header that carries the receipt of a turn that could not be logged.
const RECEIPT_HEADER: &str = "ragwortknot-receipt";

/// Header that says how safe an answer is.
const DURABILITY_HEADER: &str = "ragwortknot-durability";

/// Answers with what a request came to, and counts it.
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

pub(crate) fn set_outcome(response: &mut Response, outcome: RequestOutcome) {
    if let Ok(value) = HeaderValue::from_str(&outcome.to_string()) {
        response.headers_mut().insert(OUTCOME_HEADER, value);
    }
}

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

pub(crate) fn json_value(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_default()
}

pub(crate) fn usage_json(turn: &TurnAnswer) -> Value {
    json!({
        "prompt_tokens": turn.usage.prompt,
        "completion_tokens": turn.usage.completion,
        "total_tokens": turn.usage.total(),
        "prompt_tokens_details": { "cached_tokens": turn.usage.cached },
    })
}

pub(crate) fn own_json(turn: &TurnAnswer) -> Value {
    let mut own = json!({
        "program": turn.program,
        "number": turn.number,
        "outcome": RequestOutcome::Completed,
        "durability": turn.durability,
        "replayed": turn.is_replay,
    });

    if let Some(receipt) = &turn.receipt {
        own["receipt"] = json!(receipt);
    }

    own
}

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
        "ragwortknot": own_json(turn),
    });

    let mut response = Json(body).into_response();
    let headers = response.headers_mut();

    let named = [
        (DURABILITY_HEADER, Some(turn.durability.to_string())),
        (PROGRAM_HEADER, Some(turn.program.to_string())),
        (RECEIPT_HEADER, turn.receipt.as_ref().map(ToString::to_string)),
    ];

    for (name, value) in named {
        if let Some(value) = value.and_then(|it| HeaderValue::from_str(&it).ok()) {
            headers.insert(name, value);
        }
    }

    response
}
