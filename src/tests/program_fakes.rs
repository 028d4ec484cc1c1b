//! Owners of a shard in memory, with cells and upstreams that follow scripts.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use bytes::Bytes;
use parking_lot::Mutex;
use serde_json::json;
use tokio::{sync::mpsc, task::JoinHandle, time::Instant};

use super::memory_platform::{FaultRates, MemoryPlatform};
use crate::{
    CallRecord, CallRequest, CallState, CellGateway, CellPermit, CellRefusal, CellReport,
    CellRequest, CommitOutcome, ConfigEntry, ConfigStore, CreateRequest, EngineOrder, LogRecord,
    ModelName, NodeMetrics, OwnershipCheck, PlatformClient, ProbeOutcome, Problem, ProgramAnswer,
    ProgramEvent, ProgramId, ProgramOperation, ProgramRequest, ProgramService, ReceiptSealer,
    RefusalReason, RequestOutcome, RetryBudget, ShardId, ShardLog, ShardOwner, ShardTable,
    StreamTimeouts, TurnRequest, UpstreamClient, UpstreamError, UpstreamName, UpstreamResponse,
    UpstreamStream, WriterId,
};

pub(super) const SHARD: ShardId = ShardId(1);
pub(super) const PROGRAM: ProgramId = ProgramId { shard: SHARD, serial: 7 };

/// Budget that has room for many turns.
pub(super) const LARGE_BUDGET: u64 = 100_000;

const COMMIT_TIMEOUT: Duration = Duration::from_millis(200);
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);
const START_TIME: Duration = Duration::from_millis(10);
const APPEND_RATE: u32 = 1_000;

/// Cell that refuses requests as scripted, and grants all others.
#[derive(Debug, Default)]
pub(super) struct ScriptedCells {
    /// For each request the reason of its refusal, or `None` for a grant.
    pub(super) script: Mutex<VecDeque<Option<RefusalReason>>>,
    /// Whether requests wait for ever.
    pub(super) is_held: AtomicBool,
}

#[derive(Debug)]
struct FakePermit {
    upstream: UpstreamName,
}

#[async_trait]
impl CellPermit for FakePermit {
    async fn finish(self: Box<Self>, _report: CellReport) {}

    fn upstream(&self) -> &UpstreamName {
        &self.upstream
    }
}

#[async_trait]
impl CellGateway for ScriptedCells {
    async fn acquire(
        &self,
        model: &ModelName,
        _request: CellRequest,
    ) -> Result<Box<dyn CellPermit>, CellRefusal> {
        if self.is_held.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }

        match self.script.lock().pop_front().flatten() {
            Some(reason) => Err(CellRefusal { reason, retry_after_ms: 1 }),
            None => Ok(Box::new(FakePermit { upstream: format!("{model}-1").as_str().into() })),
        }
    }

    async fn end_programs(&self, _model: &ModelName, _programs: Vec<ProgramId>) {}
}

/// Upstream that fails requests as scripted, and answers all others.
#[derive(Debug, Default)]
pub(super) struct ScriptedUpstream {
    pub(super) script: Mutex<VecDeque<UpstreamError>>,
    /// Number of requests that may have reached the upstream.
    pub(super) runs: Mutex<u32>,
    /// Whether turns run for ever.
    pub(super) is_held: AtomicBool,
    /// Length of an answer, if it is not one character.
    pub(super) answer_bytes: AtomicUsize,
}

impl ScriptedUpstream {
    fn next_result(&self) -> Result<(), UpstreamError> {
        let error = self.script.lock().pop_front();

        if !error.as_ref().is_some_and(UpstreamError::is_not_run) {
            *self.runs.lock() += 1;
        }

        error.map_or(Ok(()), Err)
    }
}

struct FakeStream {
    chunks: VecDeque<Arc<str>>,
}

#[async_trait]
impl UpstreamStream for FakeStream {
    async fn next(&mut self) -> Result<Option<Arc<str>>, UpstreamError> {
        Ok(self.chunks.pop_front())
    }
}

#[async_trait]
impl UpstreamClient for ScriptedUpstream {
    async fn call(
        &self,
        _url: &str,
        _path: &str,
        _body: Bytes,
        _idempotency_key: &str,
        _call_timeout: Duration,
    ) -> Result<UpstreamResponse, UpstreamError> {
        self.next_result()?;
        Ok(UpstreamResponse { status: 200, body: "{}".into() })
    }

    async fn chat(
        &self,
        _url: &str,
        _body: Bytes,
        _timeouts: StreamTimeouts,
    ) -> Result<Box<dyn UpstreamStream>, UpstreamError> {
        self.next_result()?;

        if self.is_held.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }

