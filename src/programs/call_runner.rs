//! Runs calls to plain services on the owner of the program. A call that isn't repeatable is sent at most once,
//! whatever fails; see docs/design/programs.md.

use std::sync::Arc;

use serde::Deserialize;
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

use crate::{
    CallAnswer, CallRecord, CallRequest, CallState, CommitOutcome, LogRecord, ModelKind, ModelName,
    OwnedProgram, Problem, ProblemKind, ProgramAnswer, ProgramEntry, ProgramId, ProgramService,
    SlotAdmission, UpstreamError,
    basics::steady_clock::steady_millis,
    programs::program_service::{PLATFORM_RETRY_AFTER_S, deposed_problem},
};

/// Attempts of a repeatable call, including the first.
const ATTEMPT_LIMIT: u32 = 3;

/// How many commit timeouts the answer to a call waits for its result to be logged. A turn is answered with a receipt
/// after one; calls have no receipts.
const RESULT_TIMEOUT_FACTOR: u32 = 5;

/// Runs one call of a program.
#[derive(Debug)]
pub(crate) struct CallRunner<'a> {
    pub(crate) service: &'a Arc<ProgramService>,
    pub(crate) program: &'a OwnedProgram,
}

/// Reply of a service's status path for an idempotency key.
#[derive(Debug, Deserialize)]
struct CallStatus {
    ran: bool,
    #[serde(default)]
    answer: serde_json::Value,
}

impl CallRequest {
    /// Hash that tells a repeat of the call from another request under the same number.
    pub(crate) fn fingerprint(&self) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.update(self.service.as_str().as_bytes());
        hasher.update(self.path.as_bytes());
        hasher.update(self.body.as_bytes());
        hasher.digest()
    }
}

/// Idempotency key of a call. Every host derives the same key from the program and the number.
pub(crate) fn idempotency_key(program: ProgramId, number: u32) -> String {
    format!("{program}-{number}")
}

impl<'a> CallRunner<'a> {
    pub(crate) fn new(service: &'a Arc<ProgramService>, program: &'a OwnedProgram) -> Self {
        Self { service, program }
    }

    /// Runs the call, or returns the result it already has.
    pub(crate) async fn run(self, call: CallRequest) -> Result<ProgramAnswer, Problem> {
        let fingerprint = call.fingerprint();

        match self.program.admit(call.number, fingerprint).await? {
            SlotAdmission::Answered(answer) => Ok(answer),
            SlotAdmission::Settled(entry) => self.replay(call.number, entry).await,
            SlotAdmission::Run(guard) => {
                let result = self.run_admitted(&call, fingerprint).await;
                let answer = result.unwrap_or_else(ProgramAnswer::Problem);
                guard.finish(&answer);
                Ok(answer)
            }
        }
    }

    /// Settles a call whose intent a previous owner logged before it died, without logging a result.
    pub(crate) async fn recover(self, number: u32) -> Result<(), Problem> {
        let entry = self.program.read(|program| program.entry(number).cloned())?;

        if let Some(ProgramEntry::Call(call)) = entry
            && call.state == CallState::Intended
        {
            let state = self.query_result(&call.service, number).await;
            self.settle(number, state)?;
            self.program.owner.slot(self.program.id).wake_waiters();
        }

        Ok(())
    }

    /// Answers a call whose entry is settled. If its outcome is unknown, the service is asked again, since it may
    /// have the result by now.
    async fn replay(&self, number: u32, entry: ProgramEntry) -> Result<ProgramAnswer, Problem> {
        let ProgramEntry::Call(call) = entry else {
            let detail = format!("number {number} is a turn");
            return Err(Problem::failed(ProblemKind::NumberMismatch, detail));
        };

        let state = match call.state {
            CallState::Unknown => self.query_result(&call.service, number).await,
            state => state,
        };

        self.answer_when_all_durable(number, state).await
    }

    async fn run_admitted(
        &self,
        call: &CallRequest,
        fingerprint: u64,
    ) -> Result<ProgramAnswer, Problem> {
        self.check_call(call)?;

        let record = CallRecord {
            service: call.service.clone(),
            fingerprint,
            is_repeatable: call.is_repeatable,
            state: CallState::Intended,
            at_ms: steady_millis(),
        };

        match call.is_repeatable {
            true => self.run_repeatable(call, record).await,
            false => self.run_once(call, record).await,
        }
    }

