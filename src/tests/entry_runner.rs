//! Tests of retries, of the refusals that clients get, and of the resumption of streams.

use std::{collections::BTreeMap, sync::Arc};

use bytes::Bytes;
use hyper::{HeaderMap, Method, StatusCode};
use parking_lot::Mutex;
use tokio::time::{Duration, Instant, sleep};

use super::entry_fakes::{MemoryStore, ScriptedChannel, ScriptedResponse, upstream};
use crate::{
    CrashTracker,
    entry::{
        BudgetLedger, BufferBudget, EntryRefusal, EntryRequest, EntryResponse, KeyChecker,
        PlacementPool, PossibleRuns, RelayedBody, RequestKind, RouteTarget, ServiceConfig,
        ServiceRoute, StoreMonitor, StreamItem, UpstreamRecord,
        chain_recorder::ChainRecorder,
        dispatching::placement_server::PlacementServer,
        entry_metrics::EntryMetrics,
        placement_request::PlacementRequest,
        request_runner::{RequestRunner, RunnerContext},
        request_signature::RequestSignature,
        routed_request::RoutedRequest,
        turn_journal::TurnJournal,
    },
};

pub(super) const OK: ScriptedResponse =
    ScriptedResponse::Whole { status: StatusCode::OK, has_not_run: false, is_signed: true };
pub(super) const FULL: ScriptedResponse = ScriptedResponse::Whole {
    status: StatusCode::SERVICE_UNAVAILABLE,
    has_not_run: true,
    is_signed: false,
};

pub(super) struct RunResult {
    response: EntryResponse,
    channel: Arc<ScriptedChannel>,
    pool: Arc<PlacementPool>,
    elapsed: Duration,
}

impl RunResult {
    /// Status of a relayed response, or the name of a refusal.
    pub(super) fn outcome(&self) -> String {
        match &self.response {
            EntryResponse::Relayed(response) => response.status.as_u16().to_string(),
            EntryResponse::Refused { refusal, .. } => refusal.to_string(),
        }
    }

    /// Upstreams in the order in which they got the request.
    pub(super) fn upstreams(&self) -> Vec<Arc<str>> {
        self.channel.requests().into_iter().map(|(upstream, _)| upstream).collect()
    }
}

/// Number of upstreams, unless a test needs another.
const UPSTREAM_COUNT: u32 = 6;

pub(super) async fn run_request(kind: RequestKind, responses: Vec<ScriptedResponse>) -> RunResult {
    run_request_on(UPSTREAM_COUNT, kind, responses).await
}

pub(super) async fn run_request_on(
    upstream_count: u32,
    kind: RequestKind,
    responses: Vec<ScriptedResponse>,
) -> RunResult {
    run_request_on_versions(&vec!["v1"; upstream_count as usize], kind, responses).await
}

/// Runs a request on upstreams with these software versions, named u1, u2 and so on.
async fn run_request_on_versions(
    versions: &[&str],
    kind: RequestKind,
    responses: Vec<ScriptedResponse>,
) -> RunResult {
    let channel = Arc::new(ScriptedChannel::new(responses));
    let pool = pool();

    for (number, version) in (1..).zip(versions) {
        let software_version = Arc::from(*version);
        pool.upsert(UpstreamRecord {
            software_version,
            ..upstream(&format!("u{number}"), "service", 4)
        });
    }

    let now = Instant::now();
    let response = runner(&pool, &channel, kind).run().await;
    RunResult { response, channel, pool, elapsed: now.elapsed() }
}

/// A pool without upstreams.
pub(super) fn pool() -> Arc<PlacementPool> {
    let regions = BTreeMap::from([("dc-a".into(), "north".into())]);
    Arc::new(PlacementPool::new("dc-a".into(), regions))
}

