//! Sends a request to upstreams until one has answered it, as often as the request kind, the route and the deadline
//! allow.

use std::sync::Arc;

use hyper::StatusCode;
use parking_lot::Mutex;
use tokio::{
    sync::mpsc,
    time::{Duration, Instant, timeout_at},
};

use crate::{
    CrashTracker,
    entry::{
        AccessRefusal, BufferBudget, ChannelError, EntryRefusal, EntryResponse, KeyChecker,
        PlacementPool, RelayedBody, RelayedResponse, RequestKind, UpstreamChannel,
        UpstreamResponse,
        chain_recorder::ChainRecorder,
        crash_guard::AttemptWatch,
        dispatching::{
            dispatch_request::DispatchRequest, placement_server::PlacementServer,
            region_dispatch::RegionDispatch,
        },
        entry_metrics::EntryMetrics,
        entry_response::MAX_BUFFERED_ITEMS,
        event_framer::EventFramer,
        placement_request::PlacementRefusal,
        pooled_upstream::LeaseOutcome,
        presumed_crashes::PresumedCrashes,
        quotas::quota_token::QuotaToken,
        refusal_trials::RefusalTrials,
        route_table::STREAM_LIFETIME_FACTOR,
        routed_request::RoutedRequest,
        run_record::RunRecord,
        run_refusal::RunRefusal,
        stream_relay::{StreamRelay, StreamSource},
        stream_versions::{BegunStream, StreamVersions},
        target_completions::TargetCompletions,
        turn_budget::TurnBudget,
        upstream_lease::UpstreamLease,
    },
};

/// Number of upstreams that may reject a request, without running it, before the client gets a refusal.
const MAX_REJECTIONS: u32 = 4;

/// Time that a retryable request waits for an upstream before it is sent to another one, as a multiple of its route's
/// latency objective.
pub(super) const RETRY_TIMEOUT_FACTOR: u32 = 4;

/// Largest body of a response that is not a stream, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Time after which a client is asked to retry when every upstream tried has rejected the request.
const REJECTED_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Time for which a service has to be lost before a request that may run again is taken away from its upstream.
const ABANDON_DELAY: Duration = Duration::from_millis(200);

/// State that all requests of an entry host share.
#[derive(Debug)]
pub(crate) struct RunnerContext {
    pub(crate) pool: Arc<PlacementPool>,
    pub(crate) channel: Arc<dyn UpstreamChannel>,
    pub(crate) chains: ChainRecorder,
    pub(crate) buffers: Arc<BufferBudget>,
    pub(crate) crashes: Arc<Mutex<CrashTracker>>,
    pub(crate) presumed_crashes: Mutex<PresumedCrashes>,
    pub(crate) completions: Mutex<TargetCompletions>,
    pub(crate) trials: Mutex<RefusalTrials>,
    pub(crate) streams: Arc<Mutex<StreamVersions>>,
    pub(crate) metrics: Arc<EntryMetrics>,
    pub(crate) keys: KeyChecker,
    /// Asks the region's dispatchers for slots; `None` if each host places its own requests.
    pub(crate) dispatch: Option<RegionDispatch>,
    /// Serves the other schedulers' queries for slots.
    pub(crate) placements: PlacementServer,
}

impl RunnerContext {
    /// Checks again whether a request may run, since its key may have been removed while it waited.
    pub(super) fn check_key(&self, routed: &RoutedRequest) -> Result<(), AccessRefusal> {
        self.keys.recheck(&routed.route, &routed.request, routed.team.as_ref())
    }

    /// Waits for a slot on an upstream that is not in `excluded`. Requests for services with a prompt cache go through the
    /// region's dispatcher: prompt parts that are cached somewhere are of use only to who knows where.
    pub(super) async fn acquire(
        &self,
        routed: &RoutedRequest,
        excluded: &[Arc<str>],
    ) -> Result<UpstreamLease, PlacementRefusal> {
        match self.dispatch_of(routed) {
            Some(dispatch) => dispatch.acquire(DispatchRequest::new(routed, excluded, true)).await,
            None => self.pool.acquire(routed.placement_request(excluded)).await,
        }
    }

    /// Takes a slot that is free now.
    pub(super) async fn acquire_free(
        &self,
        routed: &RoutedRequest,
        excluded: &[Arc<str>],
    ) -> Option<UpstreamLease> {
        match self.dispatch_of(routed) {
            Some(dispatch) => {
                dispatch.acquire(DispatchRequest::new(routed, excluded, false)).await.ok()
            }
            None => self.pool.try_acquire(&routed.placement_request(excluded)),
        }
    }

