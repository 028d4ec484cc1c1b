//! Connections to other entry hosts.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use futures_util::{
    FutureExt,
    future::{BoxFuture, Shared},
};
use parking_lot::Mutex;

use crate::{
    PeerError, PeerMessage, PeerStream, PeerTransport, membership::peer_transport::peer_call,
};

/// Attempt to connect to a peer. It resolves to whether there is a connection.
type ConnectAttempt = Shared<BoxFuture<'static, bool>>;

/// Attempts in progress, by the peer's address.
type ConnectAttempts = Arc<Mutex<HashMap<SocketAddr, ConnectAttempt>>>;

/// Exchanges messages with peers, and makes at most one connection attempt to each of them at a time. Hundreds of
/// exchanges may wait for a peer that is gone or still starting; an attempt for each would cost memory here and time on
/// the peer. An attempt continues after the exchange that started it has timed out, since the next exchange needs the
/// connection as well.
#[derive(Debug)]
pub(crate) struct MeshConnector {
    transport: Arc<dyn PeerTransport>,
    attempts: ConnectAttempts,
}

impl MeshConnector {
    pub(crate) fn new(transport: Arc<dyn PeerTransport>) -> Self {
        Self { transport, attempts: ConnectAttempts::default() }
    }

    /// Sends a message to a peer, after connecting if there is no connection, and returns the response. Has no timeout.
    pub(crate) async fn exchange(
        &self,
        address: SocketAddr,
        message: &PeerMessage,
    ) -> Result<PeerMessage, PeerError> {
        if !self.transport.is_connected(address) && !self.join_or_start_attempt(address).await {
            return Err(PeerError::Lost { reason: "failed to connect to the peer".into() });
        }

        peer_call(&*self.transport, address, message).await
    }

    /// Starts an exchange by sending its first message, after connecting if there is no connection. Has no timeout.
    pub(crate) async fn open(
        &self,
        address: SocketAddr,
        first: &PeerMessage,
    ) -> Result<Box<dyn PeerStream>, PeerError> {
        if !self.transport.is_connected(address) && !self.join_or_start_attempt(address).await {
            return Err(PeerError::Lost { reason: "failed to connect to the peer".into() });
        }

        self.transport.open(address, first).await
    }

    /// Makes later exchanges with a peer use a new connection. Those in progress continue.
    pub(crate) fn retire(&self, address: SocketAddr) {
        self.transport.retire(address);
    }

    fn join_or_start_attempt(&self, address: SocketAddr) -> ConnectAttempt {
        let mut attempts = self.attempts.lock();
        attempts.entry(address).or_insert_with(|| self.start_attempt(address)).clone()
    }

    /// Starts a task that connects and then removes itself from the attempts. As a task of its own it outlives the
    /// exchange that started it.
    fn start_attempt(&self, address: SocketAddr) -> ConnectAttempt {
        let transport = Arc::clone(&self.transport);
        let attempts = Arc::clone(&self.attempts);

        let task = tokio::spawn(async move {
            let result = transport.connect(address).await;
            attempts.lock().remove(&address);

            if let Err(error) = &result {
                log::info!(address:% = address; "failed to connect to a peer: {error}");
            }
            result.is_ok()
        });

        async move { matches!(task.await, Ok(true)) }.boxed().shared()
    }
}
