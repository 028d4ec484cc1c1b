//! Stand-in for the platform's store of versioned objects, with watches.

use {
    crate::{StandinServer, active_faults::ActiveFaults},
    axum::{
        Json, Router,
        extract::{Path, Query, State},
        http::StatusCode,
        response::{IntoResponse, Response},
        routing::{get, put},
    },
    parking_lot::Mutex,
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::{collections::BTreeMap, io, sync::Arc, time::Duration},
    tokio::{sync::watch, time::timeout},
};

/// Longest time that a watch waits for an event, whatever `wait_ms` the client asks for.
const MAX_WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// Largest number of objects in a page of a listing.
const PAGE_LIMIT: usize = 500;

/// Faults that the store injects. Omitted fields are off.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct StoreFaults {
    /// Every call is answered with 503 and has no effect.
    pub down: bool,
    /// Writes take effect but are answered with 504, as if their responses had been lost.
    pub lose_answers: bool,
    /// Watches from a revision before this one are answered with 410, as if the earlier events had been discarded.
    pub history_start: u64,
}

/// Kind and name.
type ObjectKey = (String, String);

#[derive(Debug, Default)]
struct StoreState {
    objects: BTreeMap<ObjectKey, Value>,
    /// Revision, kind and event of every change.
    events: Vec<(u64, String, Value)>,
    revision: u64,
}

/// The store's state and faults, shared by the HTTP listener and by a test that runs the store in its process.
#[derive(Debug)]
pub struct VersionedStore {
    state: Mutex<StoreState>,
    faults: ActiveFaults<StoreFaults>,
    /// Revision of the last change, which wakes watches.
    latest_revision: watch::Sender<u64>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ObjectQuery {
    /// Name after which a page begins.
    after: Option<String>,
    /// Revision after which a watch begins; a listing if missing.
    watch: Option<u64>,
    wait_ms: Option<u64>,
    /// Revision that an object to delete has to have.
    revision: Option<u64>,
}

impl Default for VersionedStore {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            faults: ActiveFaults::default(),
            latest_revision: watch::Sender::new(0),
        }
    }
}

impl VersionedStore {
    /// Starts to listen on `address`. Fails if it cannot be bound.
    pub async fn start(self: &Arc<Self>, address: &str) -> io::Result<StandinServer> {
        let router = Router::new()
            .route("/api/objects/{kind}", get(list_or_watch).post(create))
            .route("/api/objects/{kind}/{name}", get(read).put(replace).delete(remove))
            .route("/api/objects/{kind}/{name}/status", put(replace_status))
            .route("/faults", axum::routing::post(set_faults))
            .with_state(Arc::clone(self));
        StandinServer::start(address, router).await
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.faults.set(faults);
    }

    /// Writes the spec of an object as an operator or a server would, unaffected by the active faults.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.update(kind, name, |object| object["spec"] = spec);
    }

    /// Removes an object as its writer would, unaffected by the active faults.
    pub fn delete(&self, kind: &str, name: &str) {
        self.remove_object(&(kind.to_owned(), name.to_owned()));
    }

    /// Objects of a kind, ordered by name.
    pub fn objects(&self, kind: &str) -> Vec<Value> {
        let state = self.state.lock();
        let entries = state.objects.iter().filter(|((object_kind, _), _)| object_kind == kind);
        entries.map(|(_, object)| object.clone()).collect()
    }

    /// Applies a change to an object, which is created if it does not exist, and returns the new object.
    fn update(&self, kind: &str, name: &str, change: impl FnOnce(&mut Value)) -> Value {
        let mut state = self.state.lock();
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        let new_object =
            json!({ "metadata": { "name": name, "create_rev": revision }, "spec": null });
        let object = state.objects.entry(key).or_insert(new_object);
        change(object);
        object["metadata"]["revision"] = revision.into();
        let object = object.clone();
        let event = json!({ "object": object, "deleted": false });
        state.events.push((revision, kind.to_owned(), event));
        drop(state);
        self.latest_revision.send_replace(revision);
        object
    }

    fn remove_object(&self, key: &ObjectKey) {
        let mut state = self.state.lock();
        if let Some(object) = state.objects.remove(key) {
            state.revision += 1;
            let revision = state.revision;
            let event = json!({ "object": object, "deleted": true });
            state.events.push((revision, key.0.clone(), event));
            drop(state);
            self.latest_revision.send_replace(revision);
        }
    }

    fn object(&self, key: &ObjectKey) -> Option<Value> {
        self.state.lock().objects.get(key).cloned()
    }

    /// Refusal of a write: 404 if the object does not exist, or 409 if its revision is not the expected one.
    fn write_refusal(&self, key: &ObjectKey, expected_revision: Option<u64>) -> Option<Response> {
        let Some(object) = self.object(key) else {
            return Some(StatusCode::NOT_FOUND.into_response());
        };
        let is_stale =
            expected_revision.is_some_and(|it| object["metadata"]["revision"].as_u64() != Some(it));
        is_stale.then(|| (StatusCode::CONFLICT, Json(object)).into_response())
    }

    fn write_response(&self, object: Value) -> Response {
        if self.faults.get().lose_answers {
            return StatusCode::GATEWAY_TIMEOUT.into_response();
        }
        Json(object).into_response()
    }
}

