//! Reserves the part of a program's budget that one running turn may spend.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use parking_lot::Mutex;
use tokio::time::{Duration, Instant, sleep, sleep_until, timeout, timeout_at};

use crate::{
    BackoffPolicy,
    entry::{
        BudgetLedger,
        budget_ledger::{ReserveOutcome, is_writer_of},
        mesh_queries::SpendExchange,
        peer_mesh::PeerMesh,
        turn_journal::TurnJournal,
        turn_locator::TurnLocator,
        written_reservations::WrittenReservations,
    },
};

/// Attempts to reserve while other hosts reserve for the same program.
const MAX_RESERVE_ATTEMPTS: u32 = 4;

/// Delay between these attempts.
const CONFLICT_BACKOFF: BackoffPolicy =
    BackoffPolicy { first: Duration::from_millis(10), limit: Duration::from_millis(60) };

/// One other host may spend a turn's reservation divided by this before its next report arrives. Hosts report to each
/// other every 50 ms, in which a turn produces a few events.
const UNREPORTED_DIVISOR: u64 = 4;

/// Most peers that spend tokens of one program at the same time: its requests arrive in one region, or in two others
/// while that one has no host in service.
const MAX_SPENDING_PEERS: u64 = 2;

/// Tokens of a program that may be missing from the store while a turn of `reserved` tokens runs and `host_count` hosts
/// may serve the program: one turn less what the other hosts may have spent since their last reports.
pub(crate) fn unrecorded_limit(reserved: u64, host_count: u64) -> u64 {
    let spending_peers = host_count.saturating_sub(1).min(MAX_SPENDING_PEERS);
    reserved - reserved / UNREPORTED_DIVISOR * spending_peers
}

/// Time without a response from a peer after which the records are read. A round trip between regions takes 16 ms.
const LATE_RESPONSE_TIME: Duration = Duration::from_millis(150);

/// Time between two looks whether the hosts that have not responded still acknowledge updates.
const FAILURE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Longest time for which the refusal of a turn waits until the spend is recorded.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a turn gets no part of the budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BudgetRefusal {
    /// The budget does not cover the turn, and the spend is recorded, so that this holds even if all hosts fail.
    Spent,
    /// The spends of other hosts are unknown or keep changing, or the spend could not be recorded in time.
    Unknown,
}

/// State that all turn budgets share: the ledger, the journal that records it, and the mesh and the locator that get
/// the spends of other hosts.
#[derive(Clone, Debug)]
pub(crate) struct BudgetContext {
    pub(crate) ledger: Arc<Mutex<BudgetLedger>>,
    pub(crate) journal: Arc<TurnJournal>,
    pub(crate) mesh: Arc<PeerMesh>,
    pub(crate) locator: Arc<TurnLocator>,
    pub(crate) reservations: Arc<WrittenReservations>,
}

impl BudgetContext {
    /// Merges the other hosts' totals for a program into the ledger. Where a host is late, it reads what is recorded, and goes on
    /// with what comes first, if that host fails to acknowledge updates and does not serve the program. For a turn that has
    /// reserved tokens it also compares reservations with the silent hosts. Returns the hosts that are counted by their records, or
    /// `None` if for some host nothing has come by the deadline.
    async fn confirm_spend(
        &self,
        program: &Arc<str>,
        has_reserved: bool,
        deadline: Instant,
    ) -> Option<Vec<Arc<str>>> {
        let started = Instant::now();
        let mut exchange = self.mesh.begin_exchange(program, deadline - started);
        let needs_dropped = self.needs_records_of_dropped_peers();
        let mut needs_reading = needs_dropped || self.needs_records_of_ended_runs(program);
        let late_at = started + LATE_RESPONSE_TIME;
        let reading_at =
            if exchange.has_failing_peers() || needs_reading { started } else { late_at };
        // The records of ended runs are read while the responses of the peers are still under way.
        let is_for_silent_peers = exchange.has_failing_peers() || !needs_reading;
        let is_waiting = AtomicBool::new(true);
        let mut reading = Box::pin(async {
            sleep_until(reading_at).await;
            let asked_at = Instant::now();
            let needed = self.mesh.last_run_end().max(self.mesh.last_drop());
            let reading = self.locator.read_spends(asked_at, needed);
            // What silent hosts have reserved is not in their records. Neither of the two needs the other's result, see
            // docs/design/platform.md, "Reservations ahead".
            let is_silent = || is_waiting.load(Ordering::Relaxed);
            if has_reserved && (needs_dropped || (is_for_silent_peers && is_silent())) {
                let (are_read, is_compared) =
                    tokio::join!(reading, self.reservations.exchange(program));
                return are_read && is_compared;
            }

            let are_read = reading.await;
            let compares = has_reserved && (needs_dropped || is_silent());
            are_read && (!compares || self.reservations.exchange(program).await)
        });
        let mut is_reading_over = false;
        let mut are_records_read = false;

        loop {
            is_waiting.store(!exchange.outstanding.is_empty(), Ordering::Relaxed);
            // A host that acknowledges updates is only late, and may be reserving at the same time.
            let may_stand_in = are_records_read
                && exchange.holders.is_empty()
                && (!exchange.is_waiting() || self.mesh.are_failing(&exchange.outstanding))
                && self.mesh.may_go_by_records(&exchange);

            if !needs_reading && (exchange.outstanding.is_empty() || may_stand_in) {
                break;
            }
            if is_reading_over && !exchange.is_waiting() {
                Self::log_confirmation(program, &exchange, started, false);
                return None;
            }

            tokio::select! {
                biased;
                () = exchange.receive() => (),
                is_read = &mut reading, if !is_reading_over => {
                    is_reading_over = true;
                    needs_reading = false;
                    are_records_read = is_read;
                }
                () = sleep(FAILURE_CHECK_INTERVAL) => (),
                () = sleep_until(deadline) => {
                    needs_reading = false;
                    if !exchange.outstanding.is_empty() {
                        Self::log_confirmation(program, &exchange, started, false);
                        return None;
                    }
                }
            }
        }

        if needs_dropped && self.needs_records_of_dropped_peers() {
            Self::log_confirmation(program, &exchange, started, false);
            return None;
        }

        let outstanding = &exchange.outstanding;
        {
            let is_outstanding =
                |writer: &str| outstanding.iter().any(|it| is_writer_of(it, writer));
            let mut ledger = self.ledger.lock();
            ledger.assume_recorded(program, is_outstanding);
            ledger.assume_ended(program, |writer| self.mesh.run_end(writer).is_some());
        }

        if !outstanding.is_empty() {
            Self::log_confirmation(program, &exchange, started, true);
        }
        let dropped = self.mesh.dropped_hosts();
        Some(exchange.outstanding.into_iter().chain(dropped).collect())
    }

