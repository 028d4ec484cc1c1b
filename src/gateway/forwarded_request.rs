//! A client's request as one host forwards it to another.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{HeaderMap, Method, header::HeaderName, header::HeaderValue};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::entry::{ClientKey, EntryRequest, KeyDigest, PossibleRuns, ProgramContext, PromptPart};

/// Names and values of headers.
pub(crate) type HeaderList = Vec<(Arc<str>, Bytes)>;

/// Entry of the header list with the digest of the client's key; its value is empty if the client has sent no key. An entry is
/// used, as a field would change the frame, which older builds could not decode.
const KEY_DIGEST: &str = "ragwortknot-key-digest";

/// Headers of clients that state a key or a team. Builds that know no teams forward them.
const CLIENT_HEADERS: [&str; 2] = ["api-key", "x-tenant"];

/// Time by which the deadline that a scheduler gets precedes the client's, for the way back through the gateway.
const FORWARD_MARGIN: Duration = Duration::from_millis(6);

/// A request of a client. Times are sent as spans, since hosts have no common clock.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ForwardedRequest {
    id: Arc<str>,
    method: Arc<str>,
    host: Arc<str>,
    target: Arc<str>,
    headers: HeaderList,
    body: Bytes,
    /// Time since the gateway had read the whole request.
    age: Duration,
    /// Time until the client stops waiting.
    time_left: Option<Duration>,
    program: Option<ForwardedProgram>,
    prompt_tokens: u64,
    max_completion_tokens: u64,
    /// Id and length in tokens of each part of the prompt.
    prompt_parts: Vec<(u64, u64)>,
    last_event_id: Option<Arc<str>>,
    resumed_request: Option<Arc<str>>,
    /// Attempts, on hosts that were lost before, in which the request may have run.
    possible_runs: u32,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct ForwardedProgram {
    id: Arc<str>,
    session: Option<Arc<str>>,
    /// Time until the program should have finished.
    finish_in: Option<Duration>,
    token_budget: Option<u64>,
    previous_turn: Option<Arc<str>>,
}

impl ForwardedRequest {
    /// Encodes a request at the time `now`.
    pub(crate) fn encode(request: &EntryRequest, now: Instant) -> Self {
        let until = |time: Instant| time.saturating_duration_since(now);

        Self {
            id: Arc::clone(&request.id),
            method: request.method.as_str().into(),
            host: Arc::clone(&request.host),
            target: Arc::clone(&request.target),
            headers: encode_client_headers(request),
            body: request.body.clone(),
            age: now.saturating_duration_since(request.received),
            time_left: request.deadline.map(|it| until(it).saturating_sub(FORWARD_MARGIN)),
            program: request.program.as_ref().map(|program| ForwardedProgram {
                id: Arc::clone(&program.id),
                session: program.session.clone(),
                finish_in: program.finish_by.map(until),
                token_budget: program.token_budget,
                previous_turn: program.previous_turn.clone(),
            }),
            prompt_tokens: request.prompt_tokens,
            max_completion_tokens: request.max_completion_tokens,
            prompt_parts: request.prompt_parts.iter().map(|it| (it.id, it.tokens)).collect(),
            last_event_id: request.last_event_id.clone(),
            resumed_request: request.resumed_request.clone(),
            possible_runs: request.possible_runs.count(),
        }
    }

    /// Decodes a request that arrived at the time `now`. Returns `None` if its method or a header is not valid in HTTP.
    pub(crate) fn decode(self, now: Instant) -> Option<EntryRequest> {
        let path = self.target.split('?').next().unwrap_or_default();
        let (key, headers) = decode_client_headers(&self.headers)?;

        Some(EntryRequest {
            id: self.id,
            method: Method::from_bytes(self.method.as_bytes()).ok()?,
            host: self.host,
            path: path.into(),
            key,
            headers,
            body: self.body,
            received: now.checked_sub(self.age).unwrap_or(now),
            deadline: self.time_left.and_then(|it| now.checked_add(it)),
            program: self.program.map(|program| ProgramContext {
                id: program.id,
                session: program.session,
                finish_by: program.finish_in.and_then(|it| now.checked_add(it)),
                token_budget: program.token_budget,
                previous_turn: program.previous_turn,
            }),
            prompt_tokens: self.prompt_tokens,
            max_completion_tokens: self.max_completion_tokens,
            prompt_parts: self
                .prompt_parts
                .into_iter()
                .map(|(id, tokens)| PromptPart { id, tokens })
                .collect(),
            last_event_id: self.last_event_id,
            resumed_request: self.resumed_request,
            possible_runs: PossibleRuns::new(self.possible_runs),
            is_forwarded: true,
            target: self.target,
        })
    }
}

/// Encodes the headers of a request, with the digest of its key.
fn encode_client_headers(request: &EntryRequest) -> HeaderList {
    let mut headers = encode_headers(&request.headers);
    headers.retain(|(name, _)| **name != *KEY_DIGEST);
    let value = match request.key {
        ClientKey::Missing => Some(String::new()),
        ClientKey::Digest(digest) => Some(digest.to_hex()),
        ClientKey::Unstated => None,
    };
    headers.extend(value.map(|it| (KEY_DIGEST.into(), it.into())));
    headers
}

/// Decodes the headers of a request, and takes the digest of its key out of them; returns `None` if a header is not valid in
/// HTTP.
fn decode_client_headers(headers: &HeaderList) -> Option<(ClientKey, HeaderMap)> {
    let mut decoded = decode_headers(headers)?;
    let mut digests = decoded.get_all(KEY_DIGEST).iter();
    let key = match (digests.next(), digests.next()) {
        (None, _) => ClientKey::Unstated,
        // An empty value and one that is no digest both mean that no team can have the key.
        (Some(digest), None) => {
            KeyDigest::from_hex(digest.as_bytes()).map_or(ClientKey::Missing, ClientKey::Digest)
        }
        (Some(_), Some(_)) => ClientKey::Missing,
    };
    [KEY_DIGEST].iter().chain(&CLIENT_HEADERS).for_each(|name| drop(decoded.remove(*name)));
    Some((key, decoded))
}

pub(crate) fn encode_headers(headers: &HeaderMap) -> HeaderList {
    headers
        .iter()
        .map(|(name, value)| (name.as_str().into(), Bytes::copy_from_slice(value.as_bytes())))
        .collect()
}

/// Decodes headers; returns `None` if one of them is not valid in HTTP.
pub(crate) fn decode_headers(headers: &HeaderList) -> Option<HeaderMap> {
    let mut decoded = HeaderMap::with_capacity(headers.len());

    for (name, value) in headers {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        decoded.append(name, HeaderValue::from_bytes(value).ok()?);
    }

    Some(decoded)
}
