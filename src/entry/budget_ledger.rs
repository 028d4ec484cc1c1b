//! Token spend of each program, over all hosts.
//!
//! Each run of a host's process is a writer that counts the tokens which it sends to clients. A program's spend is the
//! sum over all writers. The rule and its proof are in docs/design/platform.md, "Budgets".

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::entry::{ahead_reservations::AheadTokens, record_retention::RecordRetention};

/// Time for which an account is kept after its last use, as a multiple of the retention of turns. A program that has stopped
/// may resume within that retention.
const IDLE_FACTOR: u32 = 3;

/// The store's record runs ahead of the spend by the remaining budget divided by this, so that turns need not wait for
/// the store. Programs whose turns are recorded need no headroom: the record of each turn carries their exact spend.
const HEADROOM_DIVISOR: u64 = 3;

/// Result of an attempt to reserve tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReserveOutcome {
    /// The tokens are reserved, and the budget covers them even if other hosts reserve concurrently.
    Confirmed,
    /// The tokens are reserved, but the budget may not cover them if other hosts reserve concurrently.
    Unconfirmed,
    /// The budget does not cover the tokens; nothing is reserved.
    OverBudget,
}

/// Latest total of one writer for one program, as hosts report it to each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct SpendNote {
    pub(crate) program: Arc<str>,
    /// Spent tokens and the reservations of running turns.
    pub(crate) tokens: u64,
    /// The writer's total in the store.
    pub(crate) recorded: u64,
}

/// Totals of one writer for all its programs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct WriterSpends {
    pub(crate) writer: Arc<str>,
    pub(crate) notes: Vec<SpendNote>,
}

/// Total of one writer for one program, as the store records it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct SpendRecord {
    /// The writer, if it is not the one that writes the batch.
    #[serde(default)]
    pub(crate) writer: Option<Arc<str>>,
    pub(crate) program: Arc<str>,
    /// What counts as spent if the writer can't be heard, with headroom.
    pub(crate) tokens: u64,
    /// What the writer has reported or spent, without headroom; 0 in records of earlier builds.
    #[serde(default)]
    pub(crate) spent: u64,
}

/// Most bytes that a record takes for the names of its fields and for its numbers.
const RECORD_FIELD_BYTES: usize = 112;

impl SpendRecord {
    /// Most bytes that the record takes in a batch, as JSON.
    pub(crate) fn record_size(&self) -> usize {
        let writer_bytes = self.writer.as_ref().map_or(0, |it| it.len());
        // An escaped character takes up to six bytes.
        self.program.len() * 6 + writer_bytes + RECORD_FIELD_BYTES
    }

    /// Returns the record with its writer, which is that of the batch if it names none. A record that goes into a batch of
    /// another host has to name it.
    pub(crate) fn with_writer(&self, batch_writer: &Arc<str>) -> Self {
        let writer = self.writer.as_ref().unwrap_or(batch_writer);
        Self { writer: Some(Arc::clone(writer)), ..self.clone() }
    }
}

/// Total of another writer for one program.
#[derive(Clone, Copy, Debug, Default)]
struct WriterTotal {
    /// Total that the writer itself has reported, with the reservations of its running turns, or what counts while it is silent.
    reported: Option<u64>,
    /// The last total that it has reported itself.
    stated: u64,
    /// Number of the message in which it has.
    sequence: u64,
    /// Whether the writer has asked for this host's total, as it was to spend tokens.
    has_asked: bool,
    /// The writer's total in the store.
    recorded: u64,
    /// The same without headroom.
    recorded_spent: u64,
    /// When this host last recorded the total itself.
    copied_at: Option<Instant>,
    /// The total that the writer has written down with its reservations, as it went by records itself.
    written: u64,
}

impl WriterTotal {
    /// The total to record for the writer: what it has reported, or recorded itself if that is more.
    fn tokens_to_copy(self) -> u64 {
        self.tokens().max(self.recorded_spent)
    }

    /// Whether this host has recorded the total at `refresh_before` or later, or there is nothing to record.
    fn is_copied(self, refresh_before: Option<Instant>) -> bool {
        self.tokens_to_copy() == 0 || is_recent(self.copied_at, refresh_before)
    }

    fn tokens(self) -> u64 {
        self.reported.unwrap_or(self.recorded)
    }