    pub(super) fn dispatch_of(&self, routed: &RoutedRequest) -> Option<&RegionDispatch> {
        self.dispatch.as_ref().filter(|_| routed.service.cache_tokens > 0)
    }
}

/// Result of sending the request to one upstream.
enum AttemptResult {
    /// A whole response for the client.
    Response(RelayedResponse),
    /// A stream whose first event has arrived.
    Stream(Box<StreamSource>),
    /// The upstream did not run the request.
    NotRun { reason: &'static str },
    /// No connection to the upstream could be made.
    NotSent,
    /// The request was not sent, since the upstream leaves.
    Skipped,
    /// The request may have run, but no usable response arrived.
    ResponseLost { reason: Arc<str> },
    /// The deadline passed before the upstream had answered.
    DeadlineExceeded,
}

/// Runs one request to its final response.
#[derive(Debug)]
pub(crate) struct RequestRunner {
    pub(crate) context: Arc<RunnerContext>,
    pub(crate) routed: RoutedRequest,
    pub(crate) budget: Option<TurnBudget>,
    quota_token: Option<Arc<QuotaToken>>,
    record: RunRecord,
    /// Attempts in which the upstream did not run the request.
    rejections: u32,
    /// Those of them in which no connection could be made.
    unsent: u32,
    excluded: Vec<Arc<str>>,
}

impl RequestRunner {
    pub(crate) fn new(
        context: Arc<RunnerContext>,
        routed: RoutedRequest,
        budget: Option<TurnBudget>,
    ) -> Self {
        let record = RunRecord::new(&routed.request);
        Self {
            context,
            routed,
            budget,
            quota_token: None,
            record,
            rejections: 0,
            unsent: 0,
            excluded: Vec::new(),
        }
    }

    /// Lets the request run by a token of its team's quota.
    pub(crate) fn with_quota_token(mut self, token: Option<Arc<QuotaToken>>) -> Self {
        self.quota_token = token;
        self
    }

    /// Returns the response to the client. Dropping the future cancels the request on its upstream.
    pub(crate) async fn run(mut self) -> EntryResponse {
        if self.record.may_have_run() && !self.may_retry() {
            let reason = "no attempt is left after those of hosts that were lost";
            return EntryResponse::refused(EntryRefusal::ResponseLost, reason);
        }

        loop {
            let lease = match self.acquire_in_reach().await {
                Some(Ok(lease)) => lease,
                Some(Err(refusal)) => return self.refuse(refusal),
                None => return EntryResponse::out_of_reach(self.record.may_have_run()),
            };

            let upstream = Arc::clone(&lease.record.id);

            match self.attempt(lease).await {
                AttemptResult::Response(response) => return EntryResponse::Relayed(response),
                AttemptResult::Stream(source) => return self.relay_stream(*source),
                AttemptResult::NotRun { reason } => {
                    self.rejections += 1;
                    log::info!(request:% = self.routed.request.id, upstream:% = upstream; "the upstream did not run the request: {reason}");
                    self.excluded.push(upstream);

                    if self.rejections >= MAX_REJECTIONS {
                        let retry_after = REJECTED_RETRY_AFTER;
                        return self.refuse(PlacementRefusal { reason, retry_after });
                    }
                }
                AttemptResult::NotSent => {
                    self.rejections += 1;
                    self.unsent += 1;
                    self.excluded.push(upstream);

                    if self.unsent >= MAX_REJECTIONS {
                        return EntryResponse::out_of_reach(self.record.may_have_run());
                    }
                    if self.rejections >= MAX_REJECTIONS {
                        let reason = "no upstream that was tried can be reached";
                        let retry_after = REJECTED_RETRY_AFTER;
                        return self.refuse(PlacementRefusal { reason, retry_after });
                    }
                }
                AttemptResult::Skipped => self.excluded.push(upstream),
                AttemptResult::ResponseLost { reason } => {
                    self.record.record_possible_run(&upstream);
                    log::warn!(
                        request:% = self.routed.request.id, upstream:% = upstream, attempts = self.record.possible_runs();
                        "no usable response from the upstream: {reason}"
                    );
                    self.excluded.push(upstream);

                    if !self.may_retry() {
                        return EntryResponse::refused(EntryRefusal::ResponseLost, reason);
                    }
                }
                AttemptResult::DeadlineExceeded => {
                    return EntryResponse::refused(
                        EntryRefusal::DeadlineExceeded,
                        "the time has run out",
                    );
                }
            }
        }
    }

