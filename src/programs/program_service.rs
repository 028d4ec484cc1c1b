//! Serves requests to programs on the host that owns their shard. Creation, status, history and end are here, turns
//! in `turn_runner.rs` and calls in `call_runner.rs`.

use std::{sync::Arc, time::Duration};

use tokio::{sync::mpsc, time::Instant};

use crate::{
    CallRunner, CellGateway, CommitOutcome, ConfigStore, CreateRequest, EndReason, LogRecord,
    NodeMetrics, NumberKey, OwnerConfirmation, OwnershipCheck, PlatformClient, Problem,
    ProblemKind, Program, ProgramAnswer, ProgramEvent, ProgramHistory, ProgramId, ProgramOperation,
    ProgramRequest, ProgramStatus, ProgramTerms, ReceiptSealer, RequestOutcome, RetryBudget,
    ShardOwner, ShardState, ShardTable, TeamName, TurnRunner, UpstreamClient,
    basics::steady_clock::steady_millis,
};

/// Sender of the events of one answer. The channel is bounded, so that a slow reader can't make memory grow.
pub(crate) type EventSender = mpsc::Sender<ProgramEvent>;

/// Seconds after which callers are told to retry while the platform is unavailable.
pub(crate) const PLATFORM_RETRY_AFTER_S: u64 = 2;

/// Serves the programs of the shards that this host owns.
#[derive(Debug)]
pub(crate) struct ProgramService {
    pub(crate) shards: Arc<ShardTable>,
    pub(crate) config: Arc<ConfigStore>,
    pub(crate) cells: Arc<dyn CellGateway>,
    pub(crate) upstreams: Arc<dyn UpstreamClient>,
    pub(crate) platform: Arc<dyn PlatformClient>,
    pub(crate) ownership_check: Arc<dyn OwnershipCheck>,
    pub(crate) sealer: ReceiptSealer,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) metrics: Arc<NodeMetrics>,
    /// How long an answer waits for its log record. After that a turn is answered with a receipt, and other requests
    /// fail. The result of a call waits `RESULT_TIMEOUT_FACTOR` times as long, since calls have no receipts.
    pub(crate) commit_timeout: Duration,
}

/// The program that a request names, with the owner of its shard. It may not exist, or belong to another team, which
/// `read` and `find` check.
#[derive(Clone, Debug)]
pub(crate) struct OwnedProgram {
    pub(crate) owner: Arc<ShardOwner>,
    pub(crate) id: ProgramId,
    pub(crate) team: TeamName,
}

impl OwnedProgram {
    /// Reads the program. Fails with `UnknownProgram` both if it doesn't exist and if another team owns it, so that
    /// callers learn nothing about other teams' programs.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&Program) -> T) -> Result<T, Problem> {
        self.owner.read(|state| Ok(read(self.find(state)?)))
    }

    pub(crate) fn find<'a>(&self, state: &'a ShardState) -> Result<&'a Program, Problem> {
        match state.program(self.id) {
            Ok(program) if program.terms.team == self.team => Ok(program),
            result => {
                let detail = format!("team {} has no program {}", self.team, self.id);
                let may_be_forgotten = result.is_err() && state.has_forgotten;
                Err(if may_be_forgotten {
                    Problem::failed(ProblemKind::UnknownProgram, detail)
                } else {
                    Problem::not_run(ProblemKind::UnknownProgram, detail)
                })
            }
        }
    }

    fn history(&self) -> Result<ProgramAnswer, Problem> {
        let entries = self.read(|it| it.entries.clone())?;
        Ok(ProgramHistory { program: self.id, entries }.into())
    }

    fn status(&self) -> Result<ProgramStatus, Problem> {
        let is_durable = self.owner.is_fully_durable();

        self.owner.read(|state| {
            let program = self.find(state)?;
            let state_name = if program.end_reason.is_some() { "ended" } else { "open" };

            Ok(ProgramStatus {
                program: self.id,
                team: program.terms.team.clone(),
                model: program.terms.model.clone(),
                state: state_name.into(),
                end_reason: program.end_reason,
                parent: program.terms.parent,
                children: state.open_children(self.id),
                budget_tokens: program.terms.budget_tokens,
                spent_tokens: program.spent_tokens,
                presumed_tokens: program.presumed_tokens,
                reserved_tokens: program.chunk_limit + program.child_tokens,
                next_number: program.next_number(),
                is_durable,
            })
        })
    }
}

