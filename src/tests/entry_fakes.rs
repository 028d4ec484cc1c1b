//! In-memory store, upstreams and peer streams for the tests of the entry host, with faults to inject.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use async_trait::async_trait;
use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};
use parking_lot::Mutex;
use serde_json::value::RawValue;
use tokio::time::{Duration, Instant, sleep, sleep_until};

use crate::{
    PeerError, PeerHandler, PeerMessage, PeerStream, RequestRate,
    entry::{
        ChannelError, ObjectPage, ObjectStore, ReadFreshness, SendGuard, StoreError, StoredObject,
        UpstreamBody, UpstreamChannel, UpstreamPhase, UpstreamRecord, UpstreamRequest,
        UpstreamResponse, WatchBatch, WriteOutcome, host_registry::REGISTRY_KIND,
        peer_mesh::PeerMesh,
    },
};

/// Largest number of objects on a page. It is small, so that a few objects take several pages.
const MAX_PAGE_ITEMS: usize = 3;

/// Largest value, in bytes.
pub(super) const MAX_VALUE_BYTES: usize = 1 << 20;

/// Time that each call takes.
const CALL_LATENCY: Duration = Duration::from_millis(4);

/// Fault of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum StoreFault {
    #[default]
    None,
    /// Every call is refused.
    Refusing,
    /// No call is answered until the fault ends.
    Silent,
    /// Writes are applied, but their responses are lost.
    LosingResponses,
}

#[derive(Debug, Default)]
struct StoreState {
    objects: BTreeMap<(String, Arc<str>), StoredObject>,
    revision: u64,
    fault: StoreFault,
    call_count: u64,
    /// Calls by operation and kind.
    calls: BTreeMap<(&'static str, String), u64>,
    /// Largest number of objects on a page, if it is not [`MAX_PAGE_ITEMS`].
    page_items: Option<usize>,
    page_delays: VecDeque<Duration>,
    watch_responses: VecDeque<Result<WatchBatch, StoreError>>,
}

/// Object store in memory.
#[derive(Debug, Default)]
pub(super) struct MemoryStore {
    state: Mutex<StoreState>,
}

impl MemoryStore {
    pub(super) fn set_fault(&self, fault: StoreFault) {
        self.state.lock().fault = fault;
    }

    pub(super) fn call_count(&self) -> u64 {
        self.state.lock().call_count
    }

    /// Takes the calls since the last time, by operation and kind.
    pub(super) fn take_calls(&self) -> BTreeMap<(&'static str, String), u64> {
        std::mem::take(&mut self.state.lock().calls)
    }

    /// Sets the largest number of objects on a page.
    pub(super) fn set_page_items(&self, items: usize) {
        self.state.lock().page_items = Some(items);
    }

    /// Lists a host in the registry.
    pub(super) fn list_host(&self, host: &str) {
        let content = RawValue::from_string("{}".to_owned()).expect("valid JSON");
        self.state.lock().put(REGISTRY_KIND, host, &content);
    }

    pub(super) fn object_count(&self, kind: &str) -> usize {
        self.state.lock().objects.keys().filter(|(it, _)| it == kind).count()
    }

    /// Sets the responses to the next watches. Further watches time out without a change.
    pub(super) fn script_watches(&self, responses: Vec<Result<WatchBatch, StoreError>>) {
        self.state.lock().watch_responses = responses.into();
    }

    /// Delays the next pages that continue a listing, one after the other.
    pub(super) fn delay_pages(&self, delays: &[Duration]) {
        self.state.lock().page_delays = delays.iter().copied().collect();
    }

    /// Waits for the latency of a call and counts it. Returns the fault to apply, or an error if calls are refused.
    async fn begin_call(
        &self,
        operation: &'static str,
        kind: &str,
    ) -> Result<StoreFault, StoreError> {
        sleep(CALL_LATENCY).await;
        while self.state.lock().fault == StoreFault::Silent {
            sleep(CALL_LATENCY).await;
        }
        let mut state = self.state.lock();
        state.call_count += 1;
        *state.calls.entry((operation, kind.to_owned())).or_default() += 1;

        match state.fault {
            StoreFault::Refusing => Err(StoreError::Refused { status: 503 }),
            fault => Ok(fault),
        }
    }