    /// The part of the total that the writer has spent or reserved, as far as is known. The rest is the headroom of a record.
    fn certain_tokens(self) -> u64 {
        self.stated.max(self.recorded_spent).max(self.written).min(self.tokens())
    }

    /// Tokens that the writer's record in the store does not cover.
    fn unrecorded_tokens(self) -> u64 {
        self.tokens().saturating_sub(self.recorded)
    }
}

/// Whether a record that was written at a time lasts, where those from before `refresh_before` may not.
fn is_recent(written_at: Option<Instant>, refresh_before: Option<Instant>) -> bool {
    written_at.is_some_and(|at| refresh_before.is_none_or(|before| at >= before))
}

/// Spend of one program, as far as this host knows it.
#[derive(Debug)]
pub(super) struct ProgramAccount {
    other_writers: HashMap<Arc<str>, WriterTotal>,
    /// Highest budget that a request to this host has given for the program.
    pub(super) budget: u64,
    /// Tokens spent by this host's finished turns.
    settled: u64,
    /// Tokens reserved for this host's running turns, including those that they have spent, and ahead of the next ones.
    pub(super) reserved: u64,
    /// The part of these that belongs to no turn.
    pub(super) ahead: AheadTokens,
    /// When the reservation of a turn last ended.
    last_turn_end: Option<Instant>,
    /// Tokens spent by this host's running turns.
    running_spent: u64,
    /// This writer's total in the store.
    recorded: u64,
    /// When that was last written.
    recorded_at: Option<Instant>,
    /// Whether this host has reserved tokens of the program.
    is_served: bool,
    /// Whether the program's turns are recorded as they end.
    has_history: bool,
    /// Hosts that have not acknowledged yet that this host serves the program. `None` before the first exchange with them.
    unannounced: Option<HashSet<Arc<str>>>,
    last_used: Instant,
}

impl ProgramAccount {
    fn new(now: Instant) -> Self {
        Self {
            other_writers: HashMap::new(),
            budget: 0,
            settled: 0,
            reserved: 0,
            ahead: AheadTokens::default(),
            last_turn_end: None,
            running_spent: 0,
            recorded: 0,
            recorded_at: None,
            is_served: false,
            has_history: false,
            unannounced: None,
            last_used: now,
        }
    }

    /// This writer's total, with reservations.
    fn local_total(&self) -> u64 {
        self.settled + self.reserved
    }

    /// Whether turns run on this host, or are about to.
    pub(super) fn has_running_turns(&self) -> bool {
        self.reserved > self.ahead.tokens()
    }

    /// Tokens that this writer has spent, without reservations.
    fn local_spent(&self) -> u64 {
        self.settled + self.running_spent
    }

    /// The total to record for this writer. If all hosts fail, the record counts as the spend, so too much headroom
    /// would end the program early.
    fn tokens_to_record(&self) -> u64 {
        if self.has_history {
            return self.local_spent();
        }

        let remaining = self.budget.saturating_sub(self.total());
        self.local_spent() + remaining / HEADROOM_DIVISOR
    }

    /// Whether the store has all known totals in records that last, as far as this host has written them.
    fn has_lasting_records(&self, refresh_before: Option<Instant>) -> bool {
        let is_recorded = self.local_spent() == 0 || is_recent(self.recorded_at, refresh_before);
        is_recorded && self.other_writers.values().all(|it| it.is_copied(refresh_before))
    }

    fn unrecorded_tokens(&self) -> u64 {
        let others_unrecorded: u64 =
            self.other_writers.values().map(|it| it.unrecorded_tokens()).sum();
        self.local_spent().saturating_sub(self.recorded) + others_unrecorded
    }

    /// The total of all writers, with reservations.
    pub(super) fn total(&self) -> u64 {
        self.local_total() + self.other_writers.values().map(|it| it.tokens()).sum::<u64>()
    }
}

/// Whether `writer` is a run of `host`: its name begins with the host and a dot.
pub(crate) fn is_writer_of(host: &str, writer: &str) -> bool {
    writer.strip_prefix(host).is_some_and(|rest| rest.starts_with('.'))
}

/// Accounts of all programs that this host has served or heard of.
#[derive(Debug, Default)]
pub struct BudgetLedger {
    pub(super) accounts: HashMap<Arc<str>, ProgramAccount>,
    /// Programs whose totals have changed since the last report to peers.
    pub(super) unreported: HashSet<Arc<str>>,
    /// Programs whose spend is to be written with the next batch.
    unrecorded: HashSet<Arc<str>>,
    /// Whether turns reserve no tokens of the next ones.
    pub(super) is_ahead_disabled: bool,
    /// The writer of this run.
    local_writer: Option<Arc<str>>,
    /// For how long records last.
    retention: Arc<RecordRetention>,
}