/// A request that runs on the upstreams of a pool, over a channel.
pub(super) fn runner(
    pool: &Arc<PlacementPool>,
    channel: &Arc<ScriptedChannel>,
    kind: RequestKind,
) -> RequestRunner {
    runner_with_crashes(pool, channel, kind, &Arc::default())
}

/// As [`runner`], on a host with these crash counts.
pub(super) fn runner_with_crashes(
    pool: &Arc<PlacementPool>,
    channel: &Arc<ScriptedChannel>,
    kind: RequestKind,
    crashes: &Arc<Mutex<CrashTracker>>,
) -> RequestRunner {
    runner_with_buffers(pool, channel, kind, crashes, &Arc::default())
}

/// As [`runner_with_crashes`], on a host with these buffers.
pub(super) fn runner_with_buffers(
    pool: &Arc<PlacementPool>,
    channel: &Arc<ScriptedChannel>,
    kind: RequestKind,
    crashes: &Arc<Mutex<CrashTracker>>,
    buffers: &Arc<BufferBudget>,
) -> RequestRunner {
    let store = Arc::new(MemoryStore::default());
    let metrics = Arc::new(EntryMetrics::new().expect("metrics"));
    let ledger = Arc::new(Mutex::new(BudgetLedger::default()));

    let monitor = StoreMonitor::new(Arc::clone(&store) as Arc<_>);
    let journal =
        Arc::new(TurnJournal::new(store, ledger, Arc::clone(&metrics), "host-a.1".into()));
    let context = Arc::new(RunnerContext {
        pool: Arc::clone(pool),
        channel: Arc::clone(channel) as Arc<_>,
        chains: ChainRecorder { journal, history: Arc::default() },
        buffers: Arc::clone(buffers),
        streams: Arc::default(),
        crashes: Arc::clone(crashes),
        presumed_crashes: Mutex::default(),
        completions: Mutex::default(),
        trials: Mutex::default(),
        keys: KeyChecker::new(&monitor, &metrics),
        dispatch: None,
        placements: PlacementServer::new(pool, &metrics, false),
        metrics,
    });

    let now = Instant::now();
    let request = EntryRequest {
        key: crate::entry::ClientKey::Missing,
        id: "r1".into(),
        method: Method::POST,
        host: "a.example".into(),
        path: "/x/1".into(),
        target: "/x/1?q".into(),
        headers: HeaderMap::new(),
        body: Bytes::from_static(b"body"),
        received: now,
        deadline: None,
        program: None,
        prompt_tokens: 0,
        max_completion_tokens: 0,
        prompt_parts: Vec::new(),
        last_event_id: None,
        resumed_request: None,
        possible_runs: PossibleRuns::default(),
        is_forwarded: false,
    };
    let route = ServiceRoute {
        is_public: false,
        name: "route".into(),
        host: "a.example".into(),
        path_prefix: "/x/".into(),
        kind,
        timeout: Duration::from_secs(2),
        latency_objective: Duration::from_millis(150),
        event_gap_objective: Some(Duration::from_millis(200)),
        priority: 0,
        attempt_limit: 2,
        history_retention: None,
        object_cookie: None,
        targets: vec![RouteTarget { service: "service".into(), weight: 1.0 }],
    };
    let service = ServiceConfig {
        name: "service".into(),
        connection_limit: 10,
        tokens_per_event: 23,
        cache_tokens: 0,
    };
    let routed = RoutedRequest {
        team: None,
        body: request.body.clone(),
        request,
        route: Arc::new(route),
        service: Arc::new(service),
        signature: RequestSignature { content: 1, target: 1_001, has_body: true },
        deadline: now + Duration::from_secs(2),
        chain: Vec::new(),
        _body_lease: None,
        software_version: None,
    };

    RequestRunner::new(context, routed, None)
}

/// Runs a stream. Returns the text that the client has received and whether the stream is complete.
pub(super) async fn run_stream(
    can_resume: bool,
    responses: Vec<ScriptedResponse>,
) -> (String, bool, RunResult) {
    read_stream(run_request(RequestKind::Stream { can_resume }, responses).await).await
}

