//! Memory of programs and teams, and the time to encode, replay and patch.

use std::{hint::black_box, sync::Arc, time::Instant};

use serde_json::{Value, json};

use super::{process_usage::allocated_bytes, slope_row::SlopeRow};
use crate::{
    ConfigDocument, LogRecord, ProgramId, ProgramTerms, ShardId, ShardState, TokenUsage,
    TurnRecord, configuration::config_document::key_hash, decode_frame, encode_frame,
};

/// Bytes of text that one turn adds to a history.
const TURN_TEXT_BYTES: usize = 4_000;

fn program(serial: u64) -> ProgramId {
    ProgramId { shard: ShardId(1), serial }
}

fn created(serial: u64) -> LogRecord {
    LogRecord::ProgramCreated {
        terms: ProgramTerms {
            id: program(serial),
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

fn finished(serial: u64, number: u32, bytes: usize) -> LogRecord {
    let text = "x".repeat(bytes / 2);

    LogRecord::TurnFinished {
        program: program(serial),
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

fn state(programs: usize, turns: u32, bytes: usize) -> ShardState {
    let mut state = ShardState::default();

    for serial in 0..programs as u64 {
        state.apply(&created(serial)).expect("the record fits");

        for number in 1..=turns {
            state.apply(&finished(serial, number, bytes)).expect("the record fits");
        }
    }

    state
}

fn micros(work: impl FnOnce()) -> f64 {
    let started = Instant::now();
    work();
    started.elapsed().as_secs_f64() * 1e6
}

fn teams(count: usize) -> ConfigDocument {
    let teams: serde_json::Map<String, Value> = (0..count)
        .map(|it| {
            let terms = json!({ "key_hash": &*key_hash(&it.to_string()), "weight": 2 });
            (format!("cooperative-{it:05}"), terms)
        })
        .collect();

    ConfigDocument::default().patched(&json!({ "teams": teams })).expect("a valid document")
}

pub(super) fn measure() -> Vec<SlopeRow> {
    let sizes = [10_000, 20_000, 40_000];

    vec![
        SlopeRow::fit("memory of an idle program", "programs", "bytes", sizes, |programs| {
            let before = allocated_bytes();
            let state = state(programs, 0, 0);
            let taken = allocated_bytes().saturating_sub(before);
            black_box(&state);
            taken as f64
        }),
        SlopeRow::fit("memory of a turn of 4,000 bytes", "turns", "bytes", sizes, |turns| {
            let before = allocated_bytes();
            let state = state(turns / 20, 20, TURN_TEXT_BYTES);
            let taken = allocated_bytes().saturating_sub(before);
            black_box(&state);
            taken as f64
        }),
        SlopeRow::fit(
            "snapshot",
            "turns of 4,000 bytes",
            "bytes",
            [1_000, 2_000, 4_000],
            |turns| encode_frame(&state(turns / 20, 20, TURN_TEXT_BYTES)).len() as f64,
        ),
        SlopeRow::fit("encoding a snapshot", "turns", "us", [1_000, 2_000, 4_000], |turns| {
            let state = state(turns / 20, 20, TURN_TEXT_BYTES);
            micros(|| {
                black_box(encode_frame(&state));
            })
        }),
        SlopeRow::fit("decoding and applying a turn", "turns", "us", sizes, |turns| {
            let records: Vec<_> = (0..turns as u32)
                .map(|it| encode_frame(&finished(0, it + 1, TURN_TEXT_BYTES)))
                .collect();
            let mut state = ShardState::default();
            state.apply(&created(0)).expect("the record fits");
            micros(|| {
                for record in &records {
                    let record: LogRecord = decode_frame(record).expect("a record");
                    state.apply(&record).expect("the record fits");
                }
            })
        }),
        SlopeRow::fit("one patch", "teams", "us", [2_000, 5_000, 20_000], |count| {
            let document = teams(count);
            let patch = json!({ "teams": { "cooperative-00001": { "weight": 3 } } });
            micros(|| {
                black_box(document.patched(&patch).expect("a valid document"));
            })
        }),
        SlopeRow::fit(
            "configuration snapshot",
            "teams",
            "bytes",
            [2_000, 5_000, 20_000],
            |count| serde_json::to_string(&teams(count)).map_or(0.0, |text| text.len() as f64),
        ),
        SlopeRow::fit("memory of a team", "teams", "bytes", [5_000, 10_000, 20_000], |count| {
            let before = allocated_bytes();
            let document = teams(count);
            let taken = allocated_bytes().saturating_sub(before);
            black_box(&document);
            taken as f64
        }),
    ]
}
