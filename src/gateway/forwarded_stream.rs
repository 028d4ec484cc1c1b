//! Relays the streamed response of a scheduler to a client of this host.

use std::sync::Arc;

use tokio::{
    sync::mpsc,
    time::{Instant, sleep_until},
};

use crate::{
    PeerMessage, PeerStream,
    entry::{StreamItem, entry_metrics::EntryMetrics},
    gateway::request_forwarder::unexpected_message,
};

/// A streamed response whose head has arrived.
#[derive(Debug)]
pub(crate) struct ForwardedStream {
    pub(crate) request: Arc<str>,
    pub(crate) scheduler: Arc<str>,
    pub(crate) stream: Box<dyn PeerStream>,
    /// When the client stops waiting.
    pub(crate) deadline: Instant,
    pub(crate) metrics: Arc<EntryMetrics>,
}

impl ForwardedStream {
    /// Relays the body until its end, the deadline, or until the client has left. If the stream ends early, the sender is
    /// dropped without [`StreamItem::End`].
    pub(crate) async fn relay(mut self, sender: mpsc::Sender<StreamItem>) {
        loop {
            let received = tokio::select! {
                received = self.stream.receive() => received,
                () = sender.closed() => return,
                () = sleep_until(self.deadline) => {
                    return self.report_break("deadline", "the deadline has passed".to_owned());
                }
            };

            let item = match received {
                Ok(Some(PeerMessage::ForwardBytes { bytes })) => StreamItem::Bytes(bytes),
                Ok(Some(PeerMessage::ForwardEnd)) => StreamItem::End,
                // The scheduler counts the cause; see docs/METRICS.md.
                Ok(None) => {
                    let reason = "the scheduler has ended the stream early".to_owned();
                    return self.report_break("relayed", reason);
                }
                Ok(other) => {
                    let reason = unexpected_message(other).to_string();
                    return self.report_break("scheduler", reason);
                }
                Err(error) => return self.report_break("scheduler", error.to_string()),
            };

            let is_end = matches!(item, StreamItem::End);

            if sender.send(item).await.is_err() || is_end {
                return;
            }
        }
    }

    fn report_break(&self, cause: &'static str, reason: String) {
        self.metrics.count_broken_stream(cause);
        log::warn!(
            request:% = self.request, scheduler:% = self.scheduler, cause;
            "a forwarded stream has broken off: {reason}"
        );
    }
}
