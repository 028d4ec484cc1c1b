//! HTTP API for operators, on a separate listener and with a separate key. See docs/API.md.

use std::sync::Arc;

use axum::{
    Json, Router,
    body::Bytes,
    extract::{Query, Request, State},
    http::{HeaderMap, StatusCode, header},
    middleware::{self, Next},
    response::{IntoResponse, Response},
    routing::{get, post},
};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::{
    Node, Problem, ProblemKind, ProgramId, RequestOutcome, ShardId, TeamName,
    configuration::config_document::key_hash,
    interface::{
        caller_api::{bearer_key, get_readiness},
        problem::OUTCOME_HEADER,
    },
    programs::chat_body::parse_json,
};

type SharedNode = State<Arc<Node>>;

/// Routes of the API for operators. Metrics and health checks need no key.
pub(crate) fn operator_routes(node: &Arc<Node>) -> Router {
    let authorized_routes = Router::new()
        .route("/admin/v1/config", get(get_config).patch(patch_config))
        .route("/admin/v1/config/history", get(get_history))
        .route("/admin/v1/upstreams", get(get_upstreams))
        .route("/admin/v1/shards", get(get_shards))
        .route("/admin/v1/cells", get(get_cells))
        .route("/admin/v1/hosts", get(get_hosts))
        .route("/admin/v1/programs", get(get_programs))
        .route("/admin/v1/drain", post(post_drain))
        .layer(middleware::from_fn_with_state(Arc::clone(node), authorize));

    Router::new()
        .merge(authorized_routes)
        .route("/metrics", get(get_metrics))
        .route("/healthz", get(|| async { StatusCode::OK }))
        .route("/readyz", get(get_readiness))
        .with_state(Arc::clone(node))
}

/// Rejects requests without the operators' key.
async fn authorize(State(node): SharedNode, request: Request, next: Next) -> Response {
    let is_authorized = bearer_key(request.headers())
        .is_some_and(|key| *key_hash(key) == *node.settings.operator_key_hash);

    if is_authorized {
        return next.run(request).await;
    }

    let detail = "Authorization: expected Bearer and the operators' key";
    Problem::failed(ProblemKind::Unauthorized, detail).into_response()
}

async fn get_config(State(node): SharedNode) -> Response {
    let state = node.config.state();
    config_response(state.number, json!({ "number": state.number, "config": state.document }))
}

/// Builds a response whose `ETag` is the number of the configuration.
fn config_response(number: u64, body: Value) -> Response {
    let mut response = Json(body).into_response();
    let headers = response.headers_mut();
    headers.insert(header::ETAG, number.into());
    headers.insert(OUTCOME_HEADER, header::HeaderValue::from_static("completed"));
    response
}

/// Number of the configuration that a patch is based on, from the `If-Match` header.
fn parse_if_match(headers: &HeaderMap) -> Result<u64, Problem> {
    headers
        .get(header::IF_MATCH)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.trim_matches('"').parse().ok())
        .ok_or_else(|| {
            let detail = "If-Match: expected the number that the patch is against";
            Problem::failed(ProblemKind::PreconditionRequired, detail)
        })
}

async fn patch_config(State(node): SharedNode, headers: HeaderMap, body: Bytes) -> Response {
    match apply_patch(&node, &headers, &body).await {
        Ok(number) => config_response(number, json!({ "number": number })),
        Err(problem) => {
            node.metrics.count_request("patch", problem.outcome);
            problem.into_response()
        }
    }
}

/// Applies a patch to the configuration, sends it to the other hosts, and returns the new number.
async fn apply_patch(node: &Arc<Node>, headers: &HeaderMap, body: &[u8]) -> Result<u64, Problem> {
    let base_number = parse_if_match(headers)?;
    let patch: Value = parse_json(body)?;
    let entry = node.config.patch(base_number, &patch).await?;
    node.metrics.count_request("patch", RequestOutcome::Completed);
    log::info!(number = entry.number; "configuration patch accepted");
    let new_number = entry.number;
    node.spreader.broadcast(entry);
    Ok(new_number)
}

/// Query parameters of the configuration's history.
#[derive(Deserialize)]
struct HistoryQuery {
    /// Only entries with a higher number are returned.
    #[serde(default)]
    after: u64,
}

