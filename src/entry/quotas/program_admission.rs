//! Admits programs of teams with a quota, or refuses them at their first turn.

use std::sync::Arc;

use tokio::time::{Duration, Instant};

use crate::entry::quotas::{
    QuotaLimit, QuotaRefusal,
    program_registry::{ProgramRequest, ProgramStep},
    quota_gate::QuotaGate,
    quota_refusal::{RefusalCause, RefusedUse},
    start_account::start_account,
};

/// Longest time for which a request of a program in progress waits for a token.
const MAX_PATIENCE: Duration = Duration::from_millis(250);

/// Part of its remaining time for which a request waits at most: the rest of the program still has to run in it.
const PATIENCE_DIVISOR: u32 = 8;

/// Time for which a request of a program in progress waits for a token. `finish_by` is when the program should have
/// finished, and `deadline` when the request's client stops waiting.
pub(crate) fn patience(now: Instant, deadline: Instant, finish_by: Option<Instant>) -> Duration {
    let until = finish_by.map_or(deadline, |it| it.min(deadline));
    MAX_PATIENCE.min(until.saturating_duration_since(now) / PATIENCE_DIVISOR)
}

/// What a host would decide on the start of a program without a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct StartStanding {
    /// Tokens that the start takes.
    pub(crate) size: u32,
    /// Set if the start is refused because the owner has stated that there are none until later.
    pub(crate) retry_after: Option<Duration>,
}

/// Forgets a program whose client goes away before its start is decided.
struct StartGuard<'a> {
    gate: &'a QuotaGate,
    program: &'a str,
    is_decided: bool,
}

impl Drop for StartGuard<'_> {
    fn drop(&mut self) {
        if !self.is_decided {
            self.gate.state.lock().programs.cancel_start(self.program);
        }
    }
}

impl QuotaGate {
    /// Records a request of a program, and decides on the program if the request starts it. Waits for an owner like
    /// [`QuotaGate::acquire_within`].
    pub(crate) async fn admit(
        &self,
        team: &Arc<str>,
        limit: QuotaLimit,
        request: &ProgramRequest,
        deadline: Instant,
    ) -> Result<(), QuotaRefusal> {
        let now = Instant::now();
        let account = start_account(team);
        let size = {
            let mut state = self.state.lock();
            let bucket_part = state.reporter.bucket_part(now, team);
            match state.programs.begin(now, team, request, bucket_part) {
                ProgramStep::Starts { size } => size,
                ProgramStep::Continues { excess } => {
                    if excess > 0 {
                        state.reporter.charge(now, &account, limit, excess);
                    }
                    return Ok(());
                }
            }
        };

        let mut guard = StartGuard { gate: self, program: &request.program, is_decided: false };
        let result = self.acquire_tokens(&account, limit, size, deadline).await;

        match result {
            Ok(result) => log::info!(
                program:% = request.program, size, took_ms = now.elapsed().as_millis() as u64;
                "the quota holds the program ({result})"
            ),
            // Nothing is known of the quota, and the account of requests still limits the program.
            Err((RefusalCause::NoOwner, _)) => {
                self.state.lock().reporter.charge(now, &account, limit, size);
                log::info!(program:% = request.program, size; "no quota owner has answered, so the program is let in");
            }
            Err((cause, retry_after)) => {
                self.metrics.count_quota_decision(cause.as_start_str());
                return Err(self.refusal(&account, RefusedUse::Start { size }, cause, retry_after));
            }
        }

        guard.is_decided = true;
        let result = result.map_or_else(|(cause, _)| cause.as_start_str(), |_| "start_admitted");
        self.metrics.count_quota_decision(result);
        Ok(())
    }

    /// What [`QuotaGate::admit`] would decide on a request without asking an owner; `None` if it starts no program. Nothing
    /// changes.
    pub(crate) fn start_standing(
        &self,
        now: Instant,
        team: &Arc<str>,
        request: &ProgramRequest,
    ) -> Option<StartStanding> {
        let state = self.state.lock();
        let bucket_part = state.reporter.bucket_part(now, team);
        let size = state.programs.start_size(team, request, bucket_part)?;
        let retry_after = state.reporter.stated_retry(now, &start_account(team), size);
        Some(StartStanding { size, retry_after })
    }

    /// Records that a request of a program in progress was refused.
    pub(crate) fn record_program_refusal(&self, request: &ProgramRequest) {
        let mut state = self.state.lock();
        state.programs.record_refusal(&request.program, request.is_turn);
    }

    /// Returns what programs that have ended have not used.
    pub(super) fn return_unused_starts(&self, now: Instant) {
        let mut state = self.state.lock();
        for unused in state.programs.take_unused(now) {
            let account = start_account(&unused.team);
            state.reporter.give_back_tokens(&account, unused.tokens);
        }
    }
}