/// Reads a stream to its end. Returns the text that the client has received and whether the stream is complete.
async fn read_stream(mut result: RunResult) -> (String, bool, RunResult) {
    let events = read_events(&mut result.response).await;
    let (text, is_complete) = events.expect("a stream of events");
    (text, is_complete, result)
}

/// Reads the stream of a response to its end. Returns its text and whether it is complete, or `None` for another response.
pub(super) async fn read_events(response: &mut EntryResponse) -> Option<(String, bool)> {
    let EntryResponse::Relayed(response) = response else {
        return None;
    };
    let RelayedBody::Events(events) = &mut response.body else {
        return None;
    };

    let mut text = String::new();
    let mut is_complete = false;

    while let Some(item) = events.recv().await {
        match item {
            StreamItem::Bytes(bytes) => text.push_str(std::str::from_utf8(&bytes).expect("text")),
            StreamItem::End => is_complete = true,
        }
    }

    Some((text, is_complete))
}

#[tokio::test(start_paused = true)]
async fn runner_sends_an_at_most_once_request_once_when_its_response_is_lost() {
    let result = run_request(RequestKind::AtMostOnce, vec![ScriptedResponse::Broken]).await;
    assert_eq!((result.outcome().as_str(), result.upstreams().len()), ("answer_lost", 1));
}

#[tokio::test(start_paused = true)]
async fn runner_retries_an_at_most_once_request_that_has_not_run() {
    let responses = vec![FULL, ScriptedResponse::NotSent, OK];
    let result = run_request(RequestKind::AtMostOnce, responses).await;
    assert_eq!(result.outcome(), "200");
    let mut upstreams = result.upstreams();
    upstreams.sort();
    upstreams.dedup();
    assert_eq!(upstreams.len(), 3, "an upstream got the request twice");
}

/// Guards against an upstream that fails at once and gets most requests, since it has free slots all the time.
#[tokio::test(start_paused = true)]
async fn runner_avoids_upstream_that_answers_with_server_errors() {
    let pool = pool();
    ["u1", "u2"].iter().for_each(|id| pool.upsert(upstream(id, "service", 4)));
    let status = StatusCode::INTERNAL_SERVER_ERROR;
    let failed = || ScriptedResponse::Whole { status, has_not_run: false, is_signed: true };
    let channel = Arc::new(ScriptedChannel::new(vec![failed(), failed(), OK]));

    for expected in ["500", "500", "200"] {
        let response = runner(&pool, &channel, RequestKind::AtMostOnce).run().await;
        let EntryResponse::Relayed(response) = response else {
            panic!("expected a relayed response, received {response:?}");
        };
        assert_eq!(response.status.as_str(), expected);
    }

    let upstreams: Vec<Arc<str>> = channel.requests().into_iter().map(|(it, _)| it).collect();
    assert_eq!(upstreams[0], upstreams[1]);
    assert_ne!(upstreams[1], upstreams[2], "a failing upstream got a third request");
}

