//! HTTP API for callers. See docs/API.md.

use std::sync::Arc;

use axum::{
    Json, Router,
    body::{Body, Bytes, to_bytes},
    extract::{Path, Request, State},
    http::{HeaderMap, StatusCode, header},
    response::{IntoResponse, Response},
    routing::{get, post},
};
use rand::{RngExt, seq::IndexedRandom};
use serde_json::{Value, json};

use crate::{
    CreateRequest, HostPhase, InFlightGuard, ModelKind, ModelName, Node, Problem, ProblemKind,
    ProgramAnswer, ProgramEvent, ProgramId, ProgramOperation, ProgramRequest, ShardId, TeamName,
    TurnRequest,
    basics::steady_clock::steady_millis,
    interface::{
        answer_body::{PROGRAM_HEADER, answer_response},
        answer_stream::stream_response,
    },
    programs::chat_body::{CreateBody, parse_call, parse_chat, parse_json},
};

/// Budget of a program that is created for a single chat completion, as a multiple of the model's context length.
const SINGLE_TURN_BUDGET_CONTEXTS: u64 = 1;

type SharedNode = State<Arc<Node>>;

/// Routes of the API for callers, including the health checks.
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
        .route("/readyz", get(get_readiness))
        .fallback(|| async { Problem::failed(ProblemKind::BadRequest, "there is no such path") })
        .with_state(Arc::clone(node))
}

async fn get_health() -> StatusCode {
    StatusCode::OK
}

