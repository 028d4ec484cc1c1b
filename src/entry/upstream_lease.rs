//! Lease of a slot on an upstream.

use std::sync::Arc;

use hyper::StatusCode;
use tokio::time::Instant;

use crate::{
    CrashedRun,
    entry::{
        PlacementPool, SendGuard, UpstreamRecord, admission::admission_ticket::AdmissionTicket,
        host_reach::ReachEvidence, pool_state::UpstreamKey, pooled_upstream::LeaseOutcome,
        upstream_channel::UpstreamResponse, upstream_departures::UpstreamDeparture,
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
    pub(super) granted_at: Instant,
    /// What admission control learns from the lease's end, if the request takes part.
    pub(super) ticket: Option<Arc<AdmissionTicket>>,
    pub(super) outcome: LeaseOutcome,
}

impl UpstreamLease {
    /// Ends the lease with an outcome; a lease that is only dropped ends as [`LeaseOutcome::Cancelled`].
    pub(crate) fn finish(mut self, outcome: LeaseOutcome) {
        self.outcome = outcome;
    }

    /// The run of the upstream, as crashes are counted.
    pub(crate) fn crashed_run(&self) -> CrashedRun {
        CrashedRun { upstream: Arc::clone(&self.record.id), run: self.record.started_at_ms }
    }

    /// Records what a response tells about the upstream: its load, and whether it is leaving.
    pub(crate) fn record_response(&self, response: &UpstreamResponse) {
        if let Some(load) = response.load {
            self.pool.record_load(self.key, load);
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
                granted_ms_ago = self.granted_at.elapsed().as_millis() as u64;
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
        let lease_time = self.granted_at.elapsed();
        self.pool.release(self.key, self.outcome, lease_time, self.ticket.as_deref());
    }
}
