//! Encoded sizes of messages between hosts and of log records.

use std::sync::Arc;

use super::linear_fit::LinearFit;
use crate::{
    CellId, CellReport, CellRequest, CellResult, ConfigEntry, HostPhase, LogBatch, LogRecord,
    MemberRumor, MemberStatus, PeerMessage, ProgramId, RumorVersion, ShardId, TokenUsage,
    TurnRecord, WriterId, encode_frame,
};

/// Length prefix of each frame on a stream.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Size of a message as a frame on a stream, in bytes.
fn frame_bytes(message: &PeerMessage) -> f64 {
    (encode_frame(message).len() + LENGTH_PREFIX_BYTES) as f64
}

fn rumor(shards: usize) -> MemberRumor {
    MemberRumor {
        host: "ub-1234".into(),
        version: RumorVersion {
            incarnation: 1_796_344_835_600,
            revision: 1_000,
            status: MemberStatus::Alive,
        },
        phase: HostPhase::Serving,
        shards: (0..shards as u16).map(|it| ShardId(it * 100)).collect(),
    }
}

fn cell_request() -> CellRequest {
    CellRequest {
        team: "cooperative-0123".into(),
        weight: 1,
        program: ProgramId { shard: ShardId(1), serial: u64::MAX },
        number: 20,
        attained_tokens: 100_000,
        prompt_tokens: 100_000,
        answer_tokens: 1_024,
        queued_ms: 1_796_344_835_600,
        deadline_ms: None,
        fingerprint: u64::MAX,
        excluded: Vec::new(),
    }
}

/// Text of the given length, in bytes.
fn filler_text(bytes: usize) -> Arc<str> {
    "x".repeat(bytes).into()
}

/// A turn whose messages and answer are `size` bytes long together.
fn turn_record(size: usize) -> LogRecord {
    LogRecord::TurnFinished {
        program: ProgramId { shard: ShardId(1), serial: u64::MAX },
        number: 20,
        turn: TurnRecord {
            fingerprint: u64::MAX,
            messages: vec![filler_text(size / 2)],
            answer: filler_text(size / 2),
            finish_reason: "stop".into(),
            usage: TokenUsage { prompt: 100_000, cached: 90_000, completion: 500 },
            at_ms: 1_796_344_835_600,
        },
    }
}

pub(super) fn measure() -> Vec<LinearFit> {
    vec![
        LinearFit::measure("probe and answer", "rumors in each", "bytes", [1, 4, 7], |rumors| {
            let rumors = vec![rumor(4); rumors];
            let ping = PeerMessage::Ping {
                from: "ub-1234".into(),
                config_number: 4_000_000,
                rumors: rumors.clone(),
            };
            frame_bytes(&ping) + frame_bytes(&PeerMessage::Ack { config_number: 4_000_000, rumors })
        }),
        LinearFit::measure("rumor", "shards of the host", "bytes", [1, 4, 16], |shards| {
            let rumors = vec![rumor(shards); 2];
            let two_rumors = PeerMessage::Sync { rumors };
            frame_bytes(&two_rumors)
                - frame_bytes(&PeerMessage::Sync { rumors: vec![rumor(shards)] })
        }),
        LinearFit::measure(
            "dispatch of a request",
            "requests",
            "bytes",
            [1, 10, 100],
            |requests| {
                let cell = CellId { region: "ub-a".into(), model: "agent-llm".into() };
                let dispatch = PeerMessage::Dispatch { cell, request: cell_request() };
                let granted = PeerMessage::Granted { upstream: "engine-ub-a-123".into() };
                let usage = TokenUsage { prompt: 100_000, cached: 90_000, completion: 500 };
                let report =
                    CellReport { result: CellResult::Completed, usage, decode_us: 1 << 24 };
                let request_bytes = frame_bytes(&dispatch)
                    + frame_bytes(&granted)
                    + frame_bytes(&PeerMessage::Report(report));
                request_bytes * requests as f64
            },
        ),
        LinearFit::measure(
            "configuration push",
            "hosts in the tree",
            "bytes",
            [6, 60, 390],
            |hosts| {
                let entry = ConfigEntry {
                    number: 4_000_000,
                    patch: filler_text(200),
                    writer: WriterId(u64::MAX),
                    at_ms: 1_796_344_835_600,
                };
                let tree = (0..hosts).map(|it| (&*format!("ub-{it:04}")).into()).collect();
                frame_bytes(&PeerMessage::ConfigPush { entries: vec![entry], tree, position: 300 })
            },
        ),
        LinearFit::measure(
            "turn in a log batch",
            "bytes of text",
            "bytes",
            [0, 4_000, 40_000],
            |size| {
                let batch =
                    |records| LogBatch { writer: WriterId(u64::MAX), batch: 1_000_000, records };
                let two_turns =
                    encode_frame(&batch(vec![turn_record(size), turn_record(size)])).len();
                let one_turn = encode_frame(&batch(vec![turn_record(size)])).len();
                (two_turns - one_turn) as f64
            },
        ),
    ]
}
