//! Account of a dispatcher: every event and every decision as one line, each with the hash of the line before. See
//! docs/design/audit.md.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{
    CellDecision, CellEvent, CellId, CellPolicy, ProgramId,
    configuration::config_document::hex_text,
};

/// Target of the log lines.
pub(crate) const JOURNAL_TARGET: &str = "decision";

/// What one line says.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum JournalItem {
    /// The dispatcher begins, with an empty queue and this policy.
    Begun {
        policy: CellPolicy,
    },
    Event(CellEvent),
    Decision(CellDecision),
    /// Requests that are of no use any more were looked for.
    Expired,
}

/// One line. Its text is hashed as it stands.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct JournalLine {
    pub(crate) cell: CellId,
    /// Identity of the dispatcher's time of office, which begins with a chain of its own.
    pub(crate) term: Arc<str>,
    pub(crate) sequence: u64,
    pub(crate) at_ms: u64,
    pub(crate) item: JournalItem,
}

/// Hash of a line, which covers the hash of the line before.
pub(crate) fn line_hash(previous: &str, record: &str) -> String {
    let digest = Sha256::new().chain_update(previous).chain_update("\n").chain_update(record);
    hex_text(&digest.finalize())
}

/// A line with its hash.
struct JournalEntry {
    record: String,
    hash: String,
}

/// Writes the lines of one dispatcher.
#[derive(Debug)]
pub(crate) struct DecisionJournal {
    cell: CellId,
    term: Arc<str>,
    sequence: u64,
    previous: String,
}

impl DecisionJournal {
    /// Begins a chain.
    pub(crate) fn begin(cell: CellId, term: &str, at_ms: u64, policy: CellPolicy) -> Self {
        let mut journal = Self { cell, term: term.into(), sequence: 0, previous: String::new() };

        journal.write(at_ms, JournalItem::Begun { policy });
        journal
    }

    /// Writes a decision about a request of a program.
    pub(crate) fn write_decision(
        &mut self,
        at_ms: u64,
        decision: &CellDecision,
        program: Option<ProgramId>,
    ) {
        let (choice, reason) = (decision.choice(), decision.reason());
        let program = program.map(|it| it.to_string());
        let JournalEntry { record, hash } =
            self.append(at_ms, JournalItem::Decision(decision.clone()));

        log::info!(
            target: JOURNAL_TARGET, cell:% = self.cell, program, choice, reason, record, hash;
            "decision"
        );
    }

    pub(crate) fn write(&mut self, at_ms: u64, item: JournalItem) {
        let JournalEntry { record, hash } = self.append(at_ms, item);
        log::info!(target: JOURNAL_TARGET, cell:% = self.cell, record, hash; "event");
    }

    fn append(&mut self, at_ms: u64, item: JournalItem) -> JournalEntry {
        let line = JournalLine {
            cell: self.cell.clone(),
            term: Arc::clone(&self.term),
            sequence: self.sequence,
            at_ms,
            item,
        };

        let record = serde_json::to_string(&line).expect("lines are encodable");
        let hash = line_hash(&self.previous, &record);
        self.previous.clone_from(&hash);
        self.sequence += 1;
        JournalEntry { record, hash }
    }
}
