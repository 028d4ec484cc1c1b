//! Forwarding of requests to schedulers that decline, do not respond, or are lost.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
};

use async_trait::async_trait;
use bytes::Bytes;
use hyper::{HeaderMap, Method, header, header::HeaderValue};
use parking_lot::Mutex;
use tokio::{
    sync::mpsc,
    time::{Duration, Instant},
};

use super::entry_fakes::upstream;
use crate::{
    PeerError, PeerMessage, PeerStream, PeerTransport,
    entry::{
        BufferBudget, EntryRefusal, EntryRequest, EntryResponse, PossibleRuns, ProgramContext,
        PromptPart, RelayedBody, StreamItem, entry_metrics::EntryMetrics, host_load::StreamHolder,
        mesh_connector::MeshConnector, upstream_departures::UpstreamDeparture,
    },
    gateway::{
        DeclineReason, ForwardedHead, ForwardedRequest, RequestForwarder, SchedulerDirectory,
        SchedulerEntry, forwarded_stream::ForwardedStream,
    },
};

/// What a scheduler sends, in order. Once nothing is left, the exchange ends.
type Script = VecDeque<PeerMessage>;

/// How an exchange ends after its script.
#[derive(Clone, Copy, Debug)]
enum ScriptEnd {
    /// The scheduler finishes its side of the stream.
    Finished,
    /// The connection is lost.
    Reset,
}

/// Transport to schedulers with scripts; one without a script never responds. It records the messages sent to each.
#[derive(Debug, Default)]
struct ScriptedTransport {
    scripts: Mutex<HashMap<SocketAddr, Script>>,
    sent: Arc<Mutex<Vec<(SocketAddr, &'static str)>>>,
}

#[derive(Debug)]
struct ScriptedStream {
    peer: SocketAddr,
    script: Option<Script>,
    end: ScriptEnd,
    sent: Arc<Mutex<Vec<(SocketAddr, &'static str)>>>,
}

#[async_trait]
impl PeerStream for ScriptedStream {
    async fn receive(&mut self) -> Result<Option<PeerMessage>, PeerError> {
        match &mut self.script {
            Some(script) => match script.pop_front() {
                Some(message) => Ok(Some(message)),
                None => match self.end {
                    ScriptEnd::Finished => Ok(None),
                    ScriptEnd::Reset => Err(PeerError::Lost { reason: "reset".into() }),
                },
            },
            None => std::future::pending().await,
        }
    }

    async fn send(&mut self, message: &PeerMessage) -> Result<(), PeerError> {
        if matches!(message, PeerMessage::ForwardConfirmed) {
            self.sent.lock().push((self.peer, "confirmed"));
        }
        Ok(())
    }

    fn finish(&mut self) {}

