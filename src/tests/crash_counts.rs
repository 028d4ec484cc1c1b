//! Tests of the counts of upstreams that have ended under a request: over hosts, over attempts and over restarts.

use std::sync::Arc;

use hyper::StatusCode;
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom};
use tokio::time::{Duration, sleep, timeout};

use super::{
    entry_fakes::{MemoryStore, ScriptedChannel, ScriptedResponse, upstream},
    entry_runner::{placement, pool, read_events, runner_with_crashes},
};
use crate::{
    CrashTracker, CrashedRun,
    entry::{
        EntryResponse, PlacementPool, RequestKind, UpstreamPhase,
        crash_guard::CRASH_LIMIT,
        crash_records::CrashRecords,
        host_reach::ReachEvidence,
        request_runner::{RequestRunner, RunnerContext},
    },
};

/// Fingerprint of the requests that `runner_with_crashes` makes.
const FINGERPRINT: u64 = 1;

fn answer() -> ScriptedResponse {
    ScriptedResponse::Whole { status: StatusCode::OK, has_not_run: false, is_signed: true }
}

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

/// Guards against an upstream that is taken for crashed since it has aborted a stream that its client did not read, or since nothing
/// was read from it while the client did not read.
#[tokio::test(start_paused = true)]
async fn crash_count_excludes_stream_whose_client_does_not_read() {
    for reads_again in [true, false] {
        let crashes = Arc::default();
        let stream =
            ScriptedResponse::Stream { chunks: vec!["data: a\n\n"; 40], is_complete: false };
        let channel = Arc::new(ScriptedChannel::new(vec![stream]));
        let pool = pool();
        pool.upsert(upstream("u1", "service", 4));
        pool.upsert(upstream("u2", "service", 4));
        let kind = RequestKind::Stream { can_resume: false };
        let mut response = runner_with_crashes(&pool, &channel, kind, &crashes).run().await;
        tokio::time::sleep(Duration::from_millis(1_900)).await;
        if reads_again {
            read_events(&mut response).await;
        }
        drop(response);
        tokio::time::sleep(Duration::from_millis(10)).await;
        assert_eq!(crashes.lock().crash_count(FINGERPRINT), 0, "{reads_again}");
    }
}

/// Requests of one host on several upstreams of a service, which share what the host knows.
struct CrashHost {
    pool: Arc<PlacementPool>,
    channel: Arc<ScriptedChannel>,
    crashes: Arc<Mutex<CrashTracker>>,
    context: Option<Arc<RunnerContext>>,
}

impl CrashHost {
    fn new(upstream_count: u32, responses: Vec<ScriptedResponse>) -> Self {
        let pool = pool();
        for number in 1..=upstream_count {
            pool.upsert(upstream(&format!("u{number}"), "service", 1));
        }
        let channel = Arc::new(ScriptedChannel::new(responses));
        Self { pool, channel, crashes: Arc::default(), context: None }
    }

    /// The next request. It takes a place at an upstream that no other request uses.
    fn runner(&mut self, kind: RequestKind, fingerprint: u64) -> RequestRunner {
        let mut runner = runner_with_crashes(&self.pool, &self.channel, kind, &self.crashes);
        let context = self.context.get_or_insert_with(|| Arc::clone(&runner.context));
        runner.context = Arc::clone(context);
        runner.routed.signature.content = fingerprint;
        runner
    }

    fn crash_count(&self) -> u32 {
        self.crashes.lock().crash_count(FINGERPRINT)
    }
}

/// Runs a request that gets no response within two seconds, beside others that are answered each 100 ms on another upstream.
/// Returns the crashes that count against the silent one, which waits for `wait`.
async fn silent_beside_answers(wait: Duration, other_answers: usize) -> u32 {
    let responses = [vec![ScriptedResponse::Silent], vec![answer(); other_answers]].concat();
    let mut host = CrashHost::new(2, responses);
    let silent = host.runner(RequestKind::AtMostOnce, FINGERPRINT).run();
    let silent = tokio::spawn(timeout(wait, silent));
    sleep(Duration::from_millis(1)).await;

    for _ in 0..other_answers {
        host.runner(RequestKind::AtMostOnce, FINGERPRINT + 1).run().await;
        sleep(Duration::from_millis(100)).await;
    }

    let _ = silent.await.expect("no panic");
    host.crash_count()
}

