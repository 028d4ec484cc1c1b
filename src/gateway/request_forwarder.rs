//! Forwards clients' requests to schedulers.
//!
//! A request is offered first, and runs only once the offer was accepted and the acceptance confirmed. So a scheduler
//! that does not answer in time can be passed over without the risk that the request runs twice. See
//! docs/design/fleet.md, "Forwarding".

use std::{net::SocketAddr, sync::Arc};

use hyper::StatusCode;
use parking_lot::Mutex;
use tokio::{
    sync::mpsc,
    time::{Duration, Instant, timeout, timeout_at},
};

use crate::{
    PeerError, PeerMessage, PeerStream,
    entry::{
        BufferBudget, EntryRefusal, EntryRequest, EntryResponse, RelayedBody, RelayedResponse,
        entry_metrics::EntryMetrics, entry_response::MAX_BUFFERED_ITEMS, host_load::StreamHolder,
        mesh_connector::MeshConnector, run_record::RunRecord,
        upstream_departures::UpstreamDepartures,
    },
    gateway::{
        DeclineReason, ForwardedHead, ForwardedRequest, SchedulerDirectory, SchedulerEntry,
        forwarded_request::decode_headers, forwarded_stream::ForwardedStream,
    },
};

/// Time for a scheduler to accept an offer, with the time to connect. A round trip between regions takes 16 ms, and a
/// host that has used up its share of a core stands still for up to 100 ms.
const OFFER_TIMEOUT: Duration = Duration::from_millis(400);

/// Time to accept an offer from which on a scheduler counts as busy. Hosts with 0.12 of a core stand still for 100 ms in ordinary
/// use, and two of those may follow on each other.
const LATE_ACCEPTANCE: Duration = Duration::from_millis(250);

/// Most schedulers to which one request is offered, apart from those that decline at once.
const MAX_OFFERS: usize = 6;

/// Most schedulers that decline a request before it is refused.
const MAX_DECLINES: usize = 12;

/// Time for which the gateway waits for a scheduler beyond the client's deadline, so that the scheduler's own answer
/// comes first.
const DEADLINE_SLACK: Duration = Duration::from_millis(50);

/// Longest wait for the response to a request without a deadline.
const DEFAULT_TIMEOUT: Duration = Duration::from_mins(1);

/// Response of a scheduler to an offer.
enum OfferOutcome {
    Accepted { stream: Box<dyn PeerStream>, is_retryable: bool },
    Declined(DeclineReason),
    Silent(PeerError),
}

/// What became of a request that a scheduler has accepted.
enum ForwardOutcome {
    Response(EntryResponse),
    /// The scheduler was lost before its response began; the request may have run.
    Lost(PeerError),
}

/// Forwards requests of this host's clients.
#[derive(Clone, Debug)]
pub(crate) struct RequestForwarder {
    pub(crate) connector: Arc<MeshConnector>,
    pub(crate) directory: Arc<SchedulerDirectory>,
    pub(crate) metrics: Arc<EntryMetrics>,
    /// Upstreams that leave, which this host's own placement shares if it is a scheduler.
    pub(crate) departures: Arc<Mutex<UpstreamDepartures>>,
    pub(crate) buffers: Arc<BufferBudget>,
}

