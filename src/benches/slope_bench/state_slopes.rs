//! Memory of programs and teams, and the time to encode and decode their state and to patch the configuration.

use std::{hint::black_box, sync::Arc, time::Instant};

use serde_json::{Value, json};

use super::{linear_fit::LinearFit, process_usage::allocated_bytes};
use crate::{
    ConfigDocument, LogRecord, ProgramId, ProgramTerms, ShardId, ShardState, TokenUsage,
    TurnRecord, configuration::config_document::key_hash, decode_frame, encode_frame,
};

/// Text that one turn adds to a history.
const TURN_TEXT_BYTES: usize = 4_000;

fn program_id(serial: u64) -> ProgramId {
    ProgramId { shard: ShardId(1), serial }
}

fn creation_record(serial: u64) -> LogRecord {
    LogRecord::ProgramCreated {
        terms: ProgramTerms {
            id: program_id(serial),
            team: "cooperative-0123".into(),
            model: "agent-llm".into(),
            budget_tokens: 10_000_000,
            first_chunk_tokens: 5_000_000,
            deadline_ms: None,
            parent: None,
            created_ms: 1,
        },
    }
}

/// A turn whose message and answer are `bytes` long together.
fn turn_record(serial: u64, number: u32, bytes: usize) -> LogRecord {
    let text = "x".repeat(bytes / 2);

    LogRecord::TurnFinished {
        program: program_id(serial),
        number,
        turn: TurnRecord {
            fingerprint: 1,
            messages: vec![Arc::from(text.as_str())],
            answer: text.into(),
            finish_reason: "stop".into(),
            usage: TokenUsage { prompt: 100, cached: 0, completion: 10 },
            at_ms: 1,
        },
    }
}

/// A shard's state with `programs` programs, each of which has `turns` turns of `bytes`.
fn shard_state(programs: usize, turns: u32, bytes: usize) -> ShardState {
    let mut state = ShardState::default();

    for serial in 0..programs as u64 {
        state.apply(&creation_record(serial)).expect("the record is valid in this state");

        for number in 1..=turns {
            state
                .apply(&turn_record(serial, number, bytes))
                .expect("the record is valid in this state");
        }
    }

    state
}

/// Measures the time that `run` takes, in microseconds.
fn elapsed_us(run: impl FnOnce()) -> f64 {
    let started = Instant::now();
    run();
    started.elapsed().as_secs_f64() * 1e6
}

/// A configuration with `count` teams.
fn config_with_teams(count: usize) -> ConfigDocument {
    let teams: serde_json::Map<String, Value> = (0..count)
        .map(|it| {
            let settings = json!({ "key_hash": &*key_hash(&it.to_string()), "weight": 2 });
            (format!("cooperative-{it:05}"), settings)
        })
        .collect();

    ConfigDocument::default().patched(&json!({ "teams": teams })).expect("the patch is valid")
}

pub(super) fn measure() -> Vec<LinearFit> {
    let sizes = [10_000, 20_000, 40_000];

    vec![
        LinearFit::measure("memory of an idle program", "programs", "bytes", sizes, |programs| {
            let before = allocated_bytes();
            let state = shard_state(programs, 0, 0);
            let allocated = allocated_bytes().saturating_sub(before);
            black_box(&state);
            allocated as f64
        }),
        LinearFit::measure("memory of a turn of 4,000 bytes", "turns", "bytes", sizes, |turns| {
            let before = allocated_bytes();
            let state = shard_state(turns / 20, 20, TURN_TEXT_BYTES);
            let allocated = allocated_bytes().saturating_sub(before);
            black_box(&state);
            allocated as f64
        }),
        LinearFit::measure(
            "snapshot",
            "turns of 4,000 bytes",
            "bytes",
            [1_000, 2_000, 4_000],
            |turns| encode_frame(&shard_state(turns / 20, 20, TURN_TEXT_BYTES)).len() as f64,
        ),
        LinearFit::measure("encoding a snapshot", "turns", "us", [1_000, 2_000, 4_000], |turns| {
            let state = shard_state(turns / 20, 20, TURN_TEXT_BYTES);
            elapsed_us(|| {
                black_box(encode_frame(&state));
            })
        }),
        LinearFit::measure("decoding and applying a turn", "turns", "us", sizes, |turns| {
            let records: Vec<_> = (0..turns as u32)
                .map(|it| encode_frame(&turn_record(0, it + 1, TURN_TEXT_BYTES)))
                .collect();
            let mut state = ShardState::default();
            state.apply(&creation_record(0)).expect("the record is valid in this state");
            elapsed_us(|| {
                for record in &records {
                    let record: LogRecord = decode_frame(record).expect("an encoded record");
                    state.apply(&record).expect("the record is valid in this state");
                }
            })
        }),
        LinearFit::measure("one patch", "teams", "us", [2_000, 5_000, 20_000], |count| {
            let document = config_with_teams(count);
            let patch = json!({ "teams": { "cooperative-00001": { "weight": 3 } } });
            elapsed_us(|| {
                black_box(document.patched(&patch).expect("the patch is valid"));
            })
        }),
        LinearFit::measure(
            "configuration snapshot",
            "teams",
            "bytes",
            [2_000, 5_000, 20_000],
            |count| {
                serde_json::to_string(&config_with_teams(count))
                    .map_or(0.0, |text| text.len() as f64)
            },
        ),
        LinearFit::measure(
            "memory of a team",
            "teams",
            "bytes",
            [5_000, 10_000, 20_000],
            |count| {
                let before = allocated_bytes();
                let document = config_with_teams(count);
                let allocated = allocated_bytes().saturating_sub(before);
                black_box(&document);
                allocated as f64
            },
        ),
    ]
}
