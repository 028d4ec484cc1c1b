//! Exchange of reports and grants between schedulers.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
};

use tokio::time::{Duration, Instant, sleep, timeout};

use crate::{
    PeerError, PeerMessage,
    entry::{
        peer_mesh::PeerMesh,
        quotas::{
            QuotaAnswer, QuotaReport, REPORT_TIMEOUT, quota_gate::QuotaGate,
            quota_reporter::ReportFailure,
        },
    },
};

/// Time between two looks at which reports are due.
const TICK: Duration = Duration::from_millis(50);

impl QuotaGate {
    /// Sends reports until the task is dropped. While the configuration has no quotas, it only waits.
    pub(super) async fn run(self: Arc<Self>) {
        loop {
            if self.is_enabled.load(Ordering::Relaxed) {
                self.send_reports();
                tokio::select! {
                    () = sleep(TICK) => {}
                    () = self.wake.notified() => {}
                }
            } else {
                self.wake.notified().await;
            }
        }
    }

    /// Sends the reports that are due. Those to this host itself are answered at once.
    fn send_reports(self: &Arc<Self>) {
        let now = Instant::now();
        self.return_unused_starts(now);
        let peers = self.mesh.quota_peers();
        let identity = &self.mesh.identity;

        let (reports, known_hosts) = {
            let mut state = self.state.lock();
            let own = std::iter::once((Arc::clone(&identity.host), false));
            let known_hosts = state.known_hosts.update(now, own.chain(peers.listed));
            let responsive = peers.addresses.keys().cloned().collect();
            state.reporter.set_peers(now, responsive, known_hosts, self.mesh.is_draining());
            (state.reporter.next_reports(now), known_hosts)
        };
        self.owner.lock().set_known_hosts(known_hosts);

        for (owner, report) in reports {
            if owner == identity.host {
                let answer = self.owner.lock().report(now, &report);
                self.take_answer(&owner, &report, now, &answer);
            } else if let Some(address) = peers.addresses.get(&owner) {
                tokio::spawn(Arc::clone(self).exchange_report(owner, *address, report));
            } else {
                self.take_failure(&owner, &report, ReportFailure::Silent);
            }
        }
    }

    async fn exchange_report(
        self: Arc<Self>,
        owner: Arc<str>,
        address: SocketAddr,
        report: QuotaReport,
    ) {
        let sent_at = Instant::now();
        let message = PeerMessage::QuotaReport { report: report.clone() };
        let exchange = self.mesh.connector.exchange(address, &message);

        match timeout(REPORT_TIMEOUT, exchange).await {
            Ok(Ok(PeerMessage::QuotaGrants { answer })) => {
                self.take_answer(&owner, &report, sent_at, &answer);
            }
            Ok(Err(PeerError::Refused { .. })) => {
                self.take_failure(&owner, &report, ReportFailure::Refused);
            }
            _ => self.take_failure(&owner, &report, ReportFailure::Silent),
        }
    }

    fn take_answer(
        &self,
        owner: &Arc<str>,
        report: &QuotaReport,
        sent_at: Instant,
        answer: &QuotaAnswer,
    ) {
        let mut state = self.state.lock();
        let outcomes = state.reporter.take_answer(Instant::now(), owner, report, sent_at, answer);
        for (team, outcome) in outcomes {
            state.settle(&team, outcome);
        }
        drop(state);
        self.wake_if_urgent();
    }

    fn take_failure(&self, owner: &Arc<str>, report: &QuotaReport, failure: ReportFailure) {
        self.metrics.count_quota_decision("owner_failed");
        self.state.lock().reporter.take_failure(Instant::now(), owner, report, failure);
        self.wake_if_urgent();
    }

    /// Requests that came while a report was under way are asked for without waiting for the next look.
    fn wake_if_urgent(&self) {
        if self.state.lock().reporter.is_urgent() {
            self.wake.notify_one();
        }
    }
}

/// The other schedulers, as quotas see them.
#[derive(Debug)]
struct QuotaPeers {
    /// Addresses of those that may be owners.
    addresses: HashMap<Arc<str>, SocketAddr>,
    /// All of them, and whether each is draining.
    listed: Vec<(Arc<str>, bool)>,
}

impl PeerMesh {
    fn quota_peers(&self) -> QuotaPeers {
        let peers = self.peers.lock();
        let is_candidate =
            |peer: &crate::entry::mesh_peer::MeshPeer| peer.failures == 0 && !peer.is_draining;
        QuotaPeers {
            addresses: peers
                .iter()
                .filter(|(_, peer)| is_candidate(peer))
                .map(|(host, peer)| (Arc::clone(host), peer.address))
                .collect(),
            listed: peers.iter().map(|(host, peer)| (Arc::clone(host), peer.is_draining)).collect(),
        }
    }

    /// Answers a report of another scheduler on the quotas of teams.
    pub(in crate::entry) fn respond_to_quota_report(&self, report: &QuotaReport) -> PeerMessage {
        match self.quota_owner.get() {
            Some(owner) => {
                let answer = owner.lock().report(Instant::now(), report);
                PeerMessage::QuotaGrants { answer }
            }
            None => PeerMessage::Refused { reason: "this host keeps no quotas".into() },
        }
    }
}
