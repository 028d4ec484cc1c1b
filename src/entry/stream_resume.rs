//! Resumption of a stream that has broken off, on another upstream.

use std::sync::Arc;

use hyper::StatusCode;
use tokio::time::{Instant, timeout_at};

use crate::entry::{
    BufferBudget, ChannelError, UpstreamResponse,
    crash_guard::AttemptWatch,
    event_framer::EventFramer,
    pooled_upstream::LeaseOutcome,
    request_runner::RETRY_TIMEOUT_FACTOR,
    run_refusal::RunRefusal,
    stream_relay::{StreamProgress, StreamRelay, StreamSource},
    upstream_lease::UpstreamLease,
};

/// Response of an upstream that has accepted the rest of a stream, and when its first event has to arrive.
#[derive(Debug)]
pub(super) struct ResumedResponse {
    pub(super) lease: UpstreamLease,
    watch: AttemptWatch,
    response: UpstreamResponse,
    deadline: Instant,
}

impl StreamRelay {
    pub(super) fn can_resume(&self) -> bool {
        self.routed.route.kind.is_retryable() && self.attempts < self.routed.route.attempt_limit
    }

    /// Takes a free slot on another upstream than the one whose stream is silent. Returns `None` if there is none now.
    pub(super) async fn try_successor(&self, silent_upstream: &Arc<str>) -> Option<UpstreamLease> {
        self.context.check_crashes(self.routed.signature).ok()?;
        self.context.check_key(&self.routed).ok()?;
        let mut excluded = self.excluded.clone();
        excluded.push(Arc::clone(silent_upstream));
        self.context.acquire_free(&self.routed, &excluded).await
    }

    /// Resumes the stream on another upstream after the last event that was sent to the client. `successor` is the
    /// response of one that has accepted the stream already. Returns `None` if no attempt or time is left, or if no slot
    /// is granted.
    pub(super) async fn resume(
        &mut self,
        progress: &StreamProgress,
        mut successor: Option<ResumedResponse>,
    ) -> Option<StreamSource> {
        loop {
            let resumed = match successor.take() {
                Some(resumed) => Some(resumed),
                None if self.can_resume() && Instant::now() < self.routed.deadline => {
                    let lease = self.acquire().await?;
                    self.open_response(lease, progress).await
                }
                None => return None,
            };
            let Some(resumed) = resumed else {
                continue;
            };

            let upstream = Arc::clone(&resumed.lease.record.id);

            if let Some(source) = read_new_event(&self.context.buffers, resumed, progress).await {
                log::info!(
                    request:% = self.routed.request.id, upstream:% = upstream,
                    software_version:? = self.routed.software_version, after_event:? = progress.last_event_id;
                    "a stream resumes on another upstream"
                );
                return Some(source);
            }
        }
    }

    async fn acquire(&self) -> Option<UpstreamLease> {
        let signature = self.routed.signature;

        let slot = async {
            self.context.check_key(&self.routed)?;
            self.context.check_crashes(signature)?;
            let lease = self.context.acquire(&self.routed, &self.excluded).await?;
            self.context.check_key(&self.routed)?;
            self.context.begin_attempt(signature)?;
            Ok::<_, RunRefusal>(lease)
        };

        match slot.await {
            Ok(lease) => Some(lease),
            Err(refusal) => {
                log::warn!(request:% = self.routed.request.id; "a stream can't be resumed: {refusal}");
                None
            }
        }
    }

