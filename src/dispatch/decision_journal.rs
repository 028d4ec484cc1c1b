//! Journal of a dispatcher: one log line for each event and decision, chained by hashes so that changes are detected.
//! See docs/design/audit.md.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{
    CellDecision, CellEvent, CellId, CellPolicy, ProgramId,
    configuration::config_document::hex_text,
};

/// Log target of the journal's lines.
pub(crate) const JOURNAL_TARGET: &str = "decision";

/// Content of one journal line.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum JournalItem {
    /// The dispatcher started, with an empty queue and this policy.
    Begun {
        policy: CellPolicy,
    },
    Event(CellEvent),
    Decision(CellDecision),
    /// The queue refused the requests whose deadline had passed.
    Expired,
}

/// One journal line. Its hash covers the JSON text exactly as written.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct JournalLine {
    pub(crate) cell: CellId,
    /// Identifier of the dispatcher's term. Each term starts a hash chain of its own.
    pub(crate) term: Arc<str>,
    pub(crate) sequence: u64,
    pub(crate) at_ms: u64,
    pub(crate) item: JournalItem,
}

/// Hash of a line. It covers the hash of the previous line, which is empty for the first.
pub(crate) fn line_hash(previous_hash: &str, record: &str) -> String {
    let digest = Sha256::new().chain_update(previous_hash).chain_update("\n").chain_update(record);
    hex_text(&digest.finalize())
}

/// A serialised line with its hash.
struct JournalEntry {
    record: String,
    hash: String,
}

/// Writes the journal of one dispatcher's term to the log.
#[derive(Debug)]
pub(crate) struct DecisionJournal {
    cell: CellId,
    term: Arc<str>,
    sequence: u64,
    previous_hash: String,
}

impl DecisionJournal {
    /// Starts a hash chain with a [`JournalItem::Begun`] line.
    pub(crate) fn begin(cell: CellId, term: &str, at_ms: u64, policy: CellPolicy) -> Self {
        let mut journal =
            Self { cell, term: term.into(), sequence: 0, previous_hash: String::new() };

        journal.write(at_ms, JournalItem::Begun { policy });
        journal
    }

    /// Writes a decision. The log line also names the program, if the request's caller still waits.
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

    /// Writes any other item.
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

        let record =
            serde_json::to_string(&line).expect("a journal line can be serialised as JSON");
        let hash = line_hash(&self.previous_hash, &record);
        self.previous_hash.clone_from(&hash);
        self.sequence += 1;
        JournalEntry { record, hash }
    }
}
