//! Verification of decision journals: checks the hash chain and replays every decision with the code that made it. See
//! docs/design/audit.md.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::Deserialize;

use crate::{
    CellDecision, CellEvent, CellQueue, CellRequest, JournalItem, JournalLine, ProgramId,
    RefusalReason, TicketNumber, UpstreamName,
    dispatch::decision_journal::{JOURNAL_TARGET, line_hash},
};

/// Fault that the audit found in a journal line.
#[derive(Clone, Debug, Display, Eq, PartialEq, derive_more::Error)]
pub(crate) enum AuditFinding {
    #[display("line {line}: malformed journal line: {reason}")]
    MalformedLine { line: usize, reason: String },
    #[display(
        "line {line}: sequence {found} follows {expected_after}: a line is missing or out of order"
    )]
    SequenceGap { line: usize, found: u64, expected_after: u64 },
    #[display("line {line}: hash mismatch: this line or the one before it was altered")]
    HashMismatch { line: usize },
    #[display("line {line}: decision mismatch: the replay made {expected}")]
    DecisionMismatch { line: usize, expected: String },
    #[display("line {line}: the replay made a decision that the journal lacks: {expected}")]
    MissingDecision { line: usize, expected: String },
}

/// The fields of a log line that the audit reads.
#[derive(Debug, Deserialize)]
struct LogLine {
    target: String,
    #[serde(default)]
    record: String,
    #[serde(default)]
    hash: String,
}

/// A request and its decision, as the journal records them.
#[derive(Clone, Debug)]
pub(crate) struct AuditedRequest {
    pub(crate) request: CellRequest,
    pub(crate) arrived_ms: u64,
    pub(crate) decision: Option<AuditedDecision>,
}

/// A decision with its time and its position in the journal.
#[derive(Clone, Debug)]
pub(crate) struct AuditedDecision {
    pub(crate) sequence: u64,
    pub(crate) at_ms: u64,
    pub(crate) decision: CellDecision,
    /// Teams with queued requests before the decision, the least served first.
    pub(crate) teams: Vec<TeamStatus>,
}

/// Service and queue length of a team at one moment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct TeamStatus {
    pub(crate) team: crate::TeamName,
    /// Served tokens divided by the weight, in thousandths of a token.
    pub(crate) service: u64,
    /// Number of the team's queued requests.
    pub(crate) waiting: usize,
}

/// Replay of one dispatcher's term.
#[derive(Debug)]
struct TermReplay {
    queue: CellQueue,
    previous_hash: String,
    sequence: u64,
    last_event_ms: u64,
    requests: BTreeMap<TicketNumber, AuditedRequest>,
}

/// Audit of the journals of any number of dispatchers, with its result.
#[derive(Debug, Default)]
pub(crate) struct JournalAudit {
    terms: BTreeMap<String, TermReplay>,
    pub(crate) findings: Vec<AuditFinding>,
    /// Number of journal lines read.
    pub(crate) lines: usize,
    /// Number of decisions among them.
    pub(crate) decisions: usize,
}

impl JournalAudit {
    /// Verifies a log line. Lines with another log target are skipped.
    pub(crate) fn read(&mut self, line_number: usize, text: &str) {
        let Ok(log_line) = serde_json::from_str::<LogLine>(text) else {
            return;
        };

        if log_line.target != JOURNAL_TARGET {
            return;
        }

        self.lines += 1;

        match serde_json::from_str::<JournalLine>(&log_line.record) {
            Ok(line) => self.replay(line_number, &log_line, line),
            Err(error) => {
                let reason = error.to_string();
                self.findings.push(AuditFinding::MalformedLine { line: line_number, reason });
            }
        }
    }

    /// Requests of a program in the order of their arrival.
    pub(crate) fn requests(&self, program: ProgramId) -> Vec<&AuditedRequest> {
        let mut requests: Vec<&AuditedRequest> = self
            .terms
            .values()
            .flat_map(|term| term.requests.values())
            .filter(|request| request.request.program == program)
            .collect();

        requests.sort_by_key(|request| request.arrived_ms);
        requests
    }

