//! Relays the events of a stream, resumes a broken stream on another upstream if the route allows it, and records the
//! finished turn.

use std::sync::Arc;

use hyper::{HeaderMap, StatusCode};
use tokio::{
    sync::mpsc,
    time::{Duration, Instant, timeout, timeout_at},
};

use crate::entry::{
    BufferBudget, LeasedBuffer, UpstreamBody,
    buffer_budget::uncounted,
    crash_guard::AttemptWatch,
    crash_suspects::TargetAttempt,
    entry_response::StreamItem,
    event_framer::{EventFramer, StreamEvent},
    host_load::{SendEnd, StreamSender, stream_sender::STALL_GRACE},
    pooled_upstream::LeaseOutcome,
    request_runner::RunnerContext,
    routed_request::RoutedRequest,
    stream_resume::ResumedResponse,
    turn_budget::TurnBudget,
    turn_history::HistoryTurn,
    upstream_departures::UpstreamDeparture,
    upstream_lease::UpstreamLease,
};

/// Time without data after which a resumable stream is resumed on another upstream, as a multiple of its route's event
/// gap objective.
const GAP_TIMEOUT_FACTOR: u32 = 3;

/// Time without data after which a resumable stream is resumed if its route has no event gap objective.
const DEFAULT_GAP_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time between two looks for an upstream that can take up a silent stream.
const SUCCESSOR_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time for which a silent upstream is kept beside the one that is asked to take up its stream, so that only one
/// of them works on the request for long.
const OVERLAP_LIMIT: Duration = Duration::from_millis(300);

/// Most events without data that are relayed in one stream. An upstream that fails may send bytes without end that pass
/// as such events.
const MAX_EMPTY_EVENTS: u64 = 256;

/// Time after a client has read again in which a break of its stream may go back to the time in which it did not.
const STALL_MEMORY: Duration = Duration::from_secs(5);

/// A stream from an upstream whose first event has arrived.
#[derive(Debug)]
pub(crate) struct StreamSource {
    pub(crate) lease: UpstreamLease,
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// The upstream's departure, if the head states that it leaves.
    pub(crate) departure: Option<UpstreamDeparture>,
    pub(crate) body: Box<dyn UpstreamBody>,
    pub(crate) framer: EventFramer,
    pub(crate) first_event: StreamEvent,
    pub(super) target_attempt: TargetAttempt,
}

/// How relaying from one upstream has ended.
enum SourceEnd {
    Complete,
    /// The stream broke off, and may be resumed on another upstream.
    Broken(Arc<str>),
    /// The upstream was silent, and another one has accepted the rest of the stream.
    Silent(Box<ResumedResponse>),
    ClientDisconnected,
    DeadlineExceeded,
    /// This host has no room for more of the stream.
    BuffersFull,
    /// The client has not read the stream.
    Unread(SendEnd),
}

/// How a stream to a client has ended.
enum RelayEnd {
    /// All events have been sent.
    Complete,
    /// The stream broke off, and no upstream takes it up again.
    Broken,
    ClientDisconnected,
    DeadlineExceeded,
    BuffersFull,
    Unread(SendEnd),
}

/// Relays one stream to its client.
#[derive(Debug)]
pub(crate) struct StreamRelay {
    pub(crate) context: Arc<RunnerContext>,
    pub(crate) routed: RoutedRequest,
    pub(crate) budget: Option<TurnBudget>,
    /// Attempts in which the request may have run.
    pub(crate) attempts: u32,
    pub(crate) excluded: Vec<Arc<str>>,
    pub(crate) sender: mpsc::Sender<StreamItem>,
}

/// What has been sent to the client so far.
#[derive(Debug)]
pub(super) struct StreamProgress {
    pub(super) last_event_id: Option<Arc<str>>,
    /// Whether each id, of two at least, was the one before plus one. Then an event that skips an id leaves out another one.
    pub(super) has_consecutive_ids: Option<bool>,
    /// Number of events with data.
    events: u64,
    /// Number of events without data.
    empty_events: u64,
    /// When the client last read again after it had read nothing for [`STALL_GRACE`].
    stall_ended_at: Option<Instant>,
    /// Data of the events, each followed by a line feed; collected only if the route keeps history.
    output: LeasedBuffer,
}

