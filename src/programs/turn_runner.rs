//! Runs turns on the owner of the program: admission, budget reservation, choice of an upstream, stream and log. See
//! docs/design/programs.md.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use xxhash_rust::xxh3::Xxh3;

use crate::{
    AnswerDurability, CellPermit, CellRequest, CommitOutcome, CommitTicket, EventSender,
    FinishedAttempt, LogRecord, OwnedProgram, PreparedTurn, Problem, ProblemKind, ProgramAnswer,
    ProgramEntry, ProgramService, RefusalReason, SlotAdmission, TokenUsage, TurnAnswer,
    TurnReceipt, TurnRecord, TurnRequest, UpstreamError, UpstreamName,
    basics::steady_clock::steady_millis,
    programs::program_service::{PLATFORM_RETRY_AFTER_S, deposed_problem},
};

/// Attempts of one turn, including the first.
const ATTEMPT_LIMIT: u32 = 4;

/// Runs one turn of a program.
#[derive(Debug)]
pub(crate) struct TurnRunner<'a> {
    pub(crate) service: &'a Arc<ProgramService>,
    pub(crate) program: &'a OwnedProgram,
    pub(crate) events: EventSender,
    /// Whether chunks of the stream were dropped because the caller read too slowly.
    pub(crate) has_dropped_chunks: AtomicBool,
}

impl TurnRequest {
    /// Hash that tells a repeat of the turn from another request under the same number.
    pub(crate) fn fingerprint(&self) -> u64 {
        let mut hasher = Xxh3::new();
        self.messages.iter().for_each(|message| hasher.update(message.as_bytes()));
        hasher.update(self.parameters.as_bytes());
        hasher.digest()
    }
}

impl<'a> TurnRunner<'a> {
    pub(crate) fn new(
        service: &'a Arc<ProgramService>,
        program: &'a OwnedProgram,
        events: &EventSender,
    ) -> Self {
        let has_dropped_chunks = AtomicBool::new(false);
        Self { service, program, events: events.clone(), has_dropped_chunks }
    }

    /// Runs the turn, or returns the answer it already has.
    pub(crate) async fn run(self, turn: TurnRequest) -> Result<ProgramAnswer, Problem> {
        self.restore_receipts(&turn.receipts)?;
        let fingerprint = turn.fingerprint();

        match self.program.admit(turn.number, fingerprint).await? {
            SlotAdmission::Answered(answer) => Ok(answer),
            SlotAdmission::Settled(entry) => self.replay(turn.number, entry).await,
            SlotAdmission::Run(guard) => {
                let result = self.run_admitted(turn, fingerprint).await;
                let answer = result.unwrap_or_else(ProgramAnswer::Problem);
                guard.finish(&answer);
                Ok(answer)
            }
        }
    }

    /// Records turns that an earlier owner answered with receipts because it could not log them, if their numbers are
    /// still free.
    fn restore_receipts(&self, receipts: &[Arc<str>]) -> Result<(), Problem> {
        for text in receipts {
            let receipt =
                self.service.sealer.open(text, &self.program.team, self.program.id).map_err(
                    |error| Problem::not_run(ProblemKind::ReceiptInvalid, error.to_string()),
                )?;

            self.restore_turn(receipt)?;
        }

        Ok(())
    }

    /// Records the turn of a receipt if its number is next, unless the program runs a request or has ended. Tokens that
    /// are presumed spent already are not charged again.
    fn restore_turn(&self, receipt: TurnReceipt) -> Result<CommitTicket, Problem> {
        let number = receipt.number;
        let is_running = self.program.owner.is_running(self.program.id);

        self.program.owner.update(|state| {
            let program = self.program.find(state)?;
            let is_next = program.next_number() == number && program.is_settled();

            if !is_next || is_running || program.end_reason.is_some() {
                return Ok(Vec::new());
            }

            let total_tokens = receipt.turn.usage.total();
            let uncounted_tokens = total_tokens.saturating_sub(program.presumed_tokens);
            let missing_tokens = uncounted_tokens.saturating_sub(program.remaining_chunk_tokens());

            if missing_tokens > program.free_tokens() {
                let detail = "the turn of the receipt does not fit the budget";
                return Err(Problem::not_run(ProblemKind::BudgetExhausted, detail));
            }

            log::info!(program:% = self.program.id, number; "turn restored from its receipt");
            let chunk_limit = program.chunk_limit + missing_tokens;
            Ok(vec![
                LogRecord::BudgetReserved { program: receipt.program, chunk_limit },
                LogRecord::TurnRestored { program: receipt.program, number, turn: receipt.turn },
            ])
        })
    }

    /// Returns the answer of a finished turn again. If the first answer carried a receipt, the turn may still not be
    /// in the log, so this waits for the log too.
    async fn replay(&self, number: u32, entry: ProgramEntry) -> Result<ProgramAnswer, Problem> {
        let ProgramEntry::Turn(turn) = entry else {
            let detail = format!("number {number} is a call");
            return Err(Problem::failed(ProblemKind::NumberMismatch, detail));
        };

        let ticket = self.program.owner.update(|_| Ok(Vec::new()))?;
        let answer = self.turn_answer(ticket, number, turn).await?;
        Ok(TurnAnswer { is_replay: true, ..answer }.into())
    }

