//! The shard log under random interleavings of hosts that claim it, append, write snapshots, lose responses, pause and
//! crash. Every acknowledged turn must stay in the log.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use parking_lot::Mutex;
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{
    memory_platform::{FaultRates, MemoryPlatform},
    polling::{PolledTask, block_on, poll_once},
};
use crate::{
    EndReason, LogError, LogReader, LogRecord, PlatformClient, ProgramId, ProgramTerms, ShardId,
    ShardLog, ShardState, TokenUsage, TurnRecord, WriterId, encode_frame,
};

/// Seeds of the random interleavings.
const SEEDS: u64 = 120;

/// Steps for each seed.
const STEPS: usize = 1_500;

/// Hosts that contend for the shard.
const HOSTS: usize = 3;

/// Batches after which a writer makes a snapshot; few, so that batches are often deleted.
const BATCHES_PER_SNAPSHOT: u64 = 4;

const SHARD: ShardId = ShardId(3);
const PROGRAM: ProgramId = ProgramId { shard: SHARD, serial: 7 };
const BUDGET: u64 = 1_000_000;
const TURN_TOKENS: u64 = 100;

/// Turns that were acknowledged as durable.
#[derive(Debug, Default)]
struct AcknowledgedTurns {
    /// Answers by the number of the turn.
    answers: BTreeMap<u32, Arc<str>>,
    /// Successful claims of the shard.
    claims: u64,
}

fn terms() -> ProgramTerms {
    ProgramTerms {
        id: PROGRAM,
        team: "tuul".into(),
        model: "agent-llm".into(),
        budget_tokens: BUDGET,
        first_chunk_tokens: 1_000,
        deadline_ms: None,
        parent: None,
        created_ms: 1,
    }
}

fn turn(answer: &str) -> TurnRecord {
    TurnRecord {
        fingerprint: 1,
        messages: vec!["{}".into()],
        answer: answer.into(),
        finish_reason: "stop".into(),
        usage: TokenUsage { prompt: TURN_TOKENS, cached: 0, completion: 0 },
        at_ms: 1,
    }
}

/// Records of the next step of the program, as an owner would decide on them.
fn next_records(state: &ShardState, answer: &str) -> Vec<LogRecord> {
    let Ok(program) = state.program(PROGRAM) else {
        return vec![LogRecord::ProgramCreated { terms: terms() }];
    };

    if program.remaining_chunk_tokens() < TURN_TOKENS {
        let chunk_limit = program.chunk_limit + program.free_tokens().min(1_000);
        return vec![LogRecord::BudgetReserved { program: PROGRAM, chunk_limit }];
    }

    let number = program.next_number();
    vec![LogRecord::TurnFinished { program: PROGRAM, number, turn: turn(answer) }]
}

/// Runs a host, which claims the shard and then appends until it is deposed.
async fn run_host(
    platform: Arc<MemoryPlatform>,
    writer: u64,
    acknowledged: Arc<Mutex<AcknowledgedTurns>>,
) {
    let platform: Arc<dyn PlatformClient> = platform;
    let host = "host".into();
    let claim = ShardLog::claim(platform, SHARD, &host, WriterId(writer));

    let Ok(claimed) = claim.await else {
        return;
    };

    acknowledged.lock().claims += 1;
    let mut log = claimed.log;
    let mut state = claimed.state;

    for step in 0.. {
        let records = next_records(&state, &format!("{writer}-{step}"));
        records.iter().for_each(|record| state.apply(record).expect("the record fits"));
        let batch = log.encode(records.clone());

        loop {
            match log.commit(&batch).await {
                Ok(()) => break,
                Err(LogError::Deposed) => return,
                Err(_) => (),
            }
        }

        records.iter().for_each(|record| acknowledge(&acknowledged, record));

        if log.tail_batches() >= BATCHES_PER_SNAPSHOT {
            let snapshot = encode_frame(&state);

            if let Ok(trim) = log.write_snapshot(log.last_sequence(), &snapshot).await {
                let _ = trim.delete(Duration::ZERO).await;
            }
        }
    }
}

/// Counts a finished turn as acknowledged, once its batch is committed.
fn acknowledge(acknowledged: &Mutex<AcknowledgedTurns>, record: &LogRecord) {
    if let LogRecord::TurnFinished { number, turn, .. } = record {
        let previous = acknowledged.lock().answers.insert(*number, Arc::clone(&turn.answer));
        assert_eq!(previous, None, "turn {number} was acknowledged twice");
    }
}

/// Checks that every acknowledged turn is in the log under its number, and that the budget is not exceeded.
fn check_log(platform: &Arc<MemoryPlatform>, acknowledged: &AcknowledgedTurns) {
    platform.set_fault_rates(FaultRates::default());
    let client: Arc<dyn PlatformClient> = Arc::clone(platform) as Arc<dyn PlatformClient>;
    let replay = block_on(LogReader::new(client, SHARD).replay()).expect("the log can be read");

    let Ok(program) = replay.state.program(PROGRAM) else {
        assert!(acknowledged.answers.is_empty(), "the program is lost, with acknowledged turns");
        return;
    };

    assert!(program.spent_tokens <= BUDGET, "{} tokens are spent", program.spent_tokens);

    for (number, answer) in &acknowledged.answers {
        match program.entry(*number) {
            Some(crate::ProgramEntry::Turn(turn)) => {
                assert_eq!(turn.answer, *answer, "turn {number} has another answer");
            }
            other => panic!("turn {number} was acknowledged and is lost: {other:?}"),
        }
    }
}