impl StreamProgress {
    fn new(buffers: &Arc<BufferBudget>) -> Self {
        Self {
            last_event_id: None,
            has_consecutive_ids: None,
            events: 0,
            empty_events: 0,
            stall_ended_at: None,
            output: buffers.buffer(),
        }
    }

    fn record_id(&mut self, id: &str) {
        if let Some(last_id) = &self.last_event_id {
            let is_next = is_next_id(last_id, id);
            self.has_consecutive_ids = Some(self.has_consecutive_ids.unwrap_or(true) && is_next);
        }
        self.last_event_id = Some(id.into());
    }

    /// Whether what arrives now may have been sent while the client, and so this host, did not read.
    fn has_stalled_lately(&self) -> bool {
        self.stall_ended_at.is_some_and(|at| at.elapsed() < STALL_MEMORY)
    }

    /// Whether events are missing between the last one that was sent and one with an id.
    pub(super) fn has_gap_before(&self, id: Option<&str>) -> bool {
        match (&self.last_event_id, id) {
            (Some(last_id), Some(id)) => {
                self.has_consecutive_ids == Some(true) && !is_next_id(last_id, id)
            }
            _ => false,
        }
    }
}

fn is_next_id(last_id: &str, id: &str) -> bool {
    let (Ok(last_id), Ok(id)) = (last_id.parse::<u64>(), id.parse::<u64>()) else {
        return false;
    };
    last_id.checked_add(1) == Some(id)
}

impl StreamRelay {
    /// Relays the whole stream. If it ends early, the sender is dropped without [`StreamItem::End`], and the client's
    /// connection is broken off. If the client leaves first, nothing more is sent to an upstream.
    pub(crate) async fn run(mut self, source: StreamSource) {
        let mut progress = StreamProgress::new(&self.context.buffers);
        let sender = self.sender.clone();

        let end = tokio::select! {
            end = self.relay(source, &mut progress) => end,
            () = sender.closed() => RelayEnd::ClientDisconnected,
        };
        drop(sender);

        match end {
            RelayEnd::Complete => self.finish(progress).await,
            RelayEnd::Broken => {
                self.context.metrics.count_broken_stream("upstream");
                log::warn!(
                    request:% = self.routed.request.id, events = progress.events, attempts = self.attempts;
                    "broken off: the stream does not resume on another upstream"
                );
            }
            RelayEnd::ClientDisconnected => {
                log::info!(request:% = self.routed.request.id, events = progress.events; "the client has disconnected");
            }
            RelayEnd::BuffersFull => {
                self.context.metrics.count_broken_stream("buffers_full");
                log::warn!(
                    request:% = self.routed.request.id, events = progress.events, used = self.context.buffers.used();
                    "broken off: the buffers of this host are full"
                );
            }
            RelayEnd::Unread(end) => {
                self.context.metrics.count_broken_stream(end.cause());
                log::warn!(
                    request:% = self.routed.request.id, events = progress.events, stalled_bytes = self.context.buffers.stalled_bytes(),
                    cause = end.cause();
                    "broken off: the client does not read the stream"
                );
            }
            RelayEnd::DeadlineExceeded => {
                self.context.metrics.count_broken_stream("deadline");
                log::info!(request:% = self.routed.request.id, events = progress.events; "broken off: the deadline has passed");
            }
        }
    }

    /// Forwards events from one upstream after the other until the stream ends.
    async fn relay(&mut self, source: StreamSource, progress: &mut StreamProgress) -> RelayEnd {
        let mut next_source = Some(source);

        while let Some(source) = next_source.take() {
            let upstream = Arc::clone(&source.lease.record.id);

            next_source = match self.forward_events(source, progress).await {
                SourceEnd::Complete => return RelayEnd::Complete,
                SourceEnd::ClientDisconnected => return RelayEnd::ClientDisconnected,
                SourceEnd::DeadlineExceeded => return RelayEnd::DeadlineExceeded,
                SourceEnd::BuffersFull => return RelayEnd::BuffersFull,
                SourceEnd::Unread(end) => return RelayEnd::Unread(end),
                SourceEnd::Broken(reason) => {
                    log::warn!(
                        request:% = self.routed.request.id, upstream:% = upstream, events = progress.events,
                        attempts = self.attempts;
                        "a stream has broken off: {reason}"
                    );
                    self.excluded.push(upstream);
                    self.resume(progress, None).await
                }
                SourceEnd::Silent(successor) => {
                    log::warn!(
                        request:% = self.routed.request.id, upstream:% = upstream, events = progress.events,
                        attempts = self.attempts, successor:% = successor.lease.record.id;
                        "a stream is silent, and another upstream takes it up"
                    );
                    self.excluded.push(upstream);
                    self.resume(progress, Some(*successor)).await
                }
            };
        }

        RelayEnd::Broken
    }

