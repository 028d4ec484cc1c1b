//! The API for callers. See docs/API.md.

use std::sync::{Arc, atomic::Ordering};

use axum::{
    Json, Router,
    body::{Body, Bytes, to_bytes},
    extract::{Path, Request, State},
    http::{HeaderMap, HeaderValue, StatusCode, header},
    response::{IntoResponse, Response},
    routing::{get, post},
};
use futures_util::stream;
use rand::{RngExt, seq::IndexedRandom};
use serde_json::{Value, json};
use tokio::sync::mpsc;

use crate::{
    CallAnswer, CreateRequest, ModelKind, ModelName, Node, Problem, ProblemKind, ProgramAnswer,
    ProgramEntry, ProgramEvent, ProgramHistory, ProgramId, ProgramOperation, ProgramRequest,
    ProgramStatus, RequestOutcome, ShardId, TeamName, TurnAnswer, TurnRequest,
    chat_body::{CreateBody, parse_call, parse_chat, parse_json},
    problem::OUTCOME_HEADER,
    unix_clock::unix_millis,
};

/// Header by which a client of the chat-completions protocol names its program.
const PROGRAM_HEADER: &str = "ragwortknot-program";

/// Header that carries the receipt of a turn that could not be logged.
const RECEIPT_HEADER: &str = "ragwortknot-receipt";

/// Header that says how safe an answer is.
const DURABILITY_HEADER: &str = "ragwortknot-durability";

/// Budget of a program that a plain chat completion makes for itself, in turns of the model's largest context.
const PLAIN_BUDGET_TURNS: u64 = 1;

type SharedNode = State<Arc<Node>>;

/// Counts a request as in flight until its answer has been given.
struct InFlightGuard {
    node: Arc<Node>,
}

