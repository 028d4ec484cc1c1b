//! Stand-in for a tool service: it records every call that takes effect, and reports by idempotency key whether a call
//! did. It does not deduplicate calls, so that tests notice a call that runs twice.

use {
    crate::{ToolFaults, active_faults::ActiveFaults},
    axum::{
        Json, Router,
        body::Bytes,
        extract::{Path, State},
        http::{HeaderMap, StatusCode},
        response::{IntoResponse, Response},
        routing::{get, post},
    },
    parking_lot::Mutex,
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::{sync::Arc, time::Duration},
};

/// A call that took effect.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ToolRun {
    /// Value of the `Idempotency-Key` header, or empty.
    pub key: String,
    /// Path under `/call/`.
    pub path: String,
    /// Body, with invalid UTF-8 replaced.
    pub body: String,
}

/// The tool service's state, shared by the HTTP listener and by a test that runs the service in its process.
#[derive(Debug, Default)]
pub struct ToolService {
    faults: ActiveFaults<ToolFaults>,
    runs: Mutex<Vec<ToolRun>>,
}

impl ToolService {
    /// HTTP routes of the tool service.
    pub fn router(self: Arc<Self>) -> Router {
        Router::new()
            .route("/call/{*path}", post(post_call))
            .route("/status/{key}", get(get_status))
            .route("/health", get(get_health))
            .route("/runs", get(get_runs))
            .route("/faults", post(post_faults))
            .with_state(self)
    }

    /// Calls that took effect, in order.
    pub fn runs(&self) -> Vec<ToolRun> {
        self.runs.lock().clone()
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: ToolFaults) {
        self.faults.set(faults);
    }
}

async fn post_call(
    State(tool): State<Arc<ToolService>>,
    Path(path): Path<String>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let faults = tool.faults.get();

    if faults.down {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }

    if faults.delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }

    let key = headers
        .get("idempotency-key")
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let body = String::from_utf8_lossy(&body).into_owned();

    let receipt = {
        let mut runs = tool.runs.lock();
        runs.push(ToolRun { key: key.clone(), path: path.clone(), body });
        runs.len()
    };

    if faults.hang {
        std::future::pending::<()>().await;
    }

    if faults.lose_answers {
        return StatusCode::GATEWAY_TIMEOUT.into_response();
    }

    Json(json!({ "receipt": receipt, "path": path })).into_response()
}

async fn get_status(State(tool): State<Arc<ToolService>>, Path(key): Path<String>) -> Json<Value> {
    let run_index = tool.runs.lock().iter().position(|run| run.key == key);

    Json(match run_index {
        Some(index) => json!({ "ran": true, "answer": { "receipt": index + 1 } }),
        None => json!({ "ran": false }),
    })
}

async fn get_health(State(tool): State<Arc<ToolService>>) -> StatusCode {
    if tool.faults.get().down { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::OK }
}

async fn get_runs(State(tool): State<Arc<ToolService>>) -> Json<Vec<ToolRun>> {
    Json(tool.runs())
}

async fn post_faults(
    State(tool): State<Arc<ToolService>>,
    Json(faults): Json<ToolFaults>,
) -> StatusCode {
    tool.set_faults(faults);
    StatusCode::NO_CONTENT
}