    /// Time without data after which the stream is resumed on another upstream.
    fn gap_timeout(&self) -> Duration {
        self.routed
            .route
            .event_gap_objective
            .map_or(DEFAULT_GAP_TIMEOUT, |it| it * GAP_TIMEOUT_FACTOR)
    }

    /// Forwards events from one upstream until its stream ends.
    async fn forward_events(
        &mut self,
        source: StreamSource,
        progress: &mut StreamProgress,
    ) -> SourceEnd {
        let StreamSource { lease, mut body, mut framer, first_event, target_attempt, .. } = source;
        let mut watch =
            AttemptWatch::start(&self.context, &self.routed, &lease, self.gap_timeout())
                .continuing(target_attempt);
        let mut first_event = Some(first_event);
        // Only whole events with data count, so that an upstream which sends a byte now and then is stalled as well.
        let mut silent_at = Instant::now() + self.gap_timeout();

        loop {
            while let Some(event) = first_event.take().or_else(|| framer.next_event()) {
                let has_data = event.data.is_some();

                watch.pause();
                let forwarded = self.forward_event(event, progress).await;
                watch.resume();

                if let Err(end) = forwarded {
                    watch.finish();
                    lease.finish(LeaseOutcome::Cancelled);
                    return end;
                }
                watch.record_data();
                if has_data {
                    silent_at = Instant::now() + self.gap_timeout();
                }
            }

            if progress.empty_events > MAX_EMPTY_EVENTS {
                watch.finish();
                lease.finish(LeaseOutcome::Failed);
                return SourceEnd::Broken("too many events without data".into());
            }

            let read_deadline = if self.can_resume() {
                self.routed.deadline.min(silent_at)
            } else {
                self.routed.deadline
            };

            match timeout_at(read_deadline, body.next()).await {
                Ok(Ok(Some(chunk))) => {
                    watch.record_data();
                    framer.push(&chunk);
                }
                Ok(Ok(None)) if !framer.has_partial_event() => {
                    watch.finish();
                    lease.finish(LeaseOutcome::Answered);
                    return SourceEnd::Complete;
                }
                // Upstreams abort what is not read for long, which says nothing about them.
                Ok(result) if progress.has_stalled_lately() => {
                    watch.finish();
                    lease.finish(LeaseOutcome::Cancelled);
                    let reason = result.err().map(|it| it.to_string());
                    let reason = reason.unwrap_or_else(|| "it ended inside an event".to_owned());
                    return SourceEnd::Broken(format!("{reason}, after it was not read").into());
                }
                Ok(Ok(None)) => {
                    watch.finish_broken("the stream ended inside an event");
                    lease.finish(LeaseOutcome::Failed);
                    return SourceEnd::Broken("the stream ended inside an event".into());
                }
                Ok(Err(error)) => {
                    watch.finish_broken(&error.to_string());
                    lease.finish(LeaseOutcome::Failed);
                    return SourceEnd::Broken(error.to_string().into());
                }
                Err(_) if read_deadline < self.routed.deadline => {
                    // The upstream may still go on, so it is given up only for one that can take the stream up.
                    if let Some(slot) = self.try_successor(&lease.record.id).await {
                        let mut opening = Box::pin(self.open_response(slot, progress));

                        match timeout(OVERLAP_LIMIT, &mut opening).await {
                            Ok(Some(successor)) => {
                                lease.finish(LeaseOutcome::Failed);
                                return SourceEnd::Silent(Box::new(successor));
                            }
                            Ok(None) => (),
                            Err(_) => {
                                drop(body);
                                lease.finish(LeaseOutcome::Failed);
                                return match opening.await {
                                    Some(successor) => SourceEnd::Silent(Box::new(successor)),
                                    None => SourceEnd::Broken("the upstream was silent".into()),
                                };
                            }
                        }
                    }
                    silent_at = Instant::now() + SUCCESSOR_INTERVAL;
                }
                Err(_) => {
                    lease.finish(LeaseOutcome::Cancelled);
                    return SourceEnd::DeadlineExceeded;
                }
            }

            if framer.is_event_too_long() {
                watch.finish();
                lease.finish(LeaseOutcome::Failed);
                return SourceEnd::Broken("an event exceeds the size limit".into());
            }
        }
    }