pub(crate) async fn get_readiness(State(node): SharedNode) -> StatusCode {
    match node.phase() {
        HostPhase::Serving => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Finds the team of a caller by its key. A host that is starting has no configuration yet, so it must not reject a key
/// as invalid: it responds that it isn't ready, with an unknown outcome.
fn authorize(node: &Node, headers: &HeaderMap) -> Result<TeamName, Problem> {
    if node.phase() == HostPhase::Starting {
        let detail = "this host has not read the configuration yet";
        return Err(Problem::unknown(ProblemKind::NotReady, detail).retry_after(1));
    }

    bearer_key(headers).and_then(|key| node.config.state().team_by_key(key).cloned()).ok_or_else(
        || {
            let detail = "Authorization: expected Bearer and the key of a team";
            Problem::failed(ProblemKind::Unauthorized, detail)
        },
    )
}

/// Key from the `Authorization` header, if it has the form `Bearer KEY`.
pub(crate) fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    headers.get(header::AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ")
}

/// Reads the whole body of a request. Fails if it exceeds the limit or the connection breaks.
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

/// Runs the handler of a request, which counts as in flight meanwhile. A problem is logged and counted, and becomes the
/// response.
async fn respond(
    node: Arc<Node>,
    operation: &'static str,
    handler: impl Future<Output = Result<Response, Problem>>,
) -> Response {
    let guard = InFlightGuard::new(&node);

    match handler.await {
        Ok(response) => response,
        Err(problem) => {
            node.metrics.count_request(operation, problem.outcome);
            log::info!(operation, kind:% = problem.kind, outcome:% = problem.outcome; "refused");
            drop(guard);
            problem.into_response()
        }
    }
}

/// Sends a request to the program's owner and waits for the answer. Chunks of a stream are discarded.
async fn request_answer(
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

/// Problem of a request that the owner did not answer. The request may have run.
pub(crate) fn no_answer() -> Problem {
    Problem::unknown(ProblemKind::OwnerUnreachable, "the owner gave no answer").retry_after(1)
}

async fn post_program(State(node): SharedNode, headers: HeaderMap, request: Request) -> Response {
    let handler = async {
        let team = authorize(&node, &headers)?;
        let body = read_body(&node, request.into_body()).await?;
        let create_body: CreateBody = parse_json(&body)?;
        check_engine_model(&node, &create_body.model)?;

        if create_body.budget_tokens == 0 {
            let detail = "budget_tokens: expected 1 or more";
            return Err(Problem::failed(ProblemKind::BadRequest, detail));
        }

        let parent = create_body.parent.as_deref().map(parse_program).transpose()?;
        let deadline_ms = create_body.deadline_s.map(|seconds| steady_millis() + seconds * 1_000);

        let terms = CreateRequest {
            model: create_body.model,
            budget_tokens: create_body.budget_tokens,
            deadline_ms,
            parent,
        };

        let program = new_program_id(&node, parent);
        let answer = request_answer(&node, team, program, ProgramOperation::Create(terms)).await?;
        Ok(answer_response(&node, "create", StatusCode::CREATED, answer))
    };

    respond(Arc::clone(&node), "create", handler).await
}

/// Creates the id of a program, which determines its shard: that of its parent, else one that this host owns, else one
/// whose home is this region, else any.
fn new_program_id(node: &Node, parent: Option<ProgramId>) -> ProgramId {
    if let Some(parent) = parent {
        return ProgramId::random(parent.shard);
    }

    let mut candidates = node.shards.shards();

    if candidates.is_empty() {
        let all_shards = (0..node.settings.shard_count).map(ShardId);
        candidates = all_shards.filter(|shard| node.view.is_in_home_region(*shard)).collect();
    }

    let shard = candidates.choose(&mut rand::rng()).copied();

    let shard =
        shard.unwrap_or_else(|| ShardId(rand::rng().random_range(0..node.settings.shard_count)));

    ProgramId::random(shard)
}

/// Checks that a model exists and is served by engines, not by a service.
fn check_engine_model(node: &Node, model: &ModelName) -> Result<(), Problem> {
    let config = node.config.state();
    let model_terms = config.document.models.get(model);

    if model_terms.is_none_or(|terms| terms.kind != ModelKind::Engine) {
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
    respond_without_body(node, headers, program, ProgramOperation::Status).await
}

async fn delete_program(
    State(node): SharedNode,
    headers: HeaderMap,
    Path(program): Path<String>,
) -> Response {
    respond_without_body(node, headers, program, ProgramOperation::End).await
}

async fn get_history(
    State(node): SharedNode,
    headers: HeaderMap,
    Path(program): Path<String>,
) -> Response {
    respond_without_body(node, headers, program, ProgramOperation::History).await
}

/// Handles a request without a body.
async fn respond_without_body(
    node: Arc<Node>,
    headers: HeaderMap,
    program: String,
    operation: ProgramOperation,
) -> Response {
    let name = operation.name();

    let handler = async {
        let team = authorize(&node, &headers)?;
        let program = parse_program(&program)?;
        let answer = request_answer(&node, team, program, operation).await?;
        Ok(answer_response(&node, name, StatusCode::OK, answer))
    };

    respond(Arc::clone(&node), name, handler).await
}

async fn post_turn(
    State(node): SharedNode,
    headers: HeaderMap,
    Path((program, number)): Path<(String, String)>,
    request: Request,
) -> Response {
    let handler = async {
        let team = authorize(&node, &headers)?;
        let program = parse_program(&program)?;
        let number = parse_number(&number)?;
        let body = read_body(&node, request.into_body()).await?;
        let chat = parse_chat(number, &body)?;
        run_turn(&node, team, program, chat.turn).await
    };

    respond(Arc::clone(&node), "turn", handler).await
}

/// Runs a turn, and responds with a stream if the caller has requested one.
async fn run_turn(
    node: &Arc<Node>,
    team: TeamName,
    program: ProgramId,
    turn: TurnRequest,
) -> Result<Response, Problem> {
    let is_stream = turn.is_stream;
    let operation = ProgramOperation::Turn(turn);

    if !is_stream {
        let answer = request_answer(node, team, program, operation).await?;
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
    let handler = async {
        let team = authorize(&node, &headers)?;
        let program = parse_program(&program)?;
        let number = parse_number(&number)?;
        let body = read_body(&node, request.into_body()).await?;
        let call = parse_call(number, &body)?;
        let answer = request_answer(&node, team, program, ProgramOperation::Call(call)).await?;
        Ok(answer_response(&node, "call", StatusCode::OK, answer))
    };

    respond(Arc::clone(&node), "call", handler).await
}

/// Handles a chat completions request of a client that doesn't use the API for programs. With [`PROGRAM_HEADER`] the
/// request becomes the next turn of that program. Without it a program is created for this single turn.
async fn post_chat(State(node): SharedNode, headers: HeaderMap, request: Request) -> Response {
    let handler = async {
        let team = authorize(&node, &headers)?;
        let body = read_body(&node, request.into_body()).await?;
        let chat = parse_chat(1, &body)?;

        if let Some(program) = headers.get(PROGRAM_HEADER) {
            let program = parse_program(program.to_str().unwrap_or_default())?;
            let status =
                request_answer(&node, team.clone(), program, ProgramOperation::Status).await?;

            let ProgramAnswer::Status(status) = status else {
                return Err(no_answer());
            };

            let turn = TurnRequest { number: status.next_number, ..chat.turn };
            return run_turn(&node, team, program, turn).await;
        }

        let model = chat.model.ok_or_else(|| {
            Problem::failed(ProblemKind::BadRequest, "model: expected the name of a model")
        })?;

        let program = create_single_turn_program(&node, &team, &model).await?;
        let response = run_turn(&node, team.clone(), program, chat.turn).await;
        spawn_program_end(&node, team, program);
        response
    };

    respond(Arc::clone(&node), "chat", handler).await
}

/// Creates a program for a single turn. Its budget is limited to what the team allows.
async fn create_single_turn_program(
    node: &Arc<Node>,
    team: &TeamName,
    model: &ModelName,
) -> Result<ProgramId, Problem> {
    check_engine_model(node, model)?;
    let config = node.config.state();
    let context_tokens = config.document.models.get(model).map_or(0, |terms| terms.context_tokens);
    let budget_limit_tokens =
        config.document.teams.get(team).map_or(0, |terms| terms.budget_limit_tokens);

    let terms = CreateRequest {
        model: model.clone(),
        budget_tokens: (context_tokens * SINGLE_TURN_BUDGET_CONTEXTS).min(budget_limit_tokens),
        deadline_ms: None,
        parent: None,
    };

    let program = new_program_id(node, None);
    request_answer(node, team.clone(), program, ProgramOperation::Create(terms)).await?;
    Ok(program)
}

/// Starts a task that ends a single-turn program once its turn is recorded. A program whose status can't be read is
/// left to its limits.
fn spawn_program_end(node: &Arc<Node>, team: TeamName, program: ProgramId) {
    let node = Arc::clone(node);

    tokio::spawn(async move {
        loop {
            let status =
                request_answer(&node, team.clone(), program, ProgramOperation::Status).await;

            match status {
                Ok(ProgramAnswer::Status(status)) if status.next_number > 1 => break,
                Ok(ProgramAnswer::Status(_)) => tokio::time::sleep(END_POLL_INTERVAL).await,
                _ => return,
            }
        }

        let _ = request_answer(&node, team, program, ProgramOperation::End).await;
    });
}

/// Time between two checks of whether the turn of a single-turn program is recorded.
const END_POLL_INTERVAL: std::time::Duration = std::time::Duration::from_millis(500);

async fn get_models(State(node): SharedNode, headers: HeaderMap) -> Response {
    if let Err(problem) = authorize(&node, &headers) {
        return problem.into_response();
    }

    let config = node.config.state();

    let models: Vec<Value> = config
        .document
        .models
        .iter()
        .filter(|(_, terms)| terms.kind == ModelKind::Engine)
        .map(|(name, _)| json!({ "id": name, "object": "model", "owned_by": "ragwortknot" }))
        .collect();

    Json(json!({ "object": "list", "data": models })).into_response()
}
