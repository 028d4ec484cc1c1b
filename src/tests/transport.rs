//! The transport between hosts: another version, a truncated message and a foreign certificate are refused, and what is
//! sent rightly still arrives.

use std::{net::SocketAddr, sync::Arc};

use async_trait::async_trait;

use crate::{
    NodeMetrics, PeerError, PeerHandler, PeerMessage, PeerStream, PeerTransport, QuicTransport,
    encode_frame,
    membership::{key_files::CertificateAuthority, peer_transport::peer_call},
};

/// Answers every exchange.
#[derive(Debug)]
struct EchoHandler;

#[async_trait]
impl PeerHandler for EchoHandler {
    async fn handle(self: Arc<Self>, _first: PeerMessage, mut stream: Box<dyn PeerStream>) {
        let _ = stream.send(&PeerMessage::Done).await;
        stream.finish();
    }
}

fn transport(authority: &CertificateAuthority, host: &str) -> Arc<QuicTransport> {
    let keys = authority.issue(host).expect("keys");
    let metrics = Arc::new(NodeMetrics::new().expect("metrics"));
    let address: SocketAddr = ([127, 0, 0, 1], 0).into();
    Arc::new(QuicTransport::bind(address, &keys, "secret", metrics).expect("a port"))
}

fn serve(transport: &Arc<QuicTransport>) -> SocketAddr {
    tokio::spawn(Arc::clone(transport).serve(Arc::new(EchoHandler)));
    transport.address().expect("an address")
}

const REQUEST: PeerMessage = PeerMessage::ConfigPull { after: 1 };

#[tokio::test(flavor = "multi_thread")]
async fn foreign_certificate_is_refused() {
    let authority = CertificateAuthority::generate().expect("an authority");
    let foreign = CertificateAuthority::generate().expect("an authority");
    let server = transport(&authority, "one");
    let address = serve(&server);

    let stranger = transport(&foreign, "two");
    let refused = peer_call(&*stranger, address, &REQUEST).await;
    assert!(matches!(refused, Err(PeerError::Lost { .. })), "{refused:?}");

    let friend = transport(&authority, "two");
    let answered = peer_call(&*friend, address, &REQUEST).await;
    assert!(matches!(answered, Ok(PeerMessage::Done)), "{answered:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn unreadable_messages_are_refused_and_others_go_on() {
    let authority = CertificateAuthority::generate().expect("an authority");
    let server = transport(&authority, "one");
    let address = serve(&server);
    let client = transport(&authority, "two");
    let frame = encode_frame(&REQUEST);
    let mut version = frame.to_vec();
    version[0] = 7;
    let whole = frame.len() as u32;

    let rows = [
        (whole, version, "version 7, expected 1"),
        (whole, frame[..frame.len() - 1].to_vec(), "truncated"),
        (whole - 1, frame[..frame.len() - 1].to_vec(), "truncated"),
        (u32::MAX, frame.to_vec(), "too large"),
    ];

    for (length, bytes, expected) in rows {
        let reason = client.send_raw(address, length, &bytes).await;
        assert!(reason.contains(expected), "{reason:?} does not say {expected:?}");
        let answered = peer_call(&*client, address, &REQUEST).await;
        assert!(matches!(answered, Ok(PeerMessage::Done)), "{answered:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn forgotten_connection_ends_its_exchanges() {
    let authority = CertificateAuthority::generate().expect("an authority");
    let server = transport(&authority, "one");
    let address = serve(&server);
    let client = transport(&authority, "two");
    let mut stream = client.open(address, &REQUEST).await.expect("a stream");
    client.disconnect(address);
    let received = stream.receive().await;
    assert!(matches!(received, Err(PeerError::Lost { .. }) | Ok(_)), "{received:?}");
    let answered = peer_call(&*client, address, &REQUEST).await;
    assert!(matches!(answered, Ok(PeerMessage::Done)), "{answered:?}");
}