    /// Counts the event against the program's budget and sends it to the client.
    async fn forward_event(
        &mut self,
        event: StreamEvent,
        progress: &mut StreamProgress,
    ) -> Result<(), SourceEnd> {
        if let Some(data) = &event.data {
            let tokens = self.routed.service.tokens_per_event;
            progress.events += 1;
            self.context.metrics.count_tokens(tokens);

            if let Some(budget) = &mut self.budget
                && !budget.spend(tokens, self.routed.deadline).await
            {
                log::warn!(request:% = self.routed.request.id; "the program's spend can't be recorded in time");
                return Err(SourceEnd::DeadlineExceeded);
            }

            if self.routed.route.history_retention.is_some()
                && [data, &b"\n"[..]].iter().any(|it| progress.output.push(it).is_err())
            {
                return Err(SourceEnd::BuffersFull);
            }
        } else {
            progress.empty_events += 1;
        }

        if let Some(id) = &event.id {
            progress.record_id(id);
        }

        let bytes = self.context.buffers.count(event.bytes).map_err(|_| SourceEnd::BuffersFull)?;

        match self.stream_sender().send(StreamItem::Bytes(bytes)).await {
            Ok(stall) => {
                if stall >= STALL_GRACE {
                    progress.stall_ended_at = Some(Instant::now());
                }
                Ok(())
            }
            Err(SendEnd::ClientDisconnected) => Err(SourceEnd::ClientDisconnected),
            Err(SendEnd::DeadlineExceeded) => Err(SourceEnd::DeadlineExceeded),
            Err(end) => Err(SourceEnd::Unread(end)),
        }
    }

    fn stream_sender(&self) -> StreamSender {
        StreamSender {
            sender: self.sender.clone(),
            buffers: Arc::clone(&self.context.buffers),
            holder: self.routed.holder(),
            deadline: self.routed.deadline,
            idle_timeout: self.context.keys.routes.load().limits.idle_timeout,
        }
    }

    /// Records the turn if the route keeps history, and ends the response only once the turn and its chain are durable.
    async fn finish(self, progress: StreamProgress) {
        let sender = self.stream_sender();
        let request = &self.routed.request;
        let spent_tokens = self.budget.as_ref().map_or(0, TurnBudget::spent);

        if let Some(retention) = self.routed.route.history_retention {
            let scope = self.routed.scope();
            let previous = request.program.as_ref().and_then(|it| it.previous_turn.as_ref());
            let turn = Arc::new(HistoryTurn {
                id: scope.id(&request.id),
                previous: previous.map(|it| scope.id(it)),
                input: uncounted(&request.body),
                output: progress.output.into_uncounted(),
            });

            if let Some(budget) = self.budget {
                budget.finish();
            }

            let queued_at = Instant::now();
            let chains = &self.context.chains;
            let recording = chains.record(&self.routed.chain, &turn, retention);

            if !matches!(timeout_at(self.routed.deadline, recording).await, Ok(Ok(()))) {
                self.context.metrics.count_broken_stream("unrecorded");
                log::warn!(request:% = request.id; "broken off: the turn can't be recorded in time");
                return;
            }

            chains.keep(turn, retention, queued_at);
        }

        self.context.record_completion(self.routed.signature);
        self.context.metrics.record_request_time(request.received.elapsed());
        log::info!(
            request:% = request.id, events = progress.events, tokens = spent_tokens,
            took_ms = request.received.elapsed().as_millis() as u64;
            "a stream is complete"
        );
        let _ = sender.send(StreamItem::End).await;
    }
}