    /// Sends the request for the rest of the stream to the leased upstream, which then gets no further attempt. Returns
    /// `None` if the upstream does not accept it.
    pub(super) async fn open_response(
        &mut self,
        lease: UpstreamLease,
        progress: &StreamProgress,
    ) -> Option<ResumedResponse> {
        self.excluded.push(Arc::clone(&lease.record.id));
        let silence_limit = self.routed.route.latency_objective * RETRY_TIMEOUT_FACTOR;
        let mut watch = AttemptWatch::start(&self.context, &self.routed, &lease, silence_limit);
        // The first event may take as long as that of a first attempt, which includes the prefill.
        let resume_timeout = self.routed.route.latency_objective * RETRY_TIMEOUT_FACTOR;
        let deadline = if self.attempts + 1 < self.routed.route.attempt_limit {
            self.routed.deadline.min(Instant::now() + resume_timeout)
        } else {
            self.routed.deadline
        };
        let request = self.routed.upstream_request(progress.last_event_id.clone());
        let result =
            timeout_at(deadline, self.context.channel.send(&lease.record, request, &lease)).await;

        let response = match result {
            Ok(Ok(response)) => response,
            Ok(Err(ChannelError::Leaving)) => {
                watch.finish();
                return None;
            }
            Ok(Err(ChannelError::NotSent { .. })) => {
                watch.finish_unsent();
                lease.finish(LeaseOutcome::Unreachable);
                return None;
            }
            result => {
                match result {
                    Ok(Err(ChannelError::Mismatched { is_leaving })) => {
                        watch.finish();
                        if is_leaving {
                            lease.record_leaving();
                        }
                    }
                    Ok(Err(error)) => watch.finish_broken(&error.to_string()),
                    _ => drop(watch),
                }
                self.attempts += 1;
                lease.finish(LeaseOutcome::Failed);
                return None;
            }
        };

        self.context.record_response(&lease, &response);
        watch.record_data();

        if response.has_not_run || response.status == StatusCode::MISDIRECTED_REQUEST {
            watch.finish();
            lease.finish(LeaseOutcome::Full);
            return None;
        }

        self.attempts += 1;

        if !response.status.is_success() || !response.is_signed {
            watch.finish();
            lease.finish(LeaseOutcome::Failed);
            return None;
        }

        Some(ResumedResponse { lease, watch, response, deadline })
    }
}

/// Reads to the first event that has not been sent to the client. Returns `None` if the upstream sends none in time.
async fn read_new_event(
    buffers: &Arc<BufferBudget>,
    resumed: ResumedResponse,
    progress: &StreamProgress,
) -> Option<StreamSource> {
    let ResumedResponse { lease, mut watch, mut response, deadline } = resumed;
    let mut framer = EventFramer::new(buffers);

    loop {
        while let Some(event) = framer.next_event() {
            if is_new_event(progress.last_event_id.as_deref(), event.id.as_deref()) {
                let target_attempt = watch.target_attempt();
                watch.finish();

                if progress.has_gap_before(event.id.as_deref()) {
                    log::warn!(
                        upstream:% = lease.record.id, after_event:? = progress.last_event_id, event:? = event.id;
                        "an upstream leaves out events of a stream that it resumes"
                    );
                    lease.finish(LeaseOutcome::Failed);
                    return None;
                }

                let departure = lease.departure(&response);
                let (status, headers, body) = (response.status, response.headers, response.body);
                return Some(StreamSource {
                    lease,
                    status,
                    headers,
                    departure,
                    body,
                    framer,
                    first_event: event,
                    target_attempt,
                });
            }
        }

        let chunk = match timeout_at(deadline, response.body.next()).await {
            Ok(Ok(Some(chunk))) => chunk,
            Ok(end) => {
                let reason = end.err().map_or("the stream has ended".into(), |it| it.to_string());
                watch.finish_broken(&reason);
                lease.finish(LeaseOutcome::Failed);
                return None;
            }
            Err(_) => {
                lease.finish(LeaseOutcome::Failed);
                return None;
            }
        };

        watch.record_data();
        framer.push(&chunk);

        if framer.is_event_too_long() {
            watch.finish();
            lease.finish(LeaseOutcome::Failed);
            return None;
        }
    }
}

/// Whether an event comes after the last one that was sent. Ids are increasing numbers. An event without an id belongs
/// to the head of the stream and is not sent again after a break.
fn is_new_event(last_id: Option<&str>, id: Option<&str>) -> bool {
    match (last_id, id) {
        (None, _) => true,
        (Some(_), None) => false,
        (Some(last_id), Some(id)) => match (last_id.parse::<u64>(), id.parse::<u64>()) {
            (Ok(last_id), Ok(id)) => id > last_id,
            _ => id != last_id,
        },
    }
}
