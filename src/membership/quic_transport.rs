//! Transport between hosts: QUIC with mutual TLS. See docs/design/peers.md.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Weak},
    time::Duration,
};

use async_trait::async_trait;
use eyre::{Result, WrapErr};
use futures_util::{
    FutureExt,
    future::{BoxFuture, Shared},
};
use parking_lot::Mutex;
use quinn::{
    ClientConfig, Endpoint, EndpointConfig, Incoming, ServerConfig, TransportConfig, VarInt,
    crypto::rustls::{QuicClientConfig, QuicServerConfig},
};
use rustls::server::WebPkiClientVerifier;
use tokio::time::timeout;

use crate::{
    KeyFiles, NodeMetrics, PeerError, PeerHandler, PeerMessage, PeerStream, PeerTransport,
    membership::{
        abandoned_connection::watch_abandoned, held_connection::HeldConnection,
        key_files::PEER_SERVER_NAME, quic_stream::QuicStream,
    },
};

/// Name and version of the protocol between hosts, as negotiated in the TLS handshake (ALPN).
const ALPN_PROTOCOL: &[u8] = b"ragwortknot/1";

/// Number of exchanges that a peer may have open at once on a new connection. quinn allocates two table entries for
/// each of them when a connection is made: 128 take 17 kB at each end, [`MAX_STREAM_LIMIT`] more than 1 MB.
const INITIAL_STREAM_LIMIT: u32 = 128;

/// Number to which the limit of a connection may grow. It doubles whenever half of it is in use.
const MAX_STREAM_LIMIT: u32 = 16_384;

/// How a transport finds out that a peer is gone which sends nothing.
#[derive(Clone, Copy, Debug)]
pub(crate) enum IdlePolicy {
    /// Connections stay open from one membership probe of the peer to the next, which find silent peers. Opening one
    /// costs several kilobytes, more than a host's budget for control traffic.
    Probed,
    /// Connections are kept alive, and closed when the peer is silent, so that an exchange which waits for a response
    /// fails soon.
    KeptAlive,
}

impl IdlePolicy {
    /// Time after which a connection is closed on which nothing arrives.
    fn timeout(self) -> Duration {
        match self {
            Self::Probed => Duration::from_mins(10),
            Self::KeptAlive => Duration::from_secs(2),
        }
    }

    /// Time without traffic after which a probe is sent. Three probes may be lost before the timeout.
    fn keep_alive_interval(self) -> Option<Duration> {
        match self {
            Self::Probed => None,
            Self::KeptAlive => Some(Duration::from_millis(500)),
        }
    }
}

/// Time that an exchange waits for a connection or for a stream, and to close all connections.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for a handshake. It may take longer than an exchange waits, on a busy host or over a slow link; the next exchange
/// then finds the connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Application error code of closed connections. Peers do not evaluate it.
const CLOSE_CODE: VarInt = VarInt::from_u32(0);

/// Attempt to connect to a peer. An error is the reason for which it failed.
type ConnectAttempt = Shared<BoxFuture<'static, Result<Arc<HeldConnection>, Arc<str>>>>;

/// Connections and attempts to connect, by the peer's address.
#[derive(Debug, Default)]
struct PeerConnections {
    open: HashMap<SocketAddr, Arc<HeldConnection>>,
    /// Connections that get no new exchange. Only their exchanges hold them, so each is closed after its last exchange.
    retired: HashMap<SocketAddr, Vec<Weak<HeldConnection>>>,
    attempts: HashMap<SocketAddr, ConnectAttempt>,
}

/// Connections to peers, each shared by all exchanges with that peer.
#[derive(Debug)]
pub(crate) struct QuicTransport {
    endpoint: Endpoint,
    connections: Arc<Mutex<PeerConnections>>,
    metrics: Arc<NodeMetrics>,
}

impl QuicTransport {
    /// Binds the endpoint. `reset_secret`, which all hosts share, is the key of stateless resets. It outlives the
    /// process, so that a restarted host notifies its peers at once that their old connections no longer exist. With a
    /// `stream_window`, a peer sends no more than as many bytes on a stream before they are read. Streams of a connection share
    /// no window, so one that is not read stops no other.
    pub(crate) fn bind(
        address: SocketAddr,
        keys: &KeyFiles,
        reset_secret: &str,
        idle_policy: IdlePolicy,
        metrics: Arc<NodeMetrics>,
        stream_window: Option<u32>,
    ) -> Result<Self> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let roots = Arc::new(keys.trusted_roots()?);

        let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
            .build()
            .wrap_err("failed to build the verifier of peer certificates from the authority's certificates")?;

        let mut server = rustls::ServerConfig::builder_with_provider(provider.clone())
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_client_cert_verifier(verifier)
            .with_single_cert(keys.certificate_chain()?, keys.private_key()?)
            .wrap_err("the host's certificate and private key are invalid or do not match")?;
        server.alpn_protocols = vec![ALPN_PROTOCOL.into()];

