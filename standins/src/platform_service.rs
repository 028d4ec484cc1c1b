//! Stand-in for the platform: its object API and its host list.

use {
    crate::{
        HostEntry, PlatformFaults,
        active_faults::ActiveFaults,
        object_store::{ObjectStore, WriteCondition},
    },
    axum::{
        Json, Router,
        body::Bytes,
        extract::{DefaultBodyLimit, Path, Query, State},
        http::{HeaderMap, StatusCode, header},
        response::{IntoResponse, Response},
        routing::{get, post},
    },
    parking_lot::Mutex,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    tokio::sync::watch,
};

/// Largest value of an object.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// Largest number of keys in a listing.
const LIST_LIMIT: usize = 1_000;

/// Time after which a watch returns without a change.
const WATCH_TIMEOUT_MS: u64 = 10_000;

/// Calls to the platform since it started. Calls that a fault has refused are not counted.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallCounts {
    /// Reads of objects, listings and the host list.
    pub reads: u64,
    /// Writes and deletions, also those whose precondition failed.
    pub writes: u64,
    /// Watches that were opened.
    pub watches: u64,
    /// Bytes of the values in writes, also those whose precondition failed.
    pub written_bytes: u64,
}

#[derive(Debug, Default)]
struct PlatformState {
    store: ObjectStore,
    hosts: BTreeMap<String, HostEntry>,
    counts: CallCounts,
}

/// The platform's state, shared by the HTTP listener and by a test that runs the platform in its process.
#[derive(Debug)]
pub struct PlatformService {
    state: Mutex<PlatformState>,
    faults: ActiveFaults<PlatformFaults>,
    revision: watch::Sender<u64>,
}

impl Default for PlatformService {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            faults: ActiveFaults::default(),
            revision: watch::Sender::new(0),
        }
    }
}

impl PlatformService {
    /// Calls so far.
    pub fn counts(&self) -> CallCounts {
        self.state.lock().counts
    }

    /// Removes a host from the list.
    pub fn remove_host(&self, name: &str) {
        self.state.lock().hosts.remove(name);
    }

    /// HTTP routes of the object API, the host list, the call counts and the fault settings.
    pub fn router(self: Arc<Self>) -> Router {
        Router::new()
            .route("/v1/objects", get(list_objects))
            .route("/v1/objects/{*key}", get(get_object).put(put_object).delete(delete_object))
            .route("/v1/watch", get(watch_objects))
            .route("/v1/hosts", get(list_hosts).post(post_host))
            .route("/stats", get(get_stats))
            .route("/faults", post(post_faults))
            .layer(DefaultBodyLimit::max(2 * MAX_VALUE_BYTES))
            .with_state(self)
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.faults.set(faults);
    }

    /// Adds a host to the list, or replaces its entry.
    pub fn set_host(&self, host: HostEntry) {
        self.state.lock().hosts.insert(host.name.clone(), host);
    }

    /// Applies the faults that act before a call takes effect, and returns all active faults. The error is the status
    /// to refuse the call with.
    async fn apply_faults(&self) -> Result<PlatformFaults, StatusCode> {
        let faults = self.faults.get();

        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }

        if self.faults.get().down {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }

        Ok(faults)
    }

    /// Whether the response of this write is to be lost, which uses up one of [`PlatformFaults::lose_answers`].
    fn consume_lost_response(&self) -> bool {
        let mut faults = self.faults.get();

        if faults.lose_answers == 0 {
            return false;
        }

        faults.lose_answers -= 1;
        self.faults.set(faults);
        true
    }
}

#[derive(Deserialize)]
struct ListQuery {
    prefix: String,
    #[serde(default)]
    after: String,
}

#[derive(Serialize)]
struct ListedObject {
    key: String,
    version: u64,
}

#[derive(Serialize)]
struct ObjectList {
    items: Vec<ListedObject>,
}

#[derive(Deserialize)]
struct WatchQuery {
    since: u64,
}

#[derive(Serialize)]
struct Revision {
    revision: u64,
}