impl BudgetLedger {
    /// Returns a program's account and marks it as used; opens one for a new program.
    pub(super) fn account(&mut self, program: &Arc<str>) -> &mut ProgramAccount {
        let now = Instant::now();
        let account =
            self.accounts.entry(Arc::clone(program)).or_insert_with(|| ProgramAccount::new(now));
        account.last_used = now;
        account
    }

    /// Reserves the most tokens that a turn may spend, unless the known total would then exceed the budget. Up to
    /// `host_count` hosts may reserve for the program concurrently, without knowledge of each other. So a reservation
    /// is confirmed only while the total is within one host's equal share of the budget; beyond that, the caller has
    /// to exchange totals with the others before it uses the reservation.
    pub(crate) fn reserve(
        &mut self,
        program: &Arc<str>,
        budget: u64,
        tokens: u64,
        host_count: u64,
    ) -> ReserveOutcome {
        self.refresh_records(program);
        let account = self.account(program);
        account.budget = account.budget.max(budget);

        if !self.has_room(program, budget, tokens) {
            return ReserveOutcome::OverBudget;
        }

        let account = self.account(program);
        let total = account.total() + tokens;
        account.reserved += tokens;
        account.is_served = true;
        self.unreported.insert(Arc::clone(program));

        if total <= budget / host_count.max(1) {
            ReserveOutcome::Confirmed
        } else {
            ReserveOutcome::Unconfirmed
        }
    }

    /// Whether a budget covers all known spends and reservations of a program.
    pub(crate) fn is_within(&self, program: &Arc<str>, budget: u64) -> bool {
        self.total(program) <= budget
    }

    /// Whether a budget leaves no room for `tokens` more by what is certain: the headroom in the record of a run that is only
    /// silent may turn out to be unused, as may what this host has reserved ahead. That of a run which is over never will.
    pub(crate) fn is_exhausted(
        &self,
        program: &Arc<str>,
        budget: u64,
        tokens: u64,
        is_over: impl Fn(&str) -> bool,
    ) -> bool {
        self.accounts.get(program).is_some_and(|account| {
            let certain = |(writer, total): (&Arc<str>, &WriterTotal)| {
                if is_over(writer) { total.tokens() } else { total.certain_tokens() }
            };
            let others = account.other_writers.iter().map(certain).sum::<u64>();
            let local = account.local_total() - account.ahead.tokens();
            local + others + tokens > budget
        })
    }

    /// The same if silent hosts have spent what they have written down as reserved.
    pub(crate) fn is_within_written(
        &self,
        program: &Arc<str>,
        budget: u64,
        is_silent: impl Fn(&str) -> bool,
    ) -> bool {
        self.accounts.get(program).is_none_or(|account| {
            let tokens = |(writer, total): (&Arc<str>, &WriterTotal)| {
                if is_silent(writer) { total.tokens().max(total.written) } else { total.tokens() }
            };
            account.local_total() + account.other_writers.iter().map(tokens).sum::<u64>() <= budget
        })
    }

    /// When a turn of a program last ran on this host: `now` if one does.
    pub(crate) fn last_run(&self, program: &Arc<str>, now: Instant) -> Option<Instant> {
        let account = self.accounts.get(program)?;
        if account.has_running_turns() { Some(now) } else { account.last_turn_end }
    }

    /// Replaces what all other writers have written down as reserved.
    pub(crate) fn set_written(&mut self, written: &HashMap<Arc<str>, Vec<SpendNote>>) {
        let totals = self.accounts.values_mut().flat_map(|it| it.other_writers.values_mut());
        totals.for_each(|total| total.written = 0);

        for (writer, notes) in written {
            for note in notes {
                let account = self.account(&note.program);
                let total = account.other_writers.entry(Arc::clone(writer)).or_default();
                total.written = note.tokens;
            }
        }
    }

    /// Begins to announce a program to these hosts, unless it has been announced before.
    pub(crate) fn begin_announcement(&mut self, program: &Arc<str>, hosts: HashSet<Arc<str>>) {
        self.account(program).unannounced.get_or_insert(hosts);
    }

