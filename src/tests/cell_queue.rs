//! The queue of a cell: fair sharing, placement, windows, crashes and refusals.

use crate::{
    CellDecision, CellEvent, CellPolicy, CellQueue, CellReport, CellRequest, CellResult,
    GrantReason, ProgramId, RefusalReason, ShardId, TicketNumber, TokenUsage,
};

fn queue(upstreams: &[&str], window: u32) -> CellQueue {
    let mut queue = CellQueue::new(CellPolicy::default());

    for upstream in upstreams {
        queue.handle(
            0,
            &CellEvent::Joined {
                upstream: (*upstream).into(),
                window,
                cache_tokens: 100_000,
                prefill_us: 100,
            },
        );
    }

    queue
}

fn request(team: &str, program: u64, prompt_tokens: u64) -> CellRequest {
    CellRequest {
        team: team.into(),
        weight: 1,
        program: ProgramId { shard: ShardId(0), serial: program },
        number: 1,
        attained_tokens: 0,
        prompt_tokens,
        answer_tokens: 10,
        queued_ms: 0,
        deadline_ms: None,
        fingerprint: program,
        excluded: Vec::new(),
    }
}

fn arrive(queue: &mut CellQueue, now_ms: u64, ticket: TicketNumber, request: CellRequest) {
    queue.handle(now_ms, &CellEvent::Arrived { ticket, request });
}

fn finish(queue: &mut CellQueue, now_ms: u64, ticket: TicketNumber, usage: TokenUsage) {
    let report = CellReport { result: CellResult::Completed, usage, decode_us: 0 };
    queue.handle(now_ms, &CellEvent::Finished { ticket, report });
}

fn report(queue: &mut CellQueue, ticket: TicketNumber, result: CellResult) {
    let report = CellReport::without_usage(result);
    queue.handle(1, &CellEvent::Finished { ticket, report });
}

fn expect_grant(decision: Option<CellDecision>) -> (TicketNumber, String, GrantReason) {
    match decision {
        Some(CellDecision::Grant { ticket, upstream, reason, .. }) => {
            (ticket, upstream.to_string(), reason)
        }
        other => panic!("expected a grant, got {other:?}"),
    }
}

fn expect_refusal(decision: Option<CellDecision>) -> (TicketNumber, RefusalReason) {
    match decision {
        Some(CellDecision::Refuse { ticket, reason, retry_after_ms }) => {
            assert!(retry_after_ms > 0, "a refusal suggests a retry delay");
            (ticket, reason)
        }
        other => panic!("expected a refusal, got {other:?}"),
    }
}

fn usage(prompt: u64, cached: u64, completion: u64) -> TokenUsage {
    TokenUsage { prompt, cached, completion }
}

#[test]
fn decide_serves_least_served_team() {
    let mut queue = queue(&["a"], 1);
    arrive(&mut queue, 0, 1, request("greedy", 1, 1_000));
    assert_eq!(expect_grant(queue.decide(0)).0, 1);

    for ticket in 2..5 {
        arrive(&mut queue, 1, ticket, request("greedy", ticket, 1_000));
    }

    arrive(&mut queue, 2, 5, request("light", 5, 1_000));
    assert_eq!(queue.decide(2), None, "the window is full");
    finish(&mut queue, 3, 1, usage(1_000, 0, 10));
    assert_eq!(expect_grant(queue.decide(3)).0, 5, "the team with less service is served first");
}

#[test]
fn decide_serves_team_in_order_of_age() {
    let mut queue = queue(&["a"], 1);
    arrive(&mut queue, 9, 1, CellRequest { queued_ms: 9, ..request("t", 1, 10) });
    arrive(&mut queue, 9, 2, CellRequest { queued_ms: 5, ..request("t", 2, 10) });
    assert_eq!(
        expect_grant(queue.decide(9)).0,
        2,
        "the age counts from `queued_ms`, so that a change of dispatcher keeps it"
    );
}

#[test]
fn decide_prefers_warm_upstream() {
    let mut queue = queue(&["a", "b", "c"], 2);
    arrive(&mut queue, 0, 1, request("t", 1, 5_000));
    let (_, first, reason) = expect_grant(queue.decide(0));
    assert_eq!(reason, GrantReason::LeastLoaded);
    finish(&mut queue, 10, 1, usage(5_000, 0, 10));

    arrive(&mut queue, 20, 2, request("t", 1, 5_100));
    let (_, second, reason) = expect_grant(queue.decide(20));
    assert_eq!((second, reason), (first.clone(), GrantReason::WarmPrefix));

    // Once the program has ended, its prefix is released and placement goes by load again.
    queue.handle(
        21,
        &CellEvent::Finished {
            ticket: 2,
            report: CellReport {
                result: CellResult::Completed,
                usage: usage(5_100, 5_000, 10),
                decode_us: 0,
            },
        },
    );
    arrive(&mut queue, 22, 3, request("t", 7, 10));
    queue.handle(22, &CellEvent::ProgramEnded { program: request("t", 1, 0).program });
    arrive(&mut queue, 23, 4, request("t", 1, 5_200));
    assert_eq!(expect_grant(queue.decide(23)).2, GrantReason::LeastLoaded);
    assert_eq!(
        expect_grant(queue.decide(23)).2,
        GrantReason::LeastLoaded,
        "the prefix was released"
    );
}