async fn get_history(State(node): SharedNode, Query(query): Query<HistoryQuery>) -> Response {
    match node.config.history(query.after).await {
        Ok(entries) => {
            let entries: Vec<Value> = entries
                .iter()
                .map(|entry| {
                    let patch: Value = serde_json::from_str(&entry.patch).unwrap_or_default();
                    json!({ "number": entry.number, "at_ms": entry.at_ms, "patch": patch })
                })
                .collect();

            Json(json!({ "entries": entries })).into_response()
        }
        Err(error) => Problem::failed(ProblemKind::PlatformUnavailable, error.to_string())
            .retry_after(2)
            .into_response(),
    }
}

/// Lists the configured upstreams, with the state of those that this host dispatches to.
async fn get_upstreams(State(node): SharedNode) -> Json<Value> {
    let states = node.dispatchers.upstreams();
    let config = node.config.state();

    let upstreams: Vec<Value> = config
        .document
        .upstreams
        .iter()
        .map(|(name, terms)| {
            let state = states.iter().find(|it| it.upstream == *name).map(|it| it.state);
            json!({ "upstream": name, "region": terms.region, "model": terms.model, "state": state })
        })
        .collect();

    Json(json!({ "host": node.settings.host, "upstreams": upstreams }))
}

/// Lists all shards with their owners, and the number of open programs in those that this host owns.
async fn get_shards(State(node): SharedNode) -> Json<Value> {
    let shards: Vec<Value> = (0..node.settings.shard_count)
        .map(ShardId)
        .map(|shard| {
            let reported_owner = node.view.lock().reported_owner(shard).cloned();
            let owner = node.shards.owner(shard);
            let programs = owner.map(|it| it.read(|state| state.open_programs().count()));
            json!({ "shard": shard.to_string(), "host": reported_owner, "programs": programs })
        })
        .collect();

    Json(json!({ "host": node.settings.host, "shards": shards }))
}

async fn get_cells(State(node): SharedNode) -> Json<Value> {
    Json(json!({ "host": node.settings.host, "cells": node.dispatchers.cells() }))
}

/// Lists the hosts that this host knows, with their status in its membership table.
async fn get_hosts(State(node): SharedNode) -> Json<Value> {
    let table = node.view.lock();

    let hosts: Vec<Value> = table
        .members()
        .map(|(name, entry)| {
            json!({
                "host": name,
                "region": entry.region,
                "address": entry.address,
                "status": entry.status().to_string(),
                "phase": entry.phase().to_string(),
                "leaving": entry.is_leaving,
            })
        })
        .collect();

    let data_centre = &node.settings.data_centre;
    Json(json!({ "host": table.local_host(), "data_centre": data_centre, "hosts": hosts }))
}

/// A program in the list of programs.
#[derive(serde::Serialize)]
struct ProgramRow {
    program: ProgramId,
    team: TeamName,
    state: &'static str,
    turns: usize,
    spent_tokens: u64,
    budget_tokens: u64,
}

/// Lists the programs in the shards that this host owns.
async fn get_programs(State(node): SharedNode) -> Json<Value> {
    let mut rows = Vec::new();

    for owner in node.shards.owners() {
        owner.read(|state| {
            rows.extend(state.programs.values().map(|program| ProgramRow {
                program: program.terms.id,
                team: program.terms.team.clone(),
                state: if program.end_reason.is_some() { "ended" } else { "open" },
                turns: program.entries.len(),
                spent_tokens: program.spent_tokens,
                budget_tokens: program.terms.budget_tokens,
            }));
        });
    }

    Json(json!({ "host": node.settings.host, "programs": rows }))
}

async fn post_drain(State(node): SharedNode) -> (StatusCode, Json<Value>) {
    node.request_drain();
    (StatusCode::ACCEPTED, Json(json!({ "host": node.settings.host, "phase": "draining" })))
}

async fn get_metrics(State(node): SharedNode) -> Response {
    match node.metrics.text() {
        Ok(text) => ([(header::CONTENT_TYPE, "text/plain; version=0.0.4")], text).into_response(),
        Err(error) => {
            log::error!("failed to encode the metrics: {error}");
            StatusCode::INTERNAL_SERVER_ERROR.into_response()
        }
    }
}