    /// Records that a host knows that this host serves the program.
    pub(crate) fn mark_announced(&mut self, program: &Arc<str>, host: &Arc<str>) {
        if let Some(hosts) = &mut self.account(program).unannounced {
            hosts.remove(host);
        }
    }

    /// Whether a host may not know yet that this host serves the program.
    pub(crate) fn is_unannounced(&self, program: &Arc<str>, host: &Arc<str>) -> bool {
        let hosts = self.accounts.get(program).and_then(|it| it.unannounced.as_ref());
        hosts.is_none_or(|it| it.contains(host))
    }

    /// Other writers that have spent or reserved tokens of a program.
    pub(crate) fn other_writers(&self, program: &Arc<str>) -> impl Iterator<Item = &Arc<str>> {
        let writers = self.accounts.get(program).into_iter().flat_map(|it| &it.other_writers);
        writers.filter(|(_, total)| total.tokens() > 0).map(|(writer, _)| writer)
    }

    /// Whether a writer is known to have spent or reserved tokens of a program.
    pub(crate) fn has_writer_tokens(&self, program: &Arc<str>, writer: &Arc<str>) -> bool {
        let total = self.accounts.get(program).and_then(|it| it.other_writers.get(writer));
        total.is_some_and(|it| it.tokens() > 0)
    }

    /// Records that a writer has asked for this host's total of a program.
    pub(crate) fn record_question(&mut self, program: &Arc<str>, writer: &Arc<str>) {
        let account = self.account(program);
        account.other_writers.entry(Arc::clone(writer)).or_default().has_asked = true;
    }

    /// Whether any run of `host` is known to have spent or reserved tokens of a program, or may do so without another question
    /// to this host, as it has asked once.
    pub(crate) fn has_tokens(&self, program: &Arc<str>, host: &str) -> bool {
        let Some(account) = self.accounts.get(program) else {
            return false;
        };
        let mut writers = account.other_writers.iter();
        writers.any(|(writer, total)| {
            (total.tokens() > 0 || total.has_asked) && is_writer_of(host, writer)
        })
    }

    /// Whether the ledger has a total of any run of `host` for a program. A writer's name begins with its host and a
    /// dot.
    pub(crate) fn has_spent(&self, program: &Arc<str>, host: &str) -> bool {
        let account = self.accounts.get(program);
        account.is_some_and(|it| it.other_writers.keys().any(|writer| is_writer_of(host, writer)))
    }

    /// Returns this writer's total for a program.
    pub(crate) fn local_note(&self, program: &Arc<str>) -> SpendNote {
        let (tokens, recorded) =
            self.accounts.get(program).map_or((0, 0), |it| (it.local_total(), it.recorded));
        SpendNote { program: Arc::clone(program), tokens, recorded }
    }

    /// Replaces a finished turn's reservation by the tokens that it has spent.
    pub(crate) fn settle(&mut self, program: &Arc<str>, reserved: u64, spent: u64) {
        let account = self.account(program);
        account.reserved = account.reserved.saturating_sub(reserved);
        account.running_spent = account.running_spent.saturating_sub(spent);
        account.settled += spent;
        account.last_turn_end = Some(Instant::now());
        self.unreported.insert(Arc::clone(program));
        self.refresh_records(program);
    }

    /// Marks a program that is used for the next batch if the records of its totals may end before the program does: those of
    /// this writer, and those of the others, who may never record them again.
    pub(super) fn refresh_records(&mut self, program: &Arc<str>) {
        let refresh_before = self.refresh_before();
        let account = self.accounts.get(program);

        if account.is_some_and(|it| !it.has_lasting_records(refresh_before)) {
            self.unrecorded.insert(Arc::clone(program));
        }
    }

    fn refresh_before(&self) -> Option<Instant> {
        self.retention.refresh_before(self.retention.longest(), Instant::now())
    }

    /// Tokens that this host has spent or other hosts have reported for a program, and that the store does not have.
    /// Their count would be lost if all hosts failed.
    pub(crate) fn unrecorded_tokens(&self, program: &Arc<str>) -> u64 {
        self.accounts.get(program).map_or(0, ProgramAccount::unrecorded_tokens)
    }

    /// Marks totals again whose batch has not been written.
    pub(crate) fn restore_unrecorded(&mut self, records: &[SpendRecord]) {
        self.unrecorded.extend(records.iter().map(|it| Arc::clone(&it.program)));
    }

