//! What is sent again, what is promised, and how streams go on.

use std::{collections::BTreeMap, sync::Arc};

use bytes::Bytes;
use hyper::{HeaderMap, Method, StatusCode};
use parking_lot::Mutex;
use tokio::time::{Duration, Instant};

use super::entry_fakes::{MemoryStore, ScriptedAnswer, ScriptedChannel, upstream};
use crate::{
    CrashLedger,
    entry::{
        BudgetLedger, EntryRefusal, EntryRequest, EntryResponse, PlacementPool, RelayedBody,
        RequestKind, RouteTarget, ServiceConfig, ServiceRoute, StreamItem,
        entry_metrics::EntryMetrics,
        request_runner::{RequestRunner, RunnableRequest, RunnerParts},
        turn_journal::TurnJournal,
    },
};

const OK: ScriptedAnswer =
    ScriptedAnswer::Whole { status: StatusCode::OK, has_not_run: false, is_signed: true };
const FULL: ScriptedAnswer = ScriptedAnswer::Whole {
    status: StatusCode::SERVICE_UNAVAILABLE,
    has_not_run: true,
    is_signed: false,
};

struct Played {
    answer: EntryResponse,
    channel: Arc<ScriptedChannel>,
    took: Duration,
}

impl Played {
    fn outcome(&self) -> String {
        match &self.answer {
            EntryResponse::Relayed(answer) => answer.status.as_u16().to_string(),
            EntryResponse::Refused { refusal, .. } => refusal.to_string(),
        }
    }

    fn upstreams(&self) -> Vec<Arc<str>> {
        self.channel.sent().into_iter().map(|(upstream, _)| upstream).collect()
    }
}

async fn play(kind: RequestKind, answers: Vec<ScriptedAnswer>) -> Played {
    let store = Arc::new(MemoryStore::default());
    let channel = Arc::new(ScriptedChannel::new(answers));
    let metrics = Arc::new(EntryMetrics::new().expect("metrics"));
    let ledger = Arc::new(Mutex::new(BudgetLedger::default()));
    let regions = BTreeMap::from([("dc-a".into(), "north".into())]);
    let pool = Arc::new(PlacementPool::new("dc-a".into(), regions));
    (1..=6).for_each(|it| pool.upsert(upstream(&format!("u{it}"), "service", 4)));

    let parts = Arc::new(RunnerParts {
        pool,
        channel: Arc::clone(&channel) as Arc<_>,
        journal: Arc::new(TurnJournal::new(store, ledger, Arc::clone(&metrics), "host-a.1".into())),
        history: Arc::default(),
        crashes: Arc::new(Mutex::new(CrashLedger::default())),
        metrics,
    });

    let now = Instant::now();
    let request = EntryRequest {
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
    };
    let route = ServiceRoute {
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
        targets: vec![RouteTarget { service: "service".into(), weight: 1.0 }],
    };
    let service = ServiceConfig {
        name: "service".into(),
        connection_limit: 10,
        tokens_per_event: 23,
        cache_tokens: 0,
    };
    let runnable = RunnableRequest {
        body: request.body.clone(),
        request,
        route: Arc::new(route),
        service: Arc::new(service),
        fingerprint: 1,
        limit: now + Duration::from_secs(2),
        is_continuation: false,
    };

    let answer = RequestRunner::new(parts, runnable, None).run().await;
    Played { answer, channel, took: now.elapsed() }
}

/// Plays a stream, and gives what the client has got and whether it ended properly.
async fn play_stream(can_resume: bool, answers: Vec<ScriptedAnswer>) -> (String, bool, Played) {
    let mut played = play(RequestKind::Stream { can_resume }, answers).await;
    let EntryResponse::Relayed(answer) = &mut played.answer else {
        panic!("no stream: {}", played.outcome());
    };
    let RelayedBody::Events(events) = &mut answer.body else {
        panic!("no events");
    };

    let mut text = String::new();
    let mut is_complete = false;

    while let Some(item) = events.recv().await {
        match item {
            StreamItem::Bytes(bytes) => text.push_str(std::str::from_utf8(&bytes).expect("text")),
            StreamItem::End => is_complete = true,
        }
    }

    (text, is_complete, played)
}

#[tokio::test(start_paused = true)]
async fn runner_sends_an_unsafe_request_once_when_its_answer_is_lost() {
    let played = play(RequestKind::AtMostOnce, vec![ScriptedAnswer::Broken]).await;
    assert_eq!((played.outcome().as_str(), played.upstreams().len()), ("answer_lost", 1));
}

