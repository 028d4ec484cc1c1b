//! Verification of decision journals: the chain of hashes, and a replay of every decision through the code that made
//! it. See docs/design/audit.md.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::Deserialize;

use crate::{
    CellDecision, CellEvent, CellQueue, CellRequest, JournalItem, JournalLine, ProgramId,
    RefusalReason, TicketNumber, UpstreamName,
    dispatch::decision_journal::{JOURNAL_TARGET, line_hash},
};

/// What is wrong with a line of a journal.
#[derive(Clone, Debug, Display, Eq, PartialEq, derive_more::Error)]
pub(crate) enum AuditFinding {
    #[display("line {line}: the line is not a journal line: {reason}")]
    Malformed { line: usize, reason: String },
    #[display("line {line}: sequence {found} follows {expected_after}: a line is missing or moved")]
    Sequence { line: usize, found: u64, expected_after: u64 },
    #[display("line {line}: the hash does not fit: the line or one before it was altered")]
    Hash { line: usize },
    #[display("line {line}: the replay decides otherwise: {expected}")]
    Decision { line: usize, expected: String },
    #[display("line {line}: the replay decides something that is not written: {expected}")]
    Missing { line: usize, expected: String },
}

/// One log line, as far as the audit reads it.
#[derive(Debug, Deserialize)]
struct LogLine {
    target: String,
    #[serde(default)]
    record: String,
    #[serde(default)]
    hash: String,
}

/// A request as the journal tells its way.
#[derive(Clone, Debug)]
pub(crate) struct AuditedRequest {
    pub(crate) request: CellRequest,
    pub(crate) arrived_ms: u64,
    pub(crate) decision: Option<AuditedDecision>,
}

/// A decision with its time and place in the order.
#[derive(Clone, Debug)]
pub(crate) struct AuditedDecision {
    pub(crate) sequence: u64,
    pub(crate) at_ms: u64,
    pub(crate) decision: CellDecision,
    /// Service of the teams that waited, least first, before the decision.
    pub(crate) teams: Vec<TeamStatus>,
}

/// A team's place before a decision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct TeamStatus {
    pub(crate) team: crate::TeamName,
    /// Served tokens divided by the weight, in thousandths.
    pub(crate) service: u64,
    pub(crate) waiting: usize,
}

/// Replay of one dispatcher's time of office.
#[derive(Debug)]
struct TermReplay {
    queue: CellQueue,
    previous: String,
    sequence: u64,
    at_ms: u64,
    requests: BTreeMap<TicketNumber, AuditedRequest>,
}

/// Result of an audit.
#[derive(Debug, Default)]
pub(crate) struct JournalAudit {
    terms: BTreeMap<String, TermReplay>,
    pub(crate) findings: Vec<AuditFinding>,
    pub(crate) lines: usize,
    pub(crate) decisions: usize,
}

impl JournalAudit {
    /// Takes a log line in; lines that are no journal lines are passed over.
    pub(crate) fn read(&mut self, number: usize, text: &str) {
        let Ok(line) = serde_json::from_str::<LogLine>(text) else {
            return;
        };

        if line.target != JOURNAL_TARGET {
            return;
        }

        self.lines += 1;

        match serde_json::from_str::<JournalLine>(&line.record) {
            Ok(journal) => self.replay(number, &line, journal),
            Err(error) => {
                let reason = error.to_string();
                self.findings.push(AuditFinding::Malformed { line: number, reason });
            }
        }
    }

    /// Requests of a program, in the order in which they came.
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

    fn replay(&mut self, number: usize, line: &LogLine, journal: JournalLine) {
        let key = format!("{} {}", journal.cell, journal.term);

        if let JournalItem::Begun { policy } = journal.item {
            self.terms.insert(
                key.clone(),
                TermReplay {
                    queue: CellQueue::new(policy),
                    previous: String::new(),
                    sequence: 0,
                    at_ms: journal.at_ms,
                    requests: BTreeMap::new(),
                },
            );
        }

        let Some(term) = self.terms.get_mut(&key) else {
            let finding =
                AuditFinding::Sequence { line: number, found: journal.sequence, expected_after: 0 };
            self.findings.push(finding);
            return;
        };

        let is_begun = matches!(journal.item, JournalItem::Begun { .. });

        if !is_begun && journal.sequence != term.sequence + 1 {
            self.findings.push(AuditFinding::Sequence {
                line: number,
                found: journal.sequence,
                expected_after: term.sequence,
            });
        }

        if line_hash(&term.previous, &line.record) != line.hash {
            self.findings.push(AuditFinding::Hash { line: number });
        }

        term.previous.clone_from(&line.hash);
        term.sequence = journal.sequence;
        self.decisions += usize::from(matches!(journal.item, JournalItem::Decision(_)));
        self.findings.extend(term.apply(number, journal));
    }
}

impl TermReplay {
    fn apply(&mut self, number: usize, line: JournalLine) -> Option<AuditFinding> {
        match line.item {
            JournalItem::Begun { .. } => None,
            JournalItem::Decision(written) => {
                let teams = self.queue.team_statuses();
                let expected = self.queue.decide(line.at_ms);
                self.note(line.sequence, line.at_ms, &written, teams);

                if expected.as_ref() == Some(&written) {
                    return None;
                }

                let expected = format!("{expected:?}");
                Some(AuditFinding::Decision { line: number, expected })
            }
            JournalItem::Event(event) => {
                let finding = self.check_settled(number);
                self.queue.handle(line.at_ms, &event);
                self.at_ms = line.at_ms;

                if let CellEvent::Arrived { ticket, request } = event {
                    let arrived_ms = line.at_ms;
                    let audited = AuditedRequest { request, arrived_ms, decision: None };
                    self.requests.insert(ticket, audited);
                }

                finding
            }
            JournalItem::Expired => {
                let finding = self.check_settled(number);
                self.queue.expire(line.at_ms);
                self.at_ms = line.at_ms;
                finding
            }
        }
    }

    /// After all written decisions, the replay has to have none left.
    fn check_settled(&mut self, number: usize) -> Option<AuditFinding> {
        let decision = self.queue.decide(self.at_ms)?;
        Some(AuditFinding::Missing { line: number, expected: format!("{decision:?}") })
    }

    fn note(&mut self, sequence: u64, at_ms: u64, decision: &CellDecision, teams: Vec<TeamStatus>) {
        if let Some(request) = self.requests.get_mut(&decision.ticket()) {
            let decision = decision.clone();
            request.decision = Some(AuditedDecision { sequence, at_ms, decision, teams });
        }
    }
}

impl AuditedRequest {
    /// Upstream that the request was given, if it was.
    pub(crate) fn upstream(&self) -> Option<&UpstreamName> {
        match &self.decision.as_ref()?.decision {
            CellDecision::Grant { upstream, .. } => Some(upstream),
            CellDecision::Refuse { .. } => None,
        }
    }

    /// Reason of a refusal, if it was refused.
    pub(crate) fn refusal(&self) -> Option<RefusalReason> {
        match self.decision.as_ref()?.decision {
            CellDecision::Grant { .. } => None,
            CellDecision::Refuse { reason, .. } => Some(reason),
        }
    }
}
