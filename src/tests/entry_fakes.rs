//! A store and upstreams in memory, with faults, for the tests of the entry host.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use async_trait::async_trait;
use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};
use parking_lot::Mutex;
use serde_json::value::RawValue;
use tokio::time::{Duration, sleep};

use crate::{
    PeerError, PeerMessage, PeerStream,
    entry::{
        ChannelError, ObjectPage, ObjectStore, ReadFreshness, StoreError, StoredObject,
        UpstreamBody, UpstreamChannel, UpstreamPhase, UpstreamRecord, UpstreamRequest,
        UpstreamResponse, WatchBatch, WriteOutcome,
    },
};

/// Objects of one page.
const PAGE_ITEMS: usize = 3;

/// Time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// What the store does wrong.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum StoreFault {
    #[default]
    None,
    /// Calls are refused.
    Refusing,
    /// Writes are done, and their answers are lost.
    LosingAnswers,
}

#[derive(Debug, Default)]
struct StoreState {
    objects: BTreeMap<(String, Arc<str>), StoredObject>,
    revision: u64,
    fault: StoreFault,
    calls: u64,
    watches: VecDeque<Result<WatchBatch, StoreError>>,
}

/// A store in memory.
#[derive(Debug, Default)]
pub(super) struct MemoryStore {
    state: Mutex<StoreState>,
}

impl MemoryStore {
    pub(super) fn set_fault(&self, fault: StoreFault) {
        self.state.lock().fault = fault;
    }

    pub(super) fn calls(&self) -> u64 {
        self.state.lock().calls
    }

    pub(super) fn count(&self, kind: &str) -> usize {
        self.state.lock().objects.keys().filter(|(it, _)| it == kind).count()
    }

    /// Answers that the next watches get; after them watches wait in vain.
    pub(super) fn script_watches(&self, answers: Vec<Result<WatchBatch, StoreError>>) {
        self.state.lock().watches = answers.into();
    }

    async fn call(&self) -> Result<StoreFault, StoreError> {
        sleep(ANSWER_TIME).await;
        let mut state = self.state.lock();
        state.calls += 1;

        match state.fault {
            StoreFault::Refusing => Err(StoreError::Refused { status: 503 }),
            fault => Ok(fault),
        }
    }

