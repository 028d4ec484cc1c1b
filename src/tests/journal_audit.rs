//! The audit of journals: a valid journal has no findings; an altered, dropped or reordered line is reported with its
//! number.

use serde_json::{Value, json};

use crate::{
    CellEvent, CellId, CellPolicy, CellQueue, CellReport, CellRequest, CellResult, JournalAudit,
    JournalItem, JournalLine, ProgramId, RefusalReason, ShardId, TicketNumber, TokenUsage,
    dispatch::{
        decision_journal::line_hash,
        journal_audit::{AuditFinding, AuditedRequest},
    },
};

/// Writes lines in the format of the decision journal.
struct JournalWriter {
    queue: CellQueue,
    lines: Vec<String>,
    previous_hash: String,
}

impl JournalWriter {
    fn new() -> Self {
        let policy = CellPolicy::default();
        let queue = CellQueue::new(policy);
        let mut writer = Self { queue, lines: Vec::new(), previous_hash: String::new() };
        writer.write(0, JournalItem::Begun { policy });
        writer
    }

    fn write(&mut self, at_ms: u64, item: JournalItem) {
        let cell = CellId { region: "ub-a".into(), model: "agent-llm".into() };
        let sequence = self.lines.len() as u64;
        let line = JournalLine { cell, term: "ub-1-1".into(), sequence, at_ms, item };
        let record =
            serde_json::to_string(&line).expect("a journal line can be serialised as JSON");
        let hash = line_hash(&self.previous_hash, &record);
        let text = json!({ "target": "decision", "record": record, "hash": hash });
        self.lines.push(text.to_string());
        self.previous_hash = hash;
    }

    fn handle_event(&mut self, at_ms: u64, event: CellEvent) {
        self.queue.handle(at_ms, &event);
        self.write(at_ms, JournalItem::Event(event));

        while let Some(decision) = self.queue.decide(at_ms) {
            self.write(at_ms, JournalItem::Decision(decision));
        }
    }
}

fn program(serial: u64) -> ProgramId {
    ProgramId { shard: ShardId(0), serial }
}

fn request(ticket: TicketNumber) -> CellRequest {
    CellRequest {
        team: if ticket.is_multiple_of(3) { "tuul" } else { "ebro" }.into(),
        weight: 1,
        program: program(ticket % 7),
        number: 1,
        attained_tokens: 0,
        prompt_tokens: 500,
        answer_tokens: 50,
        queued_ms: ticket,
        deadline_ms: None,
        fingerprint: ticket,
        excluded: Vec::new(),
    }
}

fn joined(upstream: &str) -> CellEvent {
    CellEvent::Joined {
        upstream: upstream.into(),
        window: 2,
        cache_tokens: 10_000,
        prefill_us: 100,
    }
}

fn journal() -> Vec<String> {
    let mut writer = JournalWriter::new();

    for upstream in ["a", "b"] {
        writer.handle_event(0, joined(upstream));
    }

    for ticket in 0..40 {
        let request = request(ticket);
        writer.handle_event(ticket, CellEvent::Arrived { ticket, request });

        if ticket >= 4 {
            let usage = TokenUsage { prompt: 500, cached: 100, completion: 20 };
            let report = CellReport { result: CellResult::Completed, usage, decode_us: 1_000 };
            writer.handle_event(ticket, CellEvent::Finished { ticket: ticket - 4, report });
        }
    }

    writer.lines
}

fn audit(lines: &[String]) -> JournalAudit {
    let mut audit = JournalAudit::default();
    lines.iter().enumerate().for_each(|(index, line)| audit.read(index + 1, line));
    audit
}

/// First finding of an audit of manipulated lines.
fn first_finding(lines: &[String]) -> AuditFinding {
    audit(lines).findings.into_iter().next().expect("the audit has a finding")
}

#[test]
fn read_valid_journal() {
    let lines = journal();
    let audit = audit(&lines);
    assert_eq!(audit.findings, []);
    assert!(audit.decisions > 20, "{} decisions", audit.decisions);
    let requests = audit.requests(program(1));
    assert!(requests.iter().any(|it| it.upstream().is_some()));
}

#[test]
fn read_refusals_after_last_upstream_left() {
    let mut writer = JournalWriter::new();
    writer.handle_event(0, joined("a"));

    for ticket in 0..5 {
        let request = request(ticket);
        writer.handle_event(ticket, CellEvent::Arrived { ticket, request });
    }

    writer.handle_event(5, CellEvent::Left { upstream: "a".into() });
    let audit = audit(&writer.lines);
    assert_eq!(audit.findings, []);
    let requests = (0..5).flat_map(|ticket| audit.requests(program(ticket)));
    let refusals: Vec<_> = requests.filter_map(AuditedRequest::refusal).collect();
    assert_eq!(refusals, [RefusalReason::NoUpstream; 3], "two were granted before");
}

#[test]
fn read_dropped_line() {
    let mut lines = journal();
    lines.remove(20);
    let expected = AuditFinding::SequenceGap { line: 21, found: 21, expected_after: 19 };
    assert_eq!(first_finding(&lines), expected);
}

#[test]
fn read_reordered_lines() {
    let mut lines = journal();
    lines.swap(20, 21);
    let expected = AuditFinding::SequenceGap { line: 21, found: 21, expected_after: 19 };
    assert_eq!(first_finding(&lines), expected);
}

#[test]
fn read_altered_line() {
    let mut lines = journal();
    lines[20] = lines[20].replacen("\\\"at_ms\\\":", "\\\"at_ms\\\":1", 1);
    assert_eq!(first_finding(&lines), AuditFinding::HashMismatch { line: 21 });
}

#[test]
fn read_forged_decision_with_valid_hashes() {
    let mut previous_hash = String::new();
    let mut forged_line = 0;
    let mut lines = Vec::new();

    for (index, line) in journal().iter().enumerate() {
        let mut fields: Value = serde_json::from_str(line).expect("the line is JSON");
        let record = fields["record"].as_str().expect("the line has a record").to_owned();

        // Moves the first grant of upstream `a` to `b` and recomputes all hashes, so that only the replay detects it.
        let is_grant = record.contains("\"grant\"") && record.contains("\"upstream\":\"a\"");
        let forged = record.replace("\"upstream\":\"a\"", "\"upstream\":\"b\"");
        let record = if is_grant && forged_line == 0 { forged } else { record };

        if is_grant && forged_line == 0 {
            forged_line = index + 1;
        }

        let hash = line_hash(&previous_hash, &record);
        fields["record"] = json!(record);
        fields["hash"] = json!(hash);
        previous_hash = hash;
        lines.push(fields.to_string());
    }

    match first_finding(&lines) {
        AuditFinding::DecisionMismatch { line, .. } => assert_eq!(line, forged_line),
        other => panic!("expected a decision mismatch, got {other}"),
    }
}
