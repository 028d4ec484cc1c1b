//! Interface of the transport between hosts.

use std::{fmt::Debug, net::SocketAddr, sync::Arc};

use async_trait::async_trait;

use crate::{PeerError, PeerMessage};

/// One exchange with a peer: a stream of messages in both directions.
#[async_trait]
pub(crate) trait PeerStream: Debug + Send {
    /// Waits for the next message. Returns `None` once the peer has finished its side of the stream.
    async fn receive(&mut self) -> Result<Option<PeerMessage>, PeerError>;

    /// Sends a message.
    async fn send(&mut self, message: &PeerMessage) -> Result<(), PeerError>;

    /// Finishes this side of the stream: no more messages will be sent.
    fn finish(&mut self);

    /// Waits until the peer has received all messages of a finished stream, or needs no more of them. Nothing sends lost
    /// ones again once the process ends. Fails if that takes long.
    async fn wait_until_received(&mut self) -> Result<(), PeerError>;
}

/// Connections to other hosts, by their addresses.
#[async_trait]
pub(crate) trait PeerTransport: Debug + Send + Sync {
    /// Gives up a peer that is presumed to be gone: later exchanges connect anew, and those in progress end once the peer
    /// is silent. It may still live, or have restarted before they began.
    fn disconnect(&self, peer: SocketAddr);

    /// Makes later exchanges with a peer use a new connection. Exchanges in progress continue on the old one: a peer that
    /// is late with one response may be about to send others.
    fn retire(&self, peer: SocketAddr);

    /// Whether there is an open connection to a peer.
    fn is_connected(&self, peer: SocketAddr) -> bool;

    /// Connects to a peer unless there is an open connection.
    async fn connect(&self, peer: SocketAddr) -> Result<(), PeerError>;

    /// Starts an exchange by sending its first message, after connecting if there is no open connection.
    async fn open(
        &self,
        peer: SocketAddr,
        first: &PeerMessage,
    ) -> Result<Box<dyn PeerStream>, PeerError>;
}

/// Handles the exchanges that peers start.
#[async_trait]
pub(crate) trait PeerHandler: Debug + Send + Sync {
    /// Handles an exchange, given its first message and the stream for the rest.
    async fn handle(self: Arc<Self>, first: PeerMessage, stream: Box<dyn PeerStream>);
}

/// Sends one message and waits for one response, without a timeout. A refusal is an error.
pub(crate) async fn peer_call(
    transport: &dyn PeerTransport,
    peer: SocketAddr,
    request: &PeerMessage,
) -> Result<PeerMessage, PeerError> {
    let mut stream = transport.open(peer, request).await?;
    stream.finish();

    match stream.receive().await? {
        Some(PeerMessage::Refused { reason }) => {
            Err(PeerError::Refused { reason: reason.to_string() })
        }
        Some(message) => Ok(message),
        None => Err(PeerError::Lost { reason: "the peer gave no answer".into() }),
    }
}
