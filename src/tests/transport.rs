//! Transport between hosts: peers with a foreign certificate and malformed messages are refused, and valid messages are
//! still served afterwards.

use std::{net::SocketAddr, sync::Arc};

use async_trait::async_trait;

use crate::{
    NodeMetrics, PeerError, PeerHandler, PeerMessage, PeerStream, PeerTransport, QuicTransport,
    encode_frame,
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
    Arc::new(QuicTransport::bind(address, &keys, "secret", metrics).expect("failed to bind a port"))
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
