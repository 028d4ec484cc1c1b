//! One attempt of a call: its place at an upstream of the service, and its exchange with it.

use std::time::Duration;

use bytes::Bytes;
use tokio::time::{Instant, timeout};

use crate::{
    CallRequest, CallRunner, CellPermit, CellReport, CellRequest, CellResult, Problem, ProblemKind,
    TokenUsage, UpstreamError, UpstreamName, UpstreamResponse,
    programs::call_runner::idempotency_key, upstreams::upstream_watcher::GRANT_LIFETIME,
};

impl CallRunner<'_> {
    /// Waits for an upstream of the service since `queued_ms`. A call takes no model tokens, so its prompt and answer
    /// count as one token each.
    pub(crate) async fn acquire(
        &self,
        call: &CallRequest,
        queued_ms: u64,
    ) -> Result<Box<dyn CellPermit>, Problem> {
        let config = self.service.config.state();
        let weight = config.document.teams.get(&self.program.team).map_or(1, |it| it.weight);

        let request = CellRequest {
            team: self.program.team.clone(),
            weight,
            program: self.program.id,
            number: call.number,
            attained_tokens: 0,
            prompt_tokens: 1,
            answer_tokens: 1,
            queued_ms,
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

    /// Returns the permit while its grant is recent. An older one is given back and the cell is asked again, since the
    /// upstream may have left by now; the request keeps its age in the queue. After a problem nothing has been sent.
    pub(crate) async fn renew_permit(
        &self,
        call: &CallRequest,
        queued_ms: u64,
        permit: Box<dyn CellPermit>,
        granted: Instant,
    ) -> Result<Box<dyn CellPermit>, Problem> {
        let age = granted.elapsed();

        if age <= GRANT_LIFETIME {
            return Ok(permit);
        }

        log::info!(
            program:% = self.program.id, number = call.number, upstream:% = permit.upstream(),
            millis = age.as_millis() as u64;
            "a call's place is too old to be used, and is asked for again"
        );

        permit.finish(CellReport::without_usage(CellResult::Lost)).await;
        // The call's intent is in the log, so the wait for its place is bounded as that for the log is.
        let renewal = timeout(self.service.commit_timeout, self.acquire(call, queued_ms));

        renewal.await.unwrap_or_else(|_| {
            let detail = "no place at the service was free in time, and the call was not sent";
            Err(Problem::not_run(ProblemKind::Overloaded, detail).retry_after(1))
        })
    }

    pub(crate) async fn send(
        &self,
        call: &CallRequest,
        permit: Box<dyn CellPermit>,
    ) -> Result<UpstreamResponse, UpstreamError> {
        let upstream = permit.upstream().clone();
        let exchange = self.send_to(call, &upstream);
        let result = self.program.track_attempt(call.number, exchange).await;

        let cell_result = match &result {
            Ok(_) => CellResult::Completed,
            Err(error) => error.cell_result(),
        };

        let usage = TokenUsage { prompt: 1, cached: 0, completion: 1 };
        permit.finish(CellReport { result: cell_result, usage, decode_us: 0 }).await;
        result
    }

    async fn send_to(
        &self,
        call: &CallRequest,
        upstream: &UpstreamName,
    ) -> Result<UpstreamResponse, UpstreamError> {
        let config = self.service.config.state();

        let Some(terms) = config.document.upstreams.get(upstream) else {
            let reason = format!("upstream {upstream} is not in the configuration here");
            return Err(UpstreamError::NotSent { reason });
        };

        let body = Bytes::copy_from_slice(call.body.as_bytes());
        let key = idempotency_key(self.program.id, call.number);
        let timeout = Duration::from_millis(config.document.limits.call_timeout_ms);
        self.service.upstreams.call(&terms.url, &call.path, body, &key, timeout).await
    }
}