    fn replay(&mut self, line_number: usize, log_line: &LogLine, line: JournalLine) {
        let key = format!("{} {}", line.cell, line.term);

        if let JournalItem::Begun { policy } = line.item {
            self.terms.insert(
                key.clone(),
                TermReplay {
                    queue: CellQueue::new(policy),
                    previous_hash: String::new(),
                    sequence: 0,
                    last_event_ms: line.at_ms,
                    requests: BTreeMap::new(),
                },
            );
        }

        let Some(term) = self.terms.get_mut(&key) else {
            let finding = AuditFinding::SequenceGap {
                line: line_number,
                found: line.sequence,
                expected_after: 0,
            };
            self.findings.push(finding);
            return;
        };

        let is_first_line = matches!(line.item, JournalItem::Begun { .. });

        if !is_first_line && line.sequence != term.sequence + 1 {
            self.findings.push(AuditFinding::SequenceGap {
                line: line_number,
                found: line.sequence,
                expected_after: term.sequence,
            });
        }

        if line_hash(&term.previous_hash, &log_line.record) != log_line.hash {
            self.findings.push(AuditFinding::HashMismatch { line: line_number });
        }

        term.previous_hash.clone_from(&log_line.hash);
        term.sequence = line.sequence;
        self.decisions += usize::from(matches!(line.item, JournalItem::Decision(_)));
        self.findings.extend(term.apply(line_number, line));
    }
}

impl TermReplay {
    /// Replays a line and compares a decision with the one that the replay makes.
    fn apply(&mut self, line_number: usize, line: JournalLine) -> Option<AuditFinding> {
        match line.item {
            JournalItem::Begun { .. } => None,
            JournalItem::Decision(recorded) => {
                let teams = self.queue.team_statuses();
                let expected = self.queue.decide(line.at_ms);
                self.record_decision(line.sequence, line.at_ms, &recorded, teams);

                if expected.as_ref() == Some(&recorded) {
                    return None;
                }

                let expected = format!("{expected:?}");
                Some(AuditFinding::DecisionMismatch { line: line_number, expected })
            }
            JournalItem::Event(event) => {
                let finding = self.check_no_decision_due(line_number);
                self.queue.handle(line.at_ms, &event);
                self.last_event_ms = line.at_ms;

                if let CellEvent::Arrived { ticket, request } = event {
                    let arrived_ms = line.at_ms;
                    let audited = AuditedRequest { request, arrived_ms, decision: None };
                    self.requests.insert(ticket, audited);
                }

                finding
            }
            JournalItem::Expired => {
                let finding = self.check_no_decision_due(line_number);
                self.queue.expire(line.at_ms);
                self.last_event_ms = line.at_ms;
                finding
            }
        }
    }

    /// Checks that the replay has no decision left before the next event, as the dispatcher drains its decisions after
    /// each event.
    fn check_no_decision_due(&mut self, line_number: usize) -> Option<AuditFinding> {
        let decision = self.queue.decide(self.last_event_ms)?;
        Some(AuditFinding::MissingDecision { line: line_number, expected: format!("{decision:?}") })
    }

    fn record_decision(
        &mut self,
        sequence: u64,
        at_ms: u64,
        decision: &CellDecision,
        teams: Vec<TeamStatus>,
    ) {
        if let Some(request) = self.requests.get_mut(&decision.ticket()) {
            let decision = decision.clone();
            request.decision = Some(AuditedDecision { sequence, at_ms, decision, teams });
        }
    }
}

impl AuditedRequest {
    /// Upstream that the request was granted, if it was.
    pub(crate) fn upstream(&self) -> Option<&UpstreamName> {
        match &self.decision.as_ref()?.decision {
            CellDecision::Grant { upstream, .. } => Some(upstream),
            CellDecision::Refuse { .. } => None,
        }
    }

    /// Reason why the request was refused, if it was.
    pub(crate) fn refusal(&self) -> Option<RefusalReason> {
        match self.decision.as_ref()?.decision {
            CellDecision::Grant { .. } => None,
            CellDecision::Refuse { reason, .. } => Some(reason),
        }
    }
}