    async fn run_admitted(
        &self,
        turn: TurnRequest,
        fingerprint: u64,
    ) -> Result<ProgramAnswer, Problem> {
        let prepared = self.prepare(turn)?;
        self.service.retry_budget.deposit(prepared.limits.retry_percent);
        let finished = self.run_attempts(&prepared).await?;
        self.service.metrics.count_tokens(finished.usage);

        let record = TurnRecord {
            fingerprint,
            messages: prepared.messages.clone(),
            answer: finished.message,
            finish_reason: finished.finish_reason,
            usage: finished.usage,
            at_ms: steady_millis(),
        };

        let ticket = self.submit_turn(&prepared, &record)?;
        let answer = self.turn_answer(ticket, prepared.number, record).await?;
        self.service.metrics.record_turn(prepared.started.elapsed());
        Ok(answer.into())
    }

    /// Makes sure that a budget reservation in the log covers the most tokens that an attempt can take.
    async fn reserve_budget(&self, turn: &PreparedTurn) -> Result<(), Problem> {
        let owner = &self.program.owner;
        let needed_tokens = turn.tokens.max_total();

        if owner.spendable_tokens(self.program.id) >= needed_tokens {
            return Ok(());
        }

        let is_reserved =
            self.program.read(|program| program.remaining_chunk_tokens() >= needed_tokens)?;

        if !is_reserved {
            self.service.require_platform()?;
        }

        let ticket = owner.update(|state| {
            let program = self.program.find(state)?;
            let missing_tokens = needed_tokens.saturating_sub(program.remaining_chunk_tokens());

            if missing_tokens > program.free_tokens() {
                let detail = format!(
                    "the turn may take {needed_tokens} tokens, and {} are left",
                    program.remaining_chunk_tokens() + program.free_tokens(),
                );
                return Err(Problem::not_run(ProblemKind::BudgetExhausted, detail));
            }

            let chunk_limit = program.chunk_limit + missing_tokens;
            let reservation = LogRecord::BudgetReserved { program: self.program.id, chunk_limit };
            Ok(if missing_tokens > 0 { vec![reservation] } else { Vec::new() })
        })?;

        match owner.wait_durable(ticket, self.service.commit_timeout).await {
            CommitOutcome::Durable => Ok(()),
            CommitOutcome::Pending => {
                let detail = "the turn's tokens could not be reserved: the platform is unavailable";
                let problem = Problem::not_run(ProblemKind::PlatformUnavailable, detail);
                Err(problem.retry_after(PLATFORM_RETRY_AFTER_S))
            }
            CommitOutcome::Deposed => Err(deposed_problem()),
        }
    }

    async fn run_attempts(&self, turn: &PreparedTurn) -> Result<FinishedAttempt, Problem> {
        let mut excluded = Vec::new();
        let mut attempt = 1;

        loop {
            self.reserve_budget(turn).await?;
            let request = self.cell_request(turn, &excluded)?;
            let permit = self.acquire(request).await?;

            let failed = match self.attempt(turn, permit).await {
                Ok(finished) => return Ok(finished),
                Err(failed) => failed,
            };

            log::warn!(
                program:% = self.program.id, number = turn.number, upstream:% = failed.upstream;
                "an attempt of a turn failed: {}", failed.error
            );

            if !failed.error.is_presumed_not_run() {
                self.charge_failed_attempt(turn)?;
            }

            // A retry after an attempt that presumably did not run is not charged to the retry budget.
            let may_retry = !failed.has_streamed
                && !matches!(failed.error, UpstreamError::Rejected { .. })
                && attempt < ATTEMPT_LIMIT
                && (failed.error.is_presumed_not_run() || self.service.retry_budget.try_withdraw());

            if !may_retry {
                return Err(failed.problem());
            }

            excluded.push(failed.upstream);
            attempt += 1;
            self.service.metrics.count_retry();
        }
    }

    fn cell_request(
        &self,
        turn: &PreparedTurn,
        excluded: &[UpstreamName],
    ) -> Result<CellRequest, Problem> {
        let config = self.service.config.state();
        let weight = config.document.teams.get(&self.program.team).map_or(1, |it| it.weight);
        let attained_tokens = self.program.read(|program| program.spent_tokens)?;
        let mut hasher = Xxh3::new();
        hasher.update(self.program.team.as_str().as_bytes());
        turn.messages.iter().for_each(|message| hasher.update(message.as_bytes()));

        Ok(CellRequest {
            team: self.program.team.clone(),
            weight,
            program: self.program.id,
            number: turn.number,
            attained_tokens,
            prompt_tokens: turn.tokens.expected_prompt,
            answer_tokens: turn.tokens.max_answer,
            queued_ms: turn.started_ms,
            deadline_ms: turn.deadline_ms,
            fingerprint: hasher.digest(),
            excluded: excluded.to_vec(),
        })
    }

