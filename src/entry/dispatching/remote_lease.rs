//! The part of a lease that a dispatcher holds.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::{
    runtime::Handle,
    time::{Duration, Instant},
};

use crate::{
    PeerMessage, PeerStream,
    entry::{
        ReportedLoad,
        dispatching::placement_end::{EndLoad, PlacementEnd},
        pooled_upstream::LeaseOutcome,
    },
};

/// A slot that a dispatcher holds for this host while the stream is open. Dropping it ends the stream, which the
/// dispatcher takes for [`LeaseOutcome::Cancelled`].
#[derive(Debug)]
pub(crate) struct RemoteLease {
    dispatcher: Arc<str>,
    /// Locked only because a stream can't be shared between threads.
    stream: Mutex<Box<dyn PeerStream>>,
    /// Last load that the upstream has reported, and when.
    load: Mutex<Option<(ReportedLoad, Instant)>>,
}

impl RemoteLease {
    pub(crate) fn new(dispatcher: Arc<str>, stream: Box<dyn PeerStream>) -> Self {
        Self { dispatcher, stream: Mutex::new(stream), load: Mutex::default() }
    }

    /// Name of the dispatcher.
    pub(crate) fn dispatcher(&self) -> &str {
        &self.dispatcher
    }

    /// Records the load that the upstream has reported with a response.
    pub(crate) fn record_load(&self, load: ReportedLoad) {
        *self.load.lock() = Some((load, Instant::now()));
    }

    /// Tells the dispatcher how the lease has ended, by a task of its own. If the task can't be started or ends with its
    /// process, the end of the stream tells that the lease is over.
    pub(crate) fn end(self, outcome: LeaseOutcome, first_event_time: Option<Duration>) {
        let load = self.load.into_inner();
        let load = load.map(|(load, at)| EndLoad::encode(load, at, Instant::now()));
        let end = PlacementEnd::new(outcome, load, first_event_time);
        let mut stream = self.stream.into_inner();

        if let Ok(runtime) = Handle::try_current() {
            runtime.spawn(async move {
                if let Err(error) = stream.send(&PeerMessage::PlacementEnded(end)).await {
                    log::debug!(dispatcher:% = self.dispatcher; "a dispatcher can't be told that a lease has ended: {error}");
                    return;
                }
                stream.finish();
                // A retired connection is closed with its last stream, which would lose the message.
                let _ = stream.wait_until_received().await;
            });
        }
    }
}
