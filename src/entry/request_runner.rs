//! Sends a request to upstreams until one has answered it, as often as its kind, its route and its time allow.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use hyper::StatusCode;
use parking_lot::Mutex;
use tokio::{
    sync::mpsc,
    time::{Duration, Instant, timeout_at},
};

use crate::{
    CrashLedger,
    entry::{
        ChannelError, EntryRefusal, EntryRequest, EntryResponse, PlacementPool, RelayedBody,
        RelayedResponse, RequestKind, ServiceConfig, ServiceRoute, UpstreamChannel,
        UpstreamRequest, UpstreamResponse,
        entry_metrics::EntryMetrics,
        entry_response::STREAM_DEPTH,
        event_framer::EventFramer,
        placement_request::{PlacementRefusal, PlacementRequest},
        pooled_upstream::UpstreamVerdict,
        stream_relay::{StreamRelay, StreamSource},
        turn_budget::TurnBudget,
        turn_history::TurnHistory,
        turn_journal::TurnJournal,
        upstream_lease::UpstreamLease,
    },
};

/// Upstreams that may refuse a request without running it before it is refused here.
const NOT_RUN_LIMIT: u32 = 4;

/// Objectives that an idempotent request waits for a silent upstream before it is sent to another one.
const SILENCE_OBJECTIVES: u32 = 4;

/// Largest whole answer, in bytes.
const ANSWER_LIMIT_BYTES: usize = 8 << 20;

/// Time after which a client is asked to come back when all upstreams that were tried are full.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(150);

/// What all requests of a host share.
#[derive(Debug)]
pub(crate) struct RunnerParts {
    pub(crate) pool: Arc<PlacementPool>,
    pub(crate) channel: Arc<dyn UpstreamChannel>,
    pub(crate) journal: Arc<TurnJournal>,
    pub(crate) history: Arc<Mutex<TurnHistory>>,
    pub(crate) crashes: Arc<Mutex<CrashLedger>>,
    pub(crate) metrics: Arc<EntryMetrics>,
}

/// One request with all that decides about it.
#[derive(Debug)]
pub(crate) struct RunnableRequest {
    pub(crate) request: EntryRequest,
    pub(crate) route: Arc<ServiceRoute>,
    pub(crate) service: Arc<ServiceConfig>,
    /// Body to send: the request's own, or the whole chain with it.
    pub(crate) body: Bytes,
    /// Hash of the request's content, by which one that crashes upstreams is known again.
    pub(crate) fingerprint: u64,
    /// When the request gets its final answer at the latest.
    pub(crate) limit: Instant,
    /// Whether the request continues a program's work.
    pub(crate) is_continuation: bool,
}

impl RunnableRequest {
    /// The program that the request belongs to, or nothing.
    fn program(&self) -> &str {
        self.request.program.as_ref().map_or("", |program| &program.id)
    }

    pub(crate) fn placement(&self, excluded: &[Arc<str>]) -> PlacementRequest {
        let finish_by = self.request.program.as_ref().and_then(|program| program.finish_by);

        PlacementRequest {
            service: Arc::clone(&self.service.name),
            priority: self.route.priority,
            is_continuation: self.is_continuation,
            finish_by: finish_by.unwrap_or(self.limit),
            deadline: self.limit,
            parts: self.request.prompt_parts.clone(),
            prompt_tokens: self.request.prompt_tokens,
            excluded: excluded.to_vec(),
        }
    }

    pub(crate) fn upstream_request(&self, last_event: Option<Arc<str>>) -> UpstreamRequest {
        let now = Instant::now();

        UpstreamRequest {
            id: Arc::clone(&self.request.id),
            method: self.request.method.clone(),
            target: Arc::clone(&self.request.target),
            host: Arc::clone(&self.request.host),
            headers: self.request.headers.clone(),
            body: self.body.clone(),
            time_left: Some(self.limit.saturating_duration_since(now)),
            last_event_id: last_event.or_else(|| self.request.last_event_id.clone()),
            connection_limit: self.service.connection_limit,
        }
    }
}

/// What one attempt has brought.
enum AttemptResult {
    /// A whole answer for the client.
    Answer(RelayedResponse),
    /// A stream whose first event is there.
    Stream(StreamSource),
    /// The upstream did not run the request.
    NotRun { reason: &'static str },
    /// The request may have run and there is no answer.
    Lost { reason: Arc<str> },
    /// Time has run out while the upstream had the request.
    Overdue,
}

/// Runs one request.
#[derive(Debug)]
pub(crate) struct RequestRunner {
    pub(crate) parts: Arc<RunnerParts>,
    pub(crate) runnable: RunnableRequest,
    pub(crate) budget: Option<TurnBudget>,
    /// Upstreams that have had the request.
    attempts: u32,
    not_run: u32,
    excluded: Vec<Arc<str>>,
}

impl RequestRunner {
    pub(crate) fn new(
        parts: Arc<RunnerParts>,
        runnable: RunnableRequest,
        budget: Option<TurnBudget>,
    ) -> Self {
        Self { parts, runnable, budget, attempts: 0, not_run: 0, excluded: Vec::new() }
    }