    async fn write(
        &self,
        operation: &'static str,
        kind: &str,
        name: &str,
        content: Option<&RawValue>,
        change: impl FnOnce(&mut StoreState, Option<StoredObject>) -> WriteOutcome,
    ) -> Result<WriteOutcome, StoreError> {
        let fault = self.begin_call(operation, kind).await?;

        if content.is_some_and(|it| it.get().len() > MAX_VALUE_BYTES) {
            return Err(StoreError::Refused { status: 413 });
        }

        let mut state = self.state.lock();
        let current = state.objects.get(&(kind.to_owned(), name.into())).cloned();
        let outcome = change(&mut state, current);

        match fault {
            StoreFault::LosingResponses => Err(StoreError::Unanswered { reason: "lost".into() }),
            _ => Ok(outcome),
        }
    }
}

impl StoreState {
    fn put(&mut self, kind: &str, name: &str, content: &RawValue) -> WriteOutcome {
        self.revision += 1;
        let revision = self.revision;
        let content = Some(Arc::from(content.to_owned()));
        let object = StoredObject { name: name.into(), revision, content, status: None };
        self.objects.insert((kind.to_owned(), name.into()), object);
        WriteOutcome::Written { revision }
    }
}

#[async_trait]
impl ObjectStore for MemoryStore {
    async fn list(
        &self,
        kind: &str,
        after: Option<&str>,
        _freshness: ReadFreshness,
    ) -> Result<ObjectPage, StoreError> {
        self.begin_call("list", kind).await?;
        let delay = after.and_then(|_| self.state.lock().page_delays.pop_front());
        sleep(delay.unwrap_or_default()).await;
        let state = self.state.lock();
        let page_items = state.page_items.unwrap_or(MAX_PAGE_ITEMS);
        let remaining: Vec<&StoredObject> = state
            .objects
            .iter()
            .filter(|((it, name), _)| it == kind && after.is_none_or(|after| **name > *after))
            .map(|(_, object)| object)
            .collect();

        Ok(ObjectPage {
            items: remaining.iter().take(page_items).copied().cloned().collect(),
            has_more: remaining.len() > page_items,
            store_revision: state.revision,
        })
    }

    async fn get(&self, kind: &str, name: &str) -> Result<Option<StoredObject>, StoreError> {
        self.begin_call("get", kind).await?;
        Ok(self.state.lock().objects.get(&(kind.to_owned(), name.into())).cloned())
    }

    async fn create(
        &self,
        kind: &str,
        name: &str,
        content: &RawValue,
    ) -> Result<WriteOutcome, StoreError> {
        self.write("create", kind, name, Some(content), |state, current| match current {
            Some(_) => WriteOutcome::Conflict,
            None => state.put(kind, name, content),
        })
        .await
    }

    async fn replace(
        &self,
        kind: &str,
        name: &str,
        content: &RawValue,
        revision: u64,
    ) -> Result<WriteOutcome, StoreError> {
        self.write("replace", kind, name, Some(content), |state, current| match current {
            Some(object) if object.revision == revision => state.put(kind, name, content),
            _ => WriteOutcome::Conflict,
        })
        .await
    }

    async fn replace_status(
        &self,
        kind: &str,
        _name: &str,
        _status: &RawValue,
        _revision: u64,
    ) -> Result<WriteOutcome, StoreError> {
        self.begin_call("replace_status", kind).await?;
        Ok(WriteOutcome::Conflict)
    }

