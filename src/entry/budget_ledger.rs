//! What programs have spent of their token budgets, over all hosts.
//!
//! Each run of a host's process is a writer and counts what it hands out; a program's spend is the sum over writers.
//! The rule and its proof are in docs/design/platform.md, "Budgets".

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use tokio::time::{Duration, Instant};

/// Time after its last turn for which a program is remembered. Programs that were stopped may come back within the
/// retention of their turns, which is 60 s on the users' sheets.
const IDLE_RETENTION: Duration = Duration::from_mins(3);

/// Part of the rest of a budget that is recorded as spent ahead, so that turns need not wait for the store. Programs
/// whose turns are recorded need none: each turn's record brings their exact spend.
const HEADROOM_DIVISOR: u64 = 3;

/// Result of a reservation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReserveOutcome {
    /// The budget holds it.
    Held,
    /// It is reserved, and the budget holds it if no other host reserves at the same time.
    Unconfirmed,
    /// The budget does not hold it; nothing is reserved.
    Beyond,
}

/// Most recent total of one writer for one program.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct SpendNote {
    pub(crate) program: Arc<str>,
    pub(crate) tokens: u64,
    /// Total that the store has recorded for the writer.
    pub(crate) recorded: u64,
}

/// All totals of one writer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct WriterSpends {
    pub(crate) writer: Arc<str>,
    pub(crate) notes: Vec<SpendNote>,
}

/// A total to record in the store, for any writer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct SpendRecord {
    /// The writer; none is the one that records.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) writer: Option<Arc<str>>,
    pub(crate) program: Arc<str>,
    pub(crate) tokens: u64,
}

impl SpendRecord {
    /// The record as a note, if it is about the writer itself.
    pub(crate) fn own_note(&self) -> Option<SpendNote> {
        self.writer.is_none().then(|| SpendNote {
            program: Arc::clone(&self.program),
            tokens: self.tokens,
            recorded: self.tokens,
        })
    }

