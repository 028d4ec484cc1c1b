//! Random records against the state of a shard: accepted ones keep its invariants, refused ones change nothing.

use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{
    CallRecord, CallState, EndReason, LogRecord, ProgramAdmission, ProgramId, ProgramTerms,
    ShardId, ShardState, TokenUsage, TurnRecord, encode_frame,
};

const SEEDS: u64 = 200;
const STEPS: usize = 500;

fn id(serial: u64) -> ProgramId {
    ProgramId { shard: ShardId(0), serial }
}

fn terms() -> ProgramTerms {
    ProgramTerms {
        id: id(1),
        team: "tuul".into(),
        model: "agent-llm".into(),
        budget_tokens: 2_000,
        first_chunk_tokens: 500,
        deadline_ms: None,
        parent: None,
        created_ms: 0,
    }
}

fn turn(tokens: u64) -> TurnRecord {
    TurnRecord {
        fingerprint: tokens,
        messages: vec!["{}".into()],
        answer: "{}".into(),
        finish_reason: "stop".into(),
        usage: TokenUsage { prompt: tokens, cached: 0, completion: 0 },
        at_ms: 1,
    }
}

fn call() -> CallRecord {
    CallRecord {
        service: "ledger-app".into(),
        fingerprint: 1,
        is_repeatable: false,
        state: CallState::Intended,
        at_ms: 1,
    }
}

fn random_record(random: &mut StdRng) -> LogRecord {
    let program = id(random.random_range(0..6));
    let number = random.random_range(1..12);
    let tokens = random.random_range(0..800);

    match random.random_range(0..11) {
        0 | 1 => {
            let parent = random.random_bool(0.6).then(|| id(random.random_range(0..6)));

            LogRecord::ProgramCreated {
                terms: ProgramTerms {
                    id: program,
                    team: "tuul".into(),
                    model: "agent-llm".into(),
                    budget_tokens: random.random_range(1..5_000),
                    first_chunk_tokens: 500,
                    deadline_ms: None,
                    parent: parent.filter(|it| *it != program),
                    created_ms: 0,
                },
            }
        }
        2 => LogRecord::BudgetReserved { program, chunk_limit: random.random_range(0..6_000) },
        3 | 4 => LogRecord::TurnFinished { program, number, turn: turn(tokens) },
        5 => LogRecord::TurnRestored { program, number, turn: turn(tokens) },
        6 => LogRecord::CallIntended { program, number, call: call() },
        7 => LogRecord::CallSettled { program, number, state: CallState::Unknown, at_ms: 1 },
        8 => LogRecord::TokensSpent { program, tokens },
        9 => LogRecord::ProgramEnded { program, reason: EndReason::Requested, at_ms: 1 },
        _ => LogRecord::ShardClaimed { host: "host".into(), epoch: 1 },
    }
}

fn check_invariants(state: &ShardState) {
    for program in state.programs.values() {
        let id = program.terms.id;
        let budget_tokens = program.terms.budget_tokens;
        assert!(
            program.spent_tokens <= program.chunk_limit,
            "{id} has spent more than it has reserved"
        );
        assert!(
            program.chunk_limit + program.child_tokens <= budget_tokens,
            "{id} exceeds its budget"
        );
        assert!(
            program.presumed_tokens <= program.spent_tokens,
            "{id} has more presumed than spent tokens"
        );

        let open_calls = program.entries.iter().filter(|entry| !entry.is_settled()).count();
        assert!(open_calls <= 1, "{id} has {open_calls} open calls");

        let child_tokens: u64 = state
            .open_programs()
            .filter(|child| child.terms.parent == Some(id))
            .map(|child| child.terms.budget_tokens)
            .sum();

        if program.end_reason.is_none() {
            assert_eq!(
                child_tokens, program.child_tokens,
                "{id} does not reserve what its children have"
            );
        } else {
            assert_eq!(child_tokens, 0, "{id} has ended and has open children");
        }
    }
}

