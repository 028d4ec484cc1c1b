//! What the attempts at upstreams tell about this host's own links. See docs/design/reach.md.

use std::sync::Arc;

use tokio::time::Instant;

use crate::entry::{
    PlacementPool, UpstreamRecord,
    host_reach::{HostReach, ReachChange, ReachEvidence},
};

impl PlacementPool {
    /// Which services this host reaches.
    pub(crate) fn reach(&self) -> &Arc<HostReach> {
        &self.reach
    }

    /// Records what an attempt at an upstream tells about the way to its service. Failures from a time in which this host
    /// reached no upstream are not the upstreams' own, so they are forgotten when that time ends.
    pub(crate) fn record_reach(
        &self,
        record: &UpstreamRecord,
        evidence: ReachEvidence,
    ) -> ReachChange {
        let upstream_count = match evidence {
            ReachEvidence::Heard | ReachEvidence::Connected => 0,
            _ => self.upstream_count(&record.service),
        };
        let change = self.reach.record(record, evidence, upstream_count);

        if change == ReachChange::Regained {
            self.forget_failures(&record.service);
        }

        change
    }

    fn upstream_count(&self, service: &str) -> usize {
        self.state.lock().services.get(service).map_or(0, |it| it.keys.len())
    }

    fn forget_failures(&self, service: &Arc<str>) {
        let mut state = self.state.lock();
        let keys = state.services.get(service).map(|it| it.keys.clone()).unwrap_or_default();

        for key in keys {
            state.upstreams[key].forget_failures();
        }

        self.serve_queue(&mut state, service);
    }

    /// Takes the upstreams that are to be probed now, at most one of each service.
    pub(crate) fn take_probes(&self) -> Vec<Arc<UpstreamRecord>> {
        let services = self.reach.probed_services();
        services.iter().filter_map(|service| self.take_probe(service)).collect()
    }

    fn take_probe(&self, service: &str) -> Option<Arc<UpstreamRecord>> {
        let open: Vec<Arc<UpstreamRecord>> = {
            let state = self.state.lock();
            let departures = self.departures.lock();
            let now = Instant::now();
            let keys = state.services.get(service).into_iter().flat_map(|it| &it.keys);
            let upstreams = keys.map(|key| &state.upstreams[*key]);
            let open = upstreams.filter(|it| state.is_open(it, now, &departures));
            open.map(|it| Arc::clone(&it.record)).collect()
        };
        let ids: Vec<Arc<str>> = open.iter().map(|it| Arc::clone(&it.id)).collect();
        let probed = self.reach.take_probe(service, &ids)?;
        open.into_iter().find(|it| it.id == probed)
    }
}