        let content = "x".repeat(self.answer_bytes.load(Ordering::Relaxed).max(1));
        let delta = json!({ "choices": [{ "delta": { "content": content } }] });
        let usage = json!({ "usage": { "prompt_tokens": 5, "completion_tokens": 1 } });
        let chunks = [delta, usage].map(|chunk| chunk.to_string().into());
        Ok(Box::new(FakeStream { chunks: chunks.into() }))
    }

    async fn cache_keys(&self, _url: &str) -> Result<Vec<String>, UpstreamError> {
        Ok(Vec::new())
    }

    async fn send_order(&self, _url: &str, _order: &EngineOrder) -> Result<(), UpstreamError> {
        Ok(())
    }

    async fn probe(&self, _url: &str) -> ProbeOutcome {
        ProbeOutcome::Healthy { load: None }
    }

    async fn read(&self, _url: &str, _path: &str) -> Result<UpstreamResponse, UpstreamError> {
        Err(UpstreamError::Overdue)
    }
}

/// Answers of the other hosts on whether one of them may hold the shard.
#[derive(Debug, Default)]
pub(super) struct OtherHosts {
    pub(super) may_hold: AtomicBool,
}

#[async_trait]
impl OwnershipCheck for OtherHosts {
    async fn is_sole_owner(&self, _shard: ShardId) -> bool {
        !self.may_hold.load(Ordering::Relaxed)
    }
}

/// A host that has claimed the shard.
pub(super) struct FakeHost {
    pub(super) service: Arc<ProgramService>,
    pub(super) owner: Arc<ShardOwner>,
    pub(super) cells: Arc<ScriptedCells>,
    pub(super) upstream: Arc<ScriptedUpstream>,
    pub(super) other_hosts: Arc<OtherHosts>,
}

pub(super) fn memory_platform() -> Arc<MemoryPlatform> {
    MemoryPlatform::new(1, FaultRates::default())
}

pub(super) fn broken() -> UpstreamError {
    UpstreamError::Broken { reason: "reset".into() }
}

pub(super) fn not_sent() -> UpstreamError {
    UpstreamError::NotSent { reason: "no connection".into() }
}

fn config_store(platform: Arc<dyn PlatformClient>) -> Arc<ConfigStore> {
    let config = ConfigStore::new(platform, WriterId(1), Duration::ZERO);

    let patch = json!({
        "teams": { "tuul": { "key_hash": "0".repeat(64) } },
        "models": { "llm": { "kind": "engine" }, "ledger": { "kind": "service" } },
        "upstreams": {
            "llm-1": { "region": "ub", "model": "llm", "url": "http://127.0.0.1:1" },
            "ledger-1": { "region": "ub", "model": "ledger", "url": "http://127.0.0.1:2" },
        },
    });

    let patch = patch.to_string().into();
    let number =
        config.merge(vec![ConfigEntry { number: 1, patch, writer: WriterId(1), at_ms: 1 }]);
    assert_eq!(number, 1, "the configuration is valid");
    Arc::new(config)
}

impl FakeHost {
    /// Claims the shard, which deposes an owner that has not released it.
    pub(super) async fn claim(platform: &Arc<MemoryPlatform>, writer: u64) -> Self {
        let platform: Arc<dyn PlatformClient> = Arc::<MemoryPlatform>::clone(platform);
        let metrics = Arc::new(NodeMetrics::new().expect("the metrics are valid"));
        let started = Instant::now();
        let claimed =
            ShardLog::claim(Arc::clone(&platform), SHARD, &"host".into(), WriterId(writer))
                .await
                .expect("the platform has no faults");
        let owner =
            ShardOwner::new(SHARD, claimed.state, &claimed.log, started, Arc::clone(&metrics));
        let owner = Arc::new(owner);
        tokio::spawn(Arc::clone(&owner).run_writer(claimed.log, APPEND_RATE));
        let shards = Arc::new(ShardTable::default());
        shards.insert(Arc::clone(&owner));
        let cells = Arc::new(ScriptedCells::default());
        let upstream = Arc::new(ScriptedUpstream::default());
        let other_hosts = Arc::new(OtherHosts::default());

        let service = Arc::new(ProgramService {
            shards,
            config: config_store(Arc::clone(&platform)),
            cells: Arc::<ScriptedCells>::clone(&cells),
            upstreams: Arc::<ScriptedUpstream>::clone(&upstream),
            platform,
            ownership_check: Arc::<OtherHosts>::clone(&other_hosts),
            sealer: ReceiptSealer::new(&Arc::from("key")),
            retry_budget: RetryBudget::default(),
            metrics,
            commit_timeout: COMMIT_TIMEOUT,
        });

        Self { service, owner, cells, upstream, other_hosts }
    }

