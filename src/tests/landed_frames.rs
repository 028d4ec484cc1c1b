//! Frames and records as landed builds have written them. Hosts of both builds may run side by side, so this build writes and
//! reads the same bytes.

use std::sync::Arc;

use bytes::Bytes;

use crate::{
    PeerMessage, decode_frame, encode_frame,
    entry::{
        batch_index::IndexedBatch,
        budget_ledger::{SpendNote, SpendRecord, WriterSpends},
        quotas::{QuotaAnswer, QuotaReport},
        record_readings::ReadingAges,
        segment_index::SegmentIndex,
        turn_history::HistoryTurn,
        turn_journal::JournalBatch,
    },
};

fn turn() -> HistoryTurn {
    HistoryTurn {
        id: "t2".into(),
        previous: Some("t1".into()),
        input: Bytes::from_static(b"in"),
        output: Bytes::from_static(b"out\n"),
    }
}

fn note() -> SpendNote {
    SpendNote { program: "p1".into(), tokens: 575, recorded: 92 }
}

fn record() -> SpendRecord {
    SpendRecord { writer: Some("host-b.1".into()), program: "p1".into(), tokens: 575, spent: 92 }
}

/// Messages between entry hosts, with the bytes that 5c4b292 sends for each.
fn messages() -> Vec<(PeerMessage, &'static str)> {
    let writer: Arc<str> = "host-a.1".into();
    let spends_noted = PeerMessage::SpendsNoted {
        host: "host-a".into(),
        address: ([127, 0, 0, 1], 7_380).into(),
        region: "north".into(),
        writer: Arc::clone(&writer),
        sequence: 7,
        run_age_ms: 1_500,
        is_draining: false,
        notes: vec![note()],
        streams: Vec::new(),
        lost_services: Arc::default(),
    };
    let knowledge = PeerMessage::Knowledge {
        spends: vec![WriterSpends { writer: Arc::clone(&writer), notes: vec![note()] }],
        batches: vec![IndexedBatch { batch: "b1".into(), turns: vec!["t1".into()] }],
        readings: ReadingAges::default(),
        departures: Vec::new(),
    };

    vec![
        (
            spends_noted,
            "011606686f73742d61007f000001d439056e6f72746808686f73742d612e3107dc0b0001027031bf045c0000",
        ),
        (
            PeerMessage::SpendQuery { writer: Arc::clone(&writer), sequence: 8, note: note() },
            "011708686f73742d612e3108027031bf045c",
        ),
        (
            PeerMessage::Spend { writer: Arc::clone(&writer), sequence: 9, note: note() },
            "011808686f73742d612e3109027031bf045c",
        ),
        (
            PeerMessage::Record { turns: vec![turn()], spends: vec![record()] },
            "0119010274320102743102696e046f75740a010108686f73742d622e31027031bf045c",
        ),
        (PeerMessage::KnowledgeQuery, "011b"),
        (knowledge, "011c0108686f73742d612e3101027031bf045c0102623101027431000000"),
        (PeerMessage::TurnQuery { turn: "t2".into() }, "011d027432"),
        (PeerMessage::Turns { turns: vec![turn()] }, "011e010274320102743102696e046f75740a"),
        (PeerMessage::Done, "0120"),
        (PeerMessage::RecentSpendsQuery { writer, sequence: 3 }, "012f08686f73742d612e3103"),
        (
            PeerMessage::RecentSpends { spends: vec![record()] },
            "0130010108686f73742d622e31027031bf045c",
        ),
        (PeerMessage::UpstreamsLimited { limits: Vec::new() }, "013100"),
    ]
}

/// A batch and an index, with the text that 5c4b292 writes for each.
const BATCH: &str = concat!(
    r#"{"number":5,"writer":"host-a.1","turns":[{"id":"t2","previous":"t1","input":"aW4","output":"b3V0Cg"}],"#,
    r#""spends":[{"writer":"host-b.1","program":"p1","tokens":575,"spent":92}]}"#
);
const INDEX: &str = concat!(
    r#"{"writer":"host-a.1","sequence":4,"last_number":5,"next_position":3,"#,
    r#""batches":[{"batch":"host-a.1.000002.00000005","turns":["t2"]}],"#,
    r#""spends":[{"writer":"host-b.1","program":"p1","tokens":575,"spent":92}]}"#
);

fn bytes_of(hex: &str) -> Vec<u8> {
    let digits = hex.as_bytes().chunks(2).map(|it| std::str::from_utf8(it).expect("ASCII"));
    digits.map(|it| u8::from_str_radix(it, 16).expect("hexadecimal")).collect()
}

/// Guards against hosts of two builds that can't read each other's messages.
#[test]
fn encode_frame_writes_messages_as_the_landed_build_does() {
    for (message, expected) in messages() {
        assert_eq!(crate::hex_text(&encode_frame(&message)), expected, "{message:?}");
        let decoded: PeerMessage = decode_frame(&bytes_of(expected)).expect("a landed frame");
        assert_eq!(format!("{decoded:?}"), format!("{message:?}"));
    }
}

/// Messages that the landed build doesn't know come after all of its own, so that it can't take them for another one.
#[test]
fn encode_frame_numbers_new_messages_after_those_of_the_landed_build() {
    let limited = PeerMessage::UpstreamsLimited { limits: Vec::new() };
    let last_landed = encode_frame(&limited)[1];
    for message in [PeerMessage::FeaturesQuery, PeerMessage::Features { features: Vec::new() }] {
        assert!(encode_frame(&message)[1] > last_landed, "{message:?}");
    }
}

/// Guards against frames that two builds with quotas number differently.
#[test]
fn encode_frame_numbers_quota_messages_after_features() {
    let features = encode_frame(&PeerMessage::Features { features: Vec::new() })[1];
    let report = QuotaReport {
        host: "front-ab-a-1".into(),
        run: "front-ab-a-1.0123456789ab".into(),
        sequence: 9_000,
        is_probe: false,
        delegated_us: 400_000,
        view_hash: u64::MAX,
        candidates: Vec::new(),
        view_number: 3,
        view_age_ms: 900_000,
        known_hosts: 18,
        teams: Vec::new(),
    };
    let answer = QuotaAnswer { knows_view: true, grants: Vec::new() };
    let report = encode_frame(&PeerMessage::QuotaReport { report });
    let grants = encode_frame(&PeerMessage::QuotaGrants { answer });
    assert!(report[1] > features && grants[1] == report[1] + 1);
    // Each scheduler sends one to each other one every 400 ms.
    assert!(report.len() <= 80, "an idle report of {} bytes", report.len());
    println!("an idle report has {} bytes, its answer {}", report.len(), grants.len());
}

#[test]
fn records_are_written_as_the_landed_build_does() {
    let batch = JournalBatch {
        number: 5,
        writer: "host-a.1".into(),
        turns: vec![turn()],
        spends: vec![record()],
    };
    assert_eq!(serde_json::to_string(&batch).expect("JSON"), BATCH);
    let decoded: JournalBatch = serde_json::from_str(BATCH).expect("a landed batch");
    assert_eq!(decoded.turns, batch.turns);

    let mut index = SegmentIndex::new(&"host-a.1".into(), 4, 5);
    index.next_position = 3;
    index.add(&"host-a.1.000002.00000005".into(), &batch);
    assert_eq!(serde_json::to_string(&index).expect("JSON"), INDEX);
    let decoded: SegmentIndex = serde_json::from_str(INDEX).expect("a landed index");
    assert_eq!((decoded.sequence, decoded.next_position), (4, 3));
}
