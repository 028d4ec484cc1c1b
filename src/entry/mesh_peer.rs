//! What an entry host knows of another one, and what it tells of itself.

use std::{net::SocketAddr, sync::Arc};

use tokio::time::{Duration, Instant};

/// Time in which a peer in service answers; a round trip between regions takes 16 ms.
const USUAL_ANSWER_TIME: Duration = Duration::from_millis(100);

/// Another entry host.
#[derive(Debug)]
pub(crate) struct MeshPeer {
    pub(crate) address: SocketAddr,
    pub(crate) region: Arc<str>,
    /// Whether the peer has everything that was told since it was last heard.
    pub(crate) is_current: bool,
    /// Since when a message to the peer waits for its answer.
    pub(crate) told_at: Option<Instant>,
    /// Whether the peer has told that it is about to stop.
    pub(crate) is_draining: bool,
    pub(crate) failures: u32,
    pub(crate) silent_since: Option<Instant>,
    pub(crate) paused_until: Option<Instant>,
    /// Until when the peer is not asked to record, since it did not do so in time.
    pub(crate) record_paused_until: Option<Instant>,
}

impl MeshPeer {
    pub(crate) fn new(address: SocketAddr, region: Arc<str>) -> Self {
        Self {
            address,
            region,
            is_current: false,
            told_at: None,
            is_draining: false,
            failures: 0,
            silent_since: None,
            paused_until: None,
            record_paused_until: None,
        }
    }

    /// Whether the peer's clients may come in through other hosts now.
    pub(crate) fn is_unsteady(&self, now: Instant) -> bool {
        let is_slow = self.told_at.is_some_and(|at| now.duration_since(at) > USUAL_ANSWER_TIME);
        self.is_draining || self.failures > 0 || is_slow
    }

    /// Takes note that the peer has been heard.
    pub(crate) fn set_heard(&mut self) {
        self.failures = 0;
        self.silent_since = None;
        self.paused_until = None;
    }

    /// Whether the peer may be asked to record.
    pub(crate) fn can_record(&self, now: Instant) -> bool {
        let pauses = [self.paused_until, self.record_paused_until];
        pauses.iter().flatten().all(|until| *until <= now)
    }
}

/// What peers are told of this host.
#[derive(Clone, Debug)]
pub(crate) struct MeshIdentity {
    pub(crate) host: Arc<str>,
    /// Where peers reach this host.
    pub(crate) address: SocketAddr,
    pub(crate) region: Arc<str>,
    /// Identity of this run as a writer of turns and spends.
    pub(crate) writer: Arc<str>,
}