    fn may_retry(&self) -> bool {
        self.routed.route.kind.is_retryable()
            && self.record.possible_runs() < self.routed.route.attempt_limit
            && Instant::now() < self.routed.deadline
    }

    /// Waits for a slot; `None` once this host reaches no upstream of the service.
    async fn acquire_in_reach(&self) -> Option<Result<UpstreamLease, RunRefusal>> {
        let reach = self.context.pool.reach();
        tokio::select! {
            biased;
            () = reach.wait_until_lost(&self.routed.service.name) => None,
            result = self.acquire() => Some(result),
        }
    }

    async fn acquire(&self) -> Result<UpstreamLease, RunRefusal> {
        let queued_at = Instant::now();
        if let Some(token) = &self.quota_token {
            token.record_queued();
        }
        self.context.check_key(&self.routed)?;
        self.context.check_crashes(self.routed.signature)?;
        let lease =
            self.context.acquire(&self.routed, &self.excluded).await.inspect_err(|refusal| {
                self.context.metrics.count_placement_refusal(refusal.reason);
            })?;
        self.context.check_key(&self.routed)?;
        self.context.begin_attempt(self.routed.signature)?;
        if let Some(token) = &self.quota_token {
            token.record_sent();
        }
        self.context.metrics.record_queue_time(queued_at.elapsed());
        lease.granted.object_place.inspect(|it| self.context.metrics.count_object(*it));

        log::info!(
            request:% = self.routed.request.id, program:% = self.routed.program_id(), team = self.routed.team.as_ref().map_or("", |it| &it.name),
            route:% = self.routed.route.name, upstream:% = lease.record.id, entry_revision = lease.record.revision,
            data_centre:% = lease.record.data_centre, software_version:% = lease.record.software_version, waited_ms = queued_at.elapsed().as_millis() as u64,
            object_place:? = lease.granted.object_place, cached_tokens = lease.cached_tokens, prompt_tokens = self.routed.request.prompt_tokens,
            dispatcher:% = lease.dispatcher(), attempts = self.record.possible_runs(), resumed_request:? = self.routed.request.resumed_request;
            "placed"
        );
        Ok(lease)
    }

    /// Refuses the request, and states that it has not run only if no upstream may have run it.
    fn refuse(&self, refusal: impl Into<RunRefusal>) -> EntryResponse {
        self.record.final_response(refusal.into().response())
    }

    /// When to stop waiting for the upstream: at the request's deadline, or earlier if another upstream may be tried.
    fn attempt_deadline(&self) -> Instant {
        let can_retry = self.routed.route.kind.is_retryable()
            && self.record.possible_runs() + 1 < self.routed.route.attempt_limit;

        if can_retry {
            let retry_timeout = self.routed.route.latency_objective * RETRY_TIMEOUT_FACTOR;
            self.routed.deadline.min(Instant::now() + retry_timeout)
        } else {
            self.routed.deadline
        }
    }

    /// Waits until a request that may run again is better off at another host, as this one reaches no upstream. One that may
    /// not run again waits for its response.
    async fn wait_until_abandoned(&self) {
        let can_retry = self.routed.route.kind.is_retryable()
            && self.record.possible_runs() + 1 < self.routed.route.attempt_limit;

        if can_retry {
            let reach = self.context.pool.reach();
            reach.wait_until_lost_for(&self.routed.service.name, ABANDON_DELAY).await;
        } else {
            std::future::pending::<()>().await;
        }
    }

