//! A turn on its owner: admission, budget, place, stream, log. See docs/design/programs.md.

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
    basics::unix_clock::unix_millis,
    programs::program_service::{PLATFORM_RETRY_S, deposed},
};

/// Tries of one turn, the first included.
const ATTEMPT_LIMIT: u32 = 4;

/// Runs one turn.
#[derive(Debug)]
pub(crate) struct TurnRunner<'a> {
    pub(crate) service: &'a Arc<ProgramService>,
    pub(crate) program: &'a OwnedProgram,
    pub(crate) events: EventSender,
    /// Whether the caller read so slowly that parts of the stream were left out.
    pub(crate) is_left_behind: AtomicBool,
}

impl TurnRequest {
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
        let is_left_behind = AtomicBool::new(false);
        Self { service, program, events: events.clone(), is_left_behind }
    }

    pub(crate) async fn run(self, turn: TurnRequest) -> Result<ProgramAnswer, Problem> {
        self.restore(&turn.receipts)?;
        let fingerprint = turn.fingerprint();

        match self.program.admit(turn.number, fingerprint).await? {
            SlotAdmission::Answered(answer) => Ok(answer),
            SlotAdmission::Settled(entry) => self.replay(turn.number, entry).await,
            SlotAdmission::Run(guard) => {
                let result = self.run_entered(turn, fingerprint).await;
                let answer = result.unwrap_or_else(ProgramAnswer::Problem);
                guard.finish(&answer);
                Ok(answer)
            }
        }
    }

    /// Takes turns in that an earlier owner could not log, as long as their numbers are free.
    fn restore(&self, receipts: &[Arc<str>]) -> Result<(), Problem> {
        for text in receipts {
            let receipt =
                self.service.sealer.open(text, &self.program.team, self.program.id).map_err(
                    |error| Problem::not_run(ProblemKind::ReceiptInvalid, error.to_string()),
                )?;

            self.restore_turn(receipt)?;
        }

        Ok(())
    }

    fn restore_turn(&self, receipt: TurnReceipt) -> Result<CommitTicket, Problem> {
        let number = receipt.number;
        let is_running = self.program.owner.is_running(self.program.id);

        self.program.owner.update(|state| {
            let program = self.program.find(state)?;
            let is_next = program.next_number() == number && program.is_settled();

            if !is_next || is_running || program.end_reason.is_some() {
                return Ok(Vec::new());
            }

            let total = receipt.turn.usage.total();
            let uncounted = total.saturating_sub(program.presumed_tokens);
            let missing = uncounted.saturating_sub(program.chunk_tokens());

            if missing > program.free_tokens() {
                let detail = "the turn of the receipt does not fit the budget";
                return Err(Problem::not_run(ProblemKind::BudgetExhausted, detail));
            }

            log::info!(program:% = self.program.id, number; "a turn is restored from its receipt");
            let chunk_limit = program.chunk_limit + missing;
            Ok(vec![
                LogRecord::BudgetReserved { program: receipt.program, chunk_limit },
                LogRecord::TurnRestored { program: receipt.program, number, turn: receipt.turn },
            ])
        })
    }

    /// Gives the answer of a finished turn again. It may have been given with a receipt before.
    async fn replay(&self, number: u32, entry: ProgramEntry) -> Result<ProgramAnswer, Problem> {
        let ProgramEntry::Turn(turn) = entry else {
            let detail = format!("number {number} is a call");
            return Err(Problem::failed(ProblemKind::NumberMismatch, detail));
        };

        let ticket = self.program.owner.update(|_| Ok(Vec::new()))?;
        let answer = self.answer(ticket, number, turn).await?;
        Ok(TurnAnswer { is_replay: true, ..answer }.into())
    }

    async fn run_entered(
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
            at_ms: unix_millis(),
        };

        let ticket = self.submit(&prepared, &record)?;
        let answer = self.answer(ticket, prepared.number, record).await?;
        self.service.metrics.record_turn(prepared.started.elapsed());
        Ok(answer.into())
    }

    /// Makes sure that a try's worst case lies inside a chunk that is in the log.
    async fn reserve(&self, turn: &PreparedTurn) -> Result<(), Problem> {
        let owner = &self.program.owner;
        let needed = turn.size.bound();

        if owner.spendable_tokens(self.program.id) >= needed {
            return Ok(());
        }

        let is_reserved = self.program.read(|program| program.chunk_tokens() >= needed)?;

        if !is_reserved {
            self.service.require_platform()?;
        }

        let ticket = owner.update(|state| {
            let program = self.program.find(state)?;
            let missing = needed.saturating_sub(program.chunk_tokens());

            if missing > program.free_tokens() {
                let detail = format!(
                    "the turn may take {needed} tokens, and {} are left",
                    program.chunk_tokens() + program.free_tokens(),
                );
                return Err(Problem::not_run(ProblemKind::BudgetExhausted, detail));
            }

            let chunk_limit = program.chunk_limit + missing;
            let reservation = LogRecord::BudgetReserved { program: self.program.id, chunk_limit };
            Ok(if missing > 0 { vec![reservation] } else { Vec::new() })
        })?;

        match owner.wait(ticket, self.service.commit_timeout).await {
            CommitOutcome::Durable => Ok(()),
            CommitOutcome::Pending => {
                let detail = "the turn's tokens could not be reserved: the platform is unavailable";
                let problem = Problem::not_run(ProblemKind::PlatformUnavailable, detail);
                Err(problem.retry_after(PLATFORM_RETRY_S))
            }
            CommitOutcome::Deposed => Err(deposed()),
        }
    }

    async fn run_attempts(&self, turn: &PreparedTurn) -> Result<FinishedAttempt, Problem> {
        let mut excluded = Vec::new();
        let mut attempt = 1;

        loop {
            self.reserve(turn).await?;
            let request = self.cell_request(turn, &excluded)?;
            let permit = self.acquire(request).await?;

            let failed = match self.attempt(turn, permit).await {
                Ok(finished) => return Ok(finished),
                Err(failed) => failed,
            };

            log::warn!(
                program:% = self.program.id, number = turn.number, upstream:% = failed.upstream;
                "a turn's try failed: {}", failed.error
            );

            if !failed.error.is_not_run() {
                self.charge_failed(turn)?;
            }

            let may_retry = !failed.has_started
                && !matches!(failed.error, UpstreamError::Rejected { .. })
                && attempt < ATTEMPT_LIMIT
                && (failed.error.is_not_run() || self.service.retry_budget.try_withdraw());

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
        let config = self.service.config.document();
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
            prompt_tokens: turn.size.prompt,
            answer_tokens: turn.size.answer_bound,
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

    /// Nobody knows what a broken try took, so its worst case counts.
    fn charge_failed(&self, turn: &PreparedTurn) -> Result<(), Problem> {
        self.program.owner.update(|state| {
            let program = self.program.find(state)?;

            if program.end_reason.is_some() {
                return Ok(Vec::new());
            }

            let tokens = turn.size.bound().min(program.chunk_tokens());
            Ok(vec![LogRecord::TokensSpent { program: self.program.id, tokens }])
        })?;

        Ok(())
    }

    /// Takes the turn in, and reserves ahead for the next one, so that its first token need not wait for the log.
    fn submit(&self, turn: &PreparedTurn, record: &TurnRecord) -> Result<CommitTicket, Problem> {
        self.program.owner.update(|state| {
            let program = self.program.find(state)?;

            if let Some(reason) = program.end_reason {
                let detail = format!("the program ended while the turn ran: {reason}");
                return Err(Problem::failed(ProblemKind::ProgramEnded, detail));
            }

            let usage = bounded(record.usage, program.chunk_tokens());
            let number = turn.number;
            let finished = TurnRecord { usage, ..record.clone() };
            let finished =
                LogRecord::TurnFinished { program: self.program.id, number, turn: finished };

            let left = program.chunk_tokens() - usage.total();
            let wanted = usage.total() + turn.limits.chunk_tokens;
            let ahead = wanted.saturating_sub(left).min(program.free_tokens());

            if ahead == 0 {
                return Ok(vec![finished]);
            }

            let chunk_limit = program.chunk_limit + ahead;
            Ok(vec![finished, LogRecord::BudgetReserved { program: self.program.id, chunk_limit }])
        })
    }

    async fn answer(
        &self,
        ticket: CommitTicket,
        number: u32,
        turn: TurnRecord,
    ) -> Result<TurnAnswer, Problem> {
        let model = self.program.read(|program| program.terms.model.clone())?;

        let durability = match self.wait(ticket).await {
            CommitOutcome::Durable => AnswerDurability::Logged,
            CommitOutcome::Pending => AnswerDurability::Receipt,
            CommitOutcome::Deposed => return Err(deposed()),
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
            is_stream_whole: !self.is_left_behind.load(Ordering::Relaxed),
            is_replay: false,
        })
    }

    /// Waits for the log; not at all once it is known that the platform is unavailable.
    async fn wait(&self, ticket: CommitTicket) -> CommitOutcome {
        let patience = match self.service.platform.is_available() {
            true => self.service.commit_timeout,
            false => Duration::ZERO,
        };

        self.program.owner.wait(ticket, patience).await
    }
}

/// An engine that counts more than it was allowed is charged for what it was allowed.
fn bounded(usage: TokenUsage, limit: u64) -> TokenUsage {
    let prompt = usage.prompt.min(limit);
    let completion = usage.completion.min(limit - prompt);
    TokenUsage { prompt, completion, ..usage }
}