#[test]
fn decide_holds_for_warm_upstream_within_limit() {
    let mut queue = queue(&["a", "b"], 1);
    arrive(&mut queue, 0, 1, request("t", 1, 50_000));
    let (_, warm, _) = expect_grant(queue.decide(0));
    finish(&mut queue, 100, 1, usage(50_000, 0, 10));
    arrive(&mut queue, 100, 2, CellRequest { queued_ms: 100, ..request("t", 2, 10) });
    let (_, other, _) = expect_grant(queue.decide(100));
    assert_ne!(warm, other, "the upstream with the emptier cache is chosen");
    finish(&mut queue, 110, 2, usage(10, 0, 10));

    arrive(&mut queue, 120, 3, CellRequest { queued_ms: 120, ..request("t", 1, 50_010) });
    assert_eq!(expect_grant(queue.decide(120)).1, warm);
    arrive(&mut queue, 121, 4, CellRequest { queued_ms: 121, ..request("t", 1, 50_020) });
    assert_eq!(queue.decide(121), None, "the request is held for its warm upstream, which is busy");
    let limit = CellPolicy::default().hold_limit_ms;
    let (ticket, upstream, reason) = expect_grant(queue.decide(121 + limit));
    assert_eq!((ticket, upstream, reason), (4, other, GrantReason::HoldExpired));
}

#[test]
fn decide_grants_nothing_to_draining_upstream() {
    let mut queue = queue(&["a", "b"], 4);
    queue.handle(0, &CellEvent::Serving { upstream: "a".into(), is_serving: false });

    for ticket in 1..=4 {
        arrive(&mut queue, 0, ticket, request("t", ticket, 10));
        assert_eq!(expect_grant(queue.decide(0)).1, "b");
    }

    queue.handle(0, &CellEvent::Left { upstream: "b".into() });
    arrive(&mut queue, 0, 9, request("t", 9, 10));
    assert_eq!(expect_refusal(queue.decide(0)), (9, RefusalReason::NoUpstream));
}

#[test]
fn left_refuses_waiting_requests_without_upstream() {
    let mut queue = queue(&["a"], 1);
    arrive(&mut queue, 0, 1, request("t", 1, 10));
    assert_eq!(expect_grant(queue.decide(0)).0, 1);

    for ticket in 2..=3 {
        arrive(&mut queue, 0, ticket, request("t", ticket, 10));
        assert_eq!(queue.decide(0), None, "the window is full");
    }

    queue.handle(1, &CellEvent::Left { upstream: "a".into() });
    assert_eq!(expect_refusal(queue.decide(1)), (2, RefusalReason::NoUpstream));
    assert_eq!(expect_refusal(queue.decide(1)), (3, RefusalReason::NoUpstream));
    assert_eq!((queue.decide(1), queue.waiting()), (None, 0));
}

#[test]
fn left_keeps_waiting_requests_with_other_upstream() {
    let mut queue = queue(&["a", "b"], 1);
    let excluded = vec!["b".into()];
    arrive(&mut queue, 0, 1, request("t", 1, 10));
    arrive(&mut queue, 0, 2, request("t", 2, 10));
    expect_grant(queue.decide(0));
    expect_grant(queue.decide(0));
    arrive(&mut queue, 0, 3, CellRequest { excluded, ..request("t", 3, 10) });
    arrive(&mut queue, 0, 4, request("t", 4, 10));

    // An upstream that has stopped serving may start again.
    queue.handle(1, &CellEvent::Serving { upstream: "b".into(), is_serving: false });
    queue.handle(2, &CellEvent::Left { upstream: "a".into() });
    assert_eq!(expect_refusal(queue.decide(2)), (3, RefusalReason::NoUpstream));
    assert_eq!((queue.decide(2), queue.waiting()), (None, 1));
}

#[test]
fn decide_refuses_request_that_cannot_meet_deadline() {
    let mut queue = queue(&["a"], 1);
    arrive(&mut queue, 0, 1, request("t", 1, 10));
    expect_grant(queue.decide(0));
    finish(&mut queue, 1_000, 1, usage(10, 0, 10));

    for ticket in 2..12 {
        arrive(&mut queue, 1_000, ticket, request("t", ticket, 10));
    }

    expect_grant(queue.decide(1_000));
    let urgent = CellRequest { deadline_ms: Some(4_000), ..request("t", 20, 10) };
    arrive(&mut queue, 1_000, 20, urgent.clone());
    assert_eq!(expect_refusal(queue.decide(1_000)), (20, RefusalReason::TeamShareExhausted));

    // Another team's queued requests do not count for this one.
    let other = CellRequest { team: "other".into(), fingerprint: 21, ..urgent };
    arrive(&mut queue, 1_000, 21, other);
    assert_eq!(queue.decide(1_000), None);
    queue.expire(4_000);
    assert_eq!(expect_refusal(queue.decide(4_000)), (21, RefusalReason::DeadlinePassed));
}