#[tokio::test(start_paused = true)]
async fn crash_count_includes_upstream_that_falls_silent_while_others_answer() {
    assert_eq!(silent_beside_answers(Duration::from_secs(3), 5).await, 1);
}

#[tokio::test(start_paused = true)]
async fn crash_count_ignores_silence_of_a_host_that_hears_no_upstream() {
    assert_eq!(silent_beside_answers(Duration::from_secs(3), 0).await, 0);
}

#[tokio::test(start_paused = true)]
async fn crash_count_ignores_upstream_that_is_silent_for_a_second() {
    for silence_ms in [1_000, 1_500] {
        let count = silent_beside_answers(Duration::from_millis(silence_ms), 10).await;
        assert_eq!(count, 0, "after {silence_ms} ms");
    }
}

/// Breaks the connections of two requests on different upstreams at the same time.
async fn break_two(host: &mut CrashHost, second_fingerprint: u64) {
    host.runner(RequestKind::AtMostOnce, FINGERPRINT).run().await;
    let first = host.channel.requests()[0].0.to_string();
    let others: Vec<&str> = ["u1", "u2", "u3"].into_iter().filter(|it| *it != first).collect();
    let place_at_first = host.pool.try_acquire(&placement(&others));
    host.runner(RequestKind::AtMostOnce, second_fingerprint).run().await;
    drop(place_at_first);
}

/// Breaks the connections of two requests at the same time, and answers another request after `pause`.
async fn break_two_and_answer(pause: Duration) -> Vec<u32> {
    let responses = vec![ScriptedResponse::Broken, ScriptedResponse::Broken, answer()];
    let mut host = CrashHost::new(3, responses);
    break_two(&mut host, FINGERPRINT + 1).await;
    let mut counts = vec![host.crash_count()];
    sleep(pause).await;

    // An open connection to an upstream ends the loss.
    for number in 1..=2 {
        let record = upstream(&format!("u{number}"), "service", 1);
        host.pool.record_reach(&record, ReachEvidence::Connected);
    }
    host.runner(RequestKind::AtMostOnce, FINGERPRINT + 2).run().await;
    counts.push(host.crash_count());
    counts
}

#[tokio::test(start_paused = true)]
async fn crash_count_ignores_connections_that_all_break_at_once() {
    assert_eq!(break_two_and_answer(Duration::from_secs(2)).await, [0, 0]);
}

/// Breaks the connections of two requests at the same time, and lists the upstreams anew after `pause`.
async fn break_two_and_list_anew(pause: Duration, is_leaving: bool) -> u32 {
    let mut host = CrashHost::new(2, vec![ScriptedResponse::Broken; 2]);
    break_two(&mut host, FINGERPRINT).await;
    let context = host.context.clone().expect("a request has run");
    context.settle_ended_runs();
    assert_eq!(host.crash_count(), 0, "before the list shows the ends");
    sleep(pause).await;

    for number in 1..=2 {
        let mut record = upstream(&format!("u{number}"), "service", 1);
        if is_leaving {
            record.phase = UpstreamPhase::Draining;
            host.pool.upsert(record.clone());
        }
        record.phase = UpstreamPhase::Serving;
        record.started_at_ms += 1_000;
        record.revision += 1;
        host.pool.upsert(record);
    }
    context.settle_ended_runs();
    host.crash_count()
}

/// Guards against crashes of the last upstreams of a service, which no other upstream's data confirms.
#[tokio::test(start_paused = true)]
async fn crash_count_includes_upstreams_that_are_listed_anew_after_a_loss() {
    assert_eq!(break_two_and_list_anew(Duration::from_secs(2), false).await, 2);
}

#[tokio::test(start_paused = true)]
async fn crash_count_includes_silent_upstream_that_is_listed_anew_after_a_loss() {
    let mut host = CrashHost::new(2, vec![ScriptedResponse::Silent]);
    host.runner(RequestKind::AtMostOnce, FINGERPRINT).run().await;
    let context = host.context.clone().expect("a request has run");
    context.settle_ended_runs();
    assert_eq!(host.crash_count(), 0, "before the list shows the end");

    host.pool.remove("u1", 1_000);
    host.pool.remove("u2", 1_000);
    context.settle_ended_runs();
    assert_eq!(host.crash_count(), 1);
}