/// Runs one interleaving. Returns the number of claims, or 0 if no turn was acknowledged.
fn run_seed(seed: u64) -> u64 {
    let chances = FaultRates { refusal_percent: 5, lost_response_percent: 8 };
    let platform = MemoryPlatform::new(seed, chances);
    let acknowledged = Arc::new(Mutex::new(AcknowledgedTurns::default()));
    let mut random = StdRng::seed_from_u64(seed);
    let mut writers = 0;

    let mut start = || -> PolledTask {
        writers += 1;
        Box::pin(run_host(Arc::clone(&platform), writers, Arc::clone(&acknowledged)))
    };

    let mut hosts: Vec<PolledTask> = (0..HOSTS).map(|_| start()).collect();

    for _ in 0..STEPS {
        let host = random.random_range(0..HOSTS);
        // A host that is not polled for many steps acts as a paused process.
        let burst = if random.random_bool(0.02) { 60 } else { 3 };

        for _ in 0..burst {
            if poll_once(&mut hosts[host]) {
                hosts[host] = start();
            }
        }

        if random.random_bool(0.01) {
            hosts[host] = start();
        }
    }

    drop(hosts);
    let acknowledged = acknowledged.lock();
    check_log(&platform, &acknowledged);
    u64::from(!acknowledged.answers.is_empty()) * acknowledged.claims
}

#[test]
fn shard_log_random_interleavings() {
    let claims = AtomicU64::new(0);

    bolero::check!().exhaustive().with_generator(0..SEEDS).cloned().for_each(|seed| {
        claims.fetch_add(run_seed(seed), Ordering::Relaxed);
    });

    assert!(
        claims.load(Ordering::Relaxed) > SEEDS,
        "too few changes of owner for the test to mean anything"
    );
}

/// Guards against a late claim: a host is paused after any step of its claim, while the owner appends more and deletes
/// replaced batches. The paused host must not become the owner of the outdated state that it has replayed.
#[test]
fn late_claim_loses_nothing() {
    for steps in 0..40 {
        let platform = MemoryPlatform::new(1, FaultRates::default());
        let acknowledged = Arc::new(Mutex::new(AcknowledgedTurns::default()));
        let start = |writer| -> PolledTask {
            Box::pin(run_host(Arc::clone(&platform), writer, Arc::clone(&acknowledged)))
        };

        let mut owner = start(1);
        (0..60).for_each(|_| assert!(!poll_once(&mut owner)));

        let mut late_host = start(2);
        let has_ended = (0..steps).any(|_| poll_once(&mut late_host));
        let is_deposed = (0..400).any(|_| poll_once(&mut owner));

        if !has_ended {
            let _ = (0..60).any(|_| poll_once(&mut late_host));
        }

        if !is_deposed {
            let _ = (0..60).any(|_| poll_once(&mut owner));
        }

        check_log(&platform, &acknowledged.lock());
    }
}

#[test]
fn snapshots_bound_the_log() {
    let platform = MemoryPlatform::new(1, FaultRates::default());
    let acknowledged = Arc::new(Mutex::new(AcknowledgedTurns::default()));
    let mut owner: PolledTask =
        Box::pin(run_host(Arc::clone(&platform), 1, Arc::clone(&acknowledged)));

    for _ in 0..2_000 {
        assert!(!poll_once(&mut owner));
    }

    assert!(platform.create_calls() > 200, "{} writes", platform.create_calls());
    assert!(
        platform.object_count() < 20,
        "{} objects are left in the platform",
        platform.object_count()
    );
}

#[test]
fn end_returns_budget_to_parent() {
    let mut state = ShardState::default();
    let parent = LogRecord::ProgramCreated { terms: terms() };
    let child_id = ProgramId { shard: SHARD, serial: 8 };

    let child = LogRecord::ProgramCreated {
        terms: ProgramTerms {
            id: child_id,
            parent: Some(PROGRAM),
            budget_tokens: 5_000,
            ..terms()
        },
    };

    let spent = LogRecord::TokensSpent { program: child_id, tokens: 300 };
    let ended =
        LogRecord::ProgramEnded { program: child_id, reason: EndReason::Requested, at_ms: 2 };

    for record in [parent, child, spent] {
        state.apply(&record).expect("the record fits");
    }

    assert_eq!(state.program(PROGRAM).expect("the parent exists").child_tokens, 5_000);
    state.apply(&ended).expect("the record fits");
    let parent = state.program(PROGRAM).expect("the parent exists");
    assert_eq!((parent.child_tokens, parent.spent_tokens), (0, 300));
    assert_eq!(parent.free_tokens(), BUDGET - 1_300);
}