    /// Whether a run that has spent tokens of a program has ended since the records were read last. It may have spent more after
    /// its last report. While the store does not answer, the part of a turn that no host may spend unreported covers that.
    fn needs_records_of_ended_runs(&self, program: &Arc<str>) -> bool {
        let ledger = self.ledger.lock();
        let mut writers = ledger.other_writers(program);
        writers.any(|writer| {
            let end = self.mesh.run_end(writer);
            end.is_some_and(|end| !self.locator.readings.lock().covers(end))
        })
    }

    /// Whether a peer was dropped since the records were read last. It may have recorded spends of any program that it has
    /// reported to nobody.
    fn needs_records_of_dropped_peers(&self) -> bool {
        let dropped_at = self.mesh.last_drop();
        dropped_at.is_some_and(|at| !self.locator.readings.lock().covers(at))
    }

    fn log_confirmation(
        program: &Arc<str>,
        exchange: &SpendExchange<'_>,
        started: Instant,
        is_confirmed: bool,
    ) {
        log::info!(
            program:% = program, asked = exchange.asked, silent = exchange.outstanding.len(),
            took_ms = started.elapsed().as_millis() as u64, is_confirmed;
            "peers do not answer, so their recorded spends were looked up in the store"
        );
    }

    /// Refuses a turn as [`BudgetRefusal::Spent`] once the program's spend is recorded, so that the refusal still holds
    /// if all hosts fail; as [`BudgetRefusal::Unknown`] if it can't be recorded in time.
    async fn refuse(&self, program: &Arc<str>) -> Result<TurnBudget, BudgetRefusal> {
        let is_recorded = self.ledger.lock().is_recorded(program);

        if is_recorded
            || matches!(timeout(FLUSH_TIMEOUT, self.journal.flush_spends()).await, Ok(Ok(())))
        {
            Err(BudgetRefusal::Spent)
        } else {
            Err(BudgetRefusal::Unknown)
        }
    }
}

/// Reservation of a running turn. Dropping it replaces the reservation by the tokens that the turn has spent.
#[derive(Debug)]
pub(crate) struct TurnBudget {
    context: BudgetContext,
    program: Arc<str>,
    reserved: u64,
    spent: u64,
    /// Whether all other hosts were asked or compared for the reservation, so that what is left of it may serve the next turn.
    is_compared: bool,
}

/// Tokens that are reserved ahead of the next turns and not confirmed yet. Dropping them releases them.
#[derive(Debug)]
struct UnconfirmedAhead {
    ledger: Arc<Mutex<BudgetLedger>>,
    program: Arc<str>,
    id: u64,
}

impl UnconfirmedAhead {
    /// Reserves tokens ahead of the turns that follow one of `tokens`, if there is room.
    fn reserve(
        context: &BudgetContext,
        program: &Arc<str>,
        budget: u64,
        tokens: u64,
    ) -> Option<Self> {
        let id = context.ledger.lock().reserve_ahead(program, budget, tokens)?;
        Some(Self { ledger: Arc::clone(&context.ledger), program: Arc::clone(program), id })
    }

    /// Keeps the tokens for the next turns.
    fn keep(self) {
        self.ledger.lock().keep_ahead(&self.program, self.id);
    }
}