    /// Another writer's note as a record.
    pub(crate) fn for_writer(writer: &Arc<str>, note: SpendNote) -> Self {
        Self { writer: Some(Arc::clone(writer)), program: note.program, tokens: note.recorded }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct WriterSpend {
    /// What the writer has told of itself; it includes what its running turns may still spend.
    live: Option<u64>,
    /// What the writer has recorded in the store last.
    recorded: u64,
}

impl WriterSpend {
    fn tokens(self) -> u64 {
        self.live.unwrap_or(self.recorded)
    }

    fn exposure(self) -> u64 {
        self.tokens().saturating_sub(self.recorded)
    }
}

#[derive(Debug)]
struct ProgramAccount {
    others: HashMap<Arc<str>, WriterSpend>,
    budget: u64,
    /// Tokens of turns that have ended.
    settled: u64,
    /// Most tokens of the turns that run.
    reserved: u64,
    /// Tokens that the turns that run have handed out.
    handed_out: u64,
    recorded: u64,
    /// Whether the program's turns are recorded as they end.
    has_history: bool,
    /// Whether all other hosts have been told that this one serves the program.
    is_announced: bool,
    last_use: Instant,
}

impl ProgramAccount {
    fn new(now: Instant) -> Self {
        Self {
            others: HashMap::new(),
            budget: 0,
            settled: 0,
            reserved: 0,
            handed_out: 0,
            recorded: 0,
            has_history: false,
            is_announced: false,
            last_use: now,
        }
    }

    fn own(&self) -> u64 {
        self.settled + self.reserved
    }

    fn spent(&self) -> u64 {
        self.settled + self.handed_out
    }

    /// What to record. A record that is too high may end a program early after a loss of all hosts.
    fn recordable(&self) -> u64 {
        if self.has_history {
            return self.spent();
        }

        let rest = self.budget.saturating_sub(self.total());
        self.spent() + rest / HEADROOM_DIVISOR
    }

    fn exposure(&self) -> u64 {
        let others: u64 = self.others.values().map(|it| it.exposure()).sum();
        self.spent().saturating_sub(self.recorded) + others
    }

    fn total(&self) -> u64 {
        self.own() + self.others.values().map(|it| it.tokens()).sum::<u64>()
    }
}

/// Accounts of all programs that this host knows.
#[derive(Debug, Default)]
pub struct BudgetLedger {
    accounts: HashMap<Arc<str>, ProgramAccount>,
    /// Programs with a change that peers have not been told.
    untold: HashSet<Arc<str>>,
    /// Programs with a change that the store has not recorded.
    unrecorded: HashSet<Arc<str>>,
}

impl BudgetLedger {
    fn account(&mut self, program: &Arc<str>) -> &mut ProgramAccount {
        let now = Instant::now();
        let account =
            self.accounts.entry(Arc::clone(program)).or_insert_with(|| ProgramAccount::new(now));
        account.last_use = now;
        account
    }

    /// Reserves the most that a turn may hand out, unless what is known already exceeds the budget with it. `hosts` may
    /// give away the program's tokens at the same time without having heard of each other: each has its part of the
    /// budget, and asks the others first past it.
    pub(crate) fn reserve(
        &mut self,
        program: &Arc<str>,
        budget: u64,
        tokens: u64,
        hosts: u64,
    ) -> ReserveOutcome {
        let account = self.account(program);
        account.budget = account.budget.max(budget);
        let total = account.total() + tokens;

        if total > budget {
            return ReserveOutcome::Beyond;
        }

        account.reserved += tokens;
        self.untold.insert(Arc::clone(program));

        if total <= budget / hosts.max(1) {
            ReserveOutcome::Held
        } else {
            ReserveOutcome::Unconfirmed
        }
    }

    /// Whether a budget holds all that is known to be spent or reserved.
    pub(crate) fn is_within(&self, program: &Arc<str>, budget: u64) -> bool {
        self.total(program) <= budget
    }

    /// Says that all other hosts are told that this one serves a program. Gives whether they had been told before.
    pub(crate) fn mark_announced(&mut self, program: &Arc<str>) -> bool {
        std::mem::replace(&mut self.account(program).is_announced, true)
    }

    /// Whether a writer of a host has spent for a program. Names of writers begin with their host.
    pub(crate) fn has_spent(&self, program: &Arc<str>, host: &str) -> bool {
        let is_of_host =
            |writer: &Arc<str>| writer.strip_prefix(host).is_some_and(|rest| rest.starts_with('.'));
        let account = self.accounts.get(program);
        account.is_some_and(|it| it.others.keys().any(is_of_host))
    }

    /// This writer's total for a program.
    pub(crate) fn own_spend(&self, program: &Arc<str>) -> SpendNote {
        let (tokens, recorded) =
            self.accounts.get(program).map_or((0, 0), |it| (it.own(), it.recorded));
        SpendNote { program: Arc::clone(program), tokens, recorded }
    }

    /// Replaces a turn's reservation by what it has handed out.
    pub(crate) fn settle(&mut self, program: &Arc<str>, reserved: u64, handed_out: u64) {
        let account = self.account(program);
        account.reserved = account.reserved.saturating_sub(reserved);
        account.handed_out = account.handed_out.saturating_sub(handed_out);
        account.settled += handed_out;
        self.untold.insert(Arc::clone(program));
    }

    /// Tokens that hosts are known to have handed out and that a loss of all of them would make unknown.
    pub(crate) fn exposure(&self, program: &Arc<str>) -> u64 {
        self.accounts.get(program).map_or(0, ProgramAccount::exposure)
    }

    /// Asks for all that is known of a program to be recorded.
    pub(crate) fn cover(&mut self, program: &Arc<str>) {
        self.unrecorded.insert(Arc::clone(program));
    }

    /// Counts tokens that a running turn hands out.
    pub(crate) fn spend(&mut self, program: &Arc<str>, tokens: u64) {
        let account = self.account(program);
        account.handed_out += tokens;

        if account.spent() > account.recorded {
            self.unrecorded.insert(Arc::clone(program));
        }
    }

    /// Asks for a program's spend to be recorded with the turn that has just ended.
    pub(crate) fn record_turn(&mut self, program: &Arc<str>) {
        self.account(program).has_history = true;
        self.unrecorded.insert(Arc::clone(program));
    }

    /// Tokens of a program that are known to be spent or reserved.
    pub(crate) fn total(&self, program: &Arc<str>) -> u64 {
        self.accounts.get(program).map_or(0, ProgramAccount::total)
    }

    /// Whether all of a program's own spend is recorded.
    pub(crate) fn is_recorded(&self, program: &Arc<str>) -> bool {
        !self.unrecorded.contains(program)
    }

    pub(crate) fn has_unrecorded(&self) -> bool {
        !self.unrecorded.is_empty()
    }

    /// Gives what the store should record: each changed program with some of its budget ahead, and what other writers
    /// have told but not recorded, as they may be gone.
    pub(crate) fn take_unrecorded(&mut self) -> Vec<SpendRecord> {
        let mut records = Vec::new();

        for program in std::mem::take(&mut self.unrecorded) {
            let Some(account) = self.accounts.get(&program) else {
                continue;
            };

            let tokens = account.recordable();
            records.push(SpendRecord { writer: None, program: Arc::clone(&program), tokens });

            let exposed = account.others.iter().filter(|(_, spend)| spend.exposure() > 0);
            records.extend(exposed.map(|(writer, spend)| SpendRecord {
                writer: Some(Arc::clone(writer)),
                program: Arc::clone(&program),
                tokens: spend.tokens(),
            }));
        }

        records
    }

    /// Takes note that the store has recorded a batch of this writer.
    pub(crate) fn mark_recorded(&mut self, records: &[SpendRecord]) {
        for record in records {
            let Some(account) = self.accounts.get_mut(&record.program) else {
                continue;
            };

            let recorded = match &record.writer {
                None => &mut account.recorded,
                Some(writer) => &mut account.others.entry(Arc::clone(writer)).or_default().recorded,
            };
            *recorded = (*recorded).max(record.tokens);
            self.untold.insert(Arc::clone(&record.program));
        }
    }

    /// Gives what peers have not been told.
    pub(crate) fn take_unreported(&mut self) -> Vec<SpendNote> {
        let programs = std::mem::take(&mut self.untold);
        programs.iter().map(|program| self.own_spend(program)).collect()
    }

    /// Gives this writer's totals of all programs, for a peer that is new.
    pub(crate) fn own_notes(&self) -> Vec<SpendNote> {
        self.accounts.keys().map(|program| self.own_spend(program)).collect()
    }

    /// Gives the totals of all writers, for a host that starts.
    pub(crate) fn other_spends(&self) -> Vec<WriterSpends> {
        let mut by_writer: HashMap<&Arc<str>, Vec<SpendNote>> = HashMap::new();

        for (program, account) in &self.accounts {
            for (writer, spend) in &account.others {
                by_writer.entry(writer).or_default().push(SpendNote {
                    program: Arc::clone(program),
                    tokens: spend.tokens(),
                    recorded: spend.recorded,
                });
            }
        }

        by_writer
            .into_iter()
            .map(|(writer, notes)| WriterSpends { writer: Arc::clone(writer), notes })
            .collect()
    }

    /// Learns a writer's totals from itself.
    pub(crate) fn merge_reported(&mut self, writer: &Arc<str>, notes: &[SpendNote]) {
        for note in notes {
            let account = self.account(&note.program);
            let spend = account.others.entry(Arc::clone(writer)).or_default();
            spend.live = Some(note.tokens);
            spend.recorded = spend.recorded.max(note.recorded);
        }
    }

    /// Learns a writer's totals from the store. Records run ahead of what was spent, so they count only where the
    /// writer itself has told nothing, or does not answer.
    pub(crate) fn merge_recorded(
        &mut self,
        writer: &Arc<str>,
        records: &[SpendRecord],
        is_silent: bool,
    ) {
        for record in records {
            let account = self.account(&record.program);
            let subject = record.writer.as_ref().unwrap_or(writer);
            let spend = account.others.entry(Arc::clone(subject)).or_default();

            spend.recorded = spend.recorded.max(record.tokens);

            if is_silent {
                spend.live = spend.live.map(|live| live.max(spend.recorded));
            }
        }
    }

    /// Forgets programs that have been idle for long.
    pub(crate) fn prune(&mut self, now: Instant) {
        self.accounts
            .retain(|_, it| it.reserved > 0 || now.duration_since(it.last_use) < IDLE_RETENTION);
    }
}
