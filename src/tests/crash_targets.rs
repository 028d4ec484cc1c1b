//! Tests of requests that crash upstreams by their target, whatever else they hold, and of those that share a target with them.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::time::{Duration, Instant, advance};

use super::{
    entry_fakes::{ScriptedChannel, ScriptedResponse, upstream},
    entry_runner::{pool, read_events, runner_with_crashes},
};
use crate::{
    CrashTracker,
    entry::{
        EntryResponse, PlacementPool, RequestKind, crash_guard::CRASH_LIMIT,
        request_runner::RunnerContext, target_completions::TargetCompletions,
        target_crashes::TargetCrashes,
    },
};

/// Target of the requests that crash upstreams.
const TARGET: u64 = 1_001;

/// Longest time until a refused request is tried again the first time.
const MAX_TRIAL_TIME: Duration = Duration::from_mins(2);

fn answer() -> ScriptedResponse {
    ScriptedResponse::Whole { status: hyper::StatusCode::OK, has_not_run: false, is_signed: true }
}

/// A host with upstreams of one slot each, so that a request which is sent takes another one than those before it.
struct TargetHost {
    pool: Arc<PlacementPool>,
    channel: Arc<ScriptedChannel>,
    crashes: Arc<Mutex<CrashTracker>>,
    context: Option<Arc<RunnerContext>>,
    next_content: u64,
    next_run: u64,
    has_body: bool,
}

impl TargetHost {
    fn new(responses: Vec<ScriptedResponse>) -> Self {
        Self {
            pool: pool(),
            channel: Arc::new(ScriptedChannel::new(responses)),
            crashes: Arc::default(),
            context: None,
            next_content: 1,
            next_run: 1,
            has_body: true,
        }
    }

    /// Runs a request with content of its own at a target, on an upstream that has just started. Returns whether it was sent.
    async fn run(&mut self, target: u64) -> bool {
        let sent = self.channel.requests().len();
        let response = self.begin(target, RequestKind::AtMostOnce).await;
        let is_sent = self.channel.requests().len() > sent;
        assert!(is_sent || !matches!(response, EntryResponse::Relayed(_)));
        is_sent
    }

    fn list_new_runs(&mut self) {
        for number in 1..=2 {
            let mut record = upstream(&format!("u{number}"), "service", 4);
            record.started_at_ms = self.next_run;
            record.revision = self.next_run;
            self.pool.upsert(record);
        }
        self.next_run += 1;
    }

    /// Counts the crashes that the list of upstreams confirms.
    fn settle(&mut self) {
        self.list_new_runs();
        self.context.iter().for_each(|it| it.settle_ended_runs());
    }

    async fn begin(&mut self, target: u64, kind: RequestKind) -> EntryResponse {
        self.list_new_runs();
        let mut runner = runner_with_crashes(&self.pool, &self.channel, kind, &self.crashes);
        let context = self.context.get_or_insert_with(|| Arc::clone(&runner.context));
        runner.context = Arc::clone(context);
        runner.routed.signature.content = self.next_content;
        runner.routed.signature.target = target;
        runner.routed.signature.has_body = self.has_body;
        runner.routed.deadline += Duration::from_mins(1);
        self.next_content += 1;
        runner.run().await
    }

    /// Runs as many requests as crash their upstreams until one is refused, beside one at another target that is answered.
    async fn crash_until_refused(&mut self) {
        while self.run(TARGET).await {}
    }
}

/// A stream whose upstream ends a few seconds after the first event.
fn late_break() -> ScriptedResponse {
    ScriptedResponse::PausingStream {
        events: "id: 1\ndata: a\n\n",
        pause: Duration::from_secs(3),
        rest: "id: 2\nda",
    }
}

/// Responses to requests that crash their upstreams.
fn breaks(count: u32) -> Vec<ScriptedResponse> {
    vec![ScriptedResponse::Broken; count as usize]
}

#[tokio::test(start_paused = true)]
async fn target_is_refused_after_three_bodies_that_each_crash_an_upstream() {
    let mut host = TargetHost::new(breaks(2 * CRASH_LIMIT));
    let mut sent = 0;
    for _ in 0..10 {
        sent += u32::from(host.run(TARGET).await);
        advance(Duration::from_secs(2)).await;
    }
    assert_eq!(sent, CRASH_LIMIT);
}

/// Guards against a target that is refused since many upstreams have ended at once, each with a request for it.
#[tokio::test(start_paused = true)]
async fn target_whose_requests_all_break_at_once_counts_one_crash() {
    let mut host = TargetHost::new(vec![late_break(); 8]);
    let mut streams = Vec::new();
    for _ in 0..8 {
        streams.push(host.begin(TARGET, RequestKind::Stream { can_resume: false }).await);
    }
    for stream in &mut streams {
        read_events(stream).await;
    }
    host.settle();
    assert_eq!(TargetCrashes::new(&host.crashes.lock(), TARGET).count(), 1);
    let counts = (1..=8).map(|content| host.crashes.lock().crash_count(content));
    assert_eq!(counts.collect::<Vec<u32>>(), [1; 8]);
}

