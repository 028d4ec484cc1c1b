//! Passes a stream's events on, goes on at another upstream where the route allows it, and records the turn.

use std::sync::Arc;

use bytes::BytesMut;
use hyper::{HeaderMap, StatusCode};
use tokio::{
    sync::mpsc,
    time::{Duration, Instant, timeout_at},
};

use crate::entry::{
    ChannelError, UpstreamBody,
    entry_response::StreamItem,
    event_framer::{EventFramer, StreamEvent},
    pooled_upstream::UpstreamVerdict,
    request_runner::{RunnableRequest, RunnerParts},
    turn_budget::TurnBudget,
    turn_history::HistoryTurn,
    upstream_lease::UpstreamLease,
};

/// Pauses, in objectives of the route, after which a resumable stream goes on at another upstream.
const SILENCE_PAUSES: u32 = 3;

/// Silence that is borne where the route states no objective for pauses.
const DEFAULT_SILENCE: Duration = Duration::from_millis(1_200);

/// A stream whose first event is there.
#[derive(Debug)]
pub(crate) struct StreamSource {
    pub(crate) lease: UpstreamLease,
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Box<dyn UpstreamBody>,
    pub(crate) framer: EventFramer,
    pub(crate) first: StreamEvent,
}

/// How reading from one upstream has ended.
enum SourceEnd {
    Complete,
    /// The stream broke off; it may go on elsewhere.
    Broken(Arc<str>),
    ClientGone,
    Overdue,
}

/// One stream on its way to a client.
#[derive(Debug)]
pub(crate) struct StreamRelay {
    pub(crate) parts: Arc<RunnerParts>,
    pub(crate) runnable: RunnableRequest,
    pub(crate) budget: Option<TurnBudget>,
    /// Upstreams that have had the request.
    pub(crate) attempts: u32,
    pub(crate) excluded: Vec<Arc<str>>,
    pub(crate) sender: mpsc::Sender<StreamItem>,
}

/// What a stream has brought so far.
#[derive(Debug, Default)]
struct StreamProgress {
    last_id: Option<Arc<str>>,
    events: u64,
    output: BytesMut,
}

impl StreamRelay {
    /// Passes all events on. If the stream ends early, the client sees a connection that breaks off.
    pub(crate) async fn run(mut self, source: StreamSource) {
        let mut progress = StreamProgress::default();
        let mut next = Some(source);

        while let Some(source) = next.take() {
            let upstream = Arc::clone(&source.lease.record.id);

            match self.read_source(source, &mut progress).await {
                SourceEnd::Complete => {
                    self.complete(progress).await;
                    return;
                }
                SourceEnd::Broken(reason) => {
                    log::warn!(
                        request:% = self.runnable.request.id, upstream:% = upstream, events = progress.events,
                        attempts = self.attempts;
                        "a stream has broken off: {reason}"
                    );
                    self.excluded.push(upstream);
                    next = self.resume(&progress).await;
                }
                SourceEnd::ClientGone => {
                    log::info!(request:% = self.runnable.request.id, events = progress.events; "the client has left");
                    return;
                }
                SourceEnd::Overdue => {
                    log::info!(request:% = self.runnable.request.id, events = progress.events; "broken off: the time has run out");
                    return;
                }
            }
        }
    }

    fn silence(&self) -> Duration {
        self.runnable.route.event_gap_objective.map_or(DEFAULT_SILENCE, |it| it * SILENCE_PAUSES)
    }

    async fn read_source(
        &mut self,
        source: StreamSource,
        progress: &mut StreamProgress,
    ) -> SourceEnd {
        let StreamSource { lease, mut body, mut framer, first, .. } = source;
        let mut ready = Some(first);

        loop {
            while let Some(event) = ready.take().or_else(|| framer.next_event()) {
                if let Err(end) = self.pass_on(event, progress).await {
                    lease.finish(UpstreamVerdict::Withdrawn);
                    return end;
                }
            }

            let patience = if self.can_resume() {
                self.runnable.limit.min(Instant::now() + self.silence())
            } else {
                self.runnable.limit
            };

            let read = tokio::select! {
                () = self.sender.closed() => {
                    lease.finish(UpstreamVerdict::Withdrawn);
                    return SourceEnd::ClientGone;
                }
                read = timeout_at(patience, body.next()) => read,
            };

            match read {
                Ok(Ok(Some(piece))) => framer.push(&piece),
                Ok(Ok(None)) if !framer.has_rest() => {
                    lease.finish(UpstreamVerdict::Answered);
                    return SourceEnd::Complete;
                }
                Ok(Ok(None)) => {
                    lease.finish(UpstreamVerdict::Broken);
                    return SourceEnd::Broken("it ended inside an event".into());
                }
                Ok(Err(error)) => {
                    lease.finish(UpstreamVerdict::Broken);
                    return SourceEnd::Broken(error.to_string().into());
                }
                Err(_) if patience < self.runnable.limit => {
                    lease.finish(UpstreamVerdict::Broken);
                    return SourceEnd::Broken("the upstream is silent".into());
                }
                Err(_) => {
                    lease.finish(UpstreamVerdict::Withdrawn);
                    return SourceEnd::Overdue;
                }
            }

            if framer.is_overlong() {
                lease.finish(UpstreamVerdict::Broken);
                return SourceEnd::Broken("an event is too long".into());
            }
        }
    }

