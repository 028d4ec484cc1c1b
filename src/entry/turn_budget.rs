//! The part of a program's budget that one running turn holds.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::time::{Duration, Instant, timeout, timeout_at};

use crate::{
    BackoffPolicy,
    entry::{
        BudgetLedger, budget_ledger::ReserveOutcome, peer_mesh::PeerMesh,
        turn_journal::TurnJournal, turn_locator::TurnLocator,
    },
};

/// Tries to reserve while other hosts reserve for the same program.
const RESERVE_ATTEMPTS: u32 = 4;

/// Pause between such tries.
const CONFLICT_BACKOFF: BackoffPolicy =
    BackoffPolicy { first: Duration::from_millis(10), limit: Duration::from_millis(60) };

/// Part of a turn that one other host may hand out before it is heard. Hosts tell each other every 50 ms, in which a
/// turn makes a few events.
const UNHEARD_DIVISOR: u64 = 4;

/// Other hosts that hand out tokens of one program at the same moment, at the most: its turns come in through one
/// region, or through two others while that one has no host in service.
const UNHEARD_HOSTS: u64 = 2;

/// Tokens of a program that may be unrecorded while a turn of `reserved` tokens runs and `hosts` may serve the program:
/// one turn less what the others may have handed out since they were heard last.
pub(crate) fn exposure_limit(reserved: u64, hosts: u64) -> u64 {
    let others = hosts.saturating_sub(1).min(UNHEARD_HOSTS);
    reserved - reserved / UNHEARD_DIVISOR * others
}

/// Time to read the records of silent hosts.
const LISTING_PATIENCE: Duration = Duration::from_millis(300);

/// Age of the records of a silent host that still count. A host records its spends each second, with headroom.
const RECORD_AGE: Duration = Duration::from_secs(1);

/// Time for which the answer that a budget is spent waits until the spend is recorded.
const RECORD_PATIENCE: Duration = Duration::from_secs(1);

/// Why a turn gets no part of the budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BudgetRefusal {
    /// The budget does not hold the turn, and this is recorded for good.
    Spent,
    /// Not all that the program has spent is known, or a loss of all hosts would make it unknown.
    Unknown,
}

/// Where spends are counted, recorded and compared.
#[derive(Clone, Debug)]
pub(crate) struct BudgetParts {
    pub(crate) ledger: Arc<Mutex<BudgetLedger>>,
    pub(crate) journal: Arc<TurnJournal>,
    pub(crate) mesh: Arc<PeerMesh>,
    pub(crate) locator: Arc<TurnLocator>,
}

impl BudgetParts {
    /// Learns what the other hosts count for a program. Hosts that do not answer are looked up in the store. Gives false
    /// if neither is possible.
    async fn confirm(&self, program: &Arc<str>) -> bool {
        let silent = self.mesh.exchange_spend(program).await;

        if silent.is_empty() {
            return true;
        }

        let since = Instant::now().checked_sub(RECORD_AGE).unwrap_or_else(Instant::now);
        let listed = timeout(LISTING_PATIENCE, self.locator.list_hosts(&silent, since)).await;
        let is_confirmed = matches!(listed, Ok(true));

        log::info!(
            program:% = program, silent = silent.len(), is_confirmed;
            "a spend is compared with the store's records, since peers do not answer"
        );
        is_confirmed
    }

    /// Makes sure that the refusal stays true if all hosts are lost.
    async fn refuse(&self, program: &Arc<str>) -> Result<TurnBudget, BudgetRefusal> {
        let is_recorded = self.ledger.lock().is_recorded(program);

        if is_recorded || timeout(RECORD_PATIENCE, self.journal.flush_spends()).await.is_ok() {
            Err(BudgetRefusal::Spent)
        } else {
            Err(BudgetRefusal::Unknown)
        }
    }
}

/// A reservation; dropping it counts what was handed out.
#[derive(Debug)]
pub(crate) struct TurnBudget {
    parts: BudgetParts,
    program: Arc<str>,
    reserved: u64,
    handed_out: u64,
}

impl TurnBudget {
    /// Reserves the most that a turn may hand out. Each host first writes its own reservation down and then asks the
    /// others for theirs, so that of two hosts that reserve at the same time one at least sees the other.
    pub(crate) async fn reserve(
        parts: &BudgetParts,
        program: &Arc<str>,
        budget: u64,
        tokens: u64,
    ) -> Result<Self, BudgetRefusal> {
        let hosts = parts.mesh.serving_host_count();

        for attempt in 0..RESERVE_ATTEMPTS {
            if attempt > 0 {
                CONFLICT_BACKOFF.sleep(attempt).await;
            }

            let outcome = parts.ledger.lock().reserve(program, budget, tokens, hosts);

            if outcome == ReserveOutcome::Beyond {
                if attempt > 0 || !parts.confirm(program).await {
                    break;
                }
                // What others have reserved may have been settled since it was heard of.
                continue;
            }

            let held = Self {
                parts: parts.clone(),
                program: Arc::clone(program),
                reserved: tokens,
                handed_out: 0,
            };

            if outcome == ReserveOutcome::Held {
                return Ok(held);
            }
            if !parts.confirm(program).await {
                return Err(BudgetRefusal::Unknown);
            }
            if parts.ledger.lock().is_within(program, budget) {
                return Ok(held);
            }
        }

        if parts.ledger.lock().total(program) + tokens <= budget {
            return Err(BudgetRefusal::Unknown);
        }

        parts.refuse(program).await
    }

    /// Takes note of tokens that are about to go out to the client. Waits until less than one turn's tokens would become
    /// unknown if all hosts were lost then, see [`exposure_limit`]; the rules allow a program one turn beyond its
    /// budget. Gives false if the time runs out.
    pub(crate) async fn hand_out(&mut self, tokens: u64, limit: Instant) -> bool {
        self.handed_out += tokens;
        self.parts.ledger.lock().hand_out(&self.program, tokens);
        let limit_tokens = exposure_limit(self.reserved, self.parts.mesh.serving_host_count());

        loop {
            {
                let mut ledger = self.parts.ledger.lock();
                if ledger.exposure(&self.program) <= limit_tokens {
                    return true;
                }
                ledger.cover(&self.program);
            }

            if timeout_at(limit, self.parts.journal.flush_spends()).await.is_err() {
                return false;
            }
        }
    }

    pub(crate) fn handed_out(&self) -> u64 {
        self.handed_out
    }

    /// Ends the reservation, so that the turn's record carries the program's exact spend.
    pub(crate) fn finish(self) {
        let (ledger, program) = (Arc::clone(&self.parts.ledger), Arc::clone(&self.program));
        drop(self);
        ledger.lock().record_turn(&program);
    }
}

impl Drop for TurnBudget {
    fn drop(&mut self) {
        self.parts.ledger.lock().settle(&self.program, self.reserved, self.handed_out);
    }
}
