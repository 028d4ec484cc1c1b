//! Parses and validates the request bodies of callers.

use std::{collections::BTreeMap, sync::Arc};

use serde::Deserialize;
use serde_json::value::RawValue;

use crate::{CallRequest, ModelName, Problem, ProblemKind, TurnRequest};

/// Fields of a chat-completions body that the engine doesn't get from the caller: the host consumes them or sets its
/// own values. All others go to the engine unchanged.
const RESERVED_FIELDS: [&str; 8] = [
    "max_completion_tokens",
    "max_tokens",
    "messages",
    "model",
    "prompt_cache_key",
    "ragwortknot",
    "stream",
    "stream_options",
];

/// Most choices that a caller may request. A program's history holds one answer for each turn.
const MAX_CHOICES: u64 = 1;

/// Body of `POST /v1/programs`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct CreateBody {
    pub(crate) model: ModelName,
    pub(crate) budget_tokens: u64,
    #[serde(default)]
    pub(crate) deadline_s: Option<u64>,
    #[serde(default)]
    pub(crate) parent: Option<String>,
}

/// Body of `POST /v1/programs/{program}/calls/{n}`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct CallBody {
    service: ModelName,
    path: Arc<str>,
    #[serde(default)]
    body: Option<Box<RawValue>>,
    #[serde(default)]
    repeatable: bool,
}

/// The `ragwortknot` object of a chat-completions body: this project's extension of the protocol.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct OwnExtension {
    #[serde(default)]
    receipts: Vec<Arc<str>>,
}

/// Body of `POST /v1/chat/completions` and of `POST /v1/programs/{program}/turns/{n}`.
#[derive(Debug, Deserialize)]
struct ChatBody<'a> {
    #[serde(borrow)]
    messages: Vec<&'a RawValue>,
    #[serde(default)]
    model: Option<ModelName>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    n: Option<u64>,
    #[serde(default)]
    ragwortknot: OwnExtension,
    #[serde(default)]
    stream: bool,
}

/// A parsed chat-completions body: the turn, and the model that it names.
#[derive(Debug)]
pub(crate) struct ParsedChat {
    pub(crate) model: Option<ModelName>,
    pub(crate) turn: TurnRequest,
}

fn bad_request(detail: impl Into<Arc<str>>) -> Problem {
    Problem::failed(ProblemKind::BadRequest, detail)
}

/// Parses a JSON body. The problem states where the body is malformed.
pub(crate) fn parse_json<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Problem> {
    serde_json::from_slice(body).map_err(|error| bad_request(format!("the body: {error}")))
}

/// Parses a chat-completions body as the turn with the given number.
pub(crate) fn parse_chat(number: u32, body: &[u8]) -> Result<ParsedChat, Problem> {
    let chat: ChatBody = parse_json(body)?;
    let mut engine_fields: BTreeMap<String, Box<RawValue>> = parse_json(body)?;

    if chat.messages.is_empty() {
        return Err(bad_request("messages: expected at least one message"));
    }

    if chat.messages.iter().any(|message| !message.get().starts_with('{')) {
        return Err(bad_request("messages: expected objects"));
    }

    if chat.n.is_some_and(|choices| choices > MAX_CHOICES) {
        return Err(bad_request("n: expected 1"));
    }

    let answer_tokens = chat.max_completion_tokens.or(chat.max_tokens);

    if answer_tokens == Some(0) {
        return Err(bad_request("max_tokens: expected 1 or more"));
    }

    engine_fields.retain(|name, _| !RESERVED_FIELDS.contains(&name.as_str()));
    let parameters = serde_json::to_string(&engine_fields).unwrap_or_default();

    Ok(ParsedChat {
        model: chat.model,
        turn: TurnRequest {
            number,
            messages: chat.messages.iter().map(|message| message.get().into()).collect(),
            parameters: parameters.into(),
            answer_tokens,
            is_stream: chat.stream,
            receipts: chat.ragwortknot.receipts,
        },
    })
}

/// Parses the body of the call with the given number.
pub(crate) fn parse_call(number: u32, body: &[u8]) -> Result<CallRequest, Problem> {
    let call: CallBody = parse_json(body)?;

    let is_valid_path = call.path.starts_with('/')
        && call.path.bytes().all(|it| it.is_ascii_graphic() && it != b'#');

    if !is_valid_path {
        return Err(bad_request("path: expected a path that begins with a slash"));
    }

    Ok(CallRequest {
        number,
        service: call.service,
        path: call.path,
        body: call.body.map_or_else(|| "null".into(), |body| body.get().into()),
        is_repeatable: call.repeatable,
    })
}
