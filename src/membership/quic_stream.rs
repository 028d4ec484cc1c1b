//! Streams of messages over QUIC.

use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use quinn::{RecvStream, SendStream};
use tokio::time::timeout;

use crate::{
    FrameError, NodeMetrics, PeerError, PeerMessage, PeerStream, decode_frame, encode_frame,
    membership::held_connection::{DELIVERY_TIMEOUT, HeldConnection},
};

/// Largest message that is received, in bytes. The longest kind is the history of a program.
const MAX_MESSAGE_BYTES: u32 = 64 << 20;

/// A bidirectional stream. Each frame is preceded by its length: 4 bytes, little-endian.
#[derive(Debug)]
pub(super) struct QuicStream {
    pub(super) send: SendStream,
    pub(super) receive: RecvStream,
    pub(super) metrics: Arc<NodeMetrics>,
    /// Keeps the connection of an exchange that this host has started, even if the connection is retired.
    pub(super) _connection: Option<Arc<HeldConnection>>,
}

#[async_trait]
impl PeerStream for QuicStream {
    async fn receive(&mut self) -> Result<Option<PeerMessage>, PeerError> {
        let lost = |reason: String| PeerError::Lost { reason };
        let mut length = [0; 4];

        match self.receive.read_exact(&mut length).await {
            Ok(()) => (),
            Err(quinn::ReadExactError::FinishedEarly(0)) => return Ok(None),
            Err(error) => return Err(lost(error.to_string())),
        }

        let length = u32::from_le_bytes(length);

        if length > MAX_MESSAGE_BYTES {
            let reason = format!("a message of {length} bytes is too large");
            return Err(PeerError::Refused { reason });
        }

        let mut frame = vec![0; length as usize];

        self.receive.read_exact(&mut frame).await.map_err(|error| match error {
            quinn::ReadExactError::FinishedEarly(read) => {
                let reason = format!("{read} of {length} bytes came");
                PeerError::Frame(FrameError::Malformed { reason })
            }
            quinn::ReadExactError::ReadError(error) => lost(error.to_string()),
        })?;

        let message: PeerMessage = decode_frame(&frame)?;
        self.metrics.count_peer_bytes(message.is_control(), "received", frame.len() as u64 + 4);
        Ok(Some(message))
    }

    async fn send(&mut self, message: &PeerMessage) -> Result<(), PeerError> {
        let frame = encode_frame(message);
        let length = Bytes::copy_from_slice(&(frame.len() as u32).to_le_bytes());
        self.metrics.count_peer_bytes(message.is_control(), "sent", frame.len() as u64 + 4);

        self.send
            .write_all_chunks(&mut [length, frame])
            .await
            .map_err(|error| PeerError::Lost { reason: error.to_string() })
    }

    fn finish(&mut self) {
        let _ = self.send.finish();
    }

    async fn wait_until_received(&mut self) -> Result<(), PeerError> {
        match timeout(DELIVERY_TIMEOUT, self.send.stopped()).await {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(error)) => Err(PeerError::Lost { reason: error.to_string() }),
            Err(_) => Err(PeerError::Overdue),
        }
    }
}