    /// Sends the request to the leased upstream and reads a whole response or the first event of a stream.
    async fn attempt(&self, lease: UpstreamLease) -> AttemptResult {
        let silence_limit = self.routed.route.latency_objective * RETRY_TIMEOUT_FACTOR;
        let mut watch = AttemptWatch::start(&self.context, &self.routed, &lease, silence_limit);
        let attempt_deadline = self.attempt_deadline();
        let request = self.routed.upstream_request(None);
        let service = &self.routed.service.name;
        let sending = self.context.channel.send(&lease.record, request, &lease);
        let result = tokio::select! {
            result = timeout_at(attempt_deadline, sending) => result,
            () = self.wait_until_abandoned() => {
                drop(watch);
                self.context.metrics.count_attempt(service, "abandoned");
                lease.finish(LeaseOutcome::Cancelled);
                return AttemptResult::ResponseLost { reason: "the host has lost its links".into() };
            }
        };

        let response = match result {
            Ok(Ok(response)) => response,
            Ok(Err(ChannelError::NotSent { reason })) => {
                watch.finish_unsent();
                self.context.metrics.count_attempt(service, "not_sent");
                log::info!(request:% = self.routed.request.id, upstream:% = lease.record.id; "the request could not be sent: {reason}");
                lease.finish(LeaseOutcome::Unreachable);
                return AttemptResult::NotSent;
            }
            Ok(Err(error @ ChannelError::Leaving)) => {
                watch.finish();
                self.context.metrics.count_attempt(service, "not_sent");
                log::info!(request:% = self.routed.request.id, upstream:% = lease.record.id; "the request was not sent: {error}");
                return AttemptResult::Skipped;
            }
            Ok(Err(error @ ChannelError::Mismatched { is_leaving })) => {
                if is_leaving {
                    lease.record_leaving();
                }
                watch.finish();
                return self.finish_unusable(lease, error.to_string().into());
            }
            Ok(Err(ChannelError::Broken { reason })) => {
                watch.finish_broken(&reason);
                return self.finish_unusable(lease, reason);
            }
            Err(_) => return self.finish_timed_out(lease, attempt_deadline),
        };

        self.context.record_response(&lease, &response);
        watch.record_data();

        if response.has_not_run || response.status == StatusCode::MISDIRECTED_REQUEST {
            watch.finish();
            self.context.metrics.count_attempt(service, "not_run");
            return finish_rejected(lease, response.status);
        }

        if response.status.is_success()
            && matches!(self.routed.route.kind, RequestKind::Stream { .. })
        {
            return self.read_first_event(lease, watch, response, attempt_deadline).await;
        }

        self.read_whole_response(lease, watch, response, attempt_deadline).await
    }

    /// Ends an attempt whose whole response, or first event of a stream, did not arrive in time.
    fn finish_timed_out(&self, lease: UpstreamLease, attempt_deadline: Instant) -> AttemptResult {
        self.context.metrics.count_attempt(&self.routed.service.name, "overdue");

        if attempt_deadline < self.routed.deadline {
            lease.finish(LeaseOutcome::Failed);
            AttemptResult::ResponseLost { reason: "the upstream is silent".into() }
        } else {
            lease.finish(LeaseOutcome::Cancelled);
            AttemptResult::DeadlineExceeded
        }
    }

    /// Ends an attempt whose connection broke or whose response is unusable.
    fn finish_unusable(&self, lease: UpstreamLease, reason: Arc<str>) -> AttemptResult {
        self.context.metrics.count_attempt(&self.routed.service.name, "broken");
        lease.finish(LeaseOutcome::Failed);
        AttemptResult::ResponseLost { reason }
    }

    async fn read_whole_response(
        &self,
        lease: UpstreamLease,
        mut watch: AttemptWatch,
        mut response: UpstreamResponse,
        attempt_deadline: Instant,
    ) -> AttemptResult {
        let mut body = self.context.buffers.buffer();

        loop {
            match timeout_at(attempt_deadline, response.body.next()).await {
                Ok(Ok(Some(chunk))) => {
                    if let Err(error) = body.push(&chunk) {
                        watch.finish();
                        return self.finish_unusable(lease, error.to_string().into());
                    }
                }
                Ok(Ok(None)) => break,
                Ok(Err(error)) => {
                    watch.finish_broken(&error.to_string());
                    return self.finish_unusable(lease, error.to_string().into());
                }
                Err(_) => return self.finish_timed_out(lease, attempt_deadline),
            }

            watch.record_data();

            if body.len() > MAX_RESPONSE_BYTES {
                watch.finish();
                return self.finish_unusable(lease, "the answer is too long".into());
            }
        }

        watch.finish();
        let status = response.status;

        // Without the upstream's explicit statement that the request has not run, the status may be false.
        if self.reads_as_not_run(status) || (status.is_success() && !response.is_signed) {
            return self
                .finish_unusable(lease, format!("an unusable answer with status {status}").into());
        }

        let can_retry = self.routed.route.kind.is_retryable()
            && self.record.possible_runs() + 1 < self.routed.route.attempt_limit;

        if status == StatusCode::INTERNAL_SERVER_ERROR && can_retry {
            self.context.metrics.count_attempt(&self.routed.service.name, "failed");
            lease.finish(LeaseOutcome::Failed);
            return AttemptResult::ResponseLost {
                reason: "the upstream failed with status 500".into(),
            };
        }

        self.context.metrics.count_attempt(&self.routed.service.name, "answered");
        let departure = lease.departure(&response);

        // An upstream that fails at once has free slots all the time, so its failures must not pass for fast answers.
        if status.is_server_error() {
            lease.finish(LeaseOutcome::Failed);
        } else {
            self.context.record_completion(self.routed.signature);
            lease.finish(LeaseOutcome::Answered);
        }

        let body = RelayedBody::Whole(body.freeze());
        let headers = response.headers;
        AttemptResult::Response(RelayedResponse { status, headers, body, departure })
    }

