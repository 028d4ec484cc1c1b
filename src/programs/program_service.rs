//! What the owner of a program does for it: creation, status, history and end here; turns in `turn_runner.rs` and
//! calls in `call_runner.rs`.

use std::{sync::Arc, time::Duration};

use tokio::{sync::mpsc, time::Instant};

use crate::{
    CallRunner, CellGateway, CommitOutcome, ConfigStore, CreateRequest, EndReason, LogRecord,
    NodeMetrics, OwnerConfirmation, OwnerWitnesses, PlatformClient, Problem, ProblemKind, Program,
    ProgramAnswer, ProgramEvent, ProgramHistory, ProgramId, ProgramOperation, ProgramRequest,
    ProgramStatus, ProgramTerms, ReceiptSealer, RequestOutcome, RetryBudget, ShardOwner,
    ShardState, ShardTable, TeamName, TurnRunner, UpstreamClient, basics::unix_clock::unix_millis,
};

/// Events of one answer. Their number is bounded, so a slow reader does not grow memory.
pub(crate) type EventSender = mpsc::Sender<ProgramEvent>;

/// Seconds after which a caller may come back where the platform is unavailable.
pub(crate) const PLATFORM_RETRY_S: u64 = 2;

/// Everything that serving programs needs.
#[derive(Debug)]
pub(crate) struct ProgramService {
    pub(crate) shards: Arc<ShardTable>,
    pub(crate) config: Arc<ConfigStore>,
    pub(crate) cells: Arc<dyn CellGateway>,
    pub(crate) upstreams: Arc<dyn UpstreamClient>,
    pub(crate) platform: Arc<dyn PlatformClient>,
    pub(crate) witnesses: Arc<dyn OwnerWitnesses>,
    pub(crate) sealer: ReceiptSealer,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) metrics: Arc<NodeMetrics>,
    /// Time that an answer waits for the log before it is given with a receipt.
    pub(crate) commit_timeout: Duration,
}

/// A program that a request may use, with its owner.
#[derive(Clone, Debug)]
pub(crate) struct OwnedProgram {
    pub(crate) owner: Arc<ShardOwner>,
    pub(crate) id: ProgramId,
    pub(crate) team: TeamName,
}