    async fn wait_until_received(&mut self) -> Result<(), PeerError> {
        Ok(())
    }
}

#[async_trait]
impl PeerTransport for ScriptedTransport {
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
        peer: SocketAddr,
        _first: &PeerMessage,
    ) -> Result<Box<dyn PeerStream>, PeerError> {
        self.sent.lock().push((peer, "offered"));
        let script = self.scripts.lock().remove(&peer);
        let (end, sent) = (ScriptEnd::Reset, Arc::clone(&self.sent));
        Ok(Box::new(ScriptedStream { peer, script, end, sent }))
    }
}

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

fn request() -> EntryRequest {
    let now = Instant::now();
    let mut headers = HeaderMap::new();
    headers.append("x-custom", "one".parse().expect("a header value"));
    headers.append("x-custom", "two".parse().expect("a header value"));

    EntryRequest {
        key: crate::entry::ClientKey::Missing,
        id: "r1".into(),
        method: Method::POST,
        host: "a.example".into(),
        path: "/chat/1".into(),
        target: "/chat/1?q=2".into(),
        headers,
        body: Bytes::from_static(b"input"),
        received: now,
        deadline: Some(now + Duration::from_secs(3)),
        program: Some(ProgramContext {
            id: "p1".into(),
            session: Some("s1".into()),
            finish_by: Some(now + Duration::from_secs(9)),
            token_budget: Some(400),
            previous_turn: Some("r0".into()),
        }),
        prompt_tokens: 10,
        max_completion_tokens: 92,
        prompt_parts: vec![PromptPart { id: 7, tokens: 10 }],
        last_event_id: Some("3".into()),
        resumed_request: Some("r-1".into()),
        possible_runs: PossibleRuns::default(),
        is_forwarded: false,
    }
}

fn accepted(is_retryable: bool) -> PeerMessage {
    PeerMessage::ForwardAccepted { is_retryable, config_version: 1 }
}

fn whole_response(body: &'static [u8]) -> PeerMessage {
    let body = Some(Bytes::from_static(body));
    PeerMessage::ForwardHead(ForwardedHead {
        status: 200,
        headers: Vec::new(),
        body,
        departure: None,
    })
}

/// Forwards a request to schedulers with these scripts, and returns the response and what was sent to whom.
async fn forward<const COUNT: usize>(
    scripts: [Option<Vec<PeerMessage>>; COUNT],
) -> (Option<EntryResponse>, Vec<(u16, &'static str)>) {
    let transport = Arc::new(ScriptedTransport::default());
    for (number, script) in (1..).zip(scripts) {
        if let Some(script) = script {
            transport.scripts.lock().insert(address(number), script.into());
        }
    }

    let forwarder = forwarder(&transport);
    let response = forwarder.forward(&request(), &candidates(COUNT)).await;
    let sent = transport.sent.lock().iter().map(|(peer, what)| (peer.port(), *what)).collect();
    (response, sent)
}

fn candidates(count: usize) -> Vec<SchedulerEntry> {
    (1..)
        .take(count)
        .map(|number| SchedulerEntry {
            host: format!("host-{number}").into(),
            address: address(number),
            region: "north".into(),
            is_draining: false,
            lost_services: Arc::default(),
            processor_millis: 1_000,
        })
        .collect()
}

fn forwarder(transport: &Arc<ScriptedTransport>) -> RequestForwarder {
    RequestForwarder {
        connector: Arc::new(MeshConnector::new(Arc::clone(transport) as Arc<dyn PeerTransport>)),
        directory: Arc::new(SchedulerDirectory::new("north".into())),
        metrics: Arc::new(EntryMetrics::new().expect("metrics")),
        departures: Arc::default(),
        buffers: Arc::default(),
    }
}

fn whole_body(response: Option<EntryResponse>) -> Bytes {
    match response {
        Some(EntryResponse::Relayed(relayed)) => match relayed.body {
            RelayedBody::Whole(body) => body,
            RelayedBody::Events(_) => panic!("a stream"),
        },
        other => panic!("expected a response, received {other:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn forward_passes_over_schedulers_that_take_no_offer() {
    let declined = vec![PeerMessage::ForwardDeclined { reason: DeclineReason::Draining }];
    let running = vec![accepted(false), whole_response(b"done")];

    for first in [None, Some(Vec::new()), Some(declined.clone())] {
        let (response, sent) = forward([first, Some(running.clone())]).await;
        assert_eq!(whole_body(response), "done");
        // The first one was never told to run the request.
        assert_eq!(sent, [(1, "offered"), (2, "offered"), (2, "confirmed")]);
    }

    let (response, _) = forward([None, Some(declined)]).await;
    assert!(response.is_none(), "{response:?}");
}

#[tokio::test(start_paused = true)]
async fn forward_runs_request_again_only_if_it_is_retryable() {
    let running = vec![accepted(true), whole_response(b"done")];
    let (response, sent) = forward([Some(vec![accepted(false)]), Some(running.clone())]).await;
    let is_lost = matches!(
        response,
        Some(EntryResponse::Refused { refusal: EntryRefusal::ResponseLost, .. })
    );
    assert!(is_lost, "{response:?}");
    assert_eq!(sent, [(1, "offered"), (1, "confirmed")]);

    let (response, _) = forward([Some(vec![accepted(true)]), Some(running)]).await;
    assert_eq!(whole_body(response), "done");
}

/// Refusals of a scheduler that tell the client that its request has not run.
fn refusals_that_state_not_run() -> [EntryRefusal; 4] {
    let retry_after = Duration::from_millis(200);
    [
        EntryRefusal::BudgetSpent,
        EntryRefusal::NotRun { retry_after },
        EntryRefusal::UnknownTurn,
        EntryRefusal::NoRoute,
    ]
}

fn refused(refusal: EntryRefusal) -> Vec<PeerMessage> {
    vec![accepted(true), PeerMessage::ForwardRefused { refusal, reason: "refused".into() }]
}

#[tokio::test(start_paused = true)]
async fn forward_never_states_not_run_after_a_scheduler_was_lost() {
    let lost = || Some(vec![accepted(true)]);
    let declined = || Some(vec![PeerMessage::ForwardDeclined { reason: DeclineReason::Draining }]);
    let mut false_refusals = Vec::new();

    for refusal in refusals_that_state_not_run() {
        let cases = [
            ("refused by the next", [lost(), Some(refused(refusal)), None]),
            ("a silent one between", [lost(), None, Some(refused(refusal))]),
            ("one that declines between", [lost(), declined(), Some(refused(refusal))]),
            ("two are lost", [lost(), lost(), Some(refused(refusal))]),
        ];

        for (label, scripts) in cases {
            let (response, _) = forward(scripts).await;
            let is_lost = matches!(
                response,
                Some(EntryResponse::Refused { refusal: EntryRefusal::ResponseLost, .. })
            );
            if !is_lost {
                false_refusals.push(format!("{label}: {response:?}"));
            }
        }
    }

    assert!(false_refusals.is_empty(), "{false_refusals:#?}");
}

#[tokio::test(start_paused = true)]
async fn forward_counts_the_attempts_that_a_lost_scheduler_has_reported() {
    let report = |possible_runs| PeerMessage::ForwardRunsReported { possible_runs };
    let cases = [
        (vec![accepted(true)], 1),
        (vec![accepted(true), report(1)], 2),
        (vec![accepted(true), report(1), report(2)], 3),
    ];

    for (script, expected) in cases {
        let transport = Arc::new(ScriptedTransport::default());
        transport.scripts.lock().insert(address(1), script.into());
        let request = request();
        forwarder(&transport).forward(&request, &candidates(1)).await;
        let encoded = ForwardedRequest::encode(&request, Instant::now());
        let decoded = encoded.decode(Instant::now()).expect("a valid request");
        assert_eq!(decoded.possible_runs.count(), expected);
    }
}

#[tokio::test(start_paused = true)]
async fn forward_keeps_a_refusal_if_no_scheduler_before_was_to_run_the_request() {
    let declined = || Some(vec![PeerMessage::ForwardDeclined { reason: DeclineReason::Draining }]);

    for refusal in refusals_that_state_not_run() {
        for first in [None, Some(Vec::new()), declined()] {
            let (response, _) = forward([first, Some(refused(refusal))]).await;
            let Some(EntryResponse::Refused { refusal: returned, .. }) = response else {
                panic!("expected a refusal, received {response:?}");
            };
            assert_eq!(returned, refusal);
        }
    }
}

#[tokio::test(start_paused = true)]
async fn forward_never_ends_a_broken_stream_as_complete() {
    let head = PeerMessage::ForwardHead(ForwardedHead {
        status: 200,
        headers: Vec::new(),
        body: None,
        departure: None,
    });
    let event = PeerMessage::ForwardBytes { bytes: Bytes::from_static(b"data: 1\n\n") };
    let complete = [accepted(false), head, event, PeerMessage::ForwardEnd];

    for length in 2..=complete.len() {
        let (response, _) = forward([Some(complete[..length].to_vec()), None]).await;
        let Some(EntryResponse::Relayed(relayed)) = response else {
            panic!("expected a response, received {response:?}");
        };
        let RelayedBody::Events(mut events) = relayed.body else {
            panic!("expected a stream");
        };
        let mut is_complete = false;
        while let Some(item) = events.recv().await {
            is_complete = matches!(item, StreamItem::End);
        }
        assert_eq!(is_complete, length == complete.len());
    }
}

#[tokio::test(start_paused = true)]
async fn forward_notes_an_upstream_that_leaves_before_its_response_is_passed_on() {
    let leaving = upstream("u1", "model", 1);
    let departure = Some(UpstreamDeparture::of_run(&leaving));
    let bodies = [("whole", Some(Bytes::from_static(b"done"))), ("stream", None)];

    for (label, body) in bodies {
        let head =
            ForwardedHead { status: 200, headers: Vec::new(), body, departure: departure.clone() };
        let transport = Arc::new(ScriptedTransport::default());
        let script = [accepted(false), PeerMessage::ForwardHead(head)];
        transport.scripts.lock().insert(address(1), script.into());
        let forwarder = forwarder(&transport);
        let response = forwarder.forward(&request(), &candidates(1)).await;
        assert!(matches!(response, Some(EntryResponse::Relayed(_))), "{label}: {response:?}");
        let mut departures = forwarder.departures.lock();
        assert!(departures.is_leaving(&leaving), "{label}");
        assert_eq!(departures.take_unreported().len(), 1, "{label}: other schedulers are told");
    }
}

fn event_bytes() -> PeerMessage {
    PeerMessage::ForwardBytes { bytes: Bytes::from_static(b"data: 1\n\n") }
}

/// A stream with this script, whose client stops to wait after 3 s and may read nothing for 2 s.
fn forwarded_stream(
    script: Script,
    end: ScriptEnd,
    metrics: &Arc<EntryMetrics>,
    buffers: Arc<BufferBudget>,
) -> ForwardedStream {
    let script = Some(script);
    ForwardedStream {
        request: "r1".into(),
        scheduler: "host-1".into(),
        stream: Box::new(ScriptedStream { peer: address(1), script, end, sent: Arc::default() }),
        deadline: Instant::now() + Duration::from_secs(3),
        metrics: Arc::clone(metrics),
        buffers,
        holder: StreamHolder::default(),
        idle_timeout: Duration::from_secs(2),
    }
}

/// Guards against a gateway that keeps a stream, and its scheduler's connection, for a client that never reads, and against one
/// that passes for complete since its end was still to be sent.
#[tokio::test(start_paused = true)]
async fn relay_ends_if_the_client_does_not_read() {
    for (memory_bytes, expected) in [(None, (3, "deadline")), (Some(88_000_000), (2, "unread"))] {
        let script: Script =
            std::iter::repeat_with(event_bytes).take(4).chain([PeerMessage::ForwardEnd]).collect();
        let metrics = Arc::new(EntryMetrics::new().expect("metrics"));
        let buffers = Arc::new(BufferBudget::new(memory_bytes));
        let forwarded =
            forwarded_stream(script, ScriptEnd::Finished, &metrics, Arc::clone(&buffers));
        let (sender, mut events) = mpsc::channel(4);
        let started = Instant::now();
        forwarded.relay(sender).await;
        assert_eq!(started.elapsed().as_secs(), expected.0, "{memory_bytes:?}");
        for _ in 0..4 {
            assert!(matches!(events.recv().await, Some(StreamItem::Bytes(_))));
        }
        assert!(events.recv().await.is_none(), "the stream is not complete");
        let text = metrics.text().expect("metrics");
        assert!(
            text.contains(&format!("streams_broken_total{{cause=\"{}\"", expected.1)),
            "{text}"
        );
        assert_eq!(buffers.used(), 0);
    }
}

/// Guards against a scheduler that is overloaded and gets each request first, and against a round of hosts that all avoid each
/// other.
#[tokio::test(start_paused = true)]
async fn put_busy_last_while_most_are_not() {
    let directory = SchedulerDirectory::new("north".into());
    directory.set_schedulers(candidates(4));
    let order = |busy: &[u16]| {
        busy.iter().for_each(|it| directory.mark_busy(address(*it)));
        let mut candidates = candidates(4);
        directory.put_busy_last(&mut candidates);
        candidates.iter().map(|it| it.address.port()).collect::<Vec<_>>()
    };
    assert_eq!(order(&[1]), [2, 3, 4, 1]);
    assert_eq!(order(&[2]), [1, 2, 3, 4], "half of them are busy");
    tokio::time::advance(Duration::from_millis(1_100)).await;
    assert_eq!(order(&[3]), [1, 2, 4, 3], "it is forgotten after a second");
}

/// Relays a stream that ends after its first event, and returns the lines of the counter of broken streams.
async fn broken_stream_lines(end: ScriptEnd) -> Vec<String> {
    let script = Script::from([event_bytes()]);
    let metrics = Arc::new(EntryMetrics::new().expect("metrics"));
    let forwarded = forwarded_stream(script, end, &metrics, Arc::default());
    let (sender, mut events) = mpsc::channel(2);
    forwarded.relay(sender).await;
    assert!(matches!(events.recv().await, Some(StreamItem::Bytes(_))), "the event is relayed");
    assert!(events.recv().await.is_none(), "the stream is not complete");
    let text = metrics.text().expect("metrics");
    let lines = text.lines().filter(|it| it.contains("streams_broken_total{"));
    lines.map(str::to_owned).collect()
}

#[tokio::test(start_paused = true)]
async fn relay_tells_a_lost_scheduler_from_one_that_ends_the_stream() {
    for (end, cause) in [(ScriptEnd::Reset, "scheduler"), (ScriptEnd::Finished, "relayed")] {
        let lines = broken_stream_lines(end).await;
        let expected = format!("cause=\"{cause}\"");
        assert!(lines.len() == 1 && lines[0].contains(&expected), "{end:?}: {lines:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn forwarded_request_keeps_what_the_client_sent() {
    let mut original = request();
    for cookie in ["a=b", "Object=o-1"] {
        original.headers.append(header::COOKIE, HeaderValue::from_static(cookie));
    }
    let encoded = ForwardedRequest::encode(&original, Instant::now());
    let decoded = encoded.decode(Instant::now()).expect("a valid request");
    assert_eq!((&decoded.id, &decoded.method), (&original.id, &original.method));
    assert_eq!((&decoded.path, &decoded.target), (&original.path, &original.target));
    assert_eq!((&decoded.headers, &decoded.body), (&original.headers, &original.body));
    assert_eq!(decoded.prompt_parts, original.prompt_parts);
    assert_eq!(decoded.last_event_id, original.last_event_id);
    assert_eq!(decoded.resumed_request, original.resumed_request);
    let (program, sent) = (decoded.program.expect("a program"), original.program.expect("one"));
    assert_eq!((program.id, program.previous_turn), (sent.id, sent.previous_turn));
    assert_eq!((program.token_budget, program.finish_by), (sent.token_budget, sent.finish_by));
    assert!(decoded.deadline < original.deadline, "the way back takes time");
}
