//! A call to a plain service on its owner. One that may not be repeated is sent at most once, whatever fails; see
//! docs/design/programs.md.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use serde::Deserialize;
use xxhash_rust::xxh3::Xxh3;

use crate::{
    CallAnswer, CallRecord, CallRequest, CallState, CellPermit, CellReport, CellRequest,
    CellResult, CommitOutcome, LogRecord, ModelKind, ModelName, OwnedProgram, Problem, ProblemKind,
    ProgramAnswer, ProgramEntry, ProgramId, ProgramService, SlotAdmission, TokenUsage,
    UpstreamError, UpstreamName, UpstreamReply,
    basics::unix_clock::unix_millis,
    programs::program_service::{PLATFORM_RETRY_S, deposed},
};

/// Tries of a repeatable call, the first included.
const ATTEMPT_LIMIT: u32 = 3;

/// Times the patience for the log that the result of a call waits, since there are no receipts for calls.
const RESULT_PATIENCE: u32 = 5;

/// Runs one call.
#[derive(Debug)]
pub(crate) struct CallRunner<'a> {
    service: &'a Arc<ProgramService>,
    program: &'a OwnedProgram,
}

/// What a service says about an idempotency key.
#[derive(Debug, Deserialize)]
struct CallStatus {
    ran: bool,
    #[serde(default)]
    answer: serde_json::Value,
}

impl CallRequest {
    pub(crate) fn fingerprint(&self) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.update(self.service.as_str().as_bytes());
        hasher.update(self.path.as_bytes());
        hasher.update(self.body.as_bytes());
        hasher.digest()
    }
}

/// Idempotency key of a call: the same for ever, on whatever host.
pub(crate) fn call_key(program: ProgramId, number: u32) -> String {
    format!("{program}-{number}")
}

impl<'a> CallRunner<'a> {
    pub(crate) fn new(service: &'a Arc<ProgramService>, program: &'a OwnedProgram) -> Self {
        Self { service, program }
    }

    pub(crate) async fn run(self, call: CallRequest) -> Result<ProgramAnswer, Problem> {
        let fingerprint = call.fingerprint();

        match self.program.admit(call.number, fingerprint).await? {
            SlotAdmission::Answered(answer) => Ok(answer),
            SlotAdmission::Settled(entry) => self.replay(call.number, entry).await,
            SlotAdmission::Run(guard) => {
                let result = self.run_entered(&call, fingerprint).await;
                let answer = result.unwrap_or_else(ProgramAnswer::Problem);
                guard.finish(&answer);
                Ok(answer)
            }
        }
    }

    /// Finds out about a call whose owner died between its intent and its result.
    pub(crate) async fn recover(self, number: u32) -> Result<(), Problem> {
        let entry = self.program.read(|program| program.entry(number).cloned())?;

        if let Some(ProgramEntry::Call(call)) = entry
            && call.state == CallState::Intended
        {
            let state = self.query(&call.service, number).await;
            self.settle(number, state)?;
        }

        Ok(())
    }

    async fn replay(&self, number: u32, entry: ProgramEntry) -> Result<ProgramAnswer, Problem> {
        let ProgramEntry::Call(call) = entry else {
            let detail = format!("number {number} is a turn");
            return Err(Problem::failed(ProblemKind::NumberMismatch, detail));
        };

        let state = match call.state {
            CallState::Unknown => self.query(&call.service, number).await,
            state => state,
        };

        self.answer(number, state).await
    }

    async fn run_entered(
        &self,
        call: &CallRequest,
        fingerprint: u64,
    ) -> Result<ProgramAnswer, Problem> {
        self.check(call)?;

        let record = CallRecord {
            service: call.service.clone(),
            fingerprint,
            is_repeatable: call.is_repeatable,
            state: CallState::Intended,
            at_ms: unix_millis(),
        };

        match call.is_repeatable {
            true => self.run_repeatable(call, record).await,
            false => self.run_once(call, record).await,
        }
    }

