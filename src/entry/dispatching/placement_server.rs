//! The dispatcher's side: places the requests of other schedulers.

use std::{pin::pin, sync::Arc};

use futures_util::FutureExt;
use tokio::time::{Duration, Instant, MissedTickBehavior, interval_at};

use crate::{
    PeerError, PeerMessage, PeerStream,
    entry::{
        PlacementPool,
        dispatching::{
            NamedNumbers, placement_denial::PlacementDenial, placement_end::PlacementEnd,
            placement_grant::PlacementGrant, placement_query::PlacementQuery,
        },
        entry_metrics::EntryMetrics,
        placement_pool::MIN_RETRY_AFTER,
        placement_request::{PlacementRefusal, PlacementRequest},
        upstream_lease::UpstreamLease,
    },
};

/// Time between two messages that a request still waits. A requester takes a dispatcher for lost after
/// [`QUEUED_SILENCE_LIMIT`](super::region_dispatch::QUEUED_SILENCE_LIMIT).
pub(crate) const QUEUED_INTERVAL: Duration = Duration::from_millis(250);

/// What has become of a query before a slot was granted.
enum Placement {
    Granted(UpstreamLease),
    Refused(PlacementRefusal),
    /// This host has lost its links to the service's upstreams.
    OutOfReach,
    /// The requester has gone away or has cancelled.
    Cancelled,
}

/// Serves the queries of other schedulers with this host's own pool.
#[derive(Clone, Debug)]
pub(crate) struct PlacementServer {
    pool: Arc<PlacementPool>,
    metrics: Arc<EntryMetrics>,
    /// Whether this host dispatches at all.
    is_enabled: bool,
}

impl PlacementServer {
    pub(crate) fn new(
        pool: &Arc<PlacementPool>,
        metrics: &Arc<EntryMetrics>,
        is_enabled: bool,
    ) -> Self {
        Self { pool: Arc::clone(pool), metrics: Arc::clone(metrics), is_enabled }
    }

    /// Serves a query and holds the lease while the stream is open. `is_ready` tells whether this host may dispatch now.
    pub(crate) async fn serve(
        &self,
        query: PlacementQuery,
        is_ready: bool,
        stream: &mut dyn PeerStream,
    ) -> Result<(), PeerError> {
        if !self.is_enabled {
            // As from a build that knows no queries, so that this host is not asked for a time.
            let reason = "this host is told not to dispatch".into();
            return stream.send(&PeerMessage::Refused { reason }).await;
        }

        if !is_ready {
            return self.deny(&query, PlacementDenial::not_ready("not ready"), stream).await;
        }

        if self.pool.reach().is_lost(&query.service) {
            let denial = PlacementDenial::not_ready("the service is out of reach");
            return self.deny(&query, denial, stream).await;
        }

        let started_at = Instant::now();
        let request = query.decode(started_at);

        match self.place(&query, request, stream).await? {
            Placement::Granted(lease) => {
                self.hold(&query, lease, started_at.elapsed(), stream).await
            }
            Placement::Refused(refusal) => {
                self.deny(&query, PlacementDenial::refused(&refusal), stream).await
            }
            Placement::OutOfReach => {
                let denial = PlacementDenial::not_ready("the service is out of reach");
                self.deny(&query, denial, stream).await
            }
            Placement::Cancelled => {
                self.metrics.count_served_placement("cancelled");
                log::info!(
                    request:% = query.request, requester:% = query.requester, service:% = query.service,
                    waited_ms = started_at.elapsed().as_millis() as u64;
                    "a peer no longer waits for a placement"
                );
                Ok(())
            }
        }
    }

    /// Waits for a slot, and lets the requester know that it waits.
    async fn place(
        &self,
        query: &PlacementQuery,
        request: PlacementRequest,
        stream: &mut dyn PeerStream,
    ) -> Result<Placement, PeerError> {
        if !query.may_wait {
            let lease = self.pool.try_acquire(&request);
            let refusal = || PlacementRefusal {
                reason: "no upstream is free now",
                retry_after: MIN_RETRY_AFTER,
            };
            return Ok(lease.map_or_else(|| Placement::Refused(refusal()), Placement::Granted));
        }

        let mut acquiring = pin!(self.pool.acquire(request));

        // Most requests get a slot or a refusal at once, and need no other message.
        if let Some(result) = acquiring.as_mut().now_or_never() {
            return Ok(result.map_or_else(Placement::Refused, Placement::Granted));
        }

        stream.send(&PeerMessage::PlacementQueued).await?;
        let mut ticks = interval_at(Instant::now() + QUEUED_INTERVAL, QUEUED_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut lost = pin!(self.pool.reach().wait_until_lost(&query.service));

        loop {
            tokio::select! {
                biased;
                // Nothing but its end follows a query that waits, so a read that is dropped halfway loses no message.
                _ = stream.receive() => return Ok(Placement::Cancelled),
                () = &mut lost => return Ok(Placement::OutOfReach),
                result = &mut acquiring => {
                    return Ok(result.map_or_else(Placement::Refused, Placement::Granted));
                }
                _ = ticks.tick() => (),
            }

            stream.send(&PeerMessage::PlacementQueued).await?;
        }
    }

    /// Grants a slot, and holds the lease until the requester ends it or the stream ends.
    async fn hold(
        &self,
        query: &PlacementQuery,
        lease: UpstreamLease,
        waited: Duration,
        stream: &mut dyn PeerStream,
    ) -> Result<(), PeerError> {
        let grant = PlacementGrant {
            upstream: Arc::clone(&lease.record.id),
            started_at_ms: lease.record.started_at_ms,
            cached_tokens: lease.cached_tokens,
            numbers: NamedNumbers::new(),
        };
        stream.send(&PeerMessage::PlacementGranted(grant)).await?;
        self.metrics.count_served_placement("granted");
        log::info!(
            request:% = query.request, requester:% = query.requester, requester_data_centre:% = query.data_centre,
            route:% = query.route, service:% = query.service, upstream:% = lease.record.id,
            waited_ms = waited.as_millis() as u64, waited_before_ms = query.waited_us / 1_000,
            cached_tokens = lease.cached_tokens, prompt_tokens = query.prompt_tokens,
            load:? = self.pool.upstream_load(&lease.record.id).map(|(_, load)| load),
            queue_length = self.pool.queue_length(&query.service);
            "placed for a peer"
        );

        // Any other end of the stream drops the lease, which ends it as cancelled.
        if let Some(PeerMessage::PlacementEnded(end)) = stream.receive().await? {
            self.finish(lease, &end);
        }

        Ok(())
    }

    fn finish(&self, mut lease: UpstreamLease, end: &PlacementEnd) {
        let load = end.load.as_ref().and_then(|it| it.decode(Instant::now()));

        if let Some((load, reported_at)) = load {
            self.pool.record_load_of_peer(lease.key, load, reported_at);
        }

        end.first_event_time().into_iter().for_each(|it| lease.record_first_event_after(it));
        lease.finish(end.outcome.into());
    }

    async fn deny(
        &self,
        query: &PlacementQuery,
        denial: PlacementDenial,
        stream: &mut dyn PeerStream,
    ) -> Result<(), PeerError> {
        self.metrics.count_served_placement(denial.label());
        log::info!(
            request:% = query.request, requester:% = query.requester, service:% = query.service,
            waited_before_ms = query.waited_us / 1_000, retry_after_ms = denial.retry_after_us / 1_000,
            queue_length = self.pool.queue_length(&query.service);
            "a peer's request is not placed: {}", denial.reason
        );
        stream.send(&PeerMessage::PlacementRefused(denial)).await
    }
}