    async fn remove(
        &self,
        kind: &str,
        name: &str,
        revision: u64,
    ) -> Result<WriteOutcome, StoreError> {
        self.write("remove", kind, name, None, |state, current| match current {
            Some(object) if object.revision == revision => {
                state.objects.remove(&(kind.to_owned(), name.into()));
                WriteOutcome::Written { revision }
            }
            _ => WriteOutcome::Conflict,
        })
        .await
    }

    async fn watch(
        &self,
        _kind: &str,
        _after_revision: u64,
        wait: Duration,
    ) -> Result<WatchBatch, StoreError> {
        let scripted_response = self.state.lock().watch_responses.pop_front();

        if let Some(response) = scripted_response {
            return response;
        }

        sleep(wait).await;
        let store_revision = self.state.lock().revision;
        Ok(WatchBatch { changes: Vec::new(), store_revision })
    }
}

/// What an upstream does with a request.
#[derive(Clone, Debug)]
pub(super) enum ScriptedResponse {
    /// The connection is refused, so the request is not sent.
    NotSent,
    /// The connection breaks after the request was sent.
    Broken,
    /// The upstream responds with a short body.
    Whole { status: StatusCode, has_not_run: bool, is_signed: bool },
    /// The upstream sends events as chunks of text. If the stream is not complete, the connection breaks after them.
    Stream { chunks: Vec<&'static str>, is_complete: bool },
    /// The upstream sends events, pauses, and then sends the rest of a complete stream.
    PausingStream { events: &'static str, pause: Duration, rest: &'static str },
    /// The upstream responds with a short body, and states its limit.
    Limited { limit: Option<RequestRate>, status: StatusCode, is_signed: bool },
    /// The upstream never responds.
    Silent,
}

/// Channel to upstreams that give the scripted responses, one to each request in order.
#[derive(Debug, Default)]
pub(super) struct ScriptedChannel {
    responses: Mutex<VecDeque<ScriptedResponse>>,
    requests: Mutex<Vec<(Arc<str>, UpstreamRequest)>>,
}

impl ScriptedChannel {
    pub(super) fn new(responses: Vec<ScriptedResponse>) -> Self {
        Self { responses: Mutex::new(responses.into()), requests: Mutex::default() }
    }

    /// Returns each request that was sent, with the upstream's id.
    pub(super) fn requests(&self) -> Vec<(Arc<str>, UpstreamRequest)> {
        self.requests.lock().clone()
    }
}

#[async_trait]
impl UpstreamChannel for ScriptedChannel {
    async fn send(
        &self,
        upstream: &UpstreamRecord,
        request: UpstreamRequest,
        guard: &dyn SendGuard,
    ) -> Result<UpstreamResponse, ChannelError> {
        if !guard.may_send() {
            return Err(ChannelError::Leaving);
        }

        self.requests.lock().push((Arc::clone(&upstream.id), request));
        let response =
            self.responses.lock().pop_front().expect("a scripted response for each request");
        let limit = match response {
            ScriptedResponse::Limited { limit, .. } => limit,
            _ => None,
        };
        let (status, has_not_run, is_signed, body) = match response {
            ScriptedResponse::NotSent => {
                return Err(ChannelError::NotSent { reason: "refused".into() });
            }
            ScriptedResponse::Broken => {
                return Err(ChannelError::Broken { reason: "reset".into() });
            }
            ScriptedResponse::Silent => std::future::pending().await,
            ScriptedResponse::Limited { status, is_signed, .. } => {
                (status, false, is_signed, ScriptedBody::new(["body"], true))
            }
            ScriptedResponse::Whole { status, has_not_run, is_signed } => {
                (status, has_not_run, is_signed, ScriptedBody::new(["body"], true))
            }
            ScriptedResponse::Stream { chunks, is_complete } => {
                (StatusCode::OK, false, true, ScriptedBody::new(chunks, is_complete))
            }
            ScriptedResponse::PausingStream { events, pause, rest } => {
                let mut body = ScriptedBody::new([events], true);
                body.chunks.push_back((pause, rest));
                (StatusCode::OK, false, true, body)
            }
        };

        Ok(UpstreamResponse {
            status,
            headers: HeaderMap::new(),
            has_not_run,
            is_signed,
            is_leaving: false,
            limit,
            load: None,
            body: Box::new(body),
        })
    }