impl ProgramService {
    /// Serves a request and sends its events: an answer last, or `NotOwner` alone. A request that has started runs to
    /// its end even if the caller disconnects.
    pub(crate) async fn serve(self: Arc<Self>, request: ProgramRequest, events: EventSender) {
        let owner = self.shards.owner(request.program.shard);

        let Some(owner) = owner.filter(|owner| !owner.is_leaving()) else {
            let _ = events.send(ProgramEvent::NotOwner).await;
            return;
        };

        let received_at = Instant::now();
        let key = request.operation.key();
        let program = OwnedProgram { owner, id: request.program, team: request.team };
        let result = self.run_operation(&program, request.operation, &events).await;
        program.owner.remove_idle_slot(program.id);

        let answer = match result {
            Ok(ProgramAnswer::Problem(problem)) | Err(problem) => {
                let problem = self.confirmed_problem(&program, received_at, problem).await;
                Self::checked_problem(&program, key, problem).into()
            }
            Ok(answer) => self.confirmed_answer(&program, received_at, answer).await,
        };

        let _ = events.send(ProgramEvent::Answer(answer)).await;
    }

    /// Confirms the ownership before a status or history is returned, since the state of a deposed owner may lack
    /// records that are in the log. While the platform is unavailable, they are returned unconfirmed.
    async fn confirmed_answer(
        &self,
        program: &OwnedProgram,
        received_at: Instant,
        answer: ProgramAnswer,
    ) -> ProgramAnswer {
        if !matches!(answer, ProgramAnswer::Status(_) | ProgramAnswer::History(_)) {
            return answer;
        }

        match program.owner.confirm(received_at).await {
            OwnerConfirmation::Deposed => deposed_problem().into(),
            OwnerConfirmation::Confirmed | OwnerConfirmation::Unconfirmed => answer,
        }
    }

    /// Confirms the ownership before a problem states that the request did not run, since only the owner can know
    /// that. While the platform is unavailable, all other hosts are asked instead. Unless each of them answers that
    /// it hasn't claimed the shard, the outcome becomes `Unknown`.
    async fn confirmed_problem(
        &self,
        program: &OwnedProgram,
        received_at: Instant,
        problem: Problem,
    ) -> Problem {
        if problem.outcome != RequestOutcome::NotRun {
            return problem;
        }

        match program.owner.confirm(received_at).await {
            OwnerConfirmation::Confirmed => problem,
            OwnerConfirmation::Deposed => deposed_problem(),
            OwnerConfirmation::Unconfirmed => {
                if self.ownership_check.is_sole_owner(program.id.shard).await {
                    return problem;
                }

                let retry_after_s = problem.retry_after_s.or(Some(PLATFORM_RETRY_AFTER_S));
                Problem { outcome: RequestOutcome::Unknown, retry_after_s, ..problem }
            }
        }
    }

    /// Keeps the outcome `NotRun` only if the request can't have run in another attempt under its key either.
    fn checked_problem(
        program: &OwnedProgram,
        key: Option<NumberKey>,
        problem: Problem,
    ) -> Problem {
        let Some(key) = key.filter(|key| program.may_have_run(*key)) else {
            return problem;
        };

        if problem.outcome == RequestOutcome::NotRun {
            log::info!(
                program:% = program.id, number = key.number, kind:% = problem.kind;
                "a refused request may have run in another attempt"
            );
        }

        problem.without_not_run()
    }

