//! Border between a host and its peers.

use std::{fmt::Debug, net::SocketAddr, sync::Arc};

use async_trait::async_trait;

use crate::{PeerError, PeerMessage};

/// One exchange with a peer: messages in both directions, until either side ends it.
#[async_trait]
pub(crate) trait PeerStream: Debug + Send {
    /// Gives the next message, or nothing where the peer has ended the exchange properly.
    async fn receive(&mut self) -> Result<Option<PeerMessage>, PeerError>;

    async fn send(&mut self, message: &PeerMessage) -> Result<(), PeerError>;

    /// Says that no more is to be sent.
    fn finish(&mut self);
}

/// Way to other hosts.
#[async_trait]
pub(crate) trait PeerTransport: Debug + Send + Sync {
    /// Gives up the connection to a peer, and with it every exchange that waits on it.
    fn disconnect(&self, peer: SocketAddr);

    /// Whether there is an open connection to a peer.
    fn is_connected(&self, peer: SocketAddr) -> bool;

    /// Makes sure that there is an open connection to a peer.
    async fn connect(&self, peer: SocketAddr) -> Result<(), PeerError>;

    /// Starts an exchange with its first message, over a new connection if there is none.
    async fn open(
        &self,
        peer: SocketAddr,
        first: &PeerMessage,
    ) -> Result<Box<dyn PeerStream>, PeerError>;
}

/// Answers the exchanges that peers start.
#[async_trait]
pub(crate) trait PeerHandler: Debug + Send + Sync {
    async fn handle(self: Arc<Self>, first: PeerMessage, stream: Box<dyn PeerStream>);
}

/// Sends one message and awaits one answer.
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
