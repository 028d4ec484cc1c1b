//! How the pool takes leases that another host has granted, and what other hosts' leases tell.

use std::sync::Arc;

use tokio::time::Instant;

use crate::entry::{
    PlacementPool, ReportedLoad,
    dispatching::{placement_grant::PlacementGrant, remote_lease::RemoteLease},
    placement_request::PlacementRequest,
    pool_state::UpstreamKey,
    pooled_upstream::LeaseOutcome,
    upstream_lease::UpstreamLease,
    upstream_load::granted_load::GrantedLoad,
};

impl PlacementPool {
    /// Turns a dispatcher's grant into a lease, without an admission by this host: the dispatcher has counted the slot and
    /// its share of a limit. Returns the remote part if this host does not know the upstream's run, or knows that the request
    /// may not run there.
    pub(crate) fn adopt_grant(
        self: &Arc<Self>,
        request: &PlacementRequest,
        grant: &PlacementGrant,
        remote: Box<RemoteLease>,
    ) -> Result<UpstreamLease, Box<RemoteLease>> {
        let now = Instant::now();
        let mut state = self.state.lock();
        let usable = state.by_id.get(&grant.upstream).copied().filter(|key| {
            let upstream = &state.upstreams[*key];
            upstream.record.started_at_ms == grant.started_at_ms
                && upstream.record.service == request.service
                && request.may_use(upstream)
                && state.is_open(upstream, now, &self.departures.lock())
        });
        let Some(key) = usable else {
            return Err(remote);
        };

        let upstream = &mut state.upstreams[key];
        let granted = GrantedLoad {
            granted_at: now,
            uncached_tokens: request.prompt_tokens.saturating_sub(grant.cached_tokens),
            is_prefill_known: true,
            memory_tokens: request.memory_tokens(),
            requests: 0,
            object_place: None,
        };
        upstream.record_grant(granted);
        // This host places requests by its own cache estimate once no dispatcher answers.
        upstream.cache.record(&request.prompt_parts);
        let record = Arc::clone(&upstream.record);
        drop(state);

        Ok(UpstreamLease {
            pool: Arc::clone(self),
            key,
            record,
            cached_tokens: grant.cached_tokens,
            granted,
            first_event_time: None,
            ticket: None,
            outcome: LeaseOutcome::Cancelled,
            remote: Some(remote),
        })
    }

    /// The request as this host may place it by its own shares of limits: on upstreams that have stated a limit. Each host's
    /// share is its own, so the dispatcher can't use it for the region. `None` if this host has no share of any.
    pub(crate) fn own_share_request(&self, request: &PlacementRequest) -> Option<PlacementRequest> {
        let state = self.state.lock();
        let limits = self.limits.lock();
        let keys = &state.services.get(&request.service)?.keys;
        let mut unlimited = Vec::new();
        let mut has_share = false;

        for record in keys.iter().map(|key| &state.upstreams[*key].record) {
            match limits.share(record, self.region_of(record)) {
                Some(share) => has_share |= share.per_second() > 0.0,
                None => unlimited.push(Arc::clone(&record.id)),
            }
        }

        if !has_share {
            return None;
        }

        let mut request = request.clone();
        request.excluded.extend(unlimited);
        Some(request)
    }

    /// Records the load that an upstream has reported to another host, unless a later report is known.
    pub(crate) fn record_load_of_peer(
        &self,
        key: UpstreamKey,
        load: ReportedLoad,
        reported_at: Instant,
    ) {
        let mut state = self.state.lock();

        if let Some(upstream) = state.upstreams.get_mut(key)
            && upstream.load_reported_at().is_none_or(|latest| latest < reported_at)
        {
            upstream.record_load(reported_at, load);
        }
    }

    /// Number of requests that wait for a slot of a service here.
    pub(crate) fn queue_length(&self, service: &str) -> usize {
        self.state.lock().services.get(service).map_or(0, |it| it.waiting.len())
    }

    /// Slots of an upstream that this host has counted, and its load with that of other hosts by the last report.
    pub(crate) fn upstream_load(&self, id: &str) -> Option<(u32, u32)> {
        let state = self.state.lock();
        let upstream = &state.upstreams[*state.by_id.get(id)?];
        Some((upstream.in_flight, upstream.load(Instant::now())))
    }

    /// Data centre of this host.
    pub(crate) fn data_centre(&self) -> &Arc<str> {
        &self.data_centre
    }
}