impl InFlightGuard {
    fn new(node: &Arc<Node>) -> Self {
        node.in_flight.fetch_add(1, Ordering::SeqCst);
        Self { node: Arc::clone(node) }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.node.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Routes of the API.
pub(crate) fn caller_routes(node: &Arc<Node>) -> Router {
    Router::new()
        .route("/v1/programs", post(post_program))
        .route("/v1/programs/{program}", get(get_program).delete(delete_program))
        .route("/v1/programs/{program}/history", get(get_history))
        .route("/v1/programs/{program}/turns/{number}", post(post_turn))
        .route("/v1/programs/{program}/calls/{number}", post(post_call))
        .route("/v1/chat/completions", post(post_chat))
        .route("/v1/models", get(get_models))
        .route("/healthz", get(get_health))
        .route("/readyz", get(get_ready))
        .fallback(|| async { Problem::failed(ProblemKind::BadRequest, "there is no such path") })
        .with_state(Arc::clone(node))
}

async fn get_health() -> StatusCode {
    StatusCode::OK
}

pub(crate) async fn get_ready(State(node): SharedNode) -> StatusCode {
    match node.phase() {
        crate::HostPhase::Serving => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Finds the team of a caller. A host that starts does not know the teams yet, and must not refuse any.
fn authorize(node: &Node, headers: &HeaderMap) -> Result<TeamName, Problem> {
    if node.phase() == crate::HostPhase::Starting {
        let detail = "this host has not read the configuration yet";
        return Err(Problem::unknown(ProblemKind::NotReady, detail).retry_after(1));
    }

    bearer(headers).and_then(|key| node.config.document().team_by_key(key).cloned()).ok_or_else(
        || {
            let detail = "Authorization: expected Bearer and the key of a team";
            Problem::failed(ProblemKind::Unauthorized, detail)
        },
    )
}

pub(crate) fn bearer(headers: &HeaderMap) -> Option<&str> {
    headers.get(header::AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ")
}

/// Reads the whole body, up to the limit.
async fn read_body(node: &Node, body: Body) -> Result<Bytes, Problem> {
    let limit = node.settings.body_limit_bytes;

    to_bytes(body, limit as usize).await.map_err(|_| {
        let detail = format!("the body has more than {limit} bytes, or did not come whole");
        Problem::failed(ProblemKind::BodyTooLarge, detail)
    })
}

fn parse_program(text: &str) -> Result<ProgramId, Problem> {
    text.parse().map_err(|_| {
        let detail = format!("there is no program {text}");
        Problem::failed(ProblemKind::UnknownProgram, detail)
    })
}

fn parse_number(text: &str) -> Result<u32, Problem> {
    match text.parse() {
        Ok(number) if number > 0 => Ok(number),
        _ => {
            let detail = format!("number {text}: expected 1 or more");
            Err(Problem::failed(ProblemKind::NumberOutOfRange, detail))
        }
    }
}

/// Answers with what the request came to, and counts it.
async fn respond(
    node: Arc<Node>,
    operation: &'static str,
    work: impl Future<Output = Result<Response, Problem>>,
) -> Response {
    let guard = InFlightGuard::new(&node);

    match work.await {
        Ok(response) => response,
        Err(problem) => {
            node.metrics.count_request(operation, problem.outcome);
            log::info!(operation, kind:% = problem.kind, outcome:% = problem.outcome; "refused");
            drop(guard);
            problem.into_response()
        }
    }
}

/// Sends a request to its owner and gives the final answer.
async fn ask(
    node: &Arc<Node>,
    team: TeamName,
    program: ProgramId,
    operation: ProgramOperation,
) -> Result<ProgramAnswer, Problem> {
    let request = ProgramRequest { team, program, operation };
    let mut events = node.router.route(request);

    while let Some(event) = events.recv().await {
        if let ProgramEvent::Answer(answer) = event {
            return match answer {
                ProgramAnswer::Problem(problem) => Err(problem),
                answer => Ok(answer),
            };
        }
    }

    Err(no_answer())
}

fn no_answer() -> Problem {
    Problem::unknown(ProblemKind::OwnerUnreachable, "the owner gave no answer").retry_after(1)
}

async fn post_program(State(node): SharedNode, headers: HeaderMap, request: Request) -> Response {
    let work = async {
        let team = authorize(&node, &headers)?;
        let body = read_body(&node, request.into_body()).await?;
        let create: CreateBody = parse_json(&body)?;
        check_engine(&node, &create.model)?;

        if create.budget_tokens == 0 {
            let detail = "budget_tokens: expected 1 or more";
            return Err(Problem::failed(ProblemKind::BadRequest, detail));
        }

        let parent = create.parent.as_deref().map(parse_program).transpose()?;
        let deadline_ms = create.deadline_s.map(|seconds| unix_millis() + seconds * 1_000);

        let terms = CreateRequest {
            model: create.model,
            budget_tokens: create.budget_tokens,
            deadline_ms,
            parent,
        };

        let program = new_program(&node, parent);
        let answer = ask(&node, team, program, ProgramOperation::Create(terms)).await?;
        Ok(answer_response(&node, "create", StatusCode::CREATED, answer))
    };

    respond(Arc::clone(&node), "create", work).await
}

/// Chooses where a program lives: with its parent, else on this host if it owns a shard, else in this region.
fn new_program(node: &Node, parent: Option<ProgramId>) -> ProgramId {
    if let Some(parent) = parent {
        return ProgramId::random(parent.shard);
    }

    let mut shards = node.shards.shards();

    if shards.is_empty() {
        let all = (0..node.settings.shards).map(ShardId);
        shards = all.filter(|shard| node.view.is_at_home(*shard)).collect();
    }

    let shard = shards.choose(&mut rand::rng()).copied();

    let shard = shard.unwrap_or_else(|| ShardId(rand::rng().random_range(0..node.settings.shards)));

    ProgramId::random(shard)
}

fn check_engine(node: &Node, model: &ModelName) -> Result<(), Problem> {
    let config = node.config.document();
    let terms = config.document.models.get(model);

    if terms.is_none_or(|terms| terms.kind != ModelKind::Engine) {
        let detail = format!("model: there is no model {model}");
        return Err(Problem::failed(ProblemKind::UnknownModel, detail));
    }

    Ok(())
}

async fn get_program(
    State(node): SharedNode,
    headers: HeaderMap,
    Path(program): Path<String>,
) -> Response {
    simple(node, headers, program, ProgramOperation::Status).await
}

async fn delete_program(
    State(node): SharedNode,
    headers: HeaderMap,
    Path(program): Path<String>,
) -> Response {
    simple(node, headers, program, ProgramOperation::End).await
}

async fn get_history(
    State(node): SharedNode,
    headers: HeaderMap,
    Path(program): Path<String>,
) -> Response {
    simple(node, headers, program, ProgramOperation::History).await
}

/// Serves a request that has no body.
async fn simple(
    node: Arc<Node>,
    headers: HeaderMap,
    program: String,
    operation: ProgramOperation,
) -> Response {
    let name = operation.name();

    let work = async {
        let team = authorize(&node, &headers)?;
        let program = parse_program(&program)?;
        let answer = ask(&node, team, program, operation).await?;
        Ok(answer_response(&node, name, StatusCode::OK, answer))
    };

    respond(Arc::clone(&node), name, work).await
}

async fn post_turn(
    State(node): SharedNode,
    headers: HeaderMap,
    Path((program, number)): Path<(String, String)>,
    request: Request,
) -> Response {
    let work = async {
        let team = authorize(&node, &headers)?;
        let program = parse_program(&program)?;
        let number = parse_number(&number)?;
        let body = read_body(&node, request.into_body()).await?;
        let chat = parse_chat(number, &body)?;
        run_turn(&node, team, program, chat.turn).await
    };

    respond(Arc::clone(&node), "turn", work).await
}

async fn run_turn(
    node: &Arc<Node>,
    team: TeamName,
    program: ProgramId,
    turn: TurnRequest,
) -> Result<Response, Problem> {
    let is_stream = turn.is_stream;
    let operation = ProgramOperation::Turn(turn);

    if !is_stream {
        let answer = ask(node, team, program, operation).await?;
        return Ok(answer_response(node, "turn", StatusCode::OK, answer));
    }

    let request = ProgramRequest { team, program, operation };
    let mut events = node.router.route(request);

    match events.recv().await {
        Some(ProgramEvent::Answer(ProgramAnswer::Problem(problem))) => Err(problem),
        Some(first) => Ok(stream_response(node, first, events)),
        None => Err(no_answer()),
    }
}

async fn post_call(
    State(node): SharedNode,
    headers: HeaderMap,
    Path((program, number)): Path<(String, String)>,
    request: Request,
) -> Response {
    let work = async {
        let team = authorize(&node, &headers)?;
        let program = parse_program(&program)?;
        let number = parse_number(&number)?;
        let body = read_body(&node, request.into_body()).await?;
        let call = parse_call(number, &body)?;
        let answer = ask(&node, team, program, ProgramOperation::Call(call)).await?;
        Ok(answer_response(&node, "call", StatusCode::OK, answer))
    };

    respond(Arc::clone(&node), "call", work).await
}

/// Serves clients that know nothing of programs. With a program's header the request is its next turn; without one
/// it is a program of one turn.
async fn post_chat(State(node): SharedNode, headers: HeaderMap, request: Request) -> Response {
    let work = async {
        let team = authorize(&node, &headers)?;
        let body = read_body(&node, request.into_body()).await?;
        let chat = parse_chat(1, &body)?;

        if let Some(program) = headers.get(PROGRAM_HEADER) {
            let program = parse_program(program.to_str().unwrap_or_default())?;
            let status = ask(&node, team.clone(), program, ProgramOperation::Status).await?;

            let ProgramAnswer::Status(status) = status else {
                return Err(no_answer());
            };

            let turn = TurnRequest { number: status.next_number, ..chat.turn };
            return run_turn(&node, team, program, turn).await;
        }

        let model = chat.model.ok_or_else(|| {
            Problem::failed(ProblemKind::BadRequest, "model: expected the name of a model")
        })?;

        let program = plain_program(&node, &team, &model).await?;
        let response = run_turn(&node, team.clone(), program, chat.turn).await;
        end_later(&node, team, program);
        response
    };

    respond(Arc::clone(&node), "chat", work).await
}

async fn plain_program(
    node: &Arc<Node>,
    team: &TeamName,
    model: &ModelName,
) -> Result<ProgramId, Problem> {
    check_engine(node, model)?;
    let config = node.config.document();
    let context = config.document.models.get(model).map_or(0, |terms| terms.context_tokens);
    let limit = config.document.teams.get(team).map_or(0, |terms| terms.budget_limit_tokens);

    let terms = CreateRequest {
        model: model.clone(),
        budget_tokens: (context * PLAIN_BUDGET_TURNS).min(limit),
        deadline_ms: None,
        parent: None,
    };

    let program = new_program(node, None);
    ask(node, team.clone(), program, ProgramOperation::Create(terms)).await?;
    Ok(program)
}

/// Ends a program of one turn as soon as nothing of it runs.
fn end_later(node: &Arc<Node>, team: TeamName, program: ProgramId) {
    let node = Arc::clone(node);

    tokio::spawn(async move {
        loop {
            let status = ask(&node, team.clone(), program, ProgramOperation::Status).await;

            match status {
                Ok(ProgramAnswer::Status(status)) if status.next_number > 1 => break,
                Ok(ProgramAnswer::Status(_)) => tokio::time::sleep(END_PAUSE).await,
                _ => return,
            }
        }

        let _ = ask(&node, team, program, ProgramOperation::End).await;
    });
}

/// Pause between two looks at a program of one turn.
const END_PAUSE: std::time::Duration = std::time::Duration::from_millis(500);

async fn get_models(State(node): SharedNode, headers: HeaderMap) -> Response {
    if let Err(problem) = authorize(&node, &headers) {
        return problem.into_response();
    }

    let config = node.config.document();

    let models: Vec<Value> = config
        .document
        .models
        .iter()
        .filter(|(_, terms)| terms.kind == ModelKind::Engine)
        .map(|(name, _)| json!({ "id": name, "object": "model", "owned_by": "ragwortknot" }))
        .collect();

    Json(json!({ "object": "list", "data": models })).into_response()
}

fn answer_response(
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

fn set_outcome(response: &mut Response, outcome: RequestOutcome) {
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

fn json_value(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_default()
}

fn usage_json(turn: &TurnAnswer) -> Value {
    json!({
        "prompt_tokens": turn.usage.prompt,
        "completion_tokens": turn.usage.completion,
        "total_tokens": turn.usage.total(),
        "prompt_tokens_details": { "cached_tokens": turn.usage.cached },
    })
}

fn own_json(turn: &TurnAnswer) -> Value {
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

/// Passes a stream on as it arrives. Its last chunk comes after the turn is safe, and states the outcome.
fn stream_response(
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