#[tokio::test(start_paused = true)]
async fn runner_sends_an_unsafe_request_again_when_it_has_not_run() {
    let answers = vec![FULL, ScriptedAnswer::NotSent, OK];
    let played = play(RequestKind::AtMostOnce, answers).await;
    assert_eq!(played.outcome(), "200");
    let mut upstreams = played.upstreams();
    upstreams.sort();
    upstreams.dedup();
    assert_eq!(upstreams.len(), 3, "an upstream that refused is not asked twice");
}

#[tokio::test(start_paused = true)]
async fn runner_promises_not_run_only_when_nothing_ran() {
    let played = play(RequestKind::AtMostOnce, vec![FULL; 4]).await;
    let EntryResponse::Refused { refusal: EntryRefusal::NotRun { retry_after }, .. } =
        played.answer
    else {
        panic!("{}", played.outcome());
    };
    assert!(retry_after > Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn runner_does_not_pass_on_a_refusal_that_promises_nothing() {
    let unstated = ScriptedAnswer::Whole {
        status: StatusCode::SERVICE_UNAVAILABLE,
        has_not_run: false,
        is_signed: true,
    };
    let played = play(RequestKind::AtMostOnce, vec![unstated]).await;
    assert_eq!(played.outcome(), "answer_lost");
}

#[tokio::test(start_paused = true)]
async fn runner_sends_an_idempotent_request_again_within_its_attempts() {
    let played = play(RequestKind::Idempotent, vec![ScriptedAnswer::Broken, OK]).await;
    assert_eq!((played.outcome().as_str(), played.upstreams().len()), ("200", 2));

    let played = play(RequestKind::Idempotent, vec![ScriptedAnswer::Broken; 2]).await;
    assert_eq!((played.outcome().as_str(), played.upstreams().len()), ("answer_lost", 2));
}

#[tokio::test(start_paused = true)]
async fn runner_does_not_wait_for_a_silent_upstream_if_another_may_answer() {
    let played = play(RequestKind::Idempotent, vec![ScriptedAnswer::Silent, OK]).await;
    assert_eq!(played.outcome(), "200");
    assert!(played.took < Duration::from_secs(1));
}

#[tokio::test(start_paused = true)]
async fn runner_answers_at_the_limit() {
    let played = play(RequestKind::AtMostOnce, vec![ScriptedAnswer::Silent]).await;
    assert_eq!(played.outcome(), "overdue");
    assert!(played.took >= Duration::from_secs(2) && played.took < Duration::from_millis(2_100));
}

#[tokio::test(start_paused = true)]
async fn runner_takes_an_unsigned_success_for_no_answer() {
    let unsigned =
        ScriptedAnswer::Whole { status: StatusCode::OK, has_not_run: false, is_signed: false };
    let played = play(RequestKind::Idempotent, vec![unsigned, OK]).await;
    assert_eq!((played.outcome().as_str(), played.upstreams().len()), ("200", 2));
}

#[tokio::test(start_paused = true)]
async fn relay_goes_on_after_the_last_whole_event() {
    let first = ScriptedAnswer::Stream {
        pieces: vec!["id: 1\ndata: a\n\nid: 2\nda", "ta: b\n\nid: 3\ndata: half"],
        ends: false,
    };
    let second = ScriptedAnswer::Stream {
        pieces: vec!["id: 2\ndata: b\n\n", "id: 3\ndata: c\n\nid: 4\ndata: d\n\n"],
        ends: true,
    };
    let (text, is_complete, played) = play_stream(true, vec![first, second]).await;
    assert_eq!(text, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n");
    assert!(is_complete);
    let sent = played.channel.sent();
    assert_eq!(sent[1].1.last_event_id.as_deref(), Some("2"));
    assert_ne!(sent[0].0, sent[1].0);
}

#[tokio::test(start_paused = true)]
async fn relay_breaks_off_a_stream_that_may_not_be_resumed() {
    let first = ScriptedAnswer::Stream { pieces: vec!["id: 1\ndata: a\n\n"], ends: false };
    let (text, is_complete, played) = play_stream(false, vec![first]).await;
    assert_eq!((text.as_str(), is_complete), ("id: 1\ndata: a\n\n", false));
    assert_eq!(played.upstreams().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn relay_takes_an_end_inside_an_event_for_a_break() {
    let first = ScriptedAnswer::Stream { pieces: vec!["id: 1\ndata: a\n\nid: 2\nda"], ends: true };
    let (text, is_complete, _) = play_stream(false, vec![first]).await;
    assert_eq!((text.as_str(), is_complete), ("id: 1\ndata: a\n\n", false));
}
