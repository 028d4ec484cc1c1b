//! Serves the requests that other hosts forward to a scheduler.

use std::sync::Arc;

use tokio::time::{Duration, Instant, timeout};

use crate::{
    PeerError, PeerMessage, PeerStream,
    entry::{
        ClientKey, EntryHost, EntryRequest, EntryResponse, LoadMonitor, RelayedBody, StreamItem,
    },
    gateway::{DeclineReason, ForwardedHead, ForwardedRequest, forwarded_request::encode_headers},
};

/// Time for the offering host to confirm that the request is to run here. It gives up sooner if it has not received
/// the acceptance.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves an offer: accepts or declines it, and runs the request once that is confirmed. The offering host is told of each
/// attempt in which the request may have run, in case this host is lost. It ends its side of the stream when its client
/// has left, which cancels the request.
pub(crate) async fn serve_offer(
    host: &Arc<EntryHost>,
    load: &LoadMonitor,
    min_config_version: u64,
    request: ForwardedRequest,
    stream: &mut dyn PeerStream,
) -> Result<(), PeerError> {
    let Some(request) = request.decode(Instant::now()) else {
        return decline(stream, DeclineReason::Malformed).await;
    };

    if let Some(reason) = decline_reason(host, load, min_config_version, &request) {
        return decline(stream, reason).await;
    }

    let _guard = host.forwarded_requests().begin();
    let accepted = PeerMessage::ForwardAccepted {
        is_retryable: host.is_retryable(&request),
        config_version: host.routes().version,
    };
    stream.send(&accepted).await?;

    let confirmation = timeout(CONFIRM_TIMEOUT, stream.receive()).await;

    if !matches!(confirmation, Ok(Ok(Some(PeerMessage::ForwardConfirmed)))) {
        log::info!(request:% = request.id; "an accepted request was not confirmed, so it is not run");
        return Ok(());
    }

    let id = Arc::clone(&request.id);
    // Builds that know teams state the key, or that there is none.
    let is_older_build = request.key == ClientKey::Unstated;
    let mut possible_runs = request.possible_runs.subscribe();
    let mut handling = Box::pin(host.handle(request));

    let response = loop {
        tokio::select! {
            response = &mut handling => break response,
            Ok(()) = possible_runs.changed() => {
                let possible_runs = *possible_runs.borrow_and_update();
                stream.send(&PeerMessage::ForwardRunsReported { possible_runs }).await?;
            }
            // Nothing but its end follows the confirmation, so a read that is dropped halfway loses no message.
            _ = stream.receive() => {
                log::info!(request:% = id; "the forwarding host has cancelled a request");
                return Ok(());
            }
        }
    };

    // A request that goes on at another host takes the number of its attempts along.
    if possible_runs.has_changed().unwrap_or(false) {
        let possible_runs = *possible_runs.borrow_and_update();
        stream.send(&PeerMessage::ForwardRunsReported { possible_runs }).await?;
    }

    let response = match response {
        EntryResponse::Refused { refusal, reason } if is_older_build => {
            EntryResponse::refused(refusal.for_older_build(), reason)
        }
        response => response,
    };

    send_response(response, stream).await?;
    stream.finish();
    // A host that stops ends its process once no guard is held.
    stream.wait_until_received().await
}

/// Why this host can't take a request now, if so.
fn decline_reason(
    host: &EntryHost,
    load: &LoadMonitor,
    min_config_version: u64,
    request: &EntryRequest,
) -> Option<DeclineReason> {
    let reach = host.pool().reach();

    if host.is_draining() {
        Some(DeclineReason::Draining)
    } else if !host.is_ready() {
        Some(DeclineReason::NotReady)
    } else if let Some(cause) = load.refusal_of_offer(request) {
        log::info!(request:% = request.id; "declined: {cause}");
        // Builds that know no reason of its own take this one the right way: they offer the request to another host.
        Some(DeclineReason::NotReady)
    } else if host.routes().version < min_config_version {
        Some(DeclineReason::StaleConfig)
    } else if host.service_of(request).is_some_and(|service| reach.is_lost(&service)) {
        Some(DeclineReason::OutOfReach)
    } else {
        None
    }
}

pub(crate) async fn decline(
    stream: &mut dyn PeerStream,
    reason: DeclineReason,
) -> Result<(), PeerError> {
    stream.send(&PeerMessage::ForwardDeclined { reason }).await
}

async fn send_response(
    response: EntryResponse,
    stream: &mut dyn PeerStream,
) -> Result<(), PeerError> {
    let relayed = match response {
        EntryResponse::Relayed(relayed) => relayed,
        EntryResponse::Refused { refusal, reason } => {
            return stream.send(&PeerMessage::ForwardRefused { refusal, reason }).await;
        }
    };

    let (body, mut events) = match relayed.body {
        RelayedBody::Whole(body) => (Some(body), None),
        RelayedBody::Events(events) => (None, Some(events)),
    };
    let head = ForwardedHead {
        status: relayed.status.as_u16(),
        headers: encode_headers(&relayed.headers),
        body,
        departure: relayed.departure,
    };
    stream.send(&PeerMessage::ForwardHead(head)).await?;

    while let Some(events) = &mut events {
        let item = tokio::select! {
            item = events.recv() => item,
            _ = stream.receive() => return Ok(()),
        };

        match item {
            Some(StreamItem::Bytes(bytes)) => {
                stream.send(&PeerMessage::ForwardBytes { bytes }).await?;
            }
            Some(StreamItem::End) => return stream.send(&PeerMessage::ForwardEnd).await,
            None => return Ok(()),
        }
    }

    Ok(())
}