    fn check(&self, call: &CallRequest) -> Result<(), Problem> {
        let config = self.service.config.document();
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

    /// Sends until there is an answer, and logs the intent together with it.
    async fn run_repeatable(
        &self,
        call: &CallRequest,
        record: CallRecord,
    ) -> Result<ProgramAnswer, Problem> {
        let mut attempt = 1;

        let reply = loop {
            let permit = self.acquire(call).await?;

            match self.send(call, permit).await {
                Ok(reply) => break reply,
                Err(error) if attempt >= ATTEMPT_LIMIT => {
                    let problem = Problem::failed(ProblemKind::UpstreamFailed, error.to_string());
                    return Err(problem.retry_after(1));
                }
                Err(_) => attempt += 1,
            }
        };

        let state = CallState::Finished { status: reply.status, body: reply.body };

        let ticket = self.program.owner.update(|state_now| {
            self.check_open(state_now)?;
            Ok(vec![self.intent(call.number, record), self.settlement(call.number, state.clone())])
        })?;

        self.answer_after(ticket, call.number, state).await
    }

    /// Logs the intent, then sends once, then logs the result. An intent without a result stays unknown.
    async fn run_once(
        &self,
        call: &CallRequest,
        record: CallRecord,
    ) -> Result<ProgramAnswer, Problem> {
        self.service.require_platform()?;
        let permit = self.acquire(call).await?;

        let ticket = self.program.owner.update(|state| {
            self.check_open(state)?;
            Ok(vec![self.intent(call.number, record)])
        })?;

        match self.program.owner.wait(ticket, self.service.commit_timeout).await {
            CommitOutcome::Durable => (),
            CommitOutcome::Pending => {
                self.withdraw(call.number)?;
                let detail = "the call's intent could not be logged, and it was not sent";
                let problem = Problem::not_run(ProblemKind::PlatformUnavailable, detail);
                return Err(problem.retry_after(PLATFORM_RETRY_S));
            }
            CommitOutcome::Deposed => return Err(deposed()),
        }

        let state = match self.send(call, permit).await {
            Ok(reply) => CallState::Finished { status: reply.status, body: reply.body },
            Err(UpstreamError::NotSent { reason }) => {
                self.withdraw(call.number)?;
                let problem = Problem::not_run(ProblemKind::UpstreamFailed, reason);
                return Err(problem.retry_after(1));
            }
            Err(error) => {
                log::warn!(
                    program:% = self.program.id, number = call.number;
                    "a call has no answer: {error}"
                );
                self.query(&call.service, call.number).await
            }
        };

        let ticket = self.settle(call.number, state.clone())?;
        self.answer_after(ticket, call.number, state).await
    }

    fn check_open(&self, state: &crate::ShardState) -> Result<(), Problem> {
        match self.program.find(state)?.end_reason {
            None => Ok(()),
            Some(reason) => {
                let detail = format!("the program ended: {reason}");
                Err(Problem::failed(ProblemKind::ProgramEnded, detail))
            }
        }
    }

    fn intent(&self, number: u32, call: CallRecord) -> LogRecord {
        LogRecord::CallIntended { program: self.program.id, number, call }
    }

    fn settlement(&self, number: u32, state: CallState) -> LogRecord {
        LogRecord::CallSettled { program: self.program.id, number, state, at_ms: unix_millis() }
    }

    fn settle(&self, number: u32, state: CallState) -> Result<crate::CommitTicket, Problem> {
        self.program.owner.update(|shard| {
            let entry = self.program.find(shard)?.entry(number);
            let is_open = entry.is_some_and(|entry| !entry.is_settled());
            Ok(if is_open { vec![self.settlement(number, state)] } else { Vec::new() })
        })
    }

    fn withdraw(&self, number: u32) -> Result<(), Problem> {
        let record = LogRecord::CallWithdrawn { program: self.program.id, number };
        self.program.owner.update(|_| Ok(vec![record])).map(|_| ())
    }

    async fn acquire(&self, call: &CallRequest) -> Result<Box<dyn CellPermit>, Problem> {
        let config = self.service.config.document();
        let weight = config.document.teams.get(&self.program.team).map_or(1, |it| it.weight);

        let request = CellRequest {
            team: self.program.team.clone(),
            weight,
            program: self.program.id,
            number: call.number,
            attained_tokens: 0,
            prompt_tokens: 1,
            answer_tokens: 1,
            queued_ms: unix_millis(),
            deadline_ms: self.program.read(|program| program.terms.deadline_ms)?,
            fingerprint: call.fingerprint(),
            excluded: Vec::new(),
        };

        self.service.cells.acquire(&call.service, request).await.map_err(|refusal| {
            let detail = format!("the cell declined the call: {}", refusal.reason);
            let seconds = refusal.retry_after_ms.div_ceil(1_000).max(1);
            Problem::not_run(ProblemKind::Overloaded, detail).retry_after(seconds)
        })
    }

    async fn send(
        &self,
        call: &CallRequest,
        permit: Box<dyn CellPermit>,
    ) -> Result<UpstreamReply, UpstreamError> {
        let upstream = permit.upstream().clone();
        let result = self.send_to(call, &upstream).await;

        let cell_result = match &result {
            Ok(_) => CellResult::Completed,
            Err(error) => error.result(),
        };

        let usage = TokenUsage { prompt: 1, cached: 0, completion: 1 };
        permit.finish(CellReport { result: cell_result, usage, decode_us: 0 }).await;
        result
    }

    async fn send_to(
        &self,
        call: &CallRequest,
        upstream: &UpstreamName,
    ) -> Result<UpstreamReply, UpstreamError> {
        let config = self.service.config.document();

        let Some(terms) = config.document.upstreams.get(upstream) else {
            let reason = format!("upstream {upstream} is not in the configuration here");
            return Err(UpstreamError::NotSent { reason });
        };

        let body = Bytes::copy_from_slice(call.body.as_bytes());
        let key = call_key(self.program.id, call.number);
        let limit = Duration::from_millis(config.document.limits.call_timeout_ms);
        self.service.upstreams.call(&terms.url, &call.path, body, &key, limit).await
    }

    /// Asks the service whether a call ran. Only a yes settles it: a no may be overtaken by the call itself.
    async fn query(&self, service: &ModelName, number: u32) -> CallState {
        let config = self.service.config.document();
        let terms = config.document.models.get(service);

        let Some(path) = terms.and_then(|terms| terms.status_path.as_ref()) else {
            return CallState::Unknown;
        };

        let path = path.replace("{key}", &call_key(self.program.id, number));

        for upstream in config.document.upstreams.values().filter(|it| it.model == *service) {
            let Ok(reply) = self.service.upstreams.read(&upstream.url, &path).await else {
                continue;
            };

            if let Ok(CallStatus { ran: true, answer }) = serde_json::from_str(&reply.body) {
                return CallState::Finished { status: 200, body: answer.to_string().into() };
            }
        }

        CallState::Unknown
    }

    async fn answer_after(
        &self,
        ticket: crate::CommitTicket,
        number: u32,
        state: CallState,
    ) -> Result<ProgramAnswer, Problem> {
        let patience = self.service.commit_timeout * RESULT_PATIENCE;

        if self.program.owner.wait(ticket, patience).await != CommitOutcome::Durable {
            let detail = "the call was sent, and its result is not logged yet; ask again";
            let problem = Problem::unknown(ProblemKind::OutcomeUnknown, detail);
            return Err(problem.retry_after(PLATFORM_RETRY_S));
        }

        Self::answer_state(number, state)
    }

    async fn answer(&self, number: u32, state: CallState) -> Result<ProgramAnswer, Problem> {
        let ticket = self.program.owner.update(|_| Ok(Vec::new()))?;
        self.answer_after(ticket, number, state).await
    }

    fn answer_state(number: u32, state: CallState) -> Result<ProgramAnswer, Problem> {
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