    async fn run_operation(
        self: &Arc<Self>,
        program: &OwnedProgram,
        operation: ProgramOperation,
        events: &EventSender,
    ) -> Result<ProgramAnswer, Problem> {
        match operation {
            ProgramOperation::Call(call) => CallRunner::new(self, program).run(call).await,
            ProgramOperation::Create(create) => self.create(program, create).await,
            ProgramOperation::End => self.end(program).await,
            ProgramOperation::History => program.history(),
            ProgramOperation::Status => program.status().map(ProgramAnswer::Status),
            ProgramOperation::Turn(turn) => TurnRunner::new(self, program, events).run(turn).await,
        }
    }

    /// Refuses an operation that must be logged before it takes effect while the platform, which stores the log, is
    /// unavailable.
    pub(crate) fn require_platform(&self) -> Result<(), Problem> {
        if self.platform.is_available() {
            return Ok(());
        }

        let problem = Problem::not_run(
            ProblemKind::PlatformUnavailable,
            "this has to be logged first, and the platform is unavailable",
        );
        Err(problem.retry_after(PLATFORM_RETRY_AFTER_S))
    }

    async fn create(
        &self,
        program: &OwnedProgram,
        create: CreateRequest,
    ) -> Result<ProgramAnswer, Problem> {
        // A retry finds the program that an earlier attempt created.
        if program.read(|_| ()).is_ok() {
            return program.status().map(ProgramAnswer::Status);
        }

        self.require_platform()?;
        let terms = self.program_terms(program, &create)?;

        let ticket = program.owner.update(|state| {
            check_creation(state, &terms)?;
            Ok(vec![LogRecord::ProgramCreated { terms: terms.clone() }])
        })?;

        match program.owner.wait_durable(ticket, self.commit_timeout).await {
            CommitOutcome::Durable => {
                log::info!(program:% = program.id, team:% = program.team; "program created");
                program.status().map(ProgramAnswer::Status)
            }
            CommitOutcome::Deposed => Err(deposed_problem()),
            CommitOutcome::Pending => {
                let detail = "the program may have been created; it ends by itself if unused";
                let problem = Problem::unknown(ProblemKind::OutcomeUnknown, detail);
                Err(problem.retry_after(PLATFORM_RETRY_AFTER_S))
            }
        }
    }

    /// Builds the terms of a new program. Fails if its budget exceeds the limit of the team.
    fn program_terms(
        &self,
        program: &OwnedProgram,
        create: &CreateRequest,
    ) -> Result<ProgramTerms, Problem> {
        let config = self.config.state();
        let limit_tokens =
            config.document.teams.get(&program.team).map(|it| it.budget_limit_tokens);

        if limit_tokens.is_none_or(|limit_tokens| create.budget_tokens > limit_tokens) {
            let detail =
                format!("budget_tokens: the team's limit is {}", limit_tokens.unwrap_or(0));
            return Err(Problem::not_run(ProblemKind::LimitReached, detail));
        }

        Ok(ProgramTerms {
            id: program.id,
            team: program.team.clone(),
            model: create.model.clone(),
            budget_tokens: create.budget_tokens,
            first_chunk_tokens: config.document.limits.chunk_tokens,
            deadline_ms: create.deadline_ms,
            parent: create.parent,
            created_ms: steady_millis(),
        })
    }

    async fn end(&self, program: &OwnedProgram) -> Result<ProgramAnswer, Problem> {
        let reason = program.read(|it| it.end_reason)?;

        if reason.is_none() {
            let ticket = self.end_program(program, EndReason::Requested)?;

            match program.owner.wait_durable(ticket, self.commit_timeout).await {
                CommitOutcome::Durable => (),
                CommitOutcome::Deposed => return Err(deposed_problem()),
                CommitOutcome::Pending => {
                    let detail = "the end of the program is not logged yet";
                    let problem = Problem::unknown(ProblemKind::OutcomeUnknown, detail);
                    return Err(problem.retry_after(PLATFORM_RETRY_AFTER_S));
                }
            }
        }

        program.status().map(ProgramAnswer::Status)
    }