    async fn pass_on(
        &mut self,
        event: StreamEvent,
        progress: &mut StreamProgress,
    ) -> Result<(), SourceEnd> {
        if let Some(data) = &event.data {
            let tokens = self.runnable.service.tokens_per_event;
            progress.events += 1;
            self.parts.metrics.count_tokens(tokens);

            if let Some(budget) = &mut self.budget
                && !budget.hand_out(tokens, self.runnable.limit).await
            {
                log::warn!(request:% = self.runnable.request.id; "the program's spend can't be recorded in time");
                return Err(SourceEnd::Overdue);
            }

            if self.runnable.route.history_retention.is_some() {
                progress.output.extend_from_slice(data);
                progress.output.extend_from_slice(b"\n");
            }
        }

        if let Some(id) = &event.id {
            progress.last_id = Some(id.as_str().into());
        }

        let sent =
            timeout_at(self.runnable.limit, self.sender.send(StreamItem::Bytes(event.bytes)));

        match sent.await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(SourceEnd::ClientGone),
            Err(_) => Err(SourceEnd::Overdue),
        }
    }

    fn can_resume(&self) -> bool {
        self.runnable.route.kind.is_retryable() && self.attempts < self.runnable.route.attempt_limit
    }

    /// Opens the stream at another upstream after the last event that went out.
    async fn resume(&mut self, progress: &StreamProgress) -> Option<StreamSource> {
        while self.can_resume() && Instant::now() < self.runnable.limit {
            let lease = match self.parts.pool.acquire(self.runnable.placement(&self.excluded)).await
            {
                Ok(lease) => lease,
                Err(refusal) => {
                    log::warn!(request:% = self.runnable.request.id; "a stream can't go on: {}", refusal.reason);
                    return None;
                }
            };

            let upstream = Arc::clone(&lease.record.id);

            if let Some(source) = self.open(lease, progress).await {
                log::info!(
                    request:% = self.runnable.request.id, upstream:% = upstream,
                    after_event:? = progress.last_id;
                    "a stream goes on at another upstream"
                );
                return Some(source);
            }

            self.excluded.push(upstream);
        }

        None
    }

    async fn open(
        &mut self,
        lease: UpstreamLease,
        progress: &StreamProgress,
    ) -> Option<StreamSource> {
        let request = self.runnable.upstream_request(progress.last_id.clone());
        let sent =
            timeout_at(self.runnable.limit, self.parts.channel.send(&lease.record, request)).await;

        let mut answer = match sent {
            Ok(Ok(answer)) => answer,
            Ok(Err(ChannelError::NotSent { .. })) => {
                lease.finish(UpstreamVerdict::Unreachable);
                return None;
            }
            _ => {
                self.attempts += 1;
                lease.finish(UpstreamVerdict::Broken);
                return None;
            }
        };

        if answer.has_not_run || answer.status == StatusCode::MISDIRECTED_REQUEST {
            lease.finish(UpstreamVerdict::Full);
            return None;
        }

        self.attempts += 1;

        if !answer.status.is_success() || !answer.is_signed {
            lease.finish(UpstreamVerdict::Broken);
            return None;
        }

        let mut framer = EventFramer::default();

        loop {
            while let Some(event) = framer.next_event() {
                if is_after(progress.last_id.as_deref(), event.id.as_deref()) {
                    let (status, headers, body) = (answer.status, answer.headers, answer.body);
                    return Some(StreamSource {
                        lease,
                        status,
                        headers,
                        body,
                        framer,
                        first: event,
                    });
                }
            }

            let read = timeout_at(self.runnable.limit, answer.body.next()).await;

            let Ok(Ok(Some(piece))) = read else {
                lease.finish(UpstreamVerdict::Broken);
                return None;
            };

            framer.push(&piece);
        }
    }

    /// Records the turn where the route keeps history, and only then ends the answer.
    async fn complete(self, progress: StreamProgress) {
        let request = &self.runnable.request;
        let handed_out = self.budget.as_ref().map_or(0, TurnBudget::handed_out);

        if let Some(retention) = self.runnable.route.history_retention {
            let turn = Arc::new(HistoryTurn {
                id: Arc::clone(&request.id),
                previous: request.program.as_ref().and_then(|it| it.previous_turn.clone()),
                input: request.body.clone(),
                output: progress.output.freeze(),
            });

            if let Some(budget) = self.budget {
                budget.finish();
            }

            let recorded = self.parts.journal.append(Arc::clone(&turn));

            if !matches!(timeout_at(self.runnable.limit, recorded).await, Ok(Ok(()))) {
                log::warn!(request:% = request.id; "broken off: the turn can't be recorded in time");
                return;
            }

            self.parts.history.lock().insert(turn, retention);
        }

        self.parts.crashes.lock().clear(self.runnable.fingerprint);
        self.parts.metrics.record_request(request.received.elapsed());
        log::info!(
            request:% = request.id, events = progress.events, tokens = handed_out,
            took_ms = request.received.elapsed().as_millis() as u64;
            "a stream is complete"
        );
        let _ = self.sender.send(StreamItem::End).await;
    }
}

/// Whether an event comes after the last one that was passed on. Ids are increasing numbers; an event without one
/// belongs to the stream's head and is left out of what is passed on after a break.
fn is_after(last: Option<&str>, id: Option<&str>) -> bool {
    match (last, id) {
        (None, _) => true,
        (Some(_), None) => false,
        (Some(last), Some(id)) => match (last.parse::<u64>(), id.parse::<u64>()) {
            (Ok(last), Ok(id)) => id > last,
            _ => id != last,
        },
    }
}