        let mut client = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_root_certificates(roots)
            .with_client_auth_cert(keys.certificate_chain()?, keys.private_key()?)?;
        client.alpn_protocols = vec![ALPN_PROTOCOL.into()];

        let transport = Arc::new(transport_config(idle_policy, stream_window));
        let mut server = ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(server)?));
        server.transport_config(Arc::clone(&transport));
        let mut client = ClientConfig::new(Arc::new(QuicClientConfig::try_from(client)?));
        client.transport_config(transport);

        let socket = std::net::UdpSocket::bind(address)
            .wrap_err_with(|| format!("can't listen for peers on {address}"))?;

        let reset_key = ring::hmac::Key::new(ring::hmac::HMAC_SHA256, reset_secret.as_bytes());
        let config = EndpointConfig::new(Arc::new(reset_key));
        let runtime = Arc::new(quinn::TokioRuntime);
        let mut endpoint = Endpoint::new(config, Some(server), socket, runtime)?;
        endpoint.set_default_client_config(client);
        Ok(Self { endpoint, connections: Arc::default(), metrics })
    }

    /// Address that the endpoint is bound to.
    pub(crate) fn address(&self) -> Result<SocketAddr> {
        Ok(self.endpoint.local_addr()?)
    }

    /// Closes all connections, and waits until the peers have been notified.
    pub(crate) async fn close(&self) {
        self.endpoint.close(CLOSE_CODE, b"closing");
        let _ = timeout(CONNECT_TIMEOUT, self.endpoint.wait_idle()).await;
    }

    /// Accepts connections of peers and passes their exchanges to a handler, until the endpoint is closed.
    pub(crate) async fn serve(self: Arc<Self>, handler: Arc<dyn PeerHandler>) {
        while let Some(incoming) = self.endpoint.accept().await {
            let transport = Arc::clone(&self);
            let handler = Arc::clone(&handler);
            tokio::spawn(async move { transport.serve_connection(incoming, handler).await });
        }
    }

    async fn serve_connection(self: Arc<Self>, incoming: Incoming, handler: Arc<dyn PeerHandler>) {
        let peer = incoming.remote_address();

        let connection = match incoming.await {
            Ok(connection) => connection,
            Err(error) => {
                log::warn!(peer:% = peer; "the handshake with a connecting peer failed: {error}");
                return;
            }
        };

        // Each exchange holds a clone, so the count of strong references tells how many are open.
        let open_guard = Arc::new(());
        let mut stream_limit = INITIAL_STREAM_LIMIT;

        while let Ok((send, receive)) = connection.accept_bi().await {
            let metrics = Arc::clone(&self.metrics);
            let handler = Arc::clone(&handler);
            let stream = QuicStream { send, receive, metrics, _connection: None };
            let stream_guard = Arc::clone(&open_guard);
            tokio::spawn(async move {
                serve_stream(peer, stream, handler).await;
                drop(stream_guard);
            });

            let is_limit_near = Arc::strong_count(&open_guard) > stream_limit as usize / 2;

            if is_limit_near && stream_limit < MAX_STREAM_LIMIT {
                stream_limit = (stream_limit * 2).min(MAX_STREAM_LIMIT);
                connection.set_max_concurrent_bi_streams(stream_limit.into());
                log::info!(peer:% = peer, stream_limit; "raised the number of exchanges that a peer may have open");
            }
        }
    }

    /// Returns the connection to a peer, if there is one that is not closed.
    fn open_connection(&self, peer: SocketAddr) -> Option<Arc<HeldConnection>> {
        let connection = self.connections.lock().open.get(&peer).cloned();
        connection.filter(|it| it.inner.close_reason().is_none())
    }

    /// Returns the open connection to a peer, or a new one. At most one attempt to connect runs for each peer, and it
    /// continues if the exchanges that wait for it give up: a handshake that takes longer than they wait would never
    /// succeed otherwise.
    async fn get_or_connect(&self, peer: SocketAddr) -> Result<Arc<HeldConnection>, PeerError> {
        if let Some(connection) = self.open_connection(peer) {
            return Ok(connection);
        }

        let attempt = {
            let mut connections = self.connections.lock();
            let start = || self.start_attempt(peer);
            connections.attempts.entry(peer).or_insert_with(start).clone()
        };

        timeout(CONNECT_TIMEOUT, attempt)
            .await
            .map_err(|_| PeerError::Overdue)?
            .map_err(|reason| PeerError::Lost { reason: reason.to_string() })
    }

    /// Starts a task that connects to a peer and then removes itself from the attempts.
    fn start_attempt(&self, peer: SocketAddr) -> ConnectAttempt {
        let connecting = self.endpoint.connect(peer, PEER_SERVER_NAME);
        let connections = Arc::clone(&self.connections);

        let task = tokio::spawn(async move {
            let result = match connecting {
                Ok(connecting) => match timeout(HANDSHAKE_TIMEOUT, connecting).await {
                    Ok(result) => result
                        .map(|inner| Arc::new(HeldConnection { inner }))
                        .map_err(|error| error.to_string().into()),
                    Err(_) => Err("the handshake timed out".into()),
                },
                Err(error) => Err(error.to_string().into()),
            };

            let mut connections = connections.lock();
            connections.attempts.remove(&peer);
            if let Ok(connection) = &result {
                connections.open.insert(peer, Arc::clone(connection));
            }
            result
        });

        let attempt = async move {
            task.await.unwrap_or_else(|_| Err("the attempt to connect was cancelled".into()))
        };
        attempt.boxed().shared()
    }
}