    /// Ends a program and its descendants, and has the cells release the cached prefixes of each. Records nothing if
    /// the program has ended already.
    pub(crate) fn end_program(
        &self,
        program: &OwnedProgram,
        reason: EndReason,
    ) -> Result<crate::CommitTicket, Problem> {
        let mut ended = Vec::new();

        let ticket = program.owner.update(|state| {
            if program.find(state)?.end_reason.is_some() {
                return Ok(Vec::new());
            }

            collect_open(state, program.id, &mut ended);
            let mut records = Self::running_spend_records(program, state, &ended);
            let at_ms = steady_millis();
            records.push(LogRecord::ProgramEnded { program: program.id, reason, at_ms });
            Ok(records)
        })?;

        log::info!(program:% = program.id, reason:% = reason; "program ended");

        for terms in ended {
            let age_ms = steady_millis().saturating_sub(terms.created_ms);
            self.metrics.record_program(Duration::from_millis(age_ms));
            let cells = Arc::clone(&self.cells);
            tokio::spawn(async move { cells.end_programs(&terms.model, vec![terms.id]).await });
        }

        Ok(ticket)
    }

    /// Builds records that count the remaining chunk of each program with a running request as spent, since the request
    /// may still use all of it. Only the rest of the budget returns to the parent.
    fn running_spend_records(
        program: &OwnedProgram,
        state: &ShardState,
        ended: &[ProgramTerms],
    ) -> Vec<LogRecord> {
        ended
            .iter()
            .filter(|terms| program.owner.is_running(terms.id))
            .filter_map(|terms| state.program(terms.id).ok())
            .map(|it| LogRecord::TokensSpent {
                program: it.terms.id,
                tokens: it.remaining_chunk_tokens(),
            })
            .collect()
    }
}

/// Problem of a request whose shard another host has claimed, so that its records never reach the log. The router
/// sends the request to the new owner under the same number, so that nothing runs twice.
pub(crate) fn deposed_problem() -> Problem {
    let detail = "the program has moved to another host; ask again under the same number";
    Problem::unknown(ProblemKind::OwnerUnreachable, detail).retry_after(1)
}

/// Collects the terms of a program and of all its open descendants.
fn collect_open(state: &ShardState, id: ProgramId, terms: &mut Vec<ProgramTerms>) {
    terms.extend(state.program(id).ok().map(|program| program.terms.clone()));

    for child in state.open_children(id) {
        collect_open(state, child, terms);
    }
}

/// Checks that the program doesn't exist yet, and that its parent is open, belongs to the same team and has enough
/// budget left.
fn check_creation(state: &ShardState, terms: &ProgramTerms) -> Result<(), Problem> {
    if state.programs.contains_key(&terms.id) {
        let detail = format!("program {} exists", terms.id);
        return Err(Problem::not_run(ProblemKind::BadRequest, detail));
    }

    let Some(parent_id) = terms.parent else {
        return Ok(());
    };

    let parent = state.program(parent_id).ok().filter(|it| it.terms.team == terms.team);

    let Some(parent) = parent else {
        let detail = format!("parent: team {} has no program {parent_id}", terms.team);
        return Err(Problem::not_run(ProblemKind::UnknownProgram, detail));
    };

    if parent.end_reason.is_some() {
        let detail = format!("parent: program {parent_id} has ended");
        return Err(Problem::not_run(ProblemKind::ProgramEnded, detail));
    }

    if terms.budget_tokens > parent.free_tokens() {
        let detail = format!("parent: {} tokens of its budget are free", parent.free_tokens());
        return Err(Problem::not_run(ProblemKind::BudgetExhausted, detail));
    }

    Ok(())
}