impl RequestForwarder {
    /// Forwards a request to the first of the candidates that accepts it, and returns its response, or `None` if none
    /// of them does, so that the request has not run. If that scheduler is lost, a retryable request is forwarded to the
    /// next one, whose refusal does not cover the first attempt. Dropping the future cancels the request.
    pub(crate) async fn forward(
        &self,
        request: &EntryRequest,
        candidates: &[SchedulerEntry],
    ) -> Option<EntryResponse> {
        let deadline = request.deadline.unwrap_or(request.received + DEFAULT_TIMEOUT);
        let mut record = RunRecord::new(request);
        let mut offers = 0;
        let mut declines = 0;

        for scheduler in candidates {
            let is_exhausted = offers >= MAX_OFFERS + declines || declines >= MAX_DECLINES;
            if is_exhausted || Instant::now() >= deadline {
                break;
            }

            offers += 1;
            let offered_at = Instant::now();

            let (stream, is_retryable) = match self.offer(request, scheduler.address).await {
                OfferOutcome::Accepted { stream, is_retryable } => {
                    self.metrics.count_offer("accepted");
                    if offered_at.elapsed() >= LATE_ACCEPTANCE {
                        self.directory.mark_busy(scheduler.address);
                    }
                    (stream, is_retryable)
                }
                OfferOutcome::Declined(reason) => {
                    self.metrics.count_offer("declined");
                    declines += 1;
                    match reason {
                        DeclineReason::OutOfReach => {
                            self.directory.mark_out_of_reach(scheduler.address);
                        }
                        // It may be overloaded, for which older builds have no reason of its own.
                        DeclineReason::NotReady => self.directory.mark_busy(scheduler.address),
                        _ => (),
                    }
                    log::info!(request:% = request.id, scheduler:% = scheduler.host; "a scheduler has declined a request: {reason}");
                    continue;
                }
                OfferOutcome::Silent(error) => {
                    self.metrics.count_offer("silent");
                    log::warn!(
                        request:% = request.id, scheduler:% = scheduler.host,
                        waited_ms = offered_at.elapsed().as_millis() as u64;
                        "a scheduler has not responded to an offer: {error}"
                    );
                    self.directory.mark_suspect(scheduler.address);
                    continue;
                }
            };

            log::info!(
                request:% = request.id, scheduler:% = scheduler.host, offers,
                waited_ms = offered_at.elapsed().as_millis() as u64;
                "forwarded"
            );

            let forwarded = ForwardedStream {
                request: Arc::clone(&request.id),
                scheduler: Arc::clone(&scheduler.host),
                stream,
                deadline: deadline + DEADLINE_SLACK,
                metrics: Arc::clone(&self.metrics),
                buffers: Arc::clone(&self.buffers),
                holder: StreamHolder::new(request, None),
                idle_timeout: self.directory.limits().idle_timeout,
            };

            match run(forwarded, &mut record).await {
                ForwardOutcome::Response(response) if response.is_out_of_reach() => {
                    self.metrics.count_forwarded("out_of_reach");
                    declines += 1;
                    self.directory.mark_out_of_reach(scheduler.address);
                    log::info!(request:% = request.id, scheduler:% = scheduler.host; "a scheduler does not reach the service of a request that it has accepted");
                }
                ForwardOutcome::Response(response) => {
                    self.record_response(request, scheduler, &response, &record);
                    self.record_departure(&response);
                    return Some(record.final_response(response));
                }
                ForwardOutcome::Lost(error) => {
                    self.metrics.count_forwarded("lost");
                    log::warn!(request:% = request.id, scheduler:% = scheduler.host, is_retryable; "a scheduler was lost while it ran a request: {error}");
                    self.directory.mark_suspect(scheduler.address);
                    record.record_possible_run(&scheduler.host);

                    if !is_retryable {
                        break;
                    }
                }
            }
        }

        if !record.may_have_run() {
            return None;
        }

        log::info!(
            request:% = request.id, refusal:% = EntryRefusal::ResponseLost, lost_schedulers:? = record.tried_at(), offers,
            took_ms = request.received.elapsed().as_millis() as u64;
            "refused: each scheduler that was to run the request was lost"
        );
        Some(EntryResponse::refused(EntryRefusal::ResponseLost, "the scheduler was lost"))
    }

    /// Counts a response, and logs a refusal with the schedulers that may have run the request before.
    fn record_response(
        &self,
        request: &EntryRequest,
        scheduler: &SchedulerEntry,
        response: &EntryResponse,
        record: &RunRecord,
    ) {
        let EntryResponse::Refused { refusal, reason } = response else {
            return self.metrics.count_forwarded("answered");
        };

        let is_after_loss = !record.tried_at().is_empty();
        let outcome = if is_after_loss { "refused_after_loss" } else { "answered" };
        self.metrics.count_forwarded(outcome);
        log::info!(
            request:% = request.id, scheduler:% = scheduler.host, refusal:%, lost_schedulers:? = record.tried_at(),
            took_ms = request.received.elapsed().as_millis() as u64;
            "a forwarded request is refused: {reason}"
        );
    }

