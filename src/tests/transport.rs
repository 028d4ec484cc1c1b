//! Transport between hosts: peers with a foreign certificate and malformed messages are refused, and valid messages are
//! still served afterwards.

use std::{net::SocketAddr, sync::Arc};

use async_trait::async_trait;
use tokio::{
    sync::mpsc,
    time::{Duration, timeout},
};

use super::test_link::TestLink;
use crate::{
    IdlePolicy, NodeMetrics, PeerError, PeerHandler, PeerMessage, PeerStream, PeerTransport,
    QuicTransport, encode_frame,
    membership::{key_files::CertificateAuthority, peer_transport::peer_call},
};

/// Responds to every exchange with `Done`.
#[derive(Debug)]
struct DoneHandler;

#[async_trait]
impl PeerHandler for DoneHandler {
    async fn handle(self: Arc<Self>, _first: PeerMessage, mut stream: Box<dyn PeerStream>) {
        let _ = stream.send(&PeerMessage::Done).await;
        stream.finish();
    }
}

/// Binds a transport with a certificate of the authority.
fn transport(authority: &CertificateAuthority, host: &str) -> Arc<QuicTransport> {
    let keys = authority.issue(host).expect("keys");
    let metrics = Arc::new(NodeMetrics::new().expect("metrics"));
    let address: SocketAddr = ([127, 0, 0, 1], 0).into();
    let idle_policy = IdlePolicy::KeptAlive;
    let transport = QuicTransport::bind(address, &keys, "secret", idle_policy, metrics, None);
    Arc::new(transport.expect("failed to bind a port"))
}

/// Serves exchanges in the background, and returns the address.
fn serve(transport: &Arc<QuicTransport>) -> SocketAddr {
    tokio::spawn(Arc::clone(transport).serve(Arc::new(DoneHandler)));
    transport.address().expect("the endpoint is bound")
}

const REQUEST: PeerMessage = PeerMessage::ConfigPull { after: 1 };

#[tokio::test(flavor = "multi_thread")]
async fn peer_call_with_foreign_certificate() {
    let authority = CertificateAuthority::generate().expect("failed to generate an authority");
    let foreign_authority =
        CertificateAuthority::generate().expect("failed to generate an authority");
    let server = transport(&authority, "one");
    let address = serve(&server);

    let foreign_client = transport(&foreign_authority, "two");
    let refused = peer_call(&*foreign_client, address, &REQUEST).await;
    assert!(matches!(refused, Err(PeerError::Lost { .. })), "{refused:?}");

    let client = transport(&authority, "two");
    let response = peer_call(&*client, address, &REQUEST).await;
    assert!(matches!(response, Ok(PeerMessage::Done)), "{response:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn serve_malformed_messages() {
    let authority = CertificateAuthority::generate().expect("failed to generate an authority");
    let server = transport(&authority, "one");
    let address = serve(&server);
    let client = transport(&authority, "two");
    let frame = encode_frame(&REQUEST);
    let mut other_version = frame.to_vec();
    other_version[0] = 7;
    let frame_length = frame.len() as u32;

    let rows = [
        (frame_length, other_version, "version 7, expected 1"),
        (frame_length, frame[..frame.len() - 1].to_vec(), "truncated"),
        (frame_length - 1, frame[..frame.len() - 1].to_vec(), "truncated"),
        (u32::MAX, frame.to_vec(), "too large"),
    ];

    for (length, bytes, expected) in rows {
        let reason = client.send_raw(address, length, &bytes).await;
        assert!(reason.contains(expected), "{reason:?} does not contain {expected:?}");
        let response = peer_call(&*client, address, &REQUEST).await;
        assert!(matches!(response, Ok(PeerMessage::Done)), "{response:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn disconnect_ends_exchanges() {
    let authority = CertificateAuthority::generate().expect("failed to generate an authority");
    let server = transport(&authority, "one");
    let address = serve(&server);
    let client = transport(&authority, "two");
    let mut stream = client.open(address, &REQUEST).await.expect("failed to open a stream");
    client.disconnect(address);
    // The response may have arrived before the connection was closed.
    let received = stream.receive().await;
    assert!(matches!(received, Err(PeerError::Lost { .. }) | Ok(_)), "{received:?}");
    let response = peer_call(&*client, address, &REQUEST).await;
    assert!(matches!(response, Ok(PeerMessage::Done)), "{response:?}");
}

/// Hosts that connect to one host in the test of a connection's memory.
const CONNECTED_HOSTS: usize = 64;

/// Most memory that one connection may take, both ends together, with the endpoint that only it uses, in KiB. An entry
/// host has 88 MB and must be able to reach some dozens of others beside its work.
const MAX_CONNECTION_KIB: u64 = 512;

/// Set in the child process that measures its own memory.
const MEMORY_PROBE_VARIABLE: &str = "RAGWORTKNOT_MEMORY_PROBE";

/// Resident memory of this process, in KiB.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("the status of this process");
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:")).expect("a resident size");
    line.trim().trim_end_matches("kB").trim().parse().expect("a number")
}

#[tokio::test]
async fn connect_many_peers_in_bounded_memory() {
    // Other tests of this process allocate at the same time, so a process of its own runs the measurement.
    if std::env::var_os(MEMORY_PROBE_VARIABLE).is_none() {
        let program = std::env::current_exe().expect("the path of the test program");
        let output = std::process::Command::new(program)
            .args(["--exact", "tests::transport::connect_many_peers_in_bounded_memory"])
            .env(MEMORY_PROBE_VARIABLE, "1")
            .output()
            .expect("the test program starts");
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stdout));
        return;
    }

    let authority = CertificateAuthority::generate().expect("failed to generate an authority");
    let server = transport(&authority, "one");
    let address = serve(&server);
    let clients: Vec<Arc<QuicTransport>> =
        (0..CONNECTED_HOSTS).map(|_| transport(&authority, "two")).collect();
    let before = resident_kib();

    for client in &clients {
        client.connect(address).await.expect("failed to connect");
    }

    let grown = resident_kib().saturating_sub(before) / CONNECTED_HOSTS as u64;
    assert!(grown <= MAX_CONNECTION_KIB, "{grown} KiB for each connection");
}