async fn list_objects(
    State(service): State<Arc<PlatformService>>,
    Query(query): Query<ListQuery>,
) -> Response {
    if let Err(status) = service.apply_faults().await {
        return status.into_response();
    }

    let mut state = service.state.lock();
    state.counts.reads += 1;

    let items = state
        .store
        .list(&query.prefix, &query.after, LIST_LIMIT)
        .into_iter()
        .map(|(key, version)| ListedObject { key, version })
        .collect();

    Json(ObjectList { items }).into_response()
}

async fn get_object(
    State(service): State<Arc<PlatformService>>,
    Path(key): Path<String>,
) -> Response {
    if let Err(status) = service.apply_faults().await {
        return status.into_response();
    }

    let mut state = service.state.lock();
    state.counts.reads += 1;

    match state.store.get(&key) {
        Some(object) => {
            ([(header::ETAG, object.version.to_string())], object.value).into_response()
        }
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

/// Precondition in the headers: `If-None-Match` with any value requires that the object does not exist. An `If-Match`
/// that is not a version is ignored.
fn write_condition(headers: &HeaderMap) -> WriteCondition {
    if headers.contains_key(header::IF_NONE_MATCH) {
        return WriteCondition::Absent;
    }

    headers
        .get(header::IF_MATCH)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .map_or(WriteCondition::Unconditional, WriteCondition::Version)
}

async fn put_object(
    State(service): State<Arc<PlatformService>>,
    Path(key): Path<String>,
    headers: HeaderMap,
    value: Bytes,
) -> Response {
    if let Err(status) = service.apply_faults().await {
        return status.into_response();
    }

    if value.len() > MAX_VALUE_BYTES {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    }

    let put_result = {
        let mut state = service.state.lock();
        state.counts.writes += 1;
        state.counts.written_bytes += value.len() as u64;
        let put_result = state.store.put(&key, value, write_condition(&headers));
        service.revision.send_replace(state.store.revision());
        put_result
    };

    if service.consume_lost_response() {
        return StatusCode::GATEWAY_TIMEOUT.into_response();
    }

    match put_result {
        Ok(version) => (StatusCode::CREATED, [(header::ETAG, version.to_string())]).into_response(),
        Err(version) => {
            (StatusCode::PRECONDITION_FAILED, [(header::ETAG, version.to_string())]).into_response()
        }
    }
}

async fn delete_object(
    State(service): State<Arc<PlatformService>>,
    Path(key): Path<String>,
) -> Response {
    if let Err(status) = service.apply_faults().await {
        return status.into_response();
    }

    let mut state = service.state.lock();
    state.counts.writes += 1;

    if state.store.delete(&key) {
        StatusCode::NO_CONTENT.into_response()
    } else {
        StatusCode::NOT_FOUND.into_response()
    }
}

async fn watch_objects(
    State(service): State<Arc<PlatformService>>,
    Query(query): Query<WatchQuery>,
) -> Response {
    if let Err(status) = service.apply_faults().await {
        return status.into_response();
    }

    service.state.lock().counts.watches += 1;
    let mut receiver = service.revision.subscribe();
    let revision_changed = receiver.wait_for(|revision| *revision > query.since);
    let _ = tokio::time::timeout(Duration::from_millis(WATCH_TIMEOUT_MS), revision_changed).await;
    let revision = *service.revision.borrow();
    Json(Revision { revision }).into_response()
}

async fn list_hosts(State(service): State<Arc<PlatformService>>) -> Response {
    if let Err(status) = service.apply_faults().await {
        return status.into_response();
    }

    let mut state = service.state.lock();
    state.counts.reads += 1;
    let hosts: Vec<HostEntry> = state.hosts.values().cloned().collect();
    Json(hosts).into_response()
}

async fn post_host(
    State(service): State<Arc<PlatformService>>,
    Json(host): Json<HostEntry>,
) -> StatusCode {
    service.set_host(host);
    StatusCode::NO_CONTENT
}

async fn get_stats(State(service): State<Arc<PlatformService>>) -> Json<CallCounts> {
    Json(service.counts())
}

async fn post_faults(
    State(service): State<Arc<PlatformService>>,
    Json(faults): Json<PlatformFaults>,
) -> StatusCode {
    service.set_faults(faults);
    StatusCode::NO_CONTENT
}
