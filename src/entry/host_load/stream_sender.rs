//! Sends the items of a stream to a client that may read slowly.

use std::sync::Arc;

use tokio::{
    sync::mpsc::{self, Permit},
    time::{Duration, Instant, timeout_at},
};

use crate::entry::{BufferBudget, StreamItem, host_load::StreamHolder};

/// Time for which a client may read nothing before its stream counts as stalled. Hosts and clients pause for 100 ms and more in
/// ordinary use, and a connection that has lost packets for longer.
pub(crate) const STALL_GRACE: Duration = Duration::from_secs(1);

/// Time for which a stream waits without being counted. A client that reads takes what waits for it sooner, also after a pause of the
/// host, so that its stream does not depend on the room that streams of others leave.
const BURST_TIME: Duration = Duration::from_millis(200);

/// Why an item can't be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SendEnd {
    ClientDisconnected,
    DeadlineExceeded,
    /// The client has read nothing for as long as a connection may be idle.
    Stalled,
    /// The host holds as much for streams that have stalled as it may.
    NoRoom,
}

impl SendEnd {
    /// Label of the metric of streams that were broken off.
    pub(crate) fn cause(self) -> &'static str {
        match self {
            Self::ClientDisconnected => "client",
            Self::DeadlineExceeded => "deadline",
            Self::Stalled => "unread",
            Self::NoRoom => "unread_no_room",
        }
    }
}

/// Sends to one client. While the client does not read, nothing is read from the upstream.
#[derive(Debug)]
pub(crate) struct StreamSender {
    pub(crate) sender: mpsc::Sender<StreamItem>,
    pub(crate) buffers: Arc<BufferBudget>,
    pub(crate) holder: StreamHolder,
    pub(crate) deadline: Instant,
    /// Longest time for which the client may read nothing. It holds on hosts whose memory is limited.
    pub(crate) idle_timeout: Duration,
}

impl StreamSender {
    /// Sends an item, and returns for how long the client has read nothing before.
    pub(crate) async fn send(&self, item: StreamItem) -> Result<Duration, SendEnd> {
        if let Ok(permit) = self.sender.try_reserve() {
            permit.send(item);
            return Ok(Duration::ZERO);
        }

        let started_at = Instant::now();
        let size = match &item {
            StreamItem::Bytes(bytes) => bytes.len(),
            StreamItem::End => 0,
        };
        let permit = self.wait(started_at, size).await?;
        permit.send(item);
        Ok(started_at.elapsed())
    }

    async fn wait(
        &self,
        started_at: Instant,
        size: usize,
    ) -> Result<Permit<'_, StreamItem>, SendEnd> {
        if !self.buffers.is_limited() {
            let result = self.reserve_until(self.deadline).await;
            return result.unwrap_or(Err(SendEnd::DeadlineExceeded));
        }

        if let Some(result) = self.reserve_until((started_at + BURST_TIME).min(self.deadline)).await
        {
            return result;
        }

        let waiting = size * self.sender.max_capacity();
        let pending = self.buffers.hold_pending(self.holder, waiting).ok_or(SendEnd::NoRoom)?;
        let grace_end = started_at + STALL_GRACE;

        if let Some(result) = self.reserve_until(grace_end.min(self.deadline)).await {
            return result;
        }
        if grace_end >= self.deadline {
            return Err(SendEnd::DeadlineExceeded);
        }

        drop(pending);
        let _held = self.buffers.hold_stalled(self.holder, waiting).ok_or(SendEnd::NoRoom)?;
        let stall_end = started_at + self.idle_timeout.max(STALL_GRACE);

        match self.reserve_until(stall_end.min(self.deadline)).await {
            Some(result) => result,
            None if stall_end < self.deadline => Err(SendEnd::Stalled),
            None => Err(SendEnd::DeadlineExceeded),
        }
    }

    /// Waits for room until a time; `None` if there is none by then.
    async fn reserve_until(&self, end: Instant) -> Option<Result<Permit<'_, StreamItem>, SendEnd>> {
        let reserved = timeout_at(end, self.sender.reserve()).await.ok()?;
        Some(reserved.map_err(|_| SendEnd::ClientDisconnected))
    }
}
