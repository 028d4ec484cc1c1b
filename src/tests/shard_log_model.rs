//! The shard log under random interleavings: writers that claim, append, snapshot, lose answers, pause and die.

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
    memory_platform::{FaultChances, MemoryPlatform},
    polling::{PolledTask, block_on, poll_once},
};
use crate::{
    EndReason, LogError, LogReader, LogRecord, PlatformClient, ProgramId, ProgramTerms, ShardId,
    ShardLog, ShardState, TokenUsage, TurnRecord, WriterId, encode_frame,
};

/// Seeds that are walked, and steps for each.
const SEEDS: u64 = 120;
const STEPS: usize = 1_500;

/// Hosts that contend for the shard.
const HOSTS: usize = 3;

/// Batches between two snapshots of one writer, few, so that trimming is met often.
const SNAPSHOT_BATCHES: u64 = 4;

const SHARD: ShardId = ShardId(3);
const PROGRAM: ProgramId = ProgramId { shard: SHARD, serial: 7 };
const BUDGET: u64 = 1_000_000;
const TURN_TOKENS: u64 = 100;

/// What writers were told is durable: the answer of each turn, by its number.
#[derive(Debug, Default)]
struct ToldTurns {
    answers: BTreeMap<u32, Arc<str>>,
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

    if program.chunk_tokens() < TURN_TOKENS {
        let chunk_limit = program.chunk_limit + program.free_tokens().min(1_000);
        return vec![LogRecord::BudgetReserved { program: PROGRAM, chunk_limit }];
    }

    let number = program.next_number();
    vec![LogRecord::TurnFinished { program: PROGRAM, number, turn: turn(answer) }]
}

/// One host: it claims, then appends until it is deposed or dies.
async fn run_host(platform: Arc<MemoryPlatform>, writer: u64, told: Arc<Mutex<ToldTurns>>) {
    let platform: Arc<dyn PlatformClient> = platform;
    let host = "host".into();
    let claim = ShardLog::claim(platform, SHARD, &host, WriterId(writer));

    let Ok(claimed) = claim.await else {
        return;
    };

    told.lock().claims += 1;
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

        records.iter().for_each(|record| tell(&told, record));

        if log.tail() >= SNAPSHOT_BATCHES {
            let snapshot = encode_frame(&state);

            if let Ok(trim) = log.write_snapshot(log.last(), &snapshot).await {
                let _ = trim.delete(Duration::ZERO).await;
            }
        }
    }
}

fn tell(told: &Mutex<ToldTurns>, record: &LogRecord) {
    if let LogRecord::TurnFinished { number, turn, .. } = record {
        let before = told.lock().answers.insert(*number, Arc::clone(&turn.answer));
        assert_eq!(before, None, "turn {number} was told twice");
    }
}

/// Everything that was told has to be in the log, in its place, and the budget has to hold.
fn check_log(platform: &Arc<MemoryPlatform>, told: &ToldTurns) {
    platform.set_chances(FaultChances::default());
    let client: Arc<dyn PlatformClient> = Arc::clone(platform) as Arc<dyn PlatformClient>;
    let replay = block_on(LogReader::new(client, SHARD).replay()).expect("the log can be read");

    let Ok(program) = replay.state.program(PROGRAM) else {
        assert!(told.answers.is_empty(), "the program is lost");
        return;
    };

    assert!(program.spent_tokens <= BUDGET, "spent {}", program.spent_tokens);

    for (number, answer) in &told.answers {
        match program.entry(*number) {
            Some(crate::ProgramEntry::Turn(turn)) => {
                assert_eq!(turn.answer, *answer, "turn {number} was replaced");
            }
            other => panic!("turn {number} was told and is lost: {other:?}"),
        }
    }
}

fn run_seed(seed: u64) -> u64 {
    let chances = FaultChances { refuse: 5, lose: 8 };
    let platform = MemoryPlatform::new(seed, chances);
    let told = Arc::new(Mutex::new(ToldTurns::default()));
    let mut random = StdRng::seed_from_u64(seed);
    let mut writers = 0;

    let mut start = || -> PolledTask {
        writers += 1;
        Box::pin(run_host(Arc::clone(&platform), writers, Arc::clone(&told)))
    };

    let mut hosts: Vec<PolledTask> = (0..HOSTS).map(|_| start()).collect();

    for _ in 0..STEPS {
        let host = random.random_range(0..HOSTS);
        // A host that is not polled for long is a process that was paused.
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
    let told = told.lock();
    check_log(&platform, &told);
    u64::from(!told.answers.is_empty()) * told.claims
}

#[test]
fn shard_log_random_interleavings() {
    let claims = AtomicU64::new(0);

    bolero::check!().exhaustive().with_generator(0..SEEDS).cloned().for_each(|seed| {
        claims.fetch_add(run_seed(seed), Ordering::Relaxed);
    });

    assert!(claims.load(Ordering::Relaxed) > SEEDS, "the walks must meet changes of owner");
}

/// A host that is paused after any step of its claim, while the owner goes on and trims, must not act as owner of what it
/// has replayed.
#[test]
fn late_claim_loses_nothing() {
    for steps in 0..40 {
        let platform = MemoryPlatform::new(1, FaultChances::default());
        let told = Arc::new(Mutex::new(ToldTurns::default()));
        let start = |writer| -> PolledTask {
            Box::pin(run_host(Arc::clone(&platform), writer, Arc::clone(&told)))
        };

        let mut owner = start(1);
        (0..60).for_each(|_| assert!(!poll_once(&mut owner)));

        let mut late = start(2);
        let is_over = (0..steps).any(|_| poll_once(&mut late));
        let is_deposed = (0..400).any(|_| poll_once(&mut owner));

        if !is_over {
            let _ = (0..60).any(|_| poll_once(&mut late));
        }

        if !is_deposed {
            let _ = (0..60).any(|_| poll_once(&mut owner));
        }

        check_log(&platform, &told.lock());
    }
}

#[test]
fn snapshots_bound_the_log() {
    let platform = MemoryPlatform::new(1, FaultChances::default());
    let told = Arc::new(Mutex::new(ToldTurns::default()));
    let mut owner: PolledTask = Box::pin(run_host(Arc::clone(&platform), 1, Arc::clone(&told)));

    for _ in 0..2_000 {
        assert!(!poll_once(&mut owner));
    }

    assert!(platform.writes() > 200, "{} writes", platform.writes());
    assert!(platform.object_count() < 20, "{} objects are left", platform.object_count());
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

    assert_eq!(state.program(PROGRAM).expect("the parent").child_tokens, 5_000);
    state.apply(&ended).expect("the record fits");
    let parent = state.program(PROGRAM).expect("the parent");
    assert_eq!((parent.child_tokens, parent.spent_tokens), (0, 300));
    assert_eq!(parent.free_tokens(), BUDGET - 1_300);
}