    /// Gives the answer. Dropping the future cancels the request at its upstream.
    pub(crate) async fn run(mut self) -> EntryResponse {
        loop {
            let lease = match self.acquire().await {
                Ok(lease) => lease,
                Err(refusal) => return self.refuse(refusal),
            };

            let upstream = Arc::clone(&lease.record.id);

            match self.attempt(lease).await {
                AttemptResult::Answer(answer) => return EntryResponse::Relayed(answer),
                AttemptResult::Stream(source) => return self.relay(source),
                AttemptResult::NotRun { reason } => {
                    self.not_run += 1;
                    log::info!(request:% = self.runnable.request.id, upstream:% = upstream; "not run: {reason}");
                    self.excluded.push(upstream);

                    if self.not_run >= NOT_RUN_LIMIT {
                        let retry_after = FULL_RETRY_AFTER;
                        return self.refuse(PlacementRefusal { reason, retry_after });
                    }
                }
                AttemptResult::Lost { reason } => {
                    self.attempts += 1;
                    log::warn!(
                        request:% = self.runnable.request.id, upstream:% = upstream, attempts = self.attempts;
                        "no answer from the upstream: {reason}"
                    );
                    self.excluded.push(upstream);

                    if !self.may_repeat() {
                        return EntryResponse::refused(EntryRefusal::ResponseLost, reason);
                    }
                }
                AttemptResult::Overdue => {
                    return EntryResponse::refused(
                        EntryRefusal::DeadlineExceeded,
                        "the time has run out",
                    );
                }
            }
        }
    }

    fn may_repeat(&self) -> bool {
        self.runnable.route.kind.is_retryable()
            && self.attempts < self.runnable.route.attempt_limit
            && Instant::now() < self.runnable.limit
    }

    async fn acquire(&self) -> Result<UpstreamLease, PlacementRefusal> {
        let asked = Instant::now();
        let lease = self.parts.pool.acquire(self.runnable.placement(&self.excluded)).await?;
        self.parts.metrics.record_queue(asked.elapsed());

        log::info!(
            request:% = self.runnable.request.id, program:% = self.runnable.program(),
            route:% = self.runnable.route.name, upstream:% = lease.record.id,
            data_centre:% = lease.record.data_centre, waited_ms = asked.elapsed().as_millis() as u64,
            cached_tokens = lease.cached_tokens, prompt_tokens = self.runnable.request.prompt_tokens,
            attempts = self.attempts;
            "placed"
        );
        Ok(lease)
    }

    fn refuse(&self, refusal: PlacementRefusal) -> EntryResponse {
        if self.attempts > 0 {
            EntryResponse::refused(EntryRefusal::ResponseLost, refusal.reason)
        } else {
            EntryResponse::not_run(refusal.retry_after, refusal.reason)
        }
    }

    /// When a silent upstream is given up: at the limit, or earlier if the request may go to another one.
    fn patience(&self) -> Instant {
        let can_repeat = self.runnable.route.kind.is_retryable()
            && self.attempts + 1 < self.runnable.route.attempt_limit;

        if can_repeat {
            let silence = self.runnable.route.latency_objective * SILENCE_OBJECTIVES;
            self.runnable.limit.min(Instant::now() + silence)
        } else {
            self.runnable.limit
        }
    }

    async fn attempt(&self, lease: UpstreamLease) -> AttemptResult {
        let patience = self.patience();
        let request = self.runnable.upstream_request(None);
        let service = &self.runnable.service.name;
        let sent = timeout_at(patience, self.parts.channel.send(&lease.record, request)).await;

        let answer = match sent {
            Ok(Ok(answer)) => answer,
            Ok(Err(ChannelError::NotSent { reason })) => {
                self.parts.metrics.count_attempt(service, "not_sent");
                log::info!(request:% = self.runnable.request.id, upstream:% = lease.record.id; "not sent: {reason}");
                lease.finish(UpstreamVerdict::Unreachable);
                return AttemptResult::NotRun { reason: "the upstream can't be reached" };
            }
            Ok(Err(ChannelError::Broken { reason })) => {
                return self.lost(lease, reason);
            }
            Err(_) => return self.silent(lease, patience),
        };

        if let Some(load) = answer.load {
            lease.record_load(load);
        }

        if answer.has_not_run || answer.status == StatusCode::MISDIRECTED_REQUEST {
            self.parts.metrics.count_attempt(service, "not_run");
            return not_run(lease, answer.status);
        }

        if answer.status.is_success()
            && matches!(self.runnable.route.kind, RequestKind::Stream { .. })
        {
            return self.first_event(lease, answer, patience).await;
        }

        self.whole_answer(lease, answer, patience).await
    }

