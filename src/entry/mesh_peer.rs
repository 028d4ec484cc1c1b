//! State of another entry host, and the identity under which this host announces itself to others.

use std::{net::SocketAddr, sync::Arc};

use tokio::time::{Duration, Instant};

use crate::entry::{host_reach::LostServices, peer_features::PeerFeatures};

/// Response time above which a peer counts as slow. A round trip between regions takes 16 ms.
const SLOW_RESPONSE_THRESHOLD: Duration = Duration::from_millis(100);

/// Connection state and health of another entry host.
#[derive(Debug)]
pub(crate) struct MeshPeer {
    pub(crate) address: SocketAddr,
    pub(crate) region: Arc<str>,
    /// Run of the peer's process, by the writer that its last message names; `None` before its first message.
    pub(crate) writer: Option<Arc<str>>,
    /// What the build of that run can do.
    pub(crate) features: PeerFeatures,
    /// Latest time at which that run can have started. Earlier runs of the host have ended before.
    pub(crate) run_started: Option<Instant>,
    /// Whether the peer has been sent the full state and has missed no change since, so that the next update to it needs
    /// to carry only new changes.
    pub(crate) is_synced: bool,
    /// When the update was sent that still awaits the peer's response.
    pub(crate) in_flight_since: Option<Instant>,
    /// Whether an update is to be sent even if it tells nothing new. Until then, the failure of one that was sent before begins
    /// no backoff.
    is_exchange_wanted: bool,
    /// Whether the peer has announced that it is about to stop.
    pub(crate) is_draining: bool,
    /// Services of which the peer's run reaches no upstream, by its message with the number `reach_sequence`.
    pub(crate) lost_services: LostServices,
    reach_sequence: u64,
    /// When the peer sent its last update; `None` if it has not sent one since it was last silent. One that missed to send
    /// updates meanwhile begins with its full state.
    heard_at: Option<Instant>,
    /// Updates in a row that the peer has not acknowledged.
    pub(crate) failures: u32,
    pub(crate) unresponsive_since: Option<Instant>,
    /// When the last update was sent that the peer has not acknowledged.
    pub(crate) failed_at: Option<Instant>,
    /// Until when no updates are sent to the peer, since it did not acknowledge the last one.
    pub(crate) backoff_until: Option<Instant>,
    /// Until when the peer is not asked to record, since it failed to do so.
    pub(crate) record_backoff_until: Option<Instant>,
}

impl MeshPeer {
    pub(crate) fn new(address: SocketAddr, region: Arc<str>) -> Self {
        Self {
            address,
            region,
            writer: None,
            features: PeerFeatures::default(),
            run_started: None,
            is_synced: false,
            in_flight_since: None,
            is_exchange_wanted: false,
            is_draining: false,
            lost_services: LostServices::default(),
            reach_sequence: 0,
            heard_at: None,
            failures: 0,
            unresponsive_since: None,
            failed_at: None,
            backoff_until: None,
            record_backoff_until: None,
        }
    }

    /// Whether the peer is draining, failing or slow, so that its clients may fail over to other hosts.
    pub(crate) fn is_degraded(&self, now: Instant) -> bool {
        let is_slow =
            self.in_flight_since.is_some_and(|at| now.duration_since(at) > SLOW_RESPONSE_THRESHOLD);
        let has_lost_links = !self.lost_services.is_empty();
        self.is_draining || self.failures > 0 || is_slow || has_lost_links
    }

    /// Asks for an update without waiting for a change or for the end of a backoff. A peer that receives it sends its full state
    /// if it has missed to send an update; one that has missed an update of this host gets the full state with it.
    pub(crate) fn request_exchange(&mut self) {
        self.is_exchange_wanted = true;
        self.backoff_until = None;
    }

    /// Whether an update was asked for since the last call.
    pub(crate) fn take_exchange_request(&mut self) -> bool {
        std::mem::take(&mut self.is_exchange_wanted)
    }

    /// Whether this host and the peer know each other's totals, but for the changes of the last moments.
    pub(crate) fn is_in_step(&self) -> bool {
        self.heard_at.is_some() && self.failures == 0
    }

    /// Whether the peer has sent no update since it last failed to acknowledge one. It may have gone by records meanwhile.
    pub(crate) fn is_unheard_since_failure(&self) -> bool {
        self.failures > 0 || (self.failed_at.is_some() && self.heard_at.is_none())
    }

    /// Records that the peer has sent an update.
    pub(crate) fn record_update(&mut self) {
        self.heard_at = Some(Instant::now());
        self.mark_responsive();
    }

    /// Records that the peer has not acknowledged an update that was sent at `sent_at`.
    pub(crate) fn record_failure(&mut self, sent_at: Option<Instant>, now: Instant) {
        self.is_synced = false;
        self.heard_at = None;
        self.unresponsive_since.get_or_insert(now);
        self.failures += 1;
        self.failed_at = sent_at.or(self.failed_at);
    }

    /// Begins a backoff of updates after the peer has not acknowledged one.
    pub(crate) fn begin_backoff(&mut self, now: Instant, delay: Duration) {
        self.backoff_until = (!self.is_exchange_wanted).then(|| now + delay);
    }

    /// Records which run of the peer has sent a message. A run that was not heard before may lack what was sent to an
    /// earlier one at the same address, so the next update carries the full state. Returns whether the run is new.
    pub(crate) fn record_writer(&mut self, writer: &Arc<str>, run_started: Instant) -> bool {
        if self.writer.as_ref() == Some(writer) {
            return false;
        }

        self.writer = Some(Arc::clone(writer));
        self.features = PeerFeatures::default();
        self.run_started = Some(run_started);
        self.is_synced = false;
        self.lost_services = LostServices::default();
        self.reach_sequence = 0;
        true
    }

    /// Records the services that the peer does not reach, unless a newer message of its run has told them already. Returns
    /// whether they have changed.
    pub(crate) fn record_reach(&mut self, sequence: u64, lost_services: &LostServices) -> bool {
        if sequence < self.reach_sequence {
            return false;
        }

        self.reach_sequence = sequence;
        let has_changed = self.lost_services != *lost_services;
        self.lost_services = Arc::clone(lost_services);
        has_changed
    }

    /// Ends the backoff of updates after the peer has acknowledged one or has sent a message.
    pub(crate) fn mark_responsive(&mut self) {
        self.failures = 0;
        self.unresponsive_since = None;
        self.backoff_until = None;
    }

    /// Whether the peer may be asked to record.
    pub(crate) fn can_record(&self, now: Instant) -> bool {
        let backoffs = [self.backoff_until, self.record_backoff_until];
        backoffs.iter().flatten().all(|until| *until <= now)
    }
}

/// Identity of this host as peers receive it.
#[derive(Clone, Debug)]
pub(crate) struct MeshIdentity {
    pub(crate) host: Arc<str>,
    /// Address at which peers reach this host.
    pub(crate) address: SocketAddr,
    pub(crate) region: Arc<str>,
    /// Identity of this run of the process as a writer of turns and spends.
    pub(crate) writer: Arc<str>,
}