#[tokio::test(start_paused = true)]
async fn runner_answers_not_run_when_every_upstream_rejects() {
    let result = run_request(RequestKind::AtMostOnce, vec![FULL; 4]).await;
    let EntryResponse::Refused { refusal: EntryRefusal::NotRun { retry_after }, .. } =
        result.response
    else {
        panic!("the request was not refused as not run: {}", result.outcome());
    };
    assert!(retry_after > Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn runner_does_not_relay_a_rejection_that_does_not_state_not_run() {
    let unstated_rejection = ScriptedResponse::Whole {
        status: StatusCode::SERVICE_UNAVAILABLE,
        has_not_run: false,
        is_signed: true,
    };
    let result = run_request(RequestKind::AtMostOnce, vec![unstated_rejection]).await;
    assert_eq!(result.outcome(), "answer_lost");
}

#[tokio::test(start_paused = true)]
async fn runner_retries_an_idempotent_request_up_to_the_attempt_limit() {
    let result = run_request(RequestKind::Idempotent, vec![ScriptedResponse::Broken, OK]).await;
    assert_eq!((result.outcome().as_str(), result.upstreams().len()), ("200", 2));

    let result = run_request(RequestKind::Idempotent, vec![ScriptedResponse::Broken; 2]).await;
    assert_eq!((result.outcome().as_str(), result.upstreams().len()), ("answer_lost", 2));
}

#[tokio::test(start_paused = true)]
async fn runner_retries_elsewhere_when_an_upstream_is_silent() {
    let result = run_request(RequestKind::Idempotent, vec![ScriptedResponse::Silent, OK]).await;
    assert_eq!(result.outcome(), "200");
    assert!(result.elapsed < Duration::from_secs(1));
}

#[tokio::test(start_paused = true)]
async fn runner_answers_at_the_deadline() {
    let result = run_request(RequestKind::AtMostOnce, vec![ScriptedResponse::Silent]).await;
    assert_eq!(result.outcome(), "overdue");
    assert!(
        result.elapsed >= Duration::from_secs(2) && result.elapsed < Duration::from_millis(2_100)
    );
}

#[tokio::test(start_paused = true)]
async fn runner_rejects_an_unsigned_success() {
    let unsigned =
        ScriptedResponse::Whole { status: StatusCode::OK, has_not_run: false, is_signed: false };
    let result = run_request(RequestKind::Idempotent, vec![unsigned, OK]).await;
    assert_eq!((result.outcome().as_str(), result.upstreams().len()), ("200", 2));
}

#[tokio::test(start_paused = true)]
async fn relay_resumes_after_the_last_whole_event() {
    let first = ScriptedResponse::Stream {
        chunks: vec!["id: 1\ndata: a\n\nid: 2\nda", "ta: b\n\nid: 3\ndata: half"],
        is_complete: false,
    };
    let second = ScriptedResponse::Stream {
        chunks: vec!["id: 2\ndata: b\n\n", "id: 3\ndata: c\n\nid: 4\ndata: d\n\n"],
        is_complete: true,
    };
    let (text, is_complete, result) = run_stream(true, vec![first, second]).await;
    assert_eq!(text, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n");
    assert!(is_complete);
    let sent = result.channel.requests();
    assert_eq!(sent[1].1.last_event_id.as_deref(), Some("2"));
    assert_ne!(sent[0].0, sent[1].0);
}

#[tokio::test(start_paused = true)]
async fn relay_breaks_off_a_stream_that_must_not_be_resumed() {
    let first = ScriptedResponse::Stream { chunks: vec!["id: 1\ndata: a\n\n"], is_complete: false };
    let (text, is_complete, result) = run_stream(false, vec![first]).await;
    assert_eq!((text.as_str(), is_complete), ("id: 1\ndata: a\n\n", false));
    assert_eq!(result.upstreams().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn relay_treats_an_end_inside_an_event_as_a_break() {
    let first =
        ScriptedResponse::Stream { chunks: vec!["id: 1\ndata: a\n\nid: 2\nda"], is_complete: true };
    let (text, is_complete, _) = run_stream(false, vec![first]).await;
    assert_eq!((text.as_str(), is_complete), ("id: 1\ndata: a\n\n", false));
}

/// A request for a slot on an upstream that is not in `excluded`.
pub(super) fn placement(excluded: &[&str]) -> PlacementRequest {
    let deadline = Instant::now() + Duration::from_secs(2);

    PlacementRequest {
        team: None,
        service: "service".into(),
        route: "route".into(),
        request: "request".into(),
        program: None,
        priority: 0,
        is_continuation: false,
        finish_by: deadline,
        deadline,
        prompt_parts: Vec::new(),
        prompt_tokens: 0,
        completion_tokens: 0,
        object: None,
        may_repeat: true,
        software_version: None,
        excluded: excluded.iter().map(|it| Arc::from(*it)).collect(),
    }
}

/// A stream that pauses for longer than three times the gap objective, and then goes on.
const PAUSING_STREAM: ScriptedResponse = ScriptedResponse::PausingStream {
    events: "id: 1\ndata: a\n\n",
    pause: Duration::from_millis(900),
    rest: "id: 2\ndata: b\n\n",
};

#[tokio::test(start_paused = true)]
async fn relay_keeps_a_silent_upstream_while_no_other_can_take_the_stream() {
    let kind = RequestKind::Stream { can_resume: true };
    let result = run_request_on(1, kind, vec![PAUSING_STREAM]).await;
    let (text, is_complete, _) = read_stream(result).await;
    assert_eq!((text.as_str(), is_complete), ("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", true));
}

#[tokio::test(start_paused = true)]
async fn relay_keeps_a_silent_upstream_until_another_accepts_the_stream() {
    let kind = RequestKind::Stream { can_resume: true };
    for rejection in [FULL, ScriptedResponse::NotSent] {
        let result = run_request_on(2, kind, vec![PAUSING_STREAM, rejection]).await;
        let (text, is_complete, _) = read_stream(result).await;
        assert_eq!((text.as_str(), is_complete), ("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", true));
    }
}

#[tokio::test(start_paused = true)]
async fn relay_resumes_elsewhere_when_an_upstream_is_silent() {
    let second =
        ScriptedResponse::Stream { chunks: vec!["id: 2\ndata: other\n\n"], is_complete: true };
    let (text, is_complete, result) = run_stream(true, vec![PAUSING_STREAM, second]).await;
    assert_eq!((text.as_str(), is_complete), ("id: 1\ndata: a\n\nid: 2\ndata: other\n\n", true));
    assert_eq!(result.upstreams().len(), 2);
}

#[tokio::test(start_paused = true)]
async fn relay_sends_nothing_for_a_client_that_left_while_its_stream_waits() {
    let first = ScriptedResponse::Stream { chunks: vec!["id: 1\ndata: a\n\n"], is_complete: false };
    let kind = RequestKind::Stream { can_resume: true };
    let result = run_request_on(1, kind, vec![first]).await;
    let (channel, pool) = (Arc::clone(&result.channel), Arc::clone(&result.pool));
    pool.upsert(upstream("u2", "service", 1));
    let slot = pool.try_acquire(&placement(&["u1"])).expect("a free slot");
    sleep(Duration::from_millis(100)).await;
    drop(result);
    sleep(Duration::from_millis(100)).await;
    drop(slot);
    sleep(Duration::from_millis(100)).await;
    assert_eq!(channel.requests().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn relay_never_resumes_a_stream_at_another_software_version() {
    let kind = RequestKind::Stream { can_resume: true };
    let first =
        || ScriptedResponse::Stream { chunks: vec!["id: 1\ndata: a\n\n"], is_complete: false };
    let second =
        || ScriptedResponse::Stream { chunks: vec!["id: 2\ndata: b\n\n"], is_complete: true };

    let versions = ["v1", "v2", "v1", "v2"];
    let result = run_request_on_versions(&versions, kind, vec![first(), second()]).await;
    let (_, is_complete, result) = read_stream(result).await;
    let version = |id: &Arc<str>| if matches!(&**id, "u1" | "u3") { "v1" } else { "v2" };
    let used: Vec<&str> = result.upstreams().iter().map(version).collect();
    assert!(is_complete && used[0] == used[1], "resumed at another version: {used:?}");

    let result = run_request_on_versions(&["v1", "v2"], kind, vec![first(), second()]).await;
    let (text, is_complete, result) = read_stream(result).await;
    assert_eq!((text.as_str(), is_complete), ("id: 1\ndata: a\n\n", false));
    assert_eq!(result.upstreams().len(), 1);
}