    fn silent(&self, lease: UpstreamLease, patience: Instant) -> AttemptResult {
        self.parts.metrics.count_attempt(&self.runnable.service.name, "overdue");

        if patience < self.runnable.limit {
            lease.finish(UpstreamVerdict::Broken);
            AttemptResult::Lost { reason: "the upstream is silent".into() }
        } else {
            lease.finish(UpstreamVerdict::Withdrawn);
            AttemptResult::Overdue
        }
    }

    fn lost(&self, lease: UpstreamLease, reason: Arc<str>) -> AttemptResult {
        self.parts.metrics.count_attempt(&self.runnable.service.name, "broken");
        self.parts.crashes.lock().record_crash(vec![self.runnable.fingerprint]);
        lease.finish(UpstreamVerdict::Broken);
        AttemptResult::Lost { reason }
    }

    async fn whole_answer(
        &self,
        lease: UpstreamLease,
        mut answer: UpstreamResponse,
        patience: Instant,
    ) -> AttemptResult {
        let mut body = BytesMut::new();

        loop {
            match timeout_at(patience, answer.body.next()).await {
                Ok(Ok(Some(piece))) => body.extend_from_slice(&piece),
                Ok(Ok(None)) => break,
                Ok(Err(error)) => return self.lost(lease, error.to_string().into()),
                Err(_) => return self.silent(lease, patience),
            }

            if body.len() > ANSWER_LIMIT_BYTES {
                return self.lost(lease, "the answer is too long".into());
            }
        }

        let status = answer.status;

        // These say that a request has not run, which only an upstream's own statement makes true.
        let claims_not_run = matches!(
            status,
            StatusCode::SERVICE_UNAVAILABLE
                | StatusCode::TOO_MANY_REQUESTS
                | StatusCode::REQUEST_TIMEOUT
        );

        if claims_not_run || (status.is_success() && !answer.is_signed) {
            return self.lost(lease, format!("an unusable answer with status {status}").into());
        }

        let can_repeat = self.runnable.route.kind.is_retryable()
            && self.attempts + 1 < self.runnable.route.attempt_limit;

        if status == StatusCode::INTERNAL_SERVER_ERROR && can_repeat {
            self.parts.metrics.count_attempt(&self.runnable.service.name, "failed");
            lease.finish(UpstreamVerdict::Broken);
            return AttemptResult::Lost { reason: "the upstream failed with status 500".into() };
        }

        self.parts.metrics.count_attempt(&self.runnable.service.name, "answered");
        self.parts.crashes.lock().clear(self.runnable.fingerprint);
        lease.finish(UpstreamVerdict::Answered);
        let body = RelayedBody::Whole(body.freeze());
        AttemptResult::Answer(RelayedResponse { status, headers: answer.headers, body })
    }

    async fn first_event(
        &self,
        lease: UpstreamLease,
        mut answer: UpstreamResponse,
        patience: Instant,
    ) -> AttemptResult {
        if !answer.is_signed {
            return self.lost(lease, "the stream bears no signature".into());
        }

        let mut framer = EventFramer::default();

        loop {
            if let Some(event) = framer.next_event() {
                let (status, headers) = (answer.status, answer.headers);
                return AttemptResult::Stream(StreamSource {
                    lease,
                    status,
                    headers,
                    body: answer.body,
                    framer,
                    first: event,
                });
            }

            match timeout_at(patience, answer.body.next()).await {
                Ok(Ok(Some(piece))) => framer.push(&piece),
                Ok(Ok(None)) => return self.lost(lease, "the stream has no event".into()),
                Ok(Err(error)) => return self.lost(lease, error.to_string().into()),
                Err(_) => return self.silent(lease, patience),
            }
        }
    }

    fn relay(self, source: StreamSource) -> EntryResponse {
        self.parts.metrics.record_first_event(self.runnable.request.received.elapsed());
        let (sender, receiver) = mpsc::channel(STREAM_DEPTH);
        let (status, headers) = (source.status, source.headers.clone());

        let relay = StreamRelay {
            parts: self.parts,
            runnable: self.runnable,
            budget: self.budget,
            attempts: self.attempts + 1,
            excluded: self.excluded,
            sender,
        };

        tokio::spawn(relay.run(source));
        EntryResponse::Relayed(RelayedResponse {
            status,
            headers,
            body: RelayedBody::Events(receiver),
        })
    }
}

fn not_run(lease: UpstreamLease, status: StatusCode) -> AttemptResult {
    if status == StatusCode::MISDIRECTED_REQUEST {
        lease.finish(UpstreamVerdict::Unreachable);
        AttemptResult::NotRun { reason: "another upstream has the address" }
    } else {
        lease.finish(UpstreamVerdict::Full);
        AttemptResult::NotRun { reason: "the upstream is full" }
    }
}
