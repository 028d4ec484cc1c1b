//! The API for callers. See docs/API.md.

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
    basics::unix_clock::unix_millis,
    interface::{
        answer_body::{PROGRAM_HEADER, answer_response},
        answer_stream::stream_response,
    },
    programs::chat_body::{CreateBody, parse_call, parse_chat, parse_json},
};

/// Budget of a program that a plain chat completion makes for itself, in turns of the model's largest context.
const PLAIN_BUDGET_TURNS: u64 = 1;

type SharedNode = State<Arc<Node>>;

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
        HostPhase::Serving => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Finds the team of a caller. A host that starts does not know the teams yet, and must not refuse any.
fn authorize(node: &Node, headers: &HeaderMap) -> Result<TeamName, Problem> {
    if node.phase() == HostPhase::Starting {
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

pub(crate) fn no_answer() -> Problem {
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
        shards = all.filter(|shard| node.view.is_in_home_region(*shard)).collect();
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