#[tokio::test(start_paused = true)]
async fn crash_count_ignores_upstreams_that_have_left() {
    assert_eq!(break_two_and_list_anew(Duration::from_secs(2), true).await, 0);
}

#[tokio::test(start_paused = true)]
async fn crash_count_ignores_upstreams_that_are_listed_anew_long_after_a_loss() {
    let mut host = CrashHost::new(2, vec![ScriptedResponse::Broken; 2]);
    break_two(&mut host, FINGERPRINT).await;
    let context = host.context.clone().expect("a request has run");
    sleep(Duration::from_secs(30)).await;
    context.settle_ended_runs();
    host.pool.remove("u1", 1_000);
    context.settle_ended_runs();
    assert_eq!(host.crash_count(), 0);
}

#[tokio::test(start_paused = true)]
async fn crash_count_includes_upstreams_that_break_while_others_can_be_reached() {
    assert_eq!(break_two_and_answer(Duration::from_millis(100)).await, [0, 1]);
}

/// Guards against a crash that is taken back again when the next upstream of a small service ends.
#[tokio::test(start_paused = true)]
async fn crash_count_keeps_crash_that_connections_have_confirmed_before_the_next_loss() {
    let responses = vec![ScriptedResponse::Broken; 4];
    let mut host = CrashHost::new(3, responses);
    break_two(&mut host, FINGERPRINT + 1).await;
    assert_eq!(host.crash_count(), 0);
    sleep(Duration::from_millis(100)).await;
    let context = host.context.clone().expect("a request has run");
    for number in 1..=2 {
        let record = upstream(&format!("u{number}"), "service", 1);
        context.record_reach(&record, ReachEvidence::Connected);
    }
    assert_eq!(host.crash_count(), 1, "connections are made again");

    sleep(Duration::from_millis(30)).await;
    for number in 2..=3 {
        let record = upstream(&format!("u{number}"), "service", 1);
        context.record_reach(&record, ReachEvidence::Broken);
    }
    assert!(host.pool.reach().is_lost("service"));
    assert_eq!(host.crash_count(), 1, "after the next loss");
}

/// Runs a request whose connection to `u1` breaks, and another one there that is sent after `pause` and answered.
async fn break_and_answer(crashes: &Arc<Mutex<CrashTracker>>, pause: Duration) -> u32 {
    let channel = Arc::new(ScriptedChannel::new(vec![ScriptedResponse::Broken, answer()]));
    let pool = pool();
    pool.upsert(upstream("u1", "service", 4));
    let first = runner_with_crashes(&pool, &channel, RequestKind::AtMostOnce, crashes);
    let mut second = runner_with_crashes(&pool, &channel, RequestKind::AtMostOnce, crashes);
    second.context = Arc::clone(&first.context);
    second.routed.signature.content = FINGERPRINT + 1;
    first.run().await;
    sleep(pause).await;
    second.run().await;
    crashes.lock().crash_count(FINGERPRINT)
}

#[tokio::test(start_paused = true)]
async fn crash_count_drops_run_that_responds_to_request_sent_right_after() {
    assert_eq!(break_and_answer(&Arc::default(), Duration::from_millis(200)).await, 0);
}

#[tokio::test(start_paused = true)]
async fn crash_count_keeps_run_that_may_have_started_anew() {
    assert_eq!(break_and_answer(&Arc::default(), Duration::from_secs(2)).await, 1);
}

#[tokio::test(start_paused = true)]
async fn crash_records_keep_request_refused_after_all_hosts_are_lost() {
    let store = Arc::new(MemoryStore::default());
    let records = CrashRecords::new(Arc::clone(&store) as Arc<_>);
    let mut crashes = CrashTracker::default();

    for upstream in ["u1", "u2", "u3"] {
        let run = CrashedRun { upstream: upstream.into(), run: 1 };
        crashes.record_crash(&run, vec![FINGERPRINT]);
    }
    for notes in crashes.take_unrecorded(CRASH_LIMIT) {
        records.clone().write(notes).await;
    }
    assert!(crashes.take_unrecorded(CRASH_LIMIT).is_empty(), "recorded twice");

    let mut restarted = CrashTracker::default();
    records.read().await.expect("the store answers").iter().for_each(|it| restarted.merge(it));
    assert_eq!(restarted.crash_count(FINGERPRINT), 3);

    crashes.clear(FINGERPRINT);
    for notes in crashes.take_unrecorded(CRASH_LIMIT) {
        records.clone().write(notes).await;
    }
    records.read().await.expect("the store answers").iter().for_each(|it| restarted.merge(it));
    assert_eq!(restarted.crash_count(FINGERPRINT), 0);
}