    async fn connect(&self, _upstream: &UpstreamRecord) -> Result<(), ChannelError> {
        Ok(())
    }

    fn close_expired(&self) {}
}

/// Time between two chunks.
const CHUNK_INTERVAL: Duration = Duration::from_millis(1);

#[derive(Debug)]
pub(super) struct ScriptedBody {
    /// Chunks, each with the time before it.
    chunks: VecDeque<(Duration, &'static str)>,
    is_complete: bool,
    /// When the next chunk arrives, once it has been waited for.
    next_at: Option<Instant>,
}

impl ScriptedBody {
    pub(super) fn new(chunks: impl IntoIterator<Item = &'static str>, is_complete: bool) -> Self {
        let chunks = chunks.into_iter().map(|chunk| (CHUNK_INTERVAL, chunk)).collect();
        Self { chunks, is_complete, next_at: None }
    }
}

#[async_trait]
impl UpstreamBody for ScriptedBody {
    async fn next(&mut self) -> Result<Option<Bytes>, ChannelError> {
        let pause = self.chunks.front().map_or(CHUNK_INTERVAL, |(pause, _)| *pause);
        sleep_until(*self.next_at.get_or_insert_with(|| Instant::now() + pause)).await;
        self.next_at = None;

        match self.chunks.pop_front() {
            Some((_, chunk)) => Ok(Some(Bytes::from_static(chunk.as_bytes()))),
            None if self.is_complete => Ok(None),
            None => Err(ChannelError::Broken { reason: "reset".into() }),
        }
    }
}

/// A serving upstream in the data centre `dc-a`.
pub(super) fn upstream(id: &str, service: &str, slots: u32) -> UpstreamRecord {
    UpstreamRecord {
        id: id.into(),
        revision: 1,
        started_at_ms: 1,
        service: service.into(),
        software_version: "v1".into(),
        address: "127.0.0.1:9".parse().expect("a valid address"),
        data_centre: "dc-a".into(),
        slots,
        phase: UpstreamPhase::Serving,
    }
}

/// Stream of an exchange with a peer that sends one response, or none, and accepts every message.
#[derive(Debug)]
pub(super) struct ResponseStream {
    pub(super) response: Option<PeerMessage>,
}

#[async_trait]
impl PeerStream for ResponseStream {
    async fn receive(&mut self) -> Result<Option<PeerMessage>, PeerError> {
        Ok(self.response.take())
    }

    async fn send(&mut self, _message: &PeerMessage) -> Result<(), PeerError> {
        Ok(())
    }

    fn finish(&mut self) {}

    async fn wait_until_received(&mut self) -> Result<(), PeerError> {
        Ok(())
    }
}

/// Stream on which a host answers one message.
#[derive(Debug)]
struct AnswerStream(Arc<Mutex<Option<PeerMessage>>>);

#[async_trait]
impl PeerStream for AnswerStream {
    async fn receive(&mut self) -> Result<Option<PeerMessage>, PeerError> {
        Ok(None)
    }

    async fn send(&mut self, message: &PeerMessage) -> Result<(), PeerError> {
        *self.0.lock() = Some(message.clone());
        Ok(())
    }

    fn finish(&mut self) {}

    async fn wait_until_received(&mut self) -> Result<(), PeerError> {
        Ok(())
    }
}

/// Hands a message to a host, and returns its answer.
pub(super) async fn exchange_message(
    host: &Arc<PeerMesh>,
    message: PeerMessage,
) -> Option<PeerMessage> {
    let answer = Arc::new(Mutex::new(None));
    Arc::clone(host).handle(message, Box::new(AnswerStream(Arc::clone(&answer)))).await;
    answer.lock().take()
}