    /// Marks a program's known totals for the next batch.
    pub(crate) fn mark_unrecorded(&mut self, program: &Arc<str>) {
        self.unrecorded.insert(Arc::clone(program));
    }

    /// Counts tokens that a running turn sends to its client.
    pub(crate) fn spend(&mut self, program: &Arc<str>, tokens: u64) {
        let account = self.account(program);
        account.running_spent += tokens;

        if account.local_spent() > account.recorded {
            self.unrecorded.insert(Arc::clone(program));
        }
    }

    /// Marks a program whose turns are recorded as they end, before its first one runs.
    pub(crate) fn mark_history(&mut self, program: &Arc<str>) {
        self.account(program).has_history = true;
    }

    /// Marks a program's spend for the next batch, which also records the turn that has just ended.
    pub(crate) fn finish_turn(&mut self, program: &Arc<str>) {
        self.account(program).has_history = true;
        self.unrecorded.insert(Arc::clone(program));
    }

    /// Tokens of a program that are known to be spent or reserved, by all writers.
    pub(crate) fn total(&self, program: &Arc<str>) -> u64 {
        self.accounts.get(program).map_or(0, ProgramAccount::total)
    }

    /// Highest budget that a request to this host has stated for a program; `None` if none has.
    pub(crate) fn known_budget(&self, program: &Arc<str>) -> Option<u64> {
        self.accounts.get(program).map(|it| it.budget).filter(|it| *it > 0)
    }

    /// Whether a budget leaves room for `tokens` more beside all that is spent or reserved, as far as this host has heard.
    pub(crate) fn has_room(&self, program: &Arc<str>, budget: u64, tokens: u64) -> bool {
        self.total(program) + tokens <= budget
    }

    /// Whether none of a program's totals waits for the next batch. A batch that is being written does not count.
    pub(crate) fn is_recorded(&self, program: &Arc<str>) -> bool {
        !self.unrecorded.contains(program)
    }

    pub(crate) fn has_unrecorded(&self) -> bool {
        !self.unrecorded.is_empty()
    }

    /// Takes the totals to write with the next batch: for each marked program this writer's total with headroom, and
    /// the totals of other writers that they have not recorded, since they may have failed, or whose record this host has not
    /// renewed lately, since they may not serve the program any more.
    pub(crate) fn take_unrecorded(&mut self) -> Vec<SpendRecord> {
        let refresh_before = self.refresh_before();
        let mut records = Vec::new();

        for program in std::mem::take(&mut self.unrecorded) {
            let Some(account) = self.accounts.get(&program) else {
                continue;
            };

            records.push(SpendRecord {
                writer: None,
                program: Arc::clone(&program),
                tokens: account.tokens_to_record(),
                spent: account.local_spent(),
            });

            let unrecorded = account.other_writers.iter().filter(|(_, total)| {
                total.unrecorded_tokens() > 0 || !total.is_copied(refresh_before)
            });
            records.extend(unrecorded.map(|(writer, total)| SpendRecord {
                writer: Some(Arc::clone(writer)),
                program: Arc::clone(&program),
                tokens: total.tokens_to_copy(),
                spent: total.tokens_to_copy(),
            }));
        }

        records
    }

    /// Marks totals as recorded, once their batch is durable.
    pub(crate) fn mark_recorded(&mut self, records: &[SpendRecord]) {
        let now = Instant::now();

        for record in records {
            // A recorder also knows of programs of which it has heard nothing else.
            let account = self.account(&record.program);

            if let Some(writer) = &record.writer {
                let total = account.other_writers.entry(Arc::clone(writer)).or_default();
                total.recorded = total.recorded.max(record.tokens);
                total.copied_at = Some(now);
            } else {
                account.recorded = account.recorded.max(record.tokens);
                account.recorded_at = Some(now);
                self.unreported.insert(Arc::clone(&record.program));
            }
        }
    }

    /// Takes this writer's totals that have changed since the last report to peers.
    pub(crate) fn take_unreported(&mut self) -> Vec<SpendNote> {
        let programs = std::mem::take(&mut self.unreported);
        programs.iter().map(|program| self.local_note(program)).collect()
    }

    /// Returns this writer's totals of all programs that it has served, for a peer that has just joined or has missed reports.
    pub(crate) fn local_notes(&self) -> Vec<SpendNote> {
        let served = self.accounts.iter().filter(|(_, account)| account.is_served);
        served.map(|(program, _)| self.local_note(program)).collect()
    }