    fn check_call(&self, call: &CallRequest) -> Result<(), Problem> {
        let config = self.service.config.state();
        let terms = config.document.models.get(&call.service);

        if terms.is_none_or(|terms| terms.kind != ModelKind::Service) {
            let detail = format!("there is no service {}", call.service);
            return Err(Problem::not_run(ProblemKind::UnknownModel, detail));
        }

        let limit = config.document.limits.turns;

        if call.number > limit {
            let detail = format!("a program has at most {limit} turns and calls");
            return Err(Problem::not_run(ProblemKind::LimitReached, detail));
        }

        Ok(())
    }

    /// Sends the call until there is an answer, then logs the intent and the result together.
    async fn run_repeatable(
        &self,
        call: &CallRequest,
        record: CallRecord,
    ) -> Result<ProgramAnswer, Problem> {
        let mut attempt = 1;

        let response = loop {
            let permit = self.acquire(call, steady_millis()).await?;

            match self.send(call, permit).await {
                Ok(response) => break response,
                Err(error) if attempt >= ATTEMPT_LIMIT => {
                    let problem = Problem::failed(ProblemKind::UpstreamFailed, error.to_string());
                    return Err(problem.retry_after(1));
                }
                Err(_) => attempt += 1,
            }
        };

        let state = CallState::Finished { status: response.status, body: response.body };

        let ticket = self.program.owner.update(|shard_state| {
            self.check_open(shard_state)?;
            Ok(vec![
                self.intended_record(call.number, record),
                self.settled_record(call.number, state.clone()),
            ])
        })?;

        self.answer_when_durable(ticket, call.number, state).await
    }

    /// Logs the intent, sends the call once, then logs the result. Without a result the outcome stays unknown, and
    /// the call is not sent again. A place that became too old while the intent was logged is not used.
    async fn run_once(
        &self,
        call: &CallRequest,
        record: CallRecord,
    ) -> Result<ProgramAnswer, Problem> {
        self.service.require_platform()?;
        let queued_ms = record.at_ms;
        let permit = self.acquire(call, queued_ms).await?;
        let granted = Instant::now();

        let ticket = self.program.owner.update(|shard_state| {
            self.check_open(shard_state)?;
            Ok(vec![self.intended_record(call.number, record)])
        })?;

        match self.program.owner.wait_durable(ticket, self.service.commit_timeout).await {
            CommitOutcome::Durable => (),
            CommitOutcome::Pending => {
                self.withdraw_intent(call.number)?;
                let detail = "the call's intent could not be logged, and it was not sent";
                let problem = Problem::not_run(ProblemKind::PlatformUnavailable, detail);
                return Err(problem.retry_after(PLATFORM_RETRY_AFTER_S));
            }
            CommitOutcome::Deposed => return Err(deposed_problem()),
        }

        let permit = match self.renew_permit(call, queued_ms, permit, granted).await {
            Ok(permit) => permit,
            Err(problem) => return Err(self.settle_unsent(call.number, problem).await?),
        };

        let state = match self.send(call, permit).await {
            Ok(response) => CallState::Finished { status: response.status, body: response.body },
            Err(UpstreamError::NotSent { reason }) => {
                let problem = Problem::not_run(ProblemKind::UpstreamFailed, reason).retry_after(1);
                return Err(self.settle_unsent(call.number, problem).await?);
            }
            Err(error) => {
                log::warn!(
                    program:% = self.program.id, number = call.number;
                    "the service gave no answer to a call: {error}"
                );
                self.query_result(&call.service, call.number).await
            }
        };

        let ticket = self.settle(call.number, state.clone())?;
        self.answer_when_durable(ticket, call.number, state).await
    }

    fn check_open(&self, shard_state: &crate::ShardState) -> Result<(), Problem> {
        match self.program.find(shard_state)?.end_reason {
            None => Ok(()),
            Some(reason) => {
                let detail = format!("the program ended: {reason}");
                Err(Problem::failed(ProblemKind::ProgramEnded, detail))
            }
        }
    }