    async fn write(
        &self,
        kind: &str,
        name: &str,
        change: impl FnOnce(&mut StoreState, Option<StoredObject>) -> WriteOutcome,
    ) -> Result<WriteOutcome, StoreError> {
        let fault = self.call().await?;
        let mut state = self.state.lock();
        let current = state.objects.get(&(kind.to_owned(), name.into())).cloned();
        let outcome = change(&mut state, current);

        match fault {
            StoreFault::LosingAnswers => Err(StoreError::Unanswered { reason: "lost".into() }),
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
        self.call().await?;
        let state = self.state.lock();
        let rest: Vec<&StoredObject> = state
            .objects
            .iter()
            .filter(|((it, name), _)| it == kind && after.is_none_or(|after| **name > *after))
            .map(|(_, object)| object)
            .collect();

        Ok(ObjectPage {
            items: rest.iter().take(PAGE_ITEMS).copied().cloned().collect(),
            has_more: rest.len() > PAGE_ITEMS,
            store_revision: state.revision,
        })
    }

    async fn get(&self, kind: &str, name: &str) -> Result<Option<StoredObject>, StoreError> {
        self.call().await?;
        Ok(self.state.lock().objects.get(&(kind.to_owned(), name.into())).cloned())
    }

    async fn create(
        &self,
        kind: &str,
        name: &str,
        content: &RawValue,
    ) -> Result<WriteOutcome, StoreError> {
        self.write(kind, name, |state, current| match current {
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
        self.write(kind, name, |state, current| match current {
            Some(object) if object.revision == revision => state.put(kind, name, content),
            _ => WriteOutcome::Conflict,
        })
        .await
    }

    async fn replace_status(
        &self,
        _kind: &str,
        _name: &str,
        _status: &RawValue,
        _revision: u64,
    ) -> Result<WriteOutcome, StoreError> {
        self.call().await?;
        Ok(WriteOutcome::Conflict)
    }

    async fn remove(
        &self,
        kind: &str,
        name: &str,
        revision: u64,
    ) -> Result<WriteOutcome, StoreError> {
        self.write(kind, name, |state, current| match current {
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
        let scripted = self.state.lock().watches.pop_front();

        if let Some(answer) = scripted {
            return answer;
        }

        sleep(wait).await;
        let store_revision = self.state.lock().revision;
        Ok(WatchBatch { changes: Vec::new(), store_revision })
    }
}

/// What an upstream does with the next request.
#[derive(Clone, Debug)]
pub(super) enum ScriptedAnswer {
    NotSent,
    /// The connection breaks after the request was sent.
    Broken,
    Whole {
        status: StatusCode,
        has_not_run: bool,
        is_signed: bool,
    },
    /// Events as pieces of text; without a proper end the stream breaks off.
    Stream {
        pieces: Vec<&'static str>,
        ends: bool,
    },
    /// Nothing comes.
    Silent,
}

/// Upstreams that answer by a script, in the order of requests.
#[derive(Debug, Default)]
pub(super) struct ScriptedChannel {
    answers: Mutex<VecDeque<ScriptedAnswer>>,
    sent: Mutex<Vec<(Arc<str>, UpstreamRequest)>>,
}

impl ScriptedChannel {
    pub(super) fn new(answers: Vec<ScriptedAnswer>) -> Self {
        Self { answers: Mutex::new(answers.into()), sent: Mutex::default() }
    }

    /// The upstream and the request of each call.
    pub(super) fn sent(&self) -> Vec<(Arc<str>, UpstreamRequest)> {
        self.sent.lock().clone()
    }
}

#[async_trait]
impl UpstreamChannel for ScriptedChannel {
    async fn send(
        &self,
        upstream: &UpstreamRecord,
        request: UpstreamRequest,
    ) -> Result<UpstreamResponse, ChannelError> {
        self.sent.lock().push((Arc::clone(&upstream.id), request));
        let answer = self.answers.lock().pop_front().expect("a script for each request");
        let (status, has_not_run, is_signed, body) = match answer {
            ScriptedAnswer::NotSent => {
                return Err(ChannelError::NotSent { reason: "refused".into() });
            }
            ScriptedAnswer::Broken => return Err(ChannelError::Broken { reason: "reset".into() }),
            ScriptedAnswer::Silent => std::future::pending().await,
            ScriptedAnswer::Whole { status, has_not_run, is_signed } => {
                let pieces = VecDeque::from(["body"]);
                (status, has_not_run, is_signed, ScriptedBody { pieces, ends: true })
            }
            ScriptedAnswer::Stream { pieces, ends } => {
                (StatusCode::OK, false, true, ScriptedBody { pieces: pieces.into(), ends })
            }
        };

        Ok(UpstreamResponse {
            status,
            headers: HeaderMap::new(),
            has_not_run,
            is_signed,
            load: None,
            body: Box::new(body),
        })
    }

    fn close_expired(&self) {}
}

#[derive(Debug)]
struct ScriptedBody {
    pieces: VecDeque<&'static str>,
    ends: bool,
}

#[async_trait]
impl UpstreamBody for ScriptedBody {
    async fn next(&mut self) -> Result<Option<Bytes>, ChannelError> {
        sleep(Duration::from_millis(1)).await;

        match self.pieces.pop_front() {
            Some(piece) => Ok(Some(Bytes::from_static(piece.as_bytes()))),
            None if self.ends => Ok(None),
            None => Err(ChannelError::Broken { reason: "reset".into() }),
        }
    }
}

/// An upstream of a service in the data centre `dc-a`.
pub(super) fn upstream(id: &str, service: &str, slots: u32) -> UpstreamRecord {
    UpstreamRecord {
        id: id.into(),
        started_at_ms: 1,
        service: service.into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        data_centre: "dc-a".into(),
        slots,
        phase: UpstreamPhase::Serving,
    }
}

/// An exchange with a peer that gives one answer.
#[derive(Debug)]
pub(super) struct AnswerStream {
    pub(super) answer: Option<PeerMessage>,
}

#[async_trait]
impl PeerStream for AnswerStream {
    async fn receive(&mut self) -> Result<Option<PeerMessage>, PeerError> {
        Ok(self.answer.take())
    }

    async fn send(&mut self, _message: &PeerMessage) -> Result<(), PeerError> {
        Ok(())
    }

    fn finish(&mut self) {}
}