    /// Returns the totals of all other writers, for a host that starts.
    pub(crate) fn other_spends(&self) -> Vec<WriterSpends> {
        let mut by_writer: HashMap<&Arc<str>, Vec<SpendNote>> = HashMap::new();

        for (program, account) in &self.accounts {
            for (writer, total) in &account.other_writers {
                by_writer.entry(writer).or_default().push(SpendNote {
                    program: Arc::clone(program),
                    tokens: total.tokens(),
                    recorded: total.recorded,
                });
            }
        }

        by_writer
            .into_iter()
            .map(|(writer, notes)| WriterSpends { writer: Arc::clone(writer), notes })
            .collect()
    }

    /// Merges totals from the message of a writer with the number `sequence`. Messages may overtake each other, so each total counts
    /// unless a later message has told the one of the same program.
    pub(crate) fn merge_message(&mut self, writer: &Arc<str>, sequence: u64, notes: &[SpendNote]) {
        for note in notes {
            let account = self.account(&note.program);
            let total = account.other_writers.entry(Arc::clone(writer)).or_default();

            if sequence >= total.sequence {
                total.sequence = sequence;
                self.merge_reported(writer, std::slice::from_ref(note));
            }
        }
    }

    /// Merges totals that a writer has reported.
    pub(crate) fn merge_reported(&mut self, writer: &Arc<str>, notes: &[SpendNote]) {
        for note in notes {
            let account = self.account(&note.program);
            let total = account.other_writers.entry(Arc::clone(writer)).or_default();
            total.reported = Some(note.tokens);
            total.stated = note.tokens;
            total.recorded = total.recorded.max(note.recorded);
        }
    }

    /// Shares what decides for how long records last.
    pub(crate) fn set_retention(&mut self, retention: Arc<RecordRetention>) {
        self.retention = retention;
    }

    /// Sets the writer whose totals this ledger keeps by itself, so that its records are not counted a second time.
    pub(crate) fn set_local_writer(&mut self, writer: Arc<str>) {
        self.local_writer = Some(writer);
    }

    /// Merges totals from a batch that `batch_writer` has written. Records contain headroom, so a record counts only if
    /// the writer that it is about has reported nothing, or by [`BudgetLedger::assume_recorded`].
    pub(crate) fn merge_recorded(&mut self, batch_writer: &Arc<str>, records: &[SpendRecord]) {
        for record in records {
            let writer = record.writer.as_ref().unwrap_or(batch_writer);

            if self.local_writer.as_ref() == Some(writer) {
                continue;
            }

            let account = self.account(&record.program);
            let total = account.other_writers.entry(Arc::clone(writer)).or_default();

            total.recorded = total.recorded.max(record.tokens);
            total.recorded_spent = total.recorded_spent.max(record.spent);
        }
    }

    /// Counts what writers that do not respond have recorded for a program, where that is higher than their last reports.
    pub(crate) fn assume_recorded(
        &mut self,
        program: &Arc<str>,
        is_unresponsive: impl Fn(&str) -> bool,
    ) {
        self.raise_reports(program, is_unresponsive, |total| total.recorded);
    }

    /// Counts what runs that are over have recorded for a program, where that is higher than their last reports. They spend
    /// nothing more, so headroom does not count.
    pub(crate) fn assume_ended(&mut self, program: &Arc<str>, is_over: impl Fn(&str) -> bool) {
        self.raise_reports(program, is_over, |total| total.recorded_spent);
    }

    fn raise_reports(
        &mut self,
        program: &Arc<str>,
        applies: impl Fn(&str) -> bool,
        record: fn(&WriterTotal) -> u64,
    ) {
        let Some(account) = self.accounts.get_mut(program) else {
            return;
        };

        for (writer, total) in &mut account.other_writers {
            if applies(writer) {
                let recorded = record(total);
                total.reported = total.reported.map(|reported| reported.max(recorded));
            }
        }
    }

    /// Removes accounts that have been idle for longer than any program pauses, and have no running turns.
    pub(crate) fn prune(&mut self, now: Instant) {
        let idle_retention = self.retention.longest() * IDLE_FACTOR;
        self.accounts.retain(|_, account| {
            account.reserved > 0 || now.duration_since(account.last_used) < idle_retention
        });
    }
}