#[tokio::test(start_paused = true)]
async fn target_at_which_others_complete_is_not_refused() {
    let mut responses = Vec::new();
    for _ in 0..10 {
        responses.extend([ScriptedResponse::Broken, answer()]);
    }
    let mut host = TargetHost::new(responses);
    for number in 0..20 {
        assert!(host.run(TARGET).await, "request {number}");
        advance(Duration::from_millis(100)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn target_with_recent_completions_bears_as_many_crashes() {
    let responses = [vec![answer(); 8], breaks(20)].concat();
    let mut host = TargetHost::new(responses);
    for _ in 0..8 {
        host.run(TARGET).await;
    }
    let mut crashes = 0;
    while host.run(TARGET).await {
        crashes += 1;
    }
    assert_eq!(crashes, 8);
}

#[tokio::test(start_paused = true)]
async fn target_with_completions_long_ago_is_refused_after_three_crashes() {
    let mut host = TargetHost::new([vec![answer(); 8], breaks(20)].concat());
    for _ in 0..8 {
        host.run(TARGET).await;
    }
    advance(Duration::from_secs(11)).await;
    let mut crashes = 0;
    while host.run(TARGET).await {
        crashes += 1;
    }
    assert_eq!(crashes, CRASH_LIMIT);
}

/// Guards against callers who are refused since one body that another sends has crashed upstreams at their target.
#[tokio::test(start_paused = true)]
async fn target_serves_other_bodies_after_one_has_crashed_three_upstreams() {
    for pause in [Duration::ZERO, Duration::from_secs(3)] {
        let first = if pause.is_zero() { ScriptedResponse::Broken } else { late_break() };
        let mut host =
            TargetHost::new([vec![first; CRASH_LIMIT as usize], vec![answer()]].concat());
        for _ in 0..CRASH_LIMIT {
            host.next_content = 1;
            let kind = RequestKind::Stream { can_resume: false };
            let mut response = host.begin(TARGET, kind).await;
            read_events(&mut response).await;
            host.settle();
        }
        assert_eq!(host.crashes.lock().crash_count(1), CRASH_LIMIT, "{pause:?}");
        host.next_content = 1;
        assert!(!host.run(TARGET).await, "the body is sent again, {pause:?}");
        assert!(host.run(TARGET).await, "another body is refused, {pause:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn target_is_refused_once_a_second_body_crashes_upstreams_as_well() {
    let mut host = TargetHost::new(breaks(10));
    for _ in 0..CRASH_LIMIT {
        host.next_content = 1;
        assert!(host.run(TARGET).await);
    }
    assert!(host.run(TARGET).await, "a second body is refused");
    assert!(!host.run(TARGET).await, "a third body is sent");
}

/// Guards against a request without a body that is granted three upstreams for each program.
#[tokio::test(start_paused = true)]
async fn target_without_bodies_is_refused_after_one_program_has_crashed_three_upstreams() {
    let mut host = TargetHost::new(breaks(10));
    host.has_body = false;
    for _ in 0..CRASH_LIMIT {
        host.next_content = 1;
        assert!(host.run(TARGET).await);
    }
    assert!(!host.run(TARGET).await, "another program's request is sent");
}

#[tokio::test(start_paused = true)]
async fn target_that_is_refused_leaves_other_targets_served() {
    let mut host = TargetHost::new([breaks(CRASH_LIMIT), vec![answer()]].concat());
    host.crash_until_refused().await;
    assert!(host.run(TARGET + 1).await);
}

#[tokio::test(start_paused = true)]
async fn refused_target_is_served_again_once_a_trial_completes() {
    let mut host = TargetHost::new([breaks(CRASH_LIMIT), vec![answer(); 3]].concat());
    host.crash_until_refused().await;
    advance(Duration::from_secs(59)).await;
    assert!(!host.run(TARGET).await, "tried too early");
    advance(MAX_TRIAL_TIME).await;
    for _ in 0..3 {
        assert!(host.run(TARGET).await);
    }
}

#[tokio::test(start_paused = true)]
async fn refused_target_waits_twice_as_long_after_a_trial_that_crashes() {
    let mut host = TargetHost::new(breaks(20));
    host.crash_until_refused().await;
    let mut trials = 0;
    // The first trial follows within two minutes, the second two to three later, and the third four to five after that.
    for _ in 0..8 * 60 {
        advance(Duration::from_secs(1)).await;
        trials += u32::from(host.run(TARGET).await);
    }
    assert!((2..=3).contains(&trials), "{trials} trials");
}

#[tokio::test(start_paused = true)]
async fn completions_of_a_busy_target_outlast_many_targets_of_one_request() {
    let mut completions = TargetCompletions::default();
    for number in 0..100_000 {
        completions.record(Instant::now(), 1_000 + number);
        if number % 1_000 == 0 {
            completions.record(Instant::now(), TARGET - 1_000);
            advance(Duration::from_millis(10)).await;
        }
    }
    assert!(completions.recent(Instant::now(), TARGET - 1_000) > CRASH_LIMIT);
}