#[test]
fn handle_crash_refuses_crashing_request_and_clears_others() {
    let mut queue = queue(&["a", "b", "c", "d"], 8);

    // The request that causes crashes (1) and two others run on one upstream, which crashes.
    for ticket in 1..=3 {
        let excluded = ["b", "c", "d"].map(Into::into).to_vec();
        arrive(&mut queue, 0, ticket, CellRequest { excluded, ..request("t", ticket, 10) });
        assert_eq!(expect_grant(queue.decide(0)).1, "a");
    }

    report(&mut queue, 1, CellResult::Broken);
    queue.handle(1, &CellEvent::Crashed { upstream: "a".into() });
    report(&mut queue, 2, CellResult::Broken);
    report(&mut queue, 3, CellResult::Broken);

    // All three are retried on separate upstreams, one of which also runs an unrelated request (9).
    arrive(&mut queue, 2, 9, request("t", 9, 10));
    let (_, other_upstream, _) = expect_grant(queue.decide(2));
    let mut upstreams = Vec::new();

    for ticket in 11..=13 {
        arrive(&mut queue, 2, ticket, request("t", ticket - 10, 10));
        upstreams.push(expect_grant(queue.decide(2)).1);
    }

    let crashing_upstream = upstreams[0].clone();
    upstreams.sort();
    upstreams.dedup();
    assert_eq!(upstreams.len(), 3, "suspected requests never share an upstream");
    assert!(upstreams.contains(&other_upstream) || upstreams.len() == 3);

    queue.handle(3, &CellEvent::Crashed { upstream: crashing_upstream.as_str().into() });
    report(&mut queue, 11, CellResult::Broken);
    finish(&mut queue, 4, 12, usage(10, 0, 1));
    finish(&mut queue, 4, 13, usage(10, 0, 1));

    arrive(&mut queue, 5, 21, request("t", 1, 10));
    assert_eq!(expect_refusal(queue.decide(5)), (21, RefusalReason::Poisonous));

    for (ticket, program) in [(22, 2), (23, 3), (24, 9)] {
        arrive(&mut queue, 5, ticket, request("t", program, 10));
        expect_grant(queue.decide(5));
    }
}

#[test]
fn handle_broken_connection_to_healthy_upstream_counts_no_crash() {
    let mut queue = queue(&["a", "b"], 8);

    for now_ms in 0..5 {
        let ticket = now_ms * 2 + 1;
        arrive(&mut queue, now_ms, ticket, request("t", 1, 10));
        let (_, upstream, _) = expect_grant(queue.decide(now_ms));
        report(&mut queue, ticket, CellResult::Broken);
        let serving = CellEvent::Serving { upstream: upstream.as_str().into(), is_serving: true };
        queue.handle(now_ms, &serving);
    }
}

#[test]
fn handle_load_reports_shrinks_and_restores_window() {
    let mut queue = queue(&["a"], 8);
    let window = |queue: &CellQueue| {
        queue.upstreams.values().next().expect("the queue has an upstream").window
    };
    let load = |waiting| CellEvent::LoadReported {
        upstream: "a".into(),
        running: 8,
        waiting,
        limit: None,
    };

    (0..20).for_each(|it| queue.handle(it, &load(3)));
    assert_eq!(window(&queue), 2, "the window never shrinks below a quarter of the configured one");
    (0..200).for_each(|it| queue.handle(it, &load(0)));
    assert_eq!(window(&queue), 8);
}

#[test]
fn handle_withdrawal_removes_request() {
    let mut queue = queue(&["a"], 1);
    arrive(&mut queue, 0, 1, request("t", 1, 10));
    expect_grant(queue.decide(0));
    arrive(&mut queue, 0, 2, request("t", 2, 10));
    queue.handle(1, &CellEvent::Withdrawn { ticket: 2 });
    assert_eq!(queue.waiting(), 0);
    finish(&mut queue, 2, 1, usage(10, 0, 1));
    assert_eq!(queue.decide(2), None);
}

#[test]
fn decide_always_grants_to_upstream_without_cache() {
    let mut queue = CellQueue::new(CellPolicy::default());
    let joined =
        CellEvent::Joined { upstream: "ledger".into(), window: 2, cache_tokens: 0, prefill_us: 1 };
    queue.handle(0, &joined);

    // A service reports no cached tokens, although the same programs call it repeatedly.
    for ticket in 0..50 {
        arrive(&mut queue, ticket, ticket, request("t", ticket % 3, 1));
        assert_eq!(expect_grant(queue.decide(ticket)).0, ticket);

        if ticket > 0 {
            finish(&mut queue, ticket, ticket - 1, usage(1, 0, 1));
        }
    }
}

#[test]
fn decide_with_evicting_engine_places_new_programs() {
    let mut queue = queue(&["a"], 2);

    for ticket in 0..200 {
        arrive(&mut queue, ticket, ticket, request("t", ticket % 7, 2_000));
        assert_eq!(expect_grant(queue.decide(ticket)).0, ticket);

        if ticket > 0 {
            finish(&mut queue, ticket, ticket - 1, usage(2_000, 0, 10));
        }
    }
}
