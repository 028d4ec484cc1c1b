//! Tests of the counts of upstreams that have ended under a request: over hosts, over attempts and over restarts.

use std::sync::Arc;

use hyper::StatusCode;
use parking_lot::Mutex;

use super::{
    entry_fakes::{ScriptedChannel, ScriptedResponse, upstream},
    entry_runner::{pool, read_events, runner_with_crashes},
};
use crate::{
    CrashTracker,
    entry::{EntryResponse, RequestKind},
};

/// Fingerprint of the requests that `runner_with_crashes` makes.
const FINGERPRINT: u64 = 1;

/// Runs a request once on two upstreams that are numbered from `first`, and reads its stream to the end if there is one.
async fn run(
    crashes: &Arc<Mutex<CrashTracker>>,
    first: u32,
    kind: RequestKind,
    responses: Vec<ScriptedResponse>,
) -> (String, usize) {
    let channel = Arc::new(ScriptedChannel::new(responses));
    let pool = pool();
    for number in [first, first + 1] {
        pool.upsert(upstream(&format!("u{number}"), "service", 4));
    }
    let mut response = runner_with_crashes(&pool, &channel, kind, crashes).run().await;
    read_events(&mut response).await;

    let outcome = match &response {
        EntryResponse::Relayed(response) => response.status.as_u16().to_string(),
        EntryResponse::Refused { refusal, .. } => refusal.to_string(),
    };
    (outcome, channel.requests().len())
}

#[tokio::test(start_paused = true)]
async fn crash_count_adds_up_what_several_hosts_have_seen() {
    let hosts: Vec<Arc<Mutex<CrashTracker>>> = (0..3).map(|_| Arc::default()).collect();
    for (number, crashes) in (1..).zip(&hosts) {
        let channel = Arc::new(ScriptedChannel::new(vec![ScriptedResponse::Broken]));
        let pool = pool();
        pool.upsert(upstream(&format!("u{number}"), "service", 4));
        runner_with_crashes(&pool, &channel, RequestKind::AtMostOnce, crashes).run().await;
    }

    for (index, crashes) in hosts.iter().enumerate() {
        let notes = crashes.lock().take_pending_notes();
        let others = hosts.iter().enumerate().filter(|(other, _)| *other != index);
        others.for_each(|(_, it)| notes.iter().for_each(|note| it.lock().merge(note)));
    }

    let counts: Vec<u32> = hosts.iter().map(|it| it.lock().crash_count(FINGERPRINT)).collect();
    assert_eq!(counts, [3, 3, 3]);
}

#[tokio::test(start_paused = true)]
async fn crash_count_includes_stream_that_breaks_after_its_first_event() {
    let crashes = Arc::default();
    let kind = RequestKind::Stream { can_resume: false };
    let stream =
        ScriptedResponse::Stream { chunks: vec!["id: 1\ndata: a\n\n"], is_complete: false };
    run(&crashes, 1, kind, vec![stream]).await;
    assert_eq!(crashes.lock().crash_count(FINGERPRINT), 1);
}

#[tokio::test(start_paused = true)]
async fn crash_count_includes_upstream_that_falls_silent() {
    let crashes = Arc::default();
    run(&crashes, 1, RequestKind::AtMostOnce, vec![ScriptedResponse::Silent]).await;
    assert_eq!(crashes.lock().crash_count(FINGERPRINT), 1);
}

#[tokio::test(start_paused = true)]
async fn crash_limit_ends_retries_that_are_under_way() {
    let crashes: Arc<Mutex<CrashTracker>> = Arc::default();
    for first in [1, 3] {
        run(&crashes, first, RequestKind::AtMostOnce, vec![ScriptedResponse::Broken]).await;
    }

    let answer =
        ScriptedResponse::Whole { status: StatusCode::OK, has_not_run: false, is_signed: true };
    let responses = vec![ScriptedResponse::Broken, answer];
    let (outcome, attempts) = run(&crashes, 5, RequestKind::Idempotent, responses).await;
    assert_eq!((outcome.as_str(), attempts), ("answer_lost", 1));
}
