//! Relays the streamed response of a scheduler to a client of this host.

use std::sync::Arc;

use tokio::{
    sync::mpsc,
    time::{Duration, Instant, sleep_until},
};

use crate::{
    PeerMessage, PeerStream,
    entry::{
        BufferBudget, StreamItem,
        entry_metrics::EntryMetrics,
        host_load::{SendEnd, StreamHolder, StreamSender},
    },
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
    pub(crate) buffers: Arc<BufferBudget>,
    pub(crate) holder: StreamHolder,
    /// Longest time for which the client may read nothing.
    pub(crate) idle_timeout: Duration,
}

impl ForwardedStream {
    /// Relays the body until its end, the deadline, or until the client has left. If the stream ends early, the sender is
    /// dropped without [`StreamItem::End`].
    pub(crate) async fn relay(mut self, sender: mpsc::Sender<StreamItem>) {
        let stream_sender = StreamSender {
            sender: sender.clone(),
            buffers: Arc::clone(&self.buffers),
            holder: self.holder,
            deadline: self.deadline,
            idle_timeout: self.idle_timeout,
        };

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

            match stream_sender.send(item).await {
                Ok(_) if is_end => return,
                Ok(_) => (),
                Err(SendEnd::ClientDisconnected) => return,
                // The rest is lost, so that the client does not take the stream for complete.
                Err(end) => {
                    return self
                        .report_break(end.cause(), "the client does not read it".to_owned());
                }
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
