//! The dispatcher of a cell, when the configuration of its upstreams changes.

use std::{collections::BTreeMap, sync::Arc};

use tokio::time::{Duration, sleep, timeout};

use super::clock_steps::STEPS_MS;
use crate::{
    CellDispatcher, CellEvent, CellId, CellPolicy, CellRequest, DispatchOutcome, DispatchTicket,
    NodeMetrics, ProgramId, RefusalReason, RequestRate, ShardId, UpstreamName, UpstreamTerms,
    basics::{steady_clock::steady_millis, unix_clock::clock_step::STEP_MS},
};

/// Time for a decision to reach its caller.
const DECISION_TIMEOUT: Duration = Duration::from_secs(1);

pub(super) fn upstreams(names: &[&str]) -> BTreeMap<UpstreamName, UpstreamTerms> {
    let terms = UpstreamTerms {
        region: "north".into(),
        model: "agent-llm".into(),
        url: "http://localhost".into(),
        window: 1,
        cache_tokens: 10_000,
        prefill_us: 100,
        checks_fencing: false,
    };

    names.iter().map(|name| ((*name).into(), terms.clone())).collect()
}

pub(super) fn dispatcher() -> Arc<CellDispatcher> {
    let cell = CellId { region: "north".into(), model: "agent-llm".into() };
    let metrics = Arc::new(NodeMetrics::new().expect("metrics"));
    Arc::new(CellDispatcher::new(cell, CellPolicy::default(), "one-1", metrics))
}

pub(super) fn submit(dispatcher: &Arc<CellDispatcher>, serial: u64) -> DispatchTicket {
    dispatcher.submit(request(serial))
}

pub(super) fn request(serial: u64) -> CellRequest {
    CellRequest {
        team: "t".into(),
        weight: 1,
        program: ProgramId { shard: ShardId(0), serial },
        number: 1,
        attained_tokens: 0,
        prompt_tokens: 10,
        answer_tokens: 10,
        queued_ms: 0,
        deadline_ms: None,
        fingerprint: serial,
        excluded: Vec::new(),
    }
}

pub(super) async fn outcome(ticket: &mut DispatchTicket) -> DispatchOutcome {
    timeout(DECISION_TIMEOUT, ticket.outcome()).await.expect("the request waits for ever")
}

#[tokio::test]
async fn sync_upstreams_without_upstream_refuses_waiting_request() {
    let dispatcher = dispatcher();
    dispatcher.sync_upstreams(&upstreams(&["a"]));
    let mut granted = submit(&dispatcher, 1);
    let mut waiting = submit(&dispatcher, 2);
    let first = outcome(&mut granted).await;
    assert!(matches!(first, DispatchOutcome::Granted { .. }), "{first:?}");

    dispatcher.sync_upstreams(&upstreams(&[]));
    match outcome(&mut waiting).await {
        DispatchOutcome::Declined { refusal } => {
            assert_eq!(refusal.reason, RefusalReason::NoUpstream);
        }
        other => panic!("expected a refusal, got {other:?}"),
    }
}

#[tokio::test]
async fn sync_upstreams_with_other_upstream_grants_waiting_request() {
    let dispatcher = dispatcher();
    dispatcher.sync_upstreams(&upstreams(&["a"]));
    let _granted = submit(&dispatcher, 1);
    let mut waiting = submit(&dispatcher, 2);

    dispatcher.sync_upstreams(&upstreams(&["b"]));
    match outcome(&mut waiting).await {
        DispatchOutcome::Granted { upstream } => assert_eq!(upstream.to_string(), "b"),
        other => panic!("expected a grant, got {other:?}"),
    }
}

/// Guards against an upstream with a limit that gets no request for 30 s after the clock was set back.
#[tokio::test]
async fn dispatcher_keeps_the_rate_of_an_upstream_over_steps() {
    let dispatcher = dispatcher();
    dispatcher.sync_upstreams(&upstreams(&["a"]));
    dispatcher.handle_event(CellEvent::LoadReported {
        upstream: "a".into(),
        running: 0,
        waiting: 0,
        limit: RequestRate::from_per_second(10.0),
    });
    // Ten requests can be saved up, so the later ones need what accrues after a step.
    for (serial, step_ms) in (1..).zip(STEPS_MS.into_iter().flat_map(|it| [it; 8])) {
        STEP_MS.set(step_ms);
        let mut ticket = submit(&dispatcher, serial);
        let tick = async {
            loop {
                sleep(Duration::from_millis(20)).await;
                dispatcher.tick();
            }
        };
        let outcome = tokio::select! {
            outcome = outcome(&mut ticket) => outcome,
            () = tick => unreachable!(),
        };
        assert!(matches!(outcome, DispatchOutcome::Granted { .. }), "step {step_ms}: {outcome:?}");
    }
}

/// Guards against requests that are refused before their deadline, or kept after it.
#[tokio::test]
async fn dispatcher_keeps_deadlines_over_steps() {
    let dispatcher = dispatcher();
    dispatcher.sync_upstreams(&upstreams(&["a"]));
    let _running = submit(&dispatcher, 1);
    let deadline_ms = steady_millis() + 300;
    let mut waiting =
        dispatcher.submit(CellRequest { deadline_ms: Some(deadline_ms), ..request(2) });
    for step_ms in STEPS_MS {
        STEP_MS.set(step_ms);
        dispatcher.tick();
        let early = timeout(Duration::from_millis(10), waiting.outcome()).await;
        assert!(early.is_err(), "step {step_ms}: {early:?}");
    }
    STEP_MS.set(-30_000);
    sleep(Duration::from_millis(400)).await;
    dispatcher.tick();
    let late = outcome(&mut waiting).await;
    assert!(matches!(late, DispatchOutcome::Declined { .. }), "{late:?}");
}

/// Guards against requests of a host whose clock is ahead that wait behind all that come after them.
#[tokio::test]
async fn dispatcher_takes_no_request_for_one_that_comes_later() {
    let dispatcher = dispatcher();
    dispatcher.sync_upstreams(&upstreams(&["a"]));
    let running = submit(&dispatcher, 1);
    let ahead_ms = steady_millis() + 30_000;
    let mut first = dispatcher.submit(CellRequest { queued_ms: ahead_ms, ..request(2) });
    sleep(Duration::from_millis(5)).await;
    let later = CellRequest { queued_ms: steady_millis(), ..request(3) };
    let mut next = dispatcher.submit(later);
    drop(running);
    let outcome = outcome(&mut first).await;
    assert!(matches!(outcome, DispatchOutcome::Granted { .. }), "{outcome:?}");
    let waiting = timeout(Duration::from_millis(10), next.outcome()).await;
    assert!(waiting.is_err(), "{waiting:?}");
}