    async fn acquire(&self, request: CellRequest) -> Result<Box<dyn CellPermit>, Problem> {
        let model = self.program.read(|program| program.terms.model.clone())?;

        self.service.cells.acquire(&model, request).await.map_err(|refusal| {
            let kind = match refusal.reason {
                RefusalReason::DeadlinePassed => ProblemKind::DeadlinePassed,
                RefusalReason::Poisonous => ProblemKind::RequestPoisonous,
                RefusalReason::NoUpstream | RefusalReason::TeamShareExhausted => {
                    ProblemKind::Overloaded
                }
            };

            let detail = format!("the cell declined the request: {}", refusal.reason);
            let seconds = refusal.retry_after_ms.div_ceil(1_000).max(1);
            Problem::not_run(kind, detail).retry_after(seconds)
        })
    }

    /// Charges a failed attempt with the most tokens that it can have taken, since its usage is unknown.
    fn charge_failed_attempt(&self, turn: &PreparedTurn) -> Result<(), Problem> {
        self.program.owner.update(|state| {
            let program = self.program.find(state)?;

            if program.end_reason.is_some() {
                return Ok(Vec::new());
            }

            let tokens = turn.tokens.max_total().min(program.remaining_chunk_tokens());
            Ok(vec![LogRecord::TokensSpent { program: self.program.id, tokens }])
        })?;

        Ok(())
    }

    /// Submits the finished turn to the log, and reserves tokens for the next turn, so that its first token need not
    /// wait for the log.
    fn submit_turn(
        &self,
        turn: &PreparedTurn,
        record: &TurnRecord,
    ) -> Result<CommitTicket, Problem> {
        self.program.owner.update(|state| {
            let program = self.program.find(state)?;

            if let Some(reason) = program.end_reason {
                let detail = format!("the program ended while the turn ran: {reason}");
                return Err(Problem::failed(ProblemKind::ProgramEnded, detail));
            }

            let usage = capped_usage(record.usage, program.remaining_chunk_tokens());
            let number = turn.number;
            let finished = TurnRecord { usage, ..record.clone() };
            let finished =
                LogRecord::TurnFinished { program: self.program.id, number, turn: finished };

            let remaining_tokens = program.remaining_chunk_tokens() - usage.total();
            let next_tokens = usage.total() + turn.limits.chunk_tokens;
            let missing_tokens =
                next_tokens.saturating_sub(remaining_tokens).min(program.free_tokens());

            if missing_tokens == 0 {
                return Ok(vec![finished]);
            }

            let chunk_limit = program.chunk_limit + missing_tokens;
            Ok(vec![finished, LogRecord::BudgetReserved { program: self.program.id, chunk_limit }])
        })
    }

    /// Waits until the turn is in the log, and builds its answer. If that takes too long, the answer carries a
    /// receipt, from which a later owner can restore the turn.
    async fn turn_answer(
        &self,
        ticket: CommitTicket,
        number: u32,
        turn: TurnRecord,
    ) -> Result<TurnAnswer, Problem> {
        let model = self.program.read(|program| program.terms.model.clone())?;

        let durability = match self.wait_for_log(ticket).await {
            CommitOutcome::Durable => AnswerDurability::Logged,
            CommitOutcome::Pending => AnswerDurability::Receipt,
            CommitOutcome::Deposed => return Err(deposed_problem()),
        };

        let message = Arc::clone(&turn.answer);
        let finish_reason = Arc::clone(&turn.finish_reason);
        let usage = turn.usage;

        let receipt = (durability == AnswerDurability::Receipt).then(|| {
            self.service.sealer.seal(&TurnReceipt {
                team: self.program.team.clone(),
                program: self.program.id,
                number,
                turn,
            })
        });

        Ok(TurnAnswer {
            program: self.program.id,
            number,
            model,
            message,
            finish_reason,
            usage,
            durability,
            receipt,
            is_stream_whole: !self.has_dropped_chunks.load(Ordering::Relaxed),
            is_replay: false,
        })
    }

    /// Waits until a record is in the log. Doesn't wait if the platform, which stores the log, is known to be
    /// unavailable.
    async fn wait_for_log(&self, ticket: CommitTicket) -> CommitOutcome {
        let timeout = match self.service.platform.is_available() {
            true => self.service.commit_timeout,
            false => Duration::ZERO,
        };

        self.program.owner.wait_durable(ticket, timeout).await
    }
}

/// Caps the usage that an engine reports at the reserved tokens, since spending more than the reservation is an
/// error.
fn capped_usage(usage: TokenUsage, limit_tokens: u64) -> TokenUsage {
    let prompt = usage.prompt.min(limit_tokens);
    let completion = usage.completion.min(limit_tokens - prompt);
    TokenUsage { prompt, completion, ..usage }
}
