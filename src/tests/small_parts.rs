//! Small types: circuit breaker, backoff, retry budget, rendezvous hashing, program ids and answer builder.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use crate::{
    AnswerBuilder, BackoffPolicy, ChunkKind, CircuitBreaker, HostName, ProgramId, RetryBudget,
    ShardId, membership::rendezvous::rendezvous_winner,
};

#[test]
fn circuit_breaker_opens_and_probes() {
    let mut breaker = CircuitBreaker::default();
    let start = Instant::now();

    for _ in 0..3 {
        assert!(breaker.admit(start));
        breaker.record_failure(start);
    }

    assert!(breaker.is_open() && !breaker.admit(start));
    let later = start + Duration::from_secs(1);
    assert!(breaker.admit(later), "an open breaker admits a probe after the interval");
    assert!(!breaker.admit(later), "an open breaker admits one probe per interval");
    breaker.record_success();
    assert!(!breaker.is_open() && breaker.admit(later));
}

#[test]
fn backoff_delay_bounds() {
    let first = Duration::from_millis(10);
    let limit = Duration::from_millis(200);
    let policy = BackoffPolicy { first, limit };
    assert_eq!(policy.delay(0, 1.0), first);
    assert_eq!(policy.delay(2, 0.5), first * 2);
    assert_eq!(policy.delay(40, 1.0), limit);
    assert_eq!(policy.delay(40, 0.0), Duration::ZERO);
}

#[test]
fn retry_budget_share_of_requests() {
    let budget = RetryBudget::default();
    while budget.try_withdraw() {}
    (0..100).for_each(|_| budget.deposit(10));
    let retries = (0..100).filter(|_| budget.try_withdraw()).count();
    assert_eq!(retries, 10);
}

#[test]
fn rendezvous_winner_after_loss_of_host() {
    let hosts: Vec<HostName> = (0..20).map(|it| HostName::from(&*format!("host-{it}"))).collect();
    let winner = |hosts: &[HostName], shard: u32| {
        rendezvous_winner(&shard.to_string(), hosts.iter()).cloned().expect("there are candidates")
    };

    let mut counts: BTreeMap<HostName, u32> = BTreeMap::new();

    for shard in 0..2_000 {
        let before = winner(&hosts, shard);
        let after = winner(&hosts[1..], shard);
        assert!(before == after || before == hosts[0]);
        *counts.entry(before).or_default() += 1;
    }

    assert!(counts.values().all(|count| (50..150).contains(count)), "{counts:?}");
}

#[test]
fn program_id_text_round_trip() {
    let id = ProgramId { shard: ShardId(0x1f), serial: 0xab };
    assert_eq!(id.to_string(), "p-001f-00000000000000ab");
    assert_eq!(id.to_string().parse::<ProgramId>().expect("a valid program id"), id);

    for invalid in ["", "p-", "p-1-2", "p-001f-00000000000000ag", "q-001f-00000000000000ab"] {
        assert!(invalid.parse::<ProgramId>().is_err(), "{invalid:?} was parsed");
    }
}

#[test]
fn answer_builder_joins_content_and_tool_calls() {
    let mut builder = AnswerBuilder::default();
    let chunks = [
        r#"{"choices":[{"delta":{"role":"assistant","content":"a "}}]}"#,
        r#"{"choices":[{"delta":{"content":"b"}}]}"#,
        r#"{"choices":[{"delta":{"tool_calls":[{"index":0,"id":"c1","function":{"name":"f","arguments":"{\"x\""}}]}}]}"#,
        r#"{"choices":[{"delta":{"tool_calls":[{"index":0,"function":{"arguments":":1}"}}]}}]}"#,
    ];

    for chunk in chunks {
        assert_eq!(builder.push(chunk).expect("a valid chunk"), ChunkKind::Delta);
    }

    let last = r#"{"choices":[{"delta":{},"finish_reason":"tool_calls"}]}"#;
    assert_eq!(builder.push(last).expect("a valid chunk"), ChunkKind::Closing);
    let usage = r#"{"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":4,"prompt_tokens_details":{"cached_tokens":5}}}"#;
    assert_eq!(builder.push(usage).expect("a valid chunk"), ChunkKind::Closing);

    let message: serde_json::Value =
        serde_json::from_str(&builder.message()).expect("the message is JSON");
    assert_eq!(message["content"], "a b");
    assert_eq!(message["tool_calls"][0]["function"]["arguments"], "{\"x\":1}");
    assert_eq!(&*builder.finish_reason(), "tool_calls");
    assert_eq!(builder.usage(0, 0).cached, 5);
    assert!(builder.push("no JSON").is_err());
}
