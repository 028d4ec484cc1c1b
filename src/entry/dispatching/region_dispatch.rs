//! The requester's side: asks the region's dispatcher of a service for a slot.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::time::{Duration, Instant, timeout_at};

use crate::{
    PeerError, PeerMessage, PeerStream,
    entry::{
        PlacementPool,
        dispatching::{
            dispatch_candidate::DispatchCandidate,
            dispatch_request::DispatchRequest,
            dispatcher_answer::DispatcherAnswer,
            dispatcher_choice::{DispatcherChoice, choose_dispatcher},
            dispatcher_suspects::{DispatcherFailure, DispatcherSuspects},
            placement_denial::DenialKind,
            placement_query::PlacementQuery,
            remote_lease::RemoteLease,
        },
        entry_metrics::EntryMetrics,
        peer_mesh::PeerMesh,
        placement_pool::MIN_RETRY_AFTER,
        placement_request::{NO_UPSTREAM, NO_USABLE_UPSTREAM, PlacementRefusal, PlacementRequest},
        pooled_upstream::LeaseOutcome,
        upstream_lease::UpstreamLease,
    },
};

/// Time for a dispatcher to react to a query: with a grant, a refusal, or the message that the request waits.
pub(crate) const SILENCE_LIMIT: Duration = Duration::from_millis(200);

/// Time without a message after which a dispatcher that has queued a request counts as lost. It sends one at each
/// [`QUEUED_INTERVAL`](super::placement_server::QUEUED_INTERVAL). The limit is above that of the first reaction, since a
/// busy host of half a core pauses for up to 100 ms, and all requests that wait there would move at once.
pub(crate) const QUEUED_SILENCE_LIMIT: Duration = Duration::from_millis(600);

/// Lateness of this host's own timer from which on the host has paused, so that a message may have arrived meanwhile that it
/// has not read yet.
const LATE_TIMER: Duration = Duration::from_millis(10);

/// Time to read what has arrived during such a pause.
const PAUSE_GRACE: Duration = Duration::from_millis(20);

/// Grants in a row that this host can't use before it places the request itself. The lists of upstreams of two hosts
/// differ for as long as one of them is late in following the store.
const MAX_UNUSABLE_GRANTS: usize = 3;

/// Asks the region's dispatchers for slots.
#[derive(Debug)]
pub(crate) struct RegionDispatch {
    mesh: Arc<PeerMesh>,
    pool: Arc<PlacementPool>,
    metrics: Arc<EntryMetrics>,
    /// Lock order: taken on its own.
    suspects: Mutex<DispatcherSuspects>,
}

impl RegionDispatch {
    pub(crate) fn new(
        mesh: &Arc<PeerMesh>,
        pool: &Arc<PlacementPool>,
        metrics: &Arc<EntryMetrics>,
    ) -> Self {
        Self {
            mesh: Arc::clone(mesh),
            pool: Arc::clone(pool),
            metrics: Arc::clone(metrics),
            suspects: Mutex::default(),
        }
    }