#[test]
fn apply_random_records() {
    bolero::check!().exhaustive().with_generator(0..SEEDS).cloned().for_each(|seed| {
        let mut random = StdRng::seed_from_u64(seed);
        let mut state = ShardState::default();

        for _ in 0..STEPS {
            let record = random_record(&mut random);
            let before = state.clone();

            if state.apply(&record).is_err() {
                assert_eq!(state, before, "a refused record has changed the state: {record:?}");
            }

            check_invariants(&state);
        }
    });
}

#[test]
fn claim_without_release_presumes_chunk_spent() {
    let mut state = ShardState::default();
    let claim = LogRecord::ShardClaimed { host: "host".into(), epoch: 1 };

    state.apply(&LogRecord::ProgramCreated { terms: terms() }).expect("the record fits");
    state.apply(&LogRecord::ShardReleased).expect("the record fits");
    state.apply(&claim).expect("the record fits");
    assert_eq!(state.program(id(1)).expect("the program exists").spent_tokens, 0);

    state.apply(&claim).expect("the record fits");
    assert_eq!(state.program(id(1)).expect("the program exists").spent_tokens, 500);

    let restored = LogRecord::TurnRestored { program: id(1), number: 1, turn: turn(300) };
    state.apply(&restored).expect("the record fits");
    let program = state.program(id(1)).expect("the program exists");
    assert_eq!((program.spent_tokens, program.presumed_tokens), (500, 200));
}

#[test]
fn admit_each_number() {
    let mut state = ShardState::default();
    state.apply(&LogRecord::ProgramCreated { terms: terms() }).expect("the record fits");
    let finished = LogRecord::TurnFinished { program: id(1), number: 1, turn: turn(10) };
    state.apply(&finished).expect("the record fits");
    let program = state.program(id(1)).expect("the program exists");

    let cases = [
        (0, 10, ProgramAdmission::OutOfRange),
        (1, 10, ProgramAdmission::Settled),
        (1, 11, ProgramAdmission::Mismatch),
        (2, 10, ProgramAdmission::Next),
        (3, 10, ProgramAdmission::Early),
        (10, 10, ProgramAdmission::Early),
        (11, 10, ProgramAdmission::OutOfRange),
    ];

    for (number, fingerprint, expected) in cases {
        assert_eq!(program.admit(number, fingerprint), expected, "number {number}");
    }
}

#[test]
fn decode_snapshots_with_and_without_unlogged_programs() {
    let mut state = ShardState::default();
    state.apply(&LogRecord::ProgramCreated { terms: terms() }).expect("a new program");
    let earlier_format = encode_frame(&(state.epoch, state.is_released, &state.programs));
    assert_eq!(encode_frame(&state), earlier_format);
    assert_eq!(ShardState::decode(&earlier_format), Ok(state.clone()));

    state.has_forgotten = true;
    assert_eq!(ShardState::decode(&encode_frame(&state)), Ok(state.clone()), "forgotten alone");
    state.has_forgotten = false;
    state.unlogged_programs.insert(id(1));
    let frame = encode_frame(&state);
    assert_eq!(ShardState::decode(&frame), Ok(state));

    for length in (0..frame.len()).filter(|length| *length != earlier_format.len()) {
        let truncated = ShardState::decode(&frame[..length]);
        assert!(truncated.is_err(), "{length} bytes of {}: {truncated:?}", frame.len());
    }
}

#[test]
fn claim_without_release_is_remembered_until_its_programs_are_forgotten() {
    let mut state = ShardState::default();
    let claim = |epoch| LogRecord::ShardClaimed { host: "host".into(), epoch };
    let forgotten = LogRecord::ProgramForgotten { program: id(1) };
    let ended = LogRecord::ProgramEnded { program: id(1), reason: EndReason::Requested, at_ms: 1 };

    let steps = [
        (claim(1), false),
        (LogRecord::ProgramCreated { terms: terms() }, false),
        (LogRecord::ShardReleased, false),
        (claim(2), false),
        (claim(3), true),
        (LogRecord::ShardReleased, true),
        (claim(4), true),
        (LogRecord::TurnFinished { program: id(1), number: 1, turn: turn(0) }, true),
        (ended, true),
        (forgotten, false),
    ];

    for (record, is_unlogged) in steps {
        state.apply(&record).expect("a record that fits");
        assert_eq!(state.unlogged_programs.contains(&id(1)), is_unlogged, "{record:?}");
    }
}