    /// Records that an upstream states in a response, which this host is about to pass on, that it leaves.
    fn record_departure(&self, response: &EntryResponse) {
        if let EntryResponse::Relayed(RelayedResponse { departure: Some(departure), .. }) = response
            && self.departures.lock().add_stated(departure.clone())
        {
            log::info!(
                upstream:% = departure.id, leaving_runs:? = departure.leaving_runs;
                "an upstream has stated that it is leaving in a response that another host has forwarded"
            );
        }
    }

    async fn offer(&self, request: &EntryRequest, address: SocketAddr) -> OfferOutcome {
        let offer = PeerMessage::ForwardOffer {
            min_config_version: self.directory.config_version(),
            request: Box::new(ForwardedRequest::encode(request, Instant::now())),
        };

        let exchange = async {
            let mut stream = self.connector.open(address, &offer).await?;
            let response = stream.receive().await?;
            Ok::<_, PeerError>((stream, response))
        };

        match timeout(OFFER_TIMEOUT, exchange).await {
            Ok(Ok((
                stream,
                Some(PeerMessage::ForwardAccepted { is_retryable, config_version }),
            ))) => {
                self.directory.record_config_version(config_version);
                OfferOutcome::Accepted { stream, is_retryable }
            }
            Ok(Ok((_, Some(PeerMessage::ForwardDeclined { reason })))) => {
                OfferOutcome::Declined(reason)
            }
            Ok(Ok((_, other))) => OfferOutcome::Silent(unexpected_message(other)),
            Ok(Err(error)) => OfferOutcome::Silent(error),
            Err(_) => OfferOutcome::Silent(PeerError::Overdue),
        }
    }
}

/// Confirms an accepted request and reads its response. Records the attempts that the scheduler reports meanwhile.
async fn run(mut forwarded: ForwardedStream, record: &mut RunRecord) -> ForwardOutcome {
    if let Err(error) = forwarded.stream.send(&PeerMessage::ForwardConfirmed).await {
        return ForwardOutcome::Lost(error);
    }

    let response = loop {
        match timeout_at(forwarded.deadline, forwarded.stream.receive()).await {
            Ok(Ok(Some(PeerMessage::ForwardRunsReported { possible_runs }))) => {
                record.record_reported_runs(possible_runs);
            }
            Ok(Ok(response)) => break response,
            Ok(Err(error)) => return ForwardOutcome::Lost(error),
            Err(_) => {
                return ForwardOutcome::Response(EntryResponse::refused(
                    EntryRefusal::DeadlineExceeded,
                    "the time has run out",
                ));
            }
        }
    };

    match response {
        Some(PeerMessage::ForwardRefused { refusal, reason }) => {
            ForwardOutcome::Response(EntryResponse::refused(refusal, reason))
        }
        Some(PeerMessage::ForwardHead(head)) => match decode_head(head, forwarded) {
            Some(relayed) => ForwardOutcome::Response(EntryResponse::Relayed(relayed)),
            None => ForwardOutcome::Lost(PeerError::Refused {
                reason: "the head of the response is not valid in HTTP".into(),
            }),
        },
        other => ForwardOutcome::Lost(unexpected_message(other)),
    }
}

/// Decodes the head of a response. A streamed body is relayed by a task that ends with the client or the deadline.
fn decode_head(head: ForwardedHead, forwarded: ForwardedStream) -> Option<RelayedResponse> {
    let status = StatusCode::from_u16(head.status).ok()?;
    let headers = decode_headers(&head.headers)?;
    let departure = head.departure;

    let body = if let Some(body) = head.body {
        RelayedBody::Whole(body)
    } else {
        let (sender, receiver) = mpsc::channel(MAX_BUFFERED_ITEMS);
        tokio::spawn(forwarded.relay(sender));
        RelayedBody::Events(receiver)
    };

    Some(RelayedResponse { status, headers, body, departure })
}

pub(super) fn unexpected_message(message: Option<PeerMessage>) -> PeerError {
    let reason = match message {
        Some(PeerMessage::Refused { reason }) => reason.to_string(),
        Some(_) => "the message does not fit the exchange".into(),
        None => "the peer has ended the exchange".into(),
    };
    PeerError::Lost { reason }
}