impl OwnedProgram {
    /// Reads the program, which has to be the team's. Another team's program is unknown to a caller.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&Program) -> T) -> Result<T, Problem> {
        self.owner.read(|state| Ok(read(self.find(state)?)))
    }

    pub(crate) fn find<'a>(&self, state: &'a ShardState) -> Result<&'a Program, Problem> {
        match state.program(self.id) {
            Ok(program) if program.terms.team == self.team => Ok(program),
            _ => Err(Problem::not_run(
                ProblemKind::UnknownProgram,
                format!("team {} has no program {}", self.team, self.id),
            )),
        }
    }

    fn history(&self) -> Result<ProgramAnswer, Problem> {
        let entries = self.read(|it| it.entries.clone())?;
        Ok(ProgramHistory { program: self.id, entries }.into())
    }

    fn status(&self) -> Result<ProgramStatus, Problem> {
        let is_durable = self.owner.is_settled();

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
    /// Serves a request, and ends its events with an answer. It goes on when the caller goes away.
    pub(crate) async fn serve(self: Arc<Self>, request: ProgramRequest, events: EventSender) {
        let owner = self.shards.owner(request.program.shard);

        let Some(owner) = owner.filter(|owner| !owner.is_leaving()) else {
            let _ = events.send(ProgramEvent::NotOwner).await;
            return;
        };

        let arrived = Instant::now();
        let program = OwnedProgram { owner, id: request.program, team: request.team };
        let result = self.dispatch(&program, request.operation, &events).await;
        program.owner.release_slot(program.id);

        let answer = match result {
            Ok(answer) => self.confirmed_answer(&program, arrived, answer).await,
            Err(problem) => self.confirmed_problem(&program, arrived, problem).await.into(),
        };

        let _ = events.send(ProgramEvent::Answer(answer)).await;
    }

    /// A state that may be behind the log must not be shown as the last word.
    async fn confirmed_answer(
        &self,
        program: &OwnedProgram,
        arrived: Instant,
        answer: ProgramAnswer,
    ) -> ProgramAnswer {
        if !matches!(answer, ProgramAnswer::Status(_) | ProgramAnswer::History(_)) {
            return answer;
        }

        match program.owner.confirm(arrived).await {
            OwnerConfirmation::Deposed => deposed().into(),
            OwnerConfirmation::Confirmed | OwnerConfirmation::Unconfirmed => answer,
        }
    }

    /// Only an owner may say that something did not run, and only after it has made sure that it is one. While the
    /// platform is unavailable the other hosts are asked; where one of them does not answer, nobody can tell.
    async fn confirmed_problem(
        &self,
        program: &OwnedProgram,
        arrived: Instant,
        problem: Problem,
    ) -> Problem {
        if problem.outcome != RequestOutcome::NotRun {
            return problem;
        }

        match program.owner.confirm(arrived).await {
            OwnerConfirmation::Confirmed => problem,
            OwnerConfirmation::Deposed => deposed(),
            OwnerConfirmation::Unconfirmed => {
                if self.witnesses.is_sole_owner(program.id.shard).await {
                    return problem;
                }

                let retry_after_s = problem.retry_after_s.or(Some(PLATFORM_RETRY_S));
                Problem { outcome: RequestOutcome::Unknown, retry_after_s, ..problem }
            }
        }
    }

    async fn dispatch(
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

    /// Refuses what has to be logged before it is done, while that can't be.
    pub(crate) fn require_platform(&self) -> Result<(), Problem> {
        if self.platform.is_available() {
            return Ok(());
        }

        let problem = Problem::not_run(
            ProblemKind::PlatformUnavailable,
            "this has to be logged first, and the platform is unavailable",
        );
        Err(problem.retry_after(PLATFORM_RETRY_S))
    }

    async fn create(
        &self,
        program: &OwnedProgram,
        create: CreateRequest,
    ) -> Result<ProgramAnswer, Problem> {
        if program.read(|_| ()).is_ok() {
            return program.status().map(ProgramAnswer::Status);
        }

        self.require_platform()?;
        let terms = self.terms(program, &create)?;

        let ticket = program.owner.update(|state| {
            check_parent(state, &terms)?;
            Ok(vec![LogRecord::ProgramCreated { terms: terms.clone() }])
        })?;

        match program.owner.wait(ticket, self.commit_timeout).await {
            CommitOutcome::Durable => {
                log::info!(program:% = program.id, team:% = program.team; "program created");
                program.status().map(ProgramAnswer::Status)
            }
            CommitOutcome::Deposed => Err(deposed()),
            CommitOutcome::Pending => {
                let detail = "the program may have been created; it ends by itself if unused";
                let problem = Problem::unknown(ProblemKind::OutcomeUnknown, detail);
                Err(problem.retry_after(PLATFORM_RETRY_S))
            }
        }
    }

    fn terms(
        &self,
        program: &OwnedProgram,
        create: &CreateRequest,
    ) -> Result<ProgramTerms, Problem> {
        let config = self.config.document();
        let limit = config.document.teams.get(&program.team).map(|it| it.budget_limit_tokens);

        if limit.is_none_or(|limit| create.budget_tokens > limit) {
            let detail = format!("budget_tokens: the team's limit is {}", limit.unwrap_or(0));
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
            created_ms: unix_millis(),
        })
    }

    async fn end(&self, program: &OwnedProgram) -> Result<ProgramAnswer, Problem> {
        let reason = program.read(|it| it.end_reason)?;

        if reason.is_none() {
            let ticket = self.end_program(program, EndReason::Requested)?;

            match program.owner.wait(ticket, self.commit_timeout).await {
                CommitOutcome::Durable => (),
                CommitOutcome::Deposed => return Err(deposed()),
                CommitOutcome::Pending => {
                    let detail = "the end of the program is not logged yet";
                    let problem = Problem::unknown(ProblemKind::OutcomeUnknown, detail);
                    return Err(problem.retry_after(PLATFORM_RETRY_S));
                }
            }
        }

        program.status().map(ProgramAnswer::Status)
    }

    /// Ends a program with its children, and tells the cells to release what they hold.
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

            collect_living(state, program.id, &mut ended);
            let mut records = Self::unsettled(program, state, &ended);
            let at_ms = unix_millis();
            records.push(LogRecord::ProgramEnded { program: program.id, reason, at_ms });
            Ok(records)
        })?;

        log::info!(program:% = program.id, reason:% = reason; "program ended");

        for terms in ended {
            let age_ms = unix_millis().saturating_sub(terms.created_ms);
            self.metrics.record_program(Duration::from_millis(age_ms));
            let cells = Arc::clone(&self.cells);
            tokio::spawn(async move { cells.end_programs(&terms.model, vec![terms.id]).await });
        }

        Ok(ticket)
    }

    /// What runs may spend its chunk to the end, so the chunk counts as spent before the rest of the budget goes back.
    fn unsettled(
        program: &OwnedProgram,
        state: &ShardState,
        ended: &[ProgramTerms],
    ) -> Vec<LogRecord> {
        ended
            .iter()
            .filter(|terms| program.owner.is_running(terms.id))
            .filter_map(|terms| state.program(terms.id).ok())
            .map(|it| LogRecord::TokensSpent { program: it.terms.id, tokens: it.chunk_tokens() })
            .collect()
    }
}

/// The shard has another owner, and what was taken in here is not in the log. The entry host asks that owner, under the
/// same number, so nothing happens twice.
pub(crate) fn deposed() -> Problem {
    let detail = "the program has moved to another host; ask again under the same number";
    Problem::unknown(ProblemKind::OwnerUnreachable, detail).retry_after(1)
}

/// Collects the terms of a program and of all its living descendants.
fn collect_living(state: &ShardState, id: ProgramId, found: &mut Vec<ProgramTerms>) {
    found.extend(state.program(id).ok().map(|program| program.terms.clone()));

    for child in state.open_children(id) {
        collect_living(state, child, found);
    }
}

fn check_parent(state: &ShardState, terms: &ProgramTerms) -> Result<(), Problem> {
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