    /// A new shard's owner, with one program.
    pub(super) async fn with_program(platform: &Arc<MemoryPlatform>, budget_tokens: u64) -> Self {
        let host = Self::claim(platform, 1).await;
        host.create_program(budget_tokens).await;
        host
    }

    pub(super) async fn create_program(&self, budget_tokens: u64) {
        let create =
            CreateRequest { model: "llm".into(), budget_tokens, deadline_ms: None, parent: None };
        let answer = self.serve(ProgramOperation::Create(create)).await;
        assert!(matches!(answer, ProgramAnswer::Status(_)), "{answer:?}");
    }

    pub(super) async fn serve(&self, operation: ProgramOperation) -> ProgramAnswer {
        self.serve_team("tuul", operation).await
    }

    pub(super) async fn serve_team(
        &self,
        team: &str,
        operation: ProgramOperation,
    ) -> ProgramAnswer {
        let request = ProgramRequest { team: team.into(), program: PROGRAM, operation };
        let (sender, mut events) = mpsc::channel(64);
        Arc::clone(&self.service).serve(request, sender).await;

        loop {
            match events.recv().await {
                Some(ProgramEvent::Answer(answer)) => return answer,
                Some(ProgramEvent::Delta(_)) => (),
                other => panic!("the host gave no answer: {other:?}"),
            }
        }
    }

    /// Serves a request beside the test, until it waits.
    pub(super) async fn start(
        self: &Arc<Self>,
        operation: ProgramOperation,
    ) -> JoinHandle<ProgramAnswer> {
        let host = Arc::clone(self);
        let request = tokio::spawn(async move { host.serve(operation).await });
        tokio::time::sleep(START_TIME).await;
        request
    }

    /// Logs the intent of a call, as an owner does before it is lost.
    pub(super) fn log_intent(&self, call: &CallRequest) {
        let record = CallRecord {
            service: call.service.clone(),
            fingerprint: call.fingerprint(),
            is_repeatable: call.is_repeatable,
            state: CallState::Intended,
            at_ms: 1,
        };
        let intent =
            LogRecord::CallIntended { program: PROGRAM, number: call.number, call: record };
        self.owner.update(|_| Ok(vec![intent])).expect("the owner is open");
    }

    /// Serves a request that has to be refused.
    pub(super) async fn refusal(&self, operation: ProgramOperation) -> Problem {
        match self.serve(operation).await {
            ProgramAnswer::Problem(problem) => problem,
            answer => panic!("the request was not refused: {answer:?}"),
        }
    }

    /// Outcome of a request that the cell refuses.
    pub(super) async fn outcome_when_refused(&self, operation: ProgramOperation) -> RequestOutcome {
        self.cells.script.lock().push_back(Some(RefusalReason::NoUpstream));
        self.refusal(operation).await.outcome
    }

    /// Runs a turn to its end.
    pub(super) async fn complete(&self, number: u32) {
        let answer = self.serve(turn(number)).await;
        assert!(matches!(answer, ProgramAnswer::Turn(_)), "{answer:?}");
    }

    /// Serves a request whose only attempt breaks once it was sent.
    pub(super) async fn break_once(&self, operation: ProgramOperation) {
        self.upstream.script.lock().push_back(broken());
        self.cells.script.lock().extend([None, Some(RefusalReason::NoUpstream)]);
        self.refusal(operation).await;
        assert!(self.upstream.script.lock().is_empty(), "the attempt was made");
    }

    pub(super) async fn release(&self) {
        assert_eq!(self.owner.release(RELEASE_TIMEOUT).await, CommitOutcome::Durable);
    }
}

pub(super) fn turn_request(number: u32) -> TurnRequest {
    TurnRequest {
        number,
        messages: vec![json!({ "role": "user", "content": "x" }).to_string().into()],
        parameters: "{}".into(),
        answer_tokens: Some(100),
        is_stream: false,
        receipts: Vec::new(),
    }
}

pub(super) fn turn(number: u32) -> ProgramOperation {
    ProgramOperation::Turn(turn_request(number))
}

pub(super) fn call_request(number: u32, is_repeatable: bool) -> CallRequest {
    CallRequest {
        number,
        service: "ledger".into(),
        path: "/call/x".into(),
        body: "{}".into(),
        is_repeatable,
    }
}

pub(super) fn call(number: u32, is_repeatable: bool) -> ProgramOperation {
    ProgramOperation::Call(call_request(number, is_repeatable))
}