#[test]
fn crash_count_keeps_crash_that_is_newer_than_a_late_clear() {
    let run = |upstream: &str| CrashedRun { upstream: upstream.into(), run: 1 };
    let (mut first, mut second) = (CrashTracker::default(), CrashTracker::default());
    first.record_crash(&run("u1"), vec![FINGERPRINT]);
    first.take_pending_notes().iter().for_each(|note| second.merge(note));
    second.clear(FINGERPRINT);
    first.record_crash(&run("u2"), vec![FINGERPRINT]);
    second.take_pending_notes().iter().for_each(|note| first.merge(note));
    assert_eq!(first.crash_count(FINGERPRINT), 1);
}

#[test]
fn crash_count_counts_run_again_after_it_proved_to_be_alive() {
    let run = CrashedRun { upstream: "u1".into(), run: 1 };
    let mut crashes = CrashTracker::default();
    let suspects = crashes.record_crash(&run, vec![FINGERPRINT]);
    crashes.retract_crash(&run, &suspects);
    assert_eq!(crashes.crash_count(FINGERPRINT), 0);
    crashes.record_crash(&run, vec![FINGERPRINT]);
    assert_eq!(crashes.crash_count(FINGERPRINT), 1);
}

#[test]
fn crash_count_counts_once_what_two_hosts_have_seen_of_one_run() {
    let run = CrashedRun { upstream: "u1".into(), run: 1 };
    let (mut first, mut second) = (CrashTracker::default(), CrashTracker::default());
    first.record_crash(&run, vec![FINGERPRINT]);
    first.take_pending_notes().iter().for_each(|note| second.merge(note));
    second.record_crash(&run, vec![FINGERPRINT]);
    assert_eq!(second.crash_count(FINGERPRINT), 1);
    second.record_another_crash(&run, vec![FINGERPRINT]);
    second.take_pending_notes().iter().for_each(|note| first.merge(note));
    assert_eq!(first.crash_count(FINGERPRINT), 2);
}

#[test]
fn crash_count_is_the_same_in_any_order_of_notes() {
    bolero::check!().exhaustive().with_generator(0..2_000_u64).cloned().for_each(|seed| {
        let mut random = StdRng::seed_from_u64(seed);
        let mut origin = CrashTracker::default();

        for _ in 0..random.random_range(1..20) {
            let upstream = format!("u{}", random.random_range(0..4)).into();
            let run = CrashedRun { upstream, run: 1 };
            match random.random_range(0..4) {
                3 => drop(origin.record_another_crash(&run, vec![FINGERPRINT])),
                0 => drop(origin.record_crash(&run, vec![FINGERPRINT])),
                1 => origin.retract_crash(&run, &[FINGERPRINT]),
                _ => origin.clear(FINGERPRINT),
            }
        }

        let mut notes = origin.take_pending_notes();
        notes.extend(notes.clone());
        notes.shuffle(&mut random);
        let mut receiver = CrashTracker::default();
        notes.iter().for_each(|note| receiver.merge(note));
        assert_eq!(receiver.crash_count(FINGERPRINT), origin.crash_count(FINGERPRINT), "{seed}");
    });
}

#[tokio::test(start_paused = true)]
async fn crash_limit_ends_retries_that_are_under_way() {
    let crashes: Arc<Mutex<CrashTracker>> = Arc::default();
    for first in [1, 3] {
        run(&crashes, first, RequestKind::AtMostOnce, vec![ScriptedResponse::Broken]).await;
    }

    let responses = vec![ScriptedResponse::Broken, answer()];
    let (outcome, attempts) = run(&crashes, 5, RequestKind::Idempotent, responses).await;
    assert_eq!((outcome.as_str(), attempts), ("answer_lost", 1));
}