    /// Waits for a slot on an upstream: one that a dispatcher grants, or one of this host's own pool if this host is the
    /// dispatcher, if the region has none, or if dispatchers have failed. Dropping the future ends the exchange, and with it
    /// whatever the dispatcher has queued or granted.
    pub(crate) async fn acquire(
        &self,
        mut request: DispatchRequest,
    ) -> Result<UpstreamLease, PlacementRefusal> {
        let excluded = request.placement.excluded.clone();
        let mut failed: Vec<Arc<str>> = Vec::new();
        let mut unusable_grants = 0;

        while unusable_grants < MAX_UNUSABLE_GRANTS {
            let dispatcher = match self.choose(&request.placement.service, &failed) {
                Some(DispatcherChoice::Remote(dispatcher)) => dispatcher,
                Some(DispatcherChoice::Local) => {
                    self.metrics.count_dispatch("local");
                    return self.place_here(request).await;
                }
                Some(DispatcherChoice::Fallback) => break,
                None => return self.place_here(request).await,
            };

            let asked_at = Instant::now();
            let answer = self.ask(&dispatcher, &request).await;

            match answer {
                DispatcherAnswer::Granted { grant, stream } => {
                    self.metrics.record_dispatch_time(asked_at.elapsed());
                    let remote = Box::new(RemoteLease::new(Arc::clone(&dispatcher.host), stream));

                    match self.pool.adopt_grant(&request.placement, &grant, remote) {
                        Ok(lease) => {
                            self.metrics.count_dispatch("granted");
                            return Ok(lease);
                        }
                        Err(remote) => {
                            self.metrics.count_dispatch("unusable");
                            log::info!(
                                request:% = request.id, dispatcher:% = dispatcher.host, upstream:% = grant.upstream, born_ms = grant.started_at_ms;
                                "a dispatcher has granted an upstream that this host does not know or that leaves, so it is asked for another one"
                            );
                            remote.end(LeaseOutcome::Cancelled, None);
                            request.placement.excluded.push(grant.upstream);
                            unusable_grants += 1;
                        }
                    }
                }
                DispatcherAnswer::Taken(lease) => {
                    self.metrics.count_dispatch("own_share");
                    log::info!(
                        request:% = request.id, dispatcher:% = dispatcher.host, upstream:% = lease.record.id,
                        waited_ms = asked_at.elapsed().as_millis() as u64;
                        "a request that its dispatcher can't place at once takes this host's share of an upstream's limit"
                    );
                    return Ok(lease);
                }
                // The dispatcher may have heard less of the upstreams than this host, such as just after its start.
                DispatcherAnswer::Refused(refusal)
                    if matches!(refusal.reason, NO_UPSTREAM | NO_USABLE_UPSTREAM) =>
                {
                    break;
                }
                DispatcherAnswer::Refused(refusal) => {
                    self.metrics.count_dispatch("refused");
                    return Err(refusal);
                }
                DispatcherAnswer::Failed(failure) => {
                    self.record_failure(&request, &dispatcher, failure, asked_at);
                    failed.push(dispatcher.host);

                    // A request that may not wait is about to be asked for again.
                    if !request.may_wait {
                        break;
                    }
                }
            }
        }

        self.metrics.count_dispatch("fallback");
        log::info!(
            request:% = request.id, service:% = request.placement.service, failed:?, unusable_grants,
            waited_ms = request.waiting_since.elapsed().as_millis() as u64;
            "no dispatcher places the request, so this host does"
        );
        request.placement.excluded = excluded;
        self.place_here(request).await
    }

    /// Decides who is to be asked; `None` where no host dispatches for others.
    pub(crate) fn choose(&self, service: &str, failed: &[Arc<str>]) -> Option<DispatcherChoice> {
        let candidates = self.mesh.dispatch_candidates(service)?;
        let suspects = self.suspects.lock();
        Some(choose_dispatcher(service, candidates, &suspects, failed, Instant::now()))
    }

    async fn place_here(
        &self,
        request: DispatchRequest,
    ) -> Result<UpstreamLease, PlacementRefusal> {
        if request.may_wait {
            return self.pool.acquire(request.placement).await;
        }

        let refusal =
            PlacementRefusal { reason: "no upstream is free now", retry_after: MIN_RETRY_AFTER };
        self.pool.try_acquire(&request.placement).ok_or(refusal)
    }

    fn record_failure(
        &self,
        request: &DispatchRequest,
        dispatcher: &DispatchCandidate,
        failure: DispatcherFailure,
        asked_at: Instant,
    ) {
        self.metrics.count_dispatch(failure.label());
        let is_new = self.suspects.lock().record(&dispatcher.run, failure, Instant::now());

        // One line for each time in which a dispatcher is a suspect: many requests fail at the same one.
        if is_new {
            log::warn!(
                request:% = request.id, service:% = request.placement.service, dispatcher:% = dispatcher.host, failure:%,
                waited_ms = asked_at.elapsed().as_millis() as u64;
                "a dispatcher has not placed a request, so others are asked for a time"
            );
        }
    }