type SharedStore = State<Arc<VersionedStore>>;

async fn set_faults(State(store): SharedStore, Json(faults): Json<StoreFaults>) {
    store.set_faults(faults);
}

async fn list_or_watch(
    State(store): SharedStore,
    Path(kind): Path<String>,
    Query(query): Query<ObjectQuery>,
) -> Response {
    if store.faults.get().down {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    if let Some(after_revision) = query.watch {
        return watch_kind(&store, &kind, after_revision, query.wait_ms.unwrap_or(0)).await;
    }

    let state = store.state.lock();
    let after_name = query.after.unwrap_or_default();
    let remaining: Vec<&Value> = state
        .objects
        .iter()
        .filter(|((object_kind, name), _)| *object_kind == kind && *name > after_name)
        .map(|(_, object)| object)
        .collect();
    let items: Vec<&Value> = remaining.iter().take(PAGE_LIMIT).copied().collect();
    let has_more = remaining.len() > PAGE_LIMIT;
    Json(json!({ "items": items, "more_pages": has_more, "current_rev": state.revision }))
        .into_response()
}

/// Waits for events of a kind after a revision. The response is 410 if the events after it have been discarded, and has
/// no events if none came in time.
async fn watch_kind(
    store: &VersionedStore,
    kind: &str,
    after_revision: u64,
    wait_ms: u64,
) -> Response {
    let mut latest_revision = store.latest_revision.subscribe();
    let watch_timeout = Duration::from_millis(wait_ms).min(MAX_WATCH_TIMEOUT);

    let outcome = timeout(watch_timeout, async {
        loop {
            if store.faults.get().history_start > after_revision {
                return None;
            }
            let (events, revision) = {
                let state = store.state.lock();
                let events = state.events.iter().filter(|(revision, event_kind, _)| {
                    *revision > after_revision && event_kind == kind
                });
                let events: Vec<Value> = events.map(|(_, _, event)| event.clone()).collect();
                (events, state.revision)
            };
            if !events.is_empty() {
                return Some((events, revision));
            }
            if latest_revision.changed().await.is_err() {
                return None;
            }
        }
    })
    .await;

    match outcome {
        Ok(Some((events, revision))) => {
            Json(json!({ "events": events, "current_rev": revision })).into_response()
        }
        Ok(None) => StatusCode::GONE.into_response(),
        Err(_) => Json(json!({ "events": [], "current_rev": after_revision })).into_response(),
    }
}

async fn read(State(store): SharedStore, Path(key): Path<ObjectKey>) -> Response {
    if store.faults.get().down {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    match store.object(&key) {
        Some(object) => Json(object).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn create(
    State(store): SharedStore,
    Path(kind): Path<String>,
    Json(body): Json<Value>,
) -> Response {
    if store.faults.get().down {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let Some(name) = body["metadata"]["name"].as_str() else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    if let Some(object) = store.object(&(kind.clone(), name.to_owned())) {
        return (StatusCode::CONFLICT, Json(object)).into_response();
    }
    let spec = body["spec"].clone();
    let object = store.update(&kind, name, |object| object["spec"] = spec);
    store.write_response(object)
}

async fn replace(
    State(store): SharedStore,
    Path(key): Path<ObjectKey>,
    Json(body): Json<Value>,
) -> Response {
    replace_field(&store, &key, &body, "spec")
}

async fn replace_status(
    State(store): SharedStore,
    Path(key): Path<ObjectKey>,
    Json(body): Json<Value>,
) -> Response {
    replace_field(&store, &key, &body, "status")
}

/// Replaces one field of an object if the revision in the body, where there is one, is the current one.
fn replace_field(store: &VersionedStore, key: &ObjectKey, body: &Value, field: &str) -> Response {
    if store.faults.get().down {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    if let Some(refusal) = store.write_refusal(key, body["metadata"]["revision"].as_u64()) {
        return refusal;
    }
    let value = body[field].clone();
    let object = store.update(&key.0, &key.1, |object| object[field] = value);
    store.write_response(object)
}

async fn remove(
    State(store): SharedStore,
    Path(key): Path<ObjectKey>,
    Query(query): Query<ObjectQuery>,
) -> Response {
    if store.faults.get().down {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    if let Some(refusal) = store.write_refusal(&key, query.revision) {
        return refusal;
    }
    let object = store.object(&key).unwrap_or_default();
    store.remove_object(&key);
    store.write_response(object)
}
