//! Which services this host reaches, from what its attempts at their upstreams tell.
//!
//! See docs/design/reach.md.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use derive_more::Display;
use parking_lot::Mutex;
use tokio::{
    sync::{Notify, watch},
    time::{Duration, Instant, timeout},
};

use crate::{
    entry::UpstreamRecord,
    upstreams::service_reach::{ReachPhase, ServiceReach},
};

/// Services that a host does not reach.
pub(crate) type LostServices = Arc<BTreeSet<Arc<str>>>;

/// How an attempt at an upstream has gone, as far as it tells about the way there.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum ReachEvidence {
    /// Data has arrived.
    #[display("heard")]
    Heard,
    /// A connection was made.
    #[display("connected")]
    Connected,
    /// The connection broke.
    #[display("broken")]
    Broken,
    /// No data has arrived since then.
    #[display("silent")]
    Silent { since: Instant },
    /// No connection could be made in an attempt that began then.
    #[display("unconnected")]
    Unconnected { since: Instant },
}

/// What has become of a service by a piece of evidence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReachChange {
    /// Nothing that others have to know.
    None,
    /// The service has just been lost; `last_heard` is when any of its upstreams was last heard.
    Lost { last_heard: Option<Instant> },
    /// The service is reached again.
    Regained,
}

/// The reach of one host. Lock order: the lock is taken on its own.
#[derive(Debug, Default)]
pub(crate) struct HostReach {
    services: Mutex<BTreeMap<Arc<str>, ServiceReach>>,
    lost: watch::Sender<LostServices>,
    /// Whether the other hosts have not been told of the last change.
    is_unannounced: AtomicBool,
    /// Wakes the task that probes.
    probe_request: Notify,
}

impl HostReach {
    /// Records evidence from an attempt at an upstream of a service that has `upstream_count` of them.
    pub(crate) fn record(
        &self,
        record: &UpstreamRecord,
        evidence: ReachEvidence,
        upstream_count: usize,
    ) -> ReachChange {
        let now = Instant::now();
        let (service, upstream) = (&record.service, &record.id);

        let (before, after, last_heard, is_probe_wanted) = {
            let mut services = self.services.lock();
            let reach = match services.get_mut(service) {
                Some(reach) => reach,
                None => services.entry(Arc::clone(service)).or_default(),
            };
            let before = reach.phase();
            match evidence {
                ReachEvidence::Heard => reach.record_heard(now, upstream),
                ReachEvidence::Connected => reach.record_connected(now, upstream),
                ReachEvidence::Broken => reach.record_silent(now, upstream, now, upstream_count),
                ReachEvidence::Silent { since } => {
                    reach.record_silent(now, upstream, since, upstream_count);
                }
                ReachEvidence::Unconnected { since } => {
                    reach.record_unconnected(now, upstream, since, upstream_count);
                }
            }
            (before, reach.phase(), reach.last_heard(), reach.is_probe_wanted())
        };

        if is_probe_wanted {
            self.probe_request.notify_one();
        }

        let change = match (before, after) {
            (ReachPhase::Lost { .. }, ReachPhase::Lost { .. }) => ReachChange::None,
            (_, ReachPhase::Lost { .. }) => ReachChange::Lost { last_heard },
            (ReachPhase::Lost { .. }, _) => ReachChange::Regained,
            _ => ReachChange::None,
        };
        self.publish(service, change, evidence, before);
        change
    }

    fn publish(
        &self,
        service: &Arc<str>,
        change: ReachChange,
        evidence: ReachEvidence,
        before: ReachPhase,
    ) {
        match change {
            ReachChange::None => return,
            ReachChange::Lost { last_heard } => log::warn!(
                service:% = service, evidence:%,
                heard_ms_ago:? = last_heard.map(|at| at.elapsed().as_millis() as u64);
                "no upstream of the service can be reached, so its requests go through other hosts"
            ),
            ReachChange::Regained => {
                let lost_ms = match before {
                    ReachPhase::Lost { since, .. } => since.elapsed().as_millis() as u64,
                    _ => 0,
                };
                log::info!(service:% = service, evidence:%, lost_ms; "upstreams of the service can be reached again");
            }
        }

        self.is_unannounced.store(true, Ordering::Relaxed);
        self.lost.send_modify(|lost| {
            let lost = Arc::make_mut(lost);
            if matches!(change, ReachChange::Lost { .. }) {
                lost.insert(Arc::clone(service));
            } else {
                lost.remove(service);
            }
        });
    }

    /// Decides whether a request may go to the upstreams of its service.
    pub(crate) fn admit(&self, service: &str) -> bool {
        let mut services = self.services.lock();
        services.get_mut(service).is_none_or(|it| it.admit(Instant::now()))
    }

    pub(crate) fn is_lost(&self, service: &str) -> bool {
        self.lost.borrow().contains(service)
    }

    /// Whether failures of single upstreams tell nothing about them.
    pub(crate) fn is_doubtful(&self, service: &str) -> bool {
        self.services.lock().get(service).is_some_and(ServiceReach::is_doubtful)
    }

    /// Whether another upstream of the same service was heard after `since`.
    pub(crate) fn has_heard_other(&self, record: &UpstreamRecord, since: Instant) -> bool {
        let services = self.services.lock();
        services.get(&record.service).is_some_and(|it| it.has_heard_other(&record.id, since))
    }

    /// The services that this host does not reach.
    pub(crate) fn lost_services(&self) -> LostServices {
        Arc::clone(&self.lost.borrow())
    }

    /// Returns whether the services that this host does not reach have changed since the last call.
    pub(crate) fn take_unannounced(&self) -> bool {
        self.is_unannounced.swap(false, Ordering::Relaxed)
    }

    /// Waits until this host does not reach a service.
    pub(crate) async fn wait_until_lost(&self, service: &str) {
        // The sender lives as long as this borrow, so the wait can't fail.
        let _ = self.lost.subscribe().wait_for(|lost| lost.contains(service)).await;
    }

    /// Waits until this host has not reached a service for a while.
    pub(crate) async fn wait_until_lost_for(&self, service: &str, duration: Duration) {
        let mut lost = self.lost.subscribe();

        loop {
            let _ = lost.wait_for(|lost| lost.contains(service)).await;
            let regained = lost.wait_for(|lost| !lost.contains(service));

            if timeout(duration, regained).await.is_err() {
                return;
            }
        }
    }

    /// Waits until evidence asks for probes.
    pub(crate) async fn wait_for_probe_request(&self) {
        self.probe_request.notified().await;
    }

    /// Services that are to be probed, now or soon.
    pub(crate) fn probed_services(&self) -> Vec<Arc<str>> {
        let services = self.services.lock();
        let probed = services.iter().filter(|(_, it)| it.is_probe_wanted());
        probed.map(|(service, _)| Arc::clone(service)).collect()
    }

    /// Takes the upstream of a service that is to be probed now, if any, out of those that are open.
    pub(crate) fn take_probe(&self, service: &str, upstreams: &[Arc<str>]) -> Option<Arc<str>> {
        self.services.lock().get_mut(service)?.take_probe(Instant::now(), upstreams)
    }
}
