//! Tokens of a program that this host reserves ahead of its next turns while another host is silent.
//!
//! While a host is silent, each reservation costs a comparison through the store. A turn therefore reserves the tokens of the
//! turns that follow as well, in the same comparison, and these begin without one. What is reserved ahead is part of this host's
//! total from before the comparison until it is released, so to all other hosts it is a reservation like any other. See
//! docs/design/platform.md, "Reservations ahead".
//!
//! | Input | Decision |
//! |---|---|
//! | budget, known total, tokens of a turn | how much is reserved ahead: [`AHEAD_TURNS`] turns, less one turn that is left to others |
//! | tokens ahead, known total, budget | whether a turn begins with them |
//! | tokens that an ended turn has left | kept ahead, if they were compared and nothing has released the rest |
//! | question of another host, turn of this one without room, or [`AHEAD_TIME`] without a turn | all of it is released |

use std::sync::Arc;

use tokio::time::{Duration, Instant};

use crate::entry::{
    BudgetLedger,
    budget_ledger::{ProgramAccount, ReserveOutcome},
};

/// Turns for which tokens are reserved ahead. Programs have four to seven turns, and a turn mostly spends less than a half of
/// its most tokens, which leaves the rest to the next one.
const AHEAD_TURNS: u64 = 2;

/// Time after the last turn until tokens that are reserved ahead are released. Turns of a program follow each other within a
/// second or two; the tokens are lost to the program if this host is.
const AHEAD_TIME: Duration = Duration::from_secs(3);

/// Tokens that were compared with all other hosts and wait for a turn.
#[derive(Clone, Copy, Debug)]
struct KeptTokens {
    tokens: u64,
    /// When a turn last began or ended with them.
    used_at: Instant,
}

/// Tokens that a turn has reserved for later ones, while it compares them.
#[derive(Clone, Copy, Debug)]
struct PendingTokens {
    tokens: u64,
    /// Number by which the turn knows them.
    id: u64,
}

/// Tokens of one program that are reserved and belong to no turn.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AheadTokens {
    kept: Option<KeptTokens>,
    pending: Option<PendingTokens>,
    last_id: u64,
}

impl AheadTokens {
    pub(super) fn tokens(&self) -> u64 {
        self.kept.map_or(0, |it| it.tokens) + self.pending.map_or(0, |it| it.tokens)
    }

    fn is_empty(&self) -> bool {
        self.kept.is_none() && self.pending.is_none()
    }
}

impl ProgramAccount {
    /// Whether no turn runs, and none has begun or ended with the tokens that are kept for [`AHEAD_TIME`].
    fn is_ahead_idle(&self, now: Instant) -> bool {
        let kept = self.ahead.kept;
        let is_unused = kept.is_some_and(|it| now.duration_since(it.used_at) >= AHEAD_TIME);
        is_unused && !self.has_running_turns()
    }
}

impl BudgetLedger {
    /// Reserves tokens as [`Self::reserve`] does. What is reserved ahead never keeps a turn of this host from the budget.
    pub(crate) fn reserve_before_ahead(
        &mut self,
        program: &Arc<str>,
        budget: u64,
        tokens: u64,
        host_count: u64,
    ) -> ReserveOutcome {
        let outcome = self.reserve(program, budget, tokens, host_count);

        if outcome == ReserveOutcome::OverBudget && self.release_ahead(program) {
            return self.reserve(program, budget, tokens, host_count);
        }
        outcome
    }

    /// Lets turns reserve no tokens of the next ones.
    pub(crate) fn disable_ahead(&mut self) {
        self.is_ahead_disabled = true;
    }