impl Drop for UnconfirmedAhead {
    fn drop(&mut self) {
        self.ledger.lock().release_pending_ahead(&self.program, self.id);
    }
}

impl TurnBudget {
    /// Reserves the most tokens that a turn may spend. Each host first enters its own reservation in its ledger and
    /// then asks the others for theirs, so that of two hosts that reserve concurrently at least one sees the other. Waits for
    /// the others until `deadline`. For a request that another host has forwarded it always asks, since the shares that hosts may
    /// reserve without a question are those of the hosts at which a program's requests arrive.
    pub(crate) async fn reserve(
        context: &BudgetContext,
        program: &Arc<str>,
        budget: u64,
        tokens: u64,
        is_forwarded: bool,
        deadline: Instant,
    ) -> Result<Self, BudgetRefusal> {
        let sharing_hosts = context.mesh.sharing_host_count().filter(|_| !is_forwarded);
        let host_count = sharing_hosts.unwrap_or(u64::MAX);
        let mut has_conflict = false;
        let is_peer_silent = context.mesh.has_failing_peer();
        let reservation_of = |is_compared| Self {
            context: context.clone(),
            program: Arc::clone(program),
            reserved: tokens,
            spent: 0,
            is_compared,
        };

        if !is_peer_silent {
            context.ledger.lock().release_ahead(program);
        } else if context.ledger.lock().take_ahead(program, budget, tokens) {
            return Ok(reservation_of(true));
        }

        for attempt in 0..MAX_RESERVE_ATTEMPTS {
            if attempt > 0 {
                CONFLICT_BACKOFF.sleep(attempt).await;
            }

            let outcome =
                context.ledger.lock().reserve_before_ahead(program, budget, tokens, host_count);

            if outcome == ReserveOutcome::OverBudget {
                if attempt > 0 || context.confirm_spend(program, false, deadline).await.is_none() {
                    break;
                }
                // Reservations of other hosts may have been settled since their last reports.
                continue;
            }

            if outcome == ReserveOutcome::Confirmed {
                return Ok(reservation_of(false));
            }
            let mut reservation = reservation_of(false);
            // Without a silent host the next turns don't cost a comparison. After a conflict the others need the room.
            let ahead = (attempt == 0 && is_peer_silent)
                .then(|| UnconfirmedAhead::reserve(context, program, budget, tokens))
                .flatten();
            let Some(silent_hosts) = context.confirm_spend(program, true, deadline).await else {
                return Err(BudgetRefusal::Unknown);
            };
            let is_silent = |writer: &str| silent_hosts.iter().any(|it| is_writer_of(it, writer));
            let (is_within, is_within_written) = {
                let ledger = context.ledger.lock();
                let is_within_written = ledger.is_within_written(program, budget, is_silent);
                (ledger.is_within(program, budget), is_within_written)
            };
            if is_within && is_within_written {
                ahead.into_iter().for_each(UnconfirmedAhead::keep);
                reservation.is_compared = true;
                return Ok(reservation);
            }
            has_conflict = is_within;
        }

        // A silent host has reserved the tokens, and may not spend them.
        if has_conflict {
            return Err(BudgetRefusal::Unknown);
        }

        let is_over = |writer: &str| context.mesh.run_end(writer).is_some();
        if !context.ledger.lock().is_exhausted(program, budget, tokens, is_over) {
            return Err(BudgetRefusal::Unknown);
        }

        context.refuse(program).await
    }

    /// Counts tokens that are about to be sent to the client. Waits until the store lacks at most [`unrecorded_limit`]
    /// tokens of the program, which is less than one turn: if all hosts then fail, the program exceeds its budget by at
    /// most the one turn that the rules allow. Returns false if the deadline passes first.
    pub(crate) async fn spend(&mut self, tokens: u64, deadline: Instant) -> bool {
        self.spent += tokens;
        self.context.ledger.lock().spend(&self.program, tokens);
        let limit = unrecorded_limit(self.reserved, self.context.mesh.serving_host_count());

        loop {
            {
                let mut ledger = self.context.ledger.lock();
                if ledger.unrecorded_tokens(&self.program) <= limit {
                    return true;
                }
                ledger.mark_unrecorded(&self.program);
            }

            let flush = timeout_at(deadline, self.context.journal.flush_spends()).await;
            if !matches!(flush, Ok(Ok(()))) {
                return false;
            }
        }
    }

    /// Tokens that the turn has spent so far.
    pub(crate) fn spent(&self) -> u64 {
        self.spent
    }

    /// Settles the reservation before the turn is recorded, so that its record carries the program's exact spend.
    pub(crate) fn finish(self) {
        let (ledger, program) = (Arc::clone(&self.context.ledger), Arc::clone(&self.program));
        drop(self);
        ledger.lock().finish_turn(&program);
    }
}

impl Drop for TurnBudget {
    fn drop(&mut self) {
        let mut ledger = self.context.ledger.lock();

        if self.is_compared {
            ledger.end_compared_turn(&self.program, self.reserved, self.spent);
        } else {
            ledger.settle(&self.program, self.reserved, self.spent);
        }
    }
}
