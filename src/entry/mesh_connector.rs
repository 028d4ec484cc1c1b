//! Connections to other entry hosts.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use futures_util::{
    FutureExt,
    future::{BoxFuture, Shared},
};
use parking_lot::Mutex;

use crate::{PeerError, PeerMessage, PeerTransport, membership::peer_transport::peer_call};

/// An attempt to connect to a peer; gives whether there is a connection.
type ConnectAttempt = Shared<BoxFuture<'static, bool>>;

/// Attempts that are under way, by the peer's address.
type ConnectAttempts = Arc<Mutex<HashMap<SocketAddr, ConnectAttempt>>>;

/// Exchanges messages with peers and makes one attempt at a time to connect to each. Hundreds of exchanges may wait for
/// a peer that is gone or starts; an attempt for each would take their memory and the peer's time. An attempt goes on
/// when the exchange that began it has run out of time, since the next one needs it as well.
#[derive(Debug)]
pub(crate) struct MeshConnector {
    transport: Arc<dyn PeerTransport>,
    attempts: ConnectAttempts,
}

impl MeshConnector {
    pub(crate) fn new(transport: Arc<dyn PeerTransport>) -> Self {
        Self { transport, attempts: ConnectAttempts::default() }
    }

    /// Exchanges a message for an answer.
    pub(crate) async fn exchange(
        &self,
        address: SocketAddr,
        message: &PeerMessage,
    ) -> Result<PeerMessage, PeerError> {
        if !self.transport.is_connected(address) && !self.attempt(address).await {
            return Err(PeerError::Lost { reason: "the peer takes no connection".into() });
        }

        peer_call(&*self.transport, address, message).await
    }

    /// Gives up the connection to a peer.
    pub(crate) fn forget(&self, address: SocketAddr) {
        self.transport.forget(address);
    }

    fn attempt(&self, address: SocketAddr) -> ConnectAttempt {
        let mut attempts = self.attempts.lock();
        attempts.entry(address).or_insert_with(|| self.start_attempt(address)).clone()
    }

    /// Starts a task that connects and then takes itself off the list.
    fn start_attempt(&self, address: SocketAddr) -> ConnectAttempt {
        let transport = Arc::clone(&self.transport);
        let attempts = Arc::clone(&self.attempts);

        let task = tokio::spawn(async move {
            let result = transport.connect(address).await;
            attempts.lock().remove(&address);

            if let Err(error) = &result {
                log::info!(address:% = address; "no connection to a peer: {error}");
            }
            result.is_ok()
        });

        async move { matches!(task.await, Ok(true)) }.boxed().shared()
    }
}