    fn intended_record(&self, number: u32, call: CallRecord) -> LogRecord {
        LogRecord::CallIntended { program: self.program.id, number, call }
    }

    fn settled_record(&self, number: u32, state: CallState) -> LogRecord {
        LogRecord::CallSettled { program: self.program.id, number, state, at_ms: steady_millis() }
    }

    /// Logs the final state of a call, unless it has one already.
    fn settle(&self, number: u32, state: CallState) -> Result<crate::CommitTicket, Problem> {
        self.program.owner.update(|shard_state| {
            let entry = self.program.find(shard_state)?.entry(number);
            let is_open = entry.is_some_and(|entry| !entry.is_settled());
            Ok(if is_open { vec![self.settled_record(number, state)] } else { Vec::new() })
        })
    }

    /// Logs that an intended call was not sent, which frees its number.
    fn withdraw_intent(&self, number: u32) -> Result<crate::CommitTicket, Problem> {
        let record = LogRecord::CallWithdrawn { program: self.program.id, number };
        self.program.owner.update(|_| Ok(vec![record]))
    }

    /// Returns the problem of a call that was not sent once the log has it that the call did not run. Before, a next
    /// owner would find the intent, and the caller could not use the number again.
    async fn settle_unsent(&self, number: u32, problem: Problem) -> Result<Problem, Problem> {
        let ticket = self.withdraw_intent(number)?;

        match self.program.owner.wait_durable(ticket, self.service.commit_timeout).await {
            CommitOutcome::Durable => (),
            CommitOutcome::Pending => log::warn!(
                program:% = self.program.id, number;
                "it is not logged yet that a call was not sent"
            ),
            CommitOutcome::Deposed => return Err(deposed_problem()),
        }

        Ok(problem)
    }

    /// Asks the upstreams of the service whether a call ran. Only a positive response is conclusive: after a negative
    /// one, the request may still arrive and run, so the outcome remains unknown.
    async fn query_result(&self, service: &ModelName, number: u32) -> CallState {
        let config = self.service.config.state();
        let terms = config.document.models.get(service);

        let Some(path) = terms.and_then(|terms| terms.status_path.as_ref()) else {
            return CallState::Unknown;
        };

        let path = path.replace("{key}", &idempotency_key(self.program.id, number));

        for upstream in config.document.upstreams.values().filter(|it| it.model == *service) {
            let Ok(response) = self.service.upstreams.read(&upstream.url, &path).await else {
                continue;
            };

            if let Ok(CallStatus { ran: true, answer }) = serde_json::from_str(&response.body) {
                return CallState::Finished { status: 200, body: answer.to_string().into() };
            }
        }

        CallState::Unknown
    }

    /// Answers a call once the records of the ticket are in the log.
    async fn answer_when_durable(
        &self,
        ticket: crate::CommitTicket,
        number: u32,
        state: CallState,
    ) -> Result<ProgramAnswer, Problem> {
        let timeout = self.service.commit_timeout * RESULT_TIMEOUT_FACTOR;

        if self.program.owner.wait_durable(ticket, timeout).await != CommitOutcome::Durable {
            let detail = "the call was sent, and its result is not logged yet; ask again";
            let problem = Problem::unknown(ProblemKind::OutcomeUnknown, detail);
            return Err(problem.retry_after(PLATFORM_RETRY_AFTER_S));
        }

        Self::state_answer(number, state)
    }

    /// Answers a call once everything that has been submitted so far is in the log, which includes its result.
    async fn answer_when_all_durable(
        &self,
        number: u32,
        state: CallState,
    ) -> Result<ProgramAnswer, Problem> {
        let ticket = self.program.owner.update(|_| Ok(Vec::new()))?;
        self.answer_when_durable(ticket, number, state).await
    }

    fn state_answer(number: u32, state: CallState) -> Result<ProgramAnswer, Problem> {
        match state {
            CallState::Finished { status, body } => Ok(CallAnswer { status, body }.into()),
            CallState::Intended | CallState::Unknown => {
                let detail =
                    format!("it is not known whether call {number} ran; it is not sent again");
                Err(Problem::unknown(ProblemKind::OutcomeUnknown, detail))
            }
        }
    }
}
