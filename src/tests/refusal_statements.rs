//! Refusals which state that a request has not run, inside one scheduler.

use std::{net::SocketAddr, sync::Arc};

use async_trait::async_trait;
use hyper::StatusCode;
use tokio::time::{Duration, Instant, sleep, timeout};

use super::{
    entry_fakes::{MemoryStore, ScriptedResponse},
    entry_node::{
        peer_transport, registered_address, route_table, start_node, turn, wait_until_ready,
    },
    entry_runner::{FULL, OK, run_request, run_request_on},
};
use crate::{
    PeerError, PeerMessage, PeerStream, PeerTransport,
    entry::{
        EntryRefusal, EntryResponse, RequestKind, entry_metrics::EntryMetrics,
        mesh_connector::MeshConnector,
    },
    gateway::{ForwardedRequest, RequestForwarder, SchedulerDirectory, SchedulerEntry},
};

/// Time for which the host that has offered a request stands still. A scheduler waits for a second.
const FREEZE_TIME: Duration = Duration::from_millis(1_300);

/// Time for a response to a request that runs.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// An answer with a status that clients read as "not run", and without the upstream's statement that the request has not run.
fn unstated(status: StatusCode) -> ScriptedResponse {
    ScriptedResponse::Whole { status, has_not_run: false, is_signed: false }
}

#[tokio::test(start_paused = true)]
async fn runner_never_states_not_run_after_an_attempt_that_may_have_run() {
    let unsigned = unstated(StatusCode::OK);
    let failed = unstated(StatusCode::INTERNAL_SERVER_ERROR);
    let firsts = [ScriptedResponse::Broken, ScriptedResponse::Silent, unsigned, failed];

    for first in firsts {
        for (label, later) in [("full", FULL), ("not reached", ScriptedResponse::NotSent)] {
            let responses = vec![first.clone(), later.clone(), later.clone(), later.clone(), later];
            let result = run_request(RequestKind::Idempotent, responses).await;
            assert_eq!(result.outcome(), "answer_lost", "{first:?}, then {label}");
        }

        // The only upstream is not tried again.
        let result = run_request_on(1, RequestKind::Idempotent, vec![first.clone()]).await;
        assert_eq!(result.outcome(), "answer_lost", "{first:?}, then none");
    }
}

#[tokio::test(start_paused = true)]
async fn runner_relays_no_refusal_without_the_statement_of_its_upstream() {
    let statuses = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::REQUEST_TIMEOUT,
    ];

    for status in statuses {
        for kind in [RequestKind::AtMostOnce, RequestKind::Stream { can_resume: false }] {
            let result = run_request(kind, vec![unstated(status)]).await;
            assert_eq!(result.outcome(), "answer_lost", "{status}");
        }
    }

    // The rules state of this status alone that the request has not run.
    let responses = vec![unstated(StatusCode::MISDIRECTED_REQUEST), OK];
    let result = run_request(RequestKind::AtMostOnce, responses).await;
    assert_eq!((result.outcome().as_str(), result.upstreams().len()), ("200", 2));
}

#[tokio::test(start_paused = true)]
async fn runner_relays_no_spent_budget_of_an_upstream() {
    let spent = unstated(StatusCode::PAYMENT_REQUIRED);
    let result = run_request(RequestKind::Stream { can_resume: false }, vec![spent]).await;
    assert_eq!(result.outcome(), "answer_lost");
}

/// Connections to a scheduler that accepts each request and then can't be written to.
#[derive(Debug)]
struct BrokenTransport;

#[derive(Debug)]
struct BrokenStream;

#[async_trait]
impl PeerStream for BrokenStream {
    async fn receive(&mut self) -> Result<Option<PeerMessage>, PeerError> {
        Ok(Some(PeerMessage::ForwardAccepted { is_retryable: false, config_version: 1 }))
    }

    async fn send(&mut self, _message: &PeerMessage) -> Result<(), PeerError> {
        Err(PeerError::Lost { reason: "reset".into() })
    }

    fn finish(&mut self) {}

    async fn wait_until_received(&mut self) -> Result<(), PeerError> {
        Ok(())
    }
}

#[async_trait]
impl PeerTransport for BrokenTransport {
    fn disconnect(&self, _peer: SocketAddr) {}

    fn retire(&self, _peer: SocketAddr) {}

    fn is_connected(&self, _peer: SocketAddr) -> bool {
        true
    }

    async fn connect(&self, _peer: SocketAddr) -> Result<(), PeerError> {
        Ok(())
    }

    async fn open(
        &self,
        _peer: SocketAddr,
        _first: &PeerMessage,
    ) -> Result<Box<dyn PeerStream>, PeerError> {
        Ok(Box::new(BrokenStream))
    }
}

#[tokio::test(start_paused = true)]
async fn forward_never_states_not_run_after_a_confirmation_that_failed() {
    let forwarder = RequestForwarder {
        connector: Arc::new(MeshConnector::new(Arc::new(BrokenTransport))),
        directory: Arc::new(SchedulerDirectory::new("north".into())),
        metrics: Arc::new(EntryMetrics::new().expect("metrics")),
        departures: Arc::default(),
        buffers: Arc::default(),
    };
    let scheduler = SchedulerEntry {
        host: "one".into(),
        address: ([127, 0, 0, 1], 1).into(),
        region: "north".into(),
        is_draining: false,
        lost_services: Arc::default(),
        processor_millis: 1_000,
    };
    let response = forwarder.forward(&turn("program"), &[scheduler]).await;
    let is_lost = matches!(
        response,
        Some(EntryResponse::Refused { refusal: EntryRefusal::ResponseLost, .. })
    );
    assert!(is_lost, "{response:?}");
}

#[tokio::test]
async fn scheduler_never_runs_a_request_that_is_confirmed_too_late() {
    let store = Arc::new(MemoryStore::default());
    let node = start_node(&store, "one", route_table(1, "/new/")).await;
    wait_until_ready(&node).await;
    let address = registered_address(&store, "one").await;
    let peer = peer_transport(&store).await;

    for (is_late, delay) in [(false, Duration::ZERO), (true, FREEZE_TIME)] {
        let request = Box::new(ForwardedRequest::encode(&turn("program"), Instant::now()));
        let offer = PeerMessage::ForwardOffer { min_config_version: 1, request };
        let mut stream = peer.open(address, &offer).await.expect("failed to open a stream");
        let accepted = stream.receive().await;
        assert!(matches!(accepted, Ok(Some(PeerMessage::ForwardAccepted { .. }))), "{accepted:?}");
        sleep(delay).await;
        // The scheduler may have closed its side.
        let _ = stream.send(&PeerMessage::ForwardConfirmed).await;
        let response = timeout(RESPONSE_TIMEOUT, stream.receive()).await.expect("an end");
        let has_run = matches!(response, Ok(Some(_)));
        assert_eq!(has_run, !is_late, "{response:?}");
    }
}