/// Responds to an exchange once a second message has arrived.
#[derive(Debug)]
struct WaitingHandler;

#[async_trait]
impl PeerHandler for WaitingHandler {
    async fn handle(self: Arc<Self>, _first: PeerMessage, mut stream: Box<dyn PeerStream>) {
        let _ = stream.receive().await;
        let _ = stream.send(&PeerMessage::Done).await;
        stream.finish();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn open_more_exchanges_than_the_initial_limit() {
    const EXCHANGES: usize = 400;
    let authority = CertificateAuthority::generate().expect("failed to generate an authority");
    let server = transport(&authority, "one");
    tokio::spawn(Arc::clone(&server).serve(Arc::new(WaitingHandler)));
    let address = server.address().expect("the endpoint is bound");
    let client = transport(&authority, "two");
    let mut streams = Vec::new();

    for _ in 0..EXCHANGES {
        streams.push(client.open(address, &REQUEST).await.expect("failed to open a stream"));
    }
    for mut stream in streams {
        stream.send(&REQUEST).await.expect("failed to send a message");
        let response = stream.receive().await;
        assert!(matches!(response, Ok(Some(PeerMessage::Done))), "{response:?}");
    }
}

#[test]
fn exchange_with_killed_peer_fails_soon() {
    let runtime = || {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        builder.worker_threads(1).enable_all().build().expect("the runtime starts")
    };
    let (server_runtime, client_runtime) = (runtime(), runtime());
    let authority = CertificateAuthority::generate().expect("failed to generate an authority");
    let address = server_runtime.block_on(async {
        let server = transport(&authority, "one");
        tokio::spawn(Arc::clone(&server).serve(Arc::new(WaitingHandler)));
        server.address().expect("the endpoint is bound")
    });

    client_runtime.block_on(async {
        let client = transport(&authority, "two");
        let mut stream = client.open(address, &REQUEST).await.expect("failed to open a stream");
        // An exchange that waits for longer than a silent peer is borne is not cut while the peer lives.
        let early = timeout(Duration::from_secs(3), stream.receive()).await;
        assert!(early.is_err(), "{early:?}");
        server_runtime.shutdown_background();
        let received = timeout(Duration::from_secs(4), stream.receive()).await;
        assert!(matches!(received, Ok(Err(PeerError::Lost { .. }))), "{received:?}");
    });
}

/// One-way delay of the slow link.
const LINK_DELAY: Duration = Duration::from_millis(150);

/// Time that an exchange over the slow link waits, which is less than its round trip.
const SHORT_TIMEOUT: Duration = Duration::from_millis(200);

#[tokio::test]
async fn connect_succeeds_although_each_exchange_gives_up_sooner() {
    let authority = CertificateAuthority::generate().expect("failed to generate an authority");
    let server = transport(&authority, "one");
    let address = TestLink::start(serve(&server), LINK_DELAY).await.address;
    let client = transport(&authority, "two");
    let mut attempts = 0;

    while !client.is_connected(address) {
        let response = timeout(SHORT_TIMEOUT, peer_call(&*client, address, &REQUEST)).await;
        assert!(response.is_err(), "a round trip takes longer: {response:?}");
        attempts += 1;
        assert!(attempts < 20, "the handshake never ends");
    }
}

/// Passes on what arrives in each exchange after its first message.
#[derive(Debug)]
struct ForwardingHandler {
    received: mpsc::UnboundedSender<Result<Option<PeerMessage>, PeerError>>,
}

#[async_trait]
impl PeerHandler for ForwardingHandler {
    async fn handle(self: Arc<Self>, _first: PeerMessage, mut stream: Box<dyn PeerStream>) {
        self.received.send(stream.receive().await).expect("the test waits");
    }
}

#[tokio::test]
async fn retire_keeps_the_last_message_of_an_exchange() {
    let authority = CertificateAuthority::generate().expect("failed to generate an authority");
    let server = transport(&authority, "one");
    let (sender, mut received) = mpsc::unbounded_channel();
    tokio::spawn(Arc::clone(&server).serve(Arc::new(ForwardingHandler { received: sender })));
    let address = server.address().expect("the endpoint is bound");
    let client = transport(&authority, "two");

    for is_retired_first in [true, false] {
        let mut stream = client.open(address, &REQUEST).await.expect("failed to open a stream");
        if is_retired_first {
            client.retire(address);
        }
        stream.send(&PeerMessage::Done).await.expect("failed to send a message");
        stream.finish();
        drop(stream);
        client.retire(address);
        let message = timeout(Duration::from_secs(1), received.recv()).await;
        let is_received = matches!(message, Ok(Some(Ok(Some(PeerMessage::Done)))));
        assert!(is_received, "is_retired_first={is_retired_first}: {message:?}");
    }
}