async fn serve_stream(peer: SocketAddr, mut stream: QuicStream, handler: Arc<dyn PeerHandler>) {
    match stream.receive().await {
        Ok(Some(first)) => handler.handle(first, Box::new(stream)).await,
        Ok(None) => (),
        Err(error) => {
            log::warn!(peer:% = peer; "failed to receive the first message of an exchange: {error}");
            let reason = error.to_string().into();
            let _ = stream.send(&PeerMessage::Refused { reason }).await;
            stream.finish();
        }
    }
}

fn transport_config(idle_policy: IdlePolicy, stream_window: Option<u32>) -> TransportConfig {
    let mut config = TransportConfig::default();
    stream_window.iter().for_each(|it| _ = config.stream_receive_window((*it).into()));
    config.max_concurrent_bidi_streams(INITIAL_STREAM_LIMIT.into());
    config.max_concurrent_uni_streams(VarInt::from_u32(0));
    config.max_idle_timeout(Some(
        idle_policy.timeout().try_into().expect("the idle timeout fits into a QUIC integer"),
    ));
    config.keep_alive_interval(idle_policy.keep_alive_interval());
    config.initial_rtt(Duration::from_millis(50));
    config
}

#[async_trait]
impl PeerTransport for QuicTransport {
    fn disconnect(&self, peer: SocketAddr) {
        let mut connections = self.connections.lock();
        let retired = connections.retired.remove(&peer).unwrap_or_default();
        let open = connections.open.remove(&peer).map(|it| Arc::downgrade(&it));

        for connection in open.into_iter().chain(retired) {
            tokio::spawn(watch_abandoned(peer, connection, CLOSE_CODE));
        }
    }

    fn retire(&self, peer: SocketAddr) {
        let mut connections = self.connections.lock();
        let PeerConnections { open, retired, .. } = &mut *connections;

        if let Some(connection) = open.remove(&peer) {
            let handles = retired.entry(peer).or_default();
            handles.retain(|it| it.strong_count() > 0);
            handles.push(Arc::downgrade(&connection));
        }
    }

    fn is_connected(&self, peer: SocketAddr) -> bool {
        self.open_connection(peer).is_some()
    }

    async fn connect(&self, peer: SocketAddr) -> Result<(), PeerError> {
        self.get_or_connect(peer).await.map(drop)
    }

    async fn open(
        &self,
        peer: SocketAddr,
        first: &PeerMessage,
    ) -> Result<Box<dyn PeerStream>, PeerError> {
        let connection = self.get_or_connect(peer).await?;
        let lost = |reason: String| PeerError::Lost { reason };

        let (send, receive) = timeout(CONNECT_TIMEOUT, connection.inner.open_bi())
            .await
            .map_err(|_| PeerError::Overdue)?
            .map_err(|error| lost(error.to_string()))?;

        let metrics = Arc::clone(&self.metrics);
        let mut stream = QuicStream { send, receive, metrics, _connection: Some(connection) };
        stream.send(first).await?;
        Ok(Box::new(stream))
    }
}

#[cfg(test)]
impl QuicTransport {
    /// Sends bytes that need not be a valid message under a given length, and returns the reason for which the peer
    /// refuses them.
    pub(crate) async fn send_raw(&self, peer: SocketAddr, length: u32, bytes: &[u8]) -> String {
        let connection = self.get_or_connect(peer).await.expect("failed to connect");
        let (mut send, receive) =
            connection.inner.open_bi().await.expect("failed to open a stream");
        send.write_all(&length.to_le_bytes()).await.expect("failed to send the length");
        send.write_all(bytes).await.expect("failed to send the bytes");
        send.finish().expect("failed to finish the stream");
        let metrics = Arc::clone(&self.metrics);
        let mut stream = QuicStream { send, receive, metrics, _connection: Some(connection) };

        match stream.receive().await {
            Ok(Some(PeerMessage::Refused { reason })) => reason.to_string(),
            other => panic!("expected a refusal, received {other:?}"),
        }
    }
}