    /// Whether the client takes a status for the statement that the request has not run.
    fn reads_as_not_run(&self, status: StatusCode) -> bool {
        match status {
            StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT => true,
            // For a turn, that its program's budget has no room for it.
            StatusCode::PAYMENT_REQUIRED => {
                matches!(self.routed.route.kind, RequestKind::Stream { .. })
            }
            _ => false,
        }
    }

    async fn read_first_event(
        &self,
        mut lease: UpstreamLease,
        mut watch: AttemptWatch,
        mut response: UpstreamResponse,
        attempt_deadline: Instant,
    ) -> AttemptResult {
        if !response.is_signed {
            watch.finish();
            return self.finish_unusable(lease, "the stream bears no signature".into());
        }

        let mut framer = EventFramer::new(&self.context.buffers);

        loop {
            if let Some(event) = framer.next_event() {
                let target_attempt = watch.target_attempt();
                watch.finish();
                lease.record_first_event();
                let departure = lease.departure(&response);
                let (status, headers) = (response.status, response.headers);
                return AttemptResult::Stream(Box::new(StreamSource {
                    lease,
                    status,
                    headers,
                    departure,
                    body: response.body,
                    framer,
                    first_event: event,
                    target_attempt,
                }));
            }

            match timeout_at(attempt_deadline, response.body.next()).await {
                Ok(Ok(Some(chunk))) => framer.push(&chunk),
                Ok(Ok(None)) => {
                    watch.finish_broken("the stream has no event");
                    return self.finish_unusable(lease, "the stream has no event".into());
                }
                Ok(Err(error)) => {
                    watch.finish_broken(&error.to_string());
                    return self.finish_unusable(lease, error.to_string().into());
                }
                Err(_) => return self.finish_timed_out(lease, attempt_deadline),
            }

            watch.record_data();

            if framer.is_event_too_long() {
                watch.finish();
                let reason = "an event is too long, or the buffers of this host are full";
                return self.finish_unusable(lease, reason.into());
            }
        }
    }

    /// Records where a stream begins before its first event is sent, so that each host knows where it may go on.
    fn record_stream(&mut self, software_version: &Arc<str>) {
        let routed = &mut self.routed;
        routed.software_version = Some(Arc::clone(software_version));

        if !routed.route.kind.is_retryable() {
            return;
        }

        let request = &routed.request;
        let time_limit = routed.deadline.saturating_duration_since(request.received);
        let stream = BegunStream {
            request: routed.scope().id(request.resumed_request.as_ref().unwrap_or(&request.id)),
            software_version: Arc::clone(software_version),
            lifetime: time_limit * STREAM_LIFETIME_FACTOR,
        };
        self.context.streams.lock().add(Instant::now(), stream);
    }

    fn relay_stream(mut self, source: StreamSource) -> EntryResponse {
        self.record_stream(&source.lease.record.software_version);
        self.context.metrics.record_first_event_time(self.routed.request.received.elapsed());
        let (sender, receiver) = mpsc::channel(MAX_BUFFERED_ITEMS);
        let (status, headers) = (source.status, source.headers.clone());
        let departure = source.departure.clone();

        let relay = StreamRelay {
            context: self.context,
            routed: self.routed,
            budget: self.budget,
            attempts: self.record.possible_runs() + 1,
            excluded: self.excluded,
            sender,
        };

        tokio::spawn(relay.run(source));
        EntryResponse::Relayed(RelayedResponse {
            status,
            headers,
            body: RelayedBody::Events(receiver),
            departure,
        })
    }
}

/// Ends an attempt in which the upstream did not run the request.
fn finish_rejected(lease: UpstreamLease, status: StatusCode) -> AttemptResult {
    if status == StatusCode::MISDIRECTED_REQUEST {
        lease.finish(LeaseOutcome::Unreachable);
        AttemptResult::NotRun { reason: "another upstream has the address" }
    } else {
        lease.finish(LeaseOutcome::Full);
        AttemptResult::NotRun { reason: "the upstream is full" }
    }
}
