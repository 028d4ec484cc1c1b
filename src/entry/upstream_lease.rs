//! Lease of a slot on an upstream.

use std::sync::Arc;

use hyper::StatusCode;
use tokio::time::Duration;

use crate::{
    CrashedRun,
    entry::{
        PlacementPool, SendGuard, UpstreamRecord,
        admission::admission_ticket::AdmissionTicket,
        dispatching::remote_lease::RemoteLease,
        host_reach::ReachEvidence,
        pool_state::UpstreamKey,
        pooled_upstream::LeaseOutcome,
        upstream_channel::UpstreamResponse,
        upstream_departures::UpstreamDeparture,
        upstream_load::granted_load::{GrantedLoad, LeaseEnd},
    },
};

/// A lease of one slot on an upstream. Dropping it returns the slot.
#[derive(Debug)]
pub(crate) struct UpstreamLease {
    pub(super) pool: Arc<PlacementPool>,
    pub(crate) key: UpstreamKey,
    pub(crate) record: Arc<UpstreamRecord>,
    /// Tokens of the prompt that the upstream should have cached.
    pub(crate) cached_tokens: u64,
    pub(crate) granted: GrantedLoad,
    /// Time from the grant to the first event of a stream.
    pub(super) first_event_time: Option<Duration>,
    /// What admission control learns from the lease's end, if the request takes part.
    pub(super) ticket: Option<Arc<AdmissionTicket>>,
    pub(super) outcome: LeaseOutcome,
    /// The slot as the region's dispatcher holds it, if another host has granted it.
    pub(super) remote: Option<Box<RemoteLease>>,
}

impl UpstreamLease {
    /// Ends the lease with an outcome; a lease that is only dropped ends as [`LeaseOutcome::Cancelled`].
    pub(crate) fn finish(mut self, outcome: LeaseOutcome) {
        self.outcome = outcome;
    }

    /// Records that the first event of a stream has arrived, which tells how fast the upstream answers.
    pub(crate) fn record_first_event(&mut self) {
        self.record_first_event_after(self.granted.granted_at.elapsed());
    }

    /// Records that the first event of a stream has arrived `time` after the grant.
    pub(crate) fn record_first_event_after(&mut self, time: Duration) {
        self.first_event_time = Some(time);
        self.granted.requests = self.pool.record_first_event(self.key, self.granted, time);
    }

    /// The run of the upstream, as crashes are counted.
    pub(crate) fn crashed_run(&self) -> CrashedRun {
        CrashedRun { upstream: Arc::clone(&self.record.id), run: self.record.started_at_ms }
    }

    /// Name of the host that has granted the slot, or an empty string if this one has.
    pub(crate) fn dispatcher(&self) -> &str {
        self.remote.as_ref().map_or("", |it| it.dispatcher())
    }

    /// The outcome as it is reported to a dispatcher. A failure that this host's own links explain says nothing about the
    /// upstream, and must not keep the region from it.
    fn reported_outcome(&self) -> LeaseOutcome {
        let is_failure = matches!(self.outcome, LeaseOutcome::Failed | LeaseOutcome::Unreachable);
        let reach = self.pool.reach();
        let service = &self.record.service;
        let is_own = is_failure && (reach.is_lost(service) || reach.is_doubtful(service));
        if is_own { LeaseOutcome::Cancelled } else { self.outcome }
    }

    /// Records what a response tells about the upstream: its load, and whether it is leaving.
    pub(crate) fn record_response(&self, response: &UpstreamResponse) {
        if let Some(load) = response.load {
            self.pool.record_load(self.key, load);
            self.remote.iter().for_each(|it| it.record_load(load));
        }

        // A misdirected request has reached another upstream at the same address.
        if response.status == StatusCode::MISDIRECTED_REQUEST {
            return;
        }

        if response.is_leaving {
            self.record_leaving();
        }
        // A failing upstream may omit its limit.
        if response.limit.is_some() || response.is_signed {
            self.pool.record_limit(&self.record, response.limit);
        }
    }

    /// What a response states of the upstream's departure, for the hosts that pass it on.
    pub(crate) fn departure(&self, response: &UpstreamResponse) -> Option<UpstreamDeparture> {
        response.is_leaving.then(|| UpstreamDeparture::of_run(&self.record))
    }

    /// Records that the upstream is leaving, so that it gets no new request.
    pub(crate) fn record_leaving(&self) {
        self.pool.record_leaving(&self.record);
    }
}

impl SendGuard for UpstreamLease {
    fn may_send(&self) -> bool {
        let is_open = self.pool.is_open(self.key, &self.record);
        if !is_open {
            log::info!(
                upstream:% = self.record.id, entry_revision = self.record.revision,
                granted_ms_ago = self.granted.granted_at.elapsed().as_millis() as u64;
                "the upstream leaves since it was chosen, so the request is not sent to it"
            );
        }
        is_open
    }

    fn record_connected(&self) {
        self.pool.record_reach(&self.record, ReachEvidence::Connected);
    }
}

impl Drop for UpstreamLease {
    fn drop(&mut self) {
        let reported = self.reported_outcome();

        if let Some(remote) = self.remote.take() {
            remote.end(reported, self.first_event_time);
        }

        let (outcome, granted) = (self.outcome, self.granted);
        let end = LeaseEnd { outcome, granted, first_event_time: self.first_event_time };
        self.pool.release(self.key, end, self.ticket.as_deref());
    }
}