    /// Reserves tokens ahead of the turns that follow one of `tokens`, which is reserved already. Returns a number for
    /// [`Self::keep_ahead`]; `None` if there is no room, or the program has such tokens already.
    pub(crate) fn reserve_ahead(
        &mut self,
        program: &Arc<str>,
        budget: u64,
        tokens: u64,
    ) -> Option<u64> {
        if self.is_ahead_disabled {
            return None;
        }
        let account = self.account(program);
        let room = budget.saturating_sub(account.total() + tokens).min(tokens * AHEAD_TURNS);

        if room == 0 || !account.ahead.is_empty() {
            return None;
        }

        account.reserved += room;
        account.ahead.last_id += 1;
        let id = account.ahead.last_id;
        account.ahead.pending = Some(PendingTokens { tokens: room, id });
        Some(id)
    }

    /// Keeps tokens for the next turns, once they were compared with all other hosts, unless they have been released meanwhile.
    pub(crate) fn keep_ahead(&mut self, program: &Arc<str>, id: u64) {
        let ahead = &mut self.account(program).ahead;

        if let Some(PendingTokens { tokens, .. }) = ahead.pending.take_if(|it| it.id == id) {
            ahead.kept = Some(KeptTokens { tokens, used_at: Instant::now() });
        }
    }

    /// Releases tokens that could not be compared.
    pub(crate) fn release_pending_ahead(&mut self, program: &Arc<str>, id: u64) {
        let pending = self.account(program).ahead.pending.take_if(|it| it.id == id);

        if let Some(pending) = pending {
            self.withdraw(program, pending.tokens);
        }
    }

    /// Takes back a reservation that no turn has used.
    fn withdraw(&mut self, program: &Arc<str>, tokens: u64) {
        self.account(program).reserved -= tokens;
        self.unreported.insert(Arc::clone(program));
    }

    /// Begins a turn with tokens that are reserved ahead. Releases them if they don't suffice or are idle, so that the store need
    /// not have them any more, or if the known total exceeds the budget of this turn.
    pub(crate) fn take_ahead(&mut self, program: &Arc<str>, budget: u64, tokens: u64) -> bool {
        self.refresh_records(program);
        let account = self.account(program);
        let is_usable = account.total() <= budget && !account.is_ahead_idle(Instant::now());
        let Some(kept) = &mut account.ahead.kept else {
            return false;
        };

        if is_usable && kept.tokens >= tokens {
            kept.tokens -= tokens;
            log::info!(
                program:% = program, tokens, left = kept.tokens, age_ms = kept.used_at.elapsed().as_millis() as u64;
                "a turn begins with tokens that were reserved ahead"
            );
            kept.used_at = Instant::now();
            account.budget = account.budget.max(budget);
            return true;
        }
        self.release_ahead(program);
        false
    }

    /// Ends a turn whose reservation was compared with all other hosts. What it has not spent stays reserved for the next turns,
    /// unless what was reserved ahead has been released since.
    pub(crate) fn end_compared_turn(&mut self, program: &Arc<str>, reserved: u64, spent: u64) {
        let left = reserved.saturating_sub(spent);

        if let Some(kept) = &mut self.account(program).ahead.kept {
            kept.tokens += left;
            kept.used_at = Instant::now();
            self.settle(program, reserved - left, spent);
        } else {
            self.settle(program, reserved, spent);
        }
    }

    /// Releases what is reserved ahead for a program, so that the next turn compares its reservation again. Returns whether
    /// there was any.
    pub(crate) fn release_ahead(&mut self, program: &Arc<str>) -> bool {
        let Some(account) = self.accounts.get_mut(program).filter(|it| !it.ahead.is_empty()) else {
            return false;
        };
        let tokens = account.ahead.tokens();
        account.ahead.kept = None;
        account.ahead.pending = None;
        log::info!(program:% = program, tokens; "released tokens that were reserved ahead");
        self.withdraw(program, tokens);
        true
    }

    /// Releases what is reserved ahead for programs without a running turn that have begun and ended none for [`AHEAD_TIME`].
    pub(crate) fn release_idle_ahead(&mut self, now: Instant) {
        let idle: Vec<Arc<str>> = self
            .accounts
            .iter()
            .filter(|(_, account)| account.is_ahead_idle(now))
            .map(|(program, _)| Arc::clone(program))
            .collect();
        for program in &idle {
            self.release_ahead(program);
        }
    }
}