    /// Takes a slot that is free now on an upstream of whose limit this host has a share.
    fn try_own_share(&self, placement: &PlacementRequest) -> Option<UpstreamLease> {
        let limited = self.pool.own_share_request(placement)?;
        self.pool.try_acquire(&limited)
    }

    /// Places a request that the dispatcher has refused on an upstream of whose limit this host has a share.
    async fn place_by_own_share(
        &self,
        request: &DispatchRequest,
        refusal: PlacementRefusal,
    ) -> DispatcherAnswer {
        let lease = match self.pool.own_share_request(&request.placement) {
            Some(limited) if request.may_wait => self.pool.acquire(limited).await.ok(),
            Some(limited) => self.pool.try_acquire(&limited),
            None => None,
        };
        lease.map_or(DispatcherAnswer::Refused(refusal), DispatcherAnswer::Taken)
    }

    /// Asks one dispatcher, and waits as long as it states that the request waits.
    async fn ask(
        &self,
        dispatcher: &DispatchCandidate,
        request: &DispatchRequest,
    ) -> DispatcherAnswer {
        let now = Instant::now();
        let (requester, data_centre) = (&self.mesh.identity.host, self.pool.data_centre());
        let query = PlacementQuery::encode(request, requester, data_centre, now);
        let message = PeerMessage::PlacementQuery(Box::new(query));
        let deadline = request.placement.deadline;
        let mut silent_at = now + SILENCE_LIMIT;
        let opening = self.mesh.connector.open(dispatcher.address, &message);

        let mut stream: Box<dyn PeerStream> =
            match timeout_at(silent_at.min(deadline), opening).await {
                Ok(Ok(stream)) => stream,
                Ok(Err(error)) => return failed_exchange(&error),
                Err(_) => return overdue(deadline),
            };

        let mut has_paused = false;

        loop {
            let message = match timeout_at(silent_at.min(deadline), stream.receive()).await {
                Ok(Ok(Some(message))) => message,
                Ok(Ok(None)) => return DispatcherAnswer::Failed(DispatcherFailure::Lost),
                Ok(Err(error)) => return failed_exchange(&error),
                Err(_) if !has_paused && silent_at.elapsed() >= LATE_TIMER => {
                    has_paused = true;
                    silent_at = Instant::now() + PAUSE_GRACE;
                    continue;
                }
                Err(_) => return overdue(deadline),
            };

            match message {
                PeerMessage::PlacementQueued => {
                    if let Some(lease) = self.try_own_share(&request.placement) {
                        return DispatcherAnswer::Taken(lease);
                    }
                    has_paused = false;
                    silent_at = Instant::now() + QUEUED_SILENCE_LIMIT;
                }
                PeerMessage::PlacementGranted(grant) => {
                    return DispatcherAnswer::Granted { grant, stream };
                }
                PeerMessage::PlacementRefused(denial) if denial.kind == DenialKind::NotReady => {
                    return DispatcherAnswer::Failed(DispatcherFailure::NotReady);
                }
                PeerMessage::PlacementRefused(denial) => {
                    drop(stream);
                    return self.place_by_own_share(request, denial.decode()).await;
                }
                // A build that knows no queries refuses the exchange.
                _ => return DispatcherAnswer::Failed(DispatcherFailure::Unable),
            }
        }
    }
}

fn failed_exchange(error: &PeerError) -> DispatcherAnswer {
    log::debug!("a query to a dispatcher failed: {error}");
    DispatcherAnswer::Failed(DispatcherFailure::Lost)
}

/// A wait that has ended at the request's deadline says nothing about the dispatcher.
fn overdue(deadline: Instant) -> DispatcherAnswer {
    if Instant::now() < deadline {
        return DispatcherAnswer::Failed(DispatcherFailure::Silent);
    }

    DispatcherAnswer::Refused(PlacementRefusal {
        reason: "no upstream became free in time",
        retry_after: MIN_RETRY_AFTER,
    })
}
