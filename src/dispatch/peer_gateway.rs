//! Acquires permits from dispatchers on this host or on peers.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use tokio::time::timeout;

use crate::{
    CellGateway, CellId, CellPermit, CellRefusal, CellReport, CellRequest, ClusterView,
    ConfigStore, DispatchOutcome, DispatchTicket, DispatcherTable, HostTarget, ModelName,
    PeerError, PeerMessage, PeerStream, PeerTransport, ProgramId, RefusalReason, RegionName,
    UpstreamName,
};

/// Time between two attempts to reach a cell's dispatcher, while hosts disagree on who dispatches.
const DISPATCHER_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Time for a dispatcher to acknowledge a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Attempts to reach a cell's dispatcher before the request is refused.
const MAX_DISPATCHER_ATTEMPTS: u32 = 200;

/// Retry delay that a refusal suggests when no dispatcher could be reached.
const RETRY_AFTER_MS: u64 = 1_000;

/// Gateway to the dispatchers of all cells, on this host and on peers.
#[derive(Debug)]
pub(crate) struct PeerGateway {
    pub(crate) region: RegionName,
    pub(crate) view: ClusterView,
    pub(crate) config: Arc<ConfigStore>,
    pub(crate) dispatchers: Arc<DispatcherTable>,
    pub(crate) transport: Arc<dyn PeerTransport>,
}

/// Outcome of one attempt to acquire a permit from a cell's dispatcher.
enum AcquireOutcome {
    Granted(Box<dyn CellPermit>),
    Declined(CellRefusal),
    /// The host does not dispatch for the cell, or its dispatcher could not be reached.
    Moved,
}

impl PeerGateway {
    /// Cells that serve a model, the one in this host's region first. The others are tried only if that one refuses.
    fn cells(&self, model: &ModelName) -> Vec<CellId> {
        let config = self.config.state();

        let mut regions: Vec<RegionName> = config
            .document
            .upstreams
            .values()
            .filter(|terms| terms.model == *model)
            .map(|terms| terms.region.clone())
            .collect();

        regions.sort_by_key(|region| (*region != self.region, region.clone()));
        regions.dedup();
        regions.into_iter().map(|region| CellId { region, model: model.clone() }).collect()
    }

    /// Waits for a permit of one cell, and retries while its dispatcher moves between hosts.
    async fn acquire_from_cell(
        &self,
        cell: &CellId,
        request: &CellRequest,
    ) -> Result<Box<dyn CellPermit>, CellRefusal> {
        for _ in 0..MAX_DISPATCHER_ATTEMPTS {
            let outcome = match self.view.dispatcher(cell) {
                Some(target) if target.is_local => self.acquire_locally(cell, request).await,
                Some(target) => self.acquire_from_peer(&target, cell, request).await,
                None => AcquireOutcome::Moved,
            };

            match outcome {
                AcquireOutcome::Granted(permit) => return Ok(permit),
                AcquireOutcome::Declined(refusal) => return Err(refusal),
                AcquireOutcome::Moved => tokio::time::sleep(DISPATCHER_RETRY_INTERVAL).await,
            }
        }

        let reason = RefusalReason::NoUpstream;
        Err(CellRefusal { reason, retry_after_ms: RETRY_AFTER_MS })
    }

    async fn acquire_locally(&self, cell: &CellId, request: &CellRequest) -> AcquireOutcome {
        let Some(dispatcher) = self.dispatchers.dispatcher(cell) else {
            return AcquireOutcome::Moved;
        };

        let mut ticket = dispatcher.submit(request.clone());

        match ticket.outcome().await {
            DispatchOutcome::Granted { upstream } => {
                let dispatchers = Arc::clone(&self.dispatchers);
                let cell = cell.clone();
                AcquireOutcome::Granted(Box::new(LocalPermit {
                    upstream,
                    ticket,
                    cell,
                    dispatchers,
                }))
            }
            DispatchOutcome::Declined { refusal } => AcquireOutcome::Declined(refusal),
            DispatchOutcome::Moved => AcquireOutcome::Moved,
        }
    }

    async fn acquire_from_peer(
        &self,
        target: &HostTarget,
        cell: &CellId,
        request: &CellRequest,
    ) -> AcquireOutcome {
        match self.request_grant(target, cell, request).await {
            Ok(outcome) => outcome,
            Err(error) => {
                log::warn!(
                    cell:% = cell, peer:% = target.name;
                    "the exchange with the dispatcher failed: {error}"
                );
                AcquireOutcome::Moved
            }
        }
    }

    async fn request_grant(
        &self,
        target: &HostTarget,
        cell: &CellId,
        request: &CellRequest,
    ) -> Result<AcquireOutcome, PeerError> {
        let first = PeerMessage::Dispatch { cell: cell.clone(), request: request.clone() };
        let mut stream = self.transport.open(target.address, &first).await?;

        Ok(match stream.receive().await? {
            Some(PeerMessage::Granted { upstream }) => {
                AcquireOutcome::Granted(Box::new(PeerPermit { upstream, stream }))
            }
            Some(PeerMessage::Declined { refusal }) => AcquireOutcome::Declined(refusal),
            Some(PeerMessage::NotDispatcher) | None => AcquireOutcome::Moved,
            Some(_) => return Err(PeerError::Unexpected),
        })
    }
}

#[async_trait]
impl CellGateway for PeerGateway {
    async fn acquire(
        &self,
        model: &ModelName,
        request: CellRequest,
    ) -> Result<Box<dyn CellPermit>, CellRefusal> {
        let mut refusal =
            CellRefusal { reason: RefusalReason::NoUpstream, retry_after_ms: RETRY_AFTER_MS };

        for cell in self.cells(model) {
            match self.acquire_from_cell(&cell, &request).await {
                Ok(permit) => return Ok(permit),
                Err(CellRefusal { reason: RefusalReason::Poisonous, retry_after_ms }) => {
                    return Err(CellRefusal { reason: RefusalReason::Poisonous, retry_after_ms });
                }
                Err(declined) => refusal = declined,
            }
        }

        Err(refusal)
    }

    async fn end_programs(&self, model: &ModelName, programs: Vec<ProgramId>) {
        for cell in self.cells(model) {
            match self.view.dispatcher(&cell) {
                Some(target) if target.is_local => {
                    self.dispatchers.end_programs(&cell, programs.clone()).await;
                }
                Some(target) => {
                    let programs = programs.clone();
                    let message = PeerMessage::ProgramsEnded { cell: cell.clone(), programs };
                    let exchange = crate::membership::peer_transport::peer_call(
                        &*self.transport,
                        target.address,
                        &message,
                    );

                    if let Err(error) = exchange.await {
                        log::warn!(
                            cell:% = cell;
                            "ended programs were not reported to the dispatcher: {error}"
                        );
                    }
                }
                None => (),
            }
        }
    }
}

/// A permit from a dispatcher on this host.
#[derive(Debug)]
struct LocalPermit {
    upstream: UpstreamName,
    ticket: DispatchTicket,
    cell: CellId,
    dispatchers: Arc<DispatcherTable>,
}

#[async_trait]
impl CellPermit for LocalPermit {
    async fn finish(self: Box<Self>, report: CellReport) {
        self.dispatchers.finish_grant(&self.cell, &self.upstream, self.ticket, report).await;
    }

    fn upstream(&self) -> &UpstreamName {
        &self.upstream
    }
}

/// A permit from a dispatcher on a peer. The stream stays open as long as the permit is held, so that the dispatcher
/// notices at once when the holder dies.
#[derive(Debug)]
struct PeerPermit {
    upstream: UpstreamName,
    stream: Box<dyn PeerStream>,
}

#[async_trait]
impl CellPermit for PeerPermit {
    async fn finish(mut self: Box<Self>, report: CellReport) {
        if let Err(error) = self.stream.send(&PeerMessage::Report(report)).await {
            log::debug!("a report was not delivered to its dispatcher: {error}");
        }

        self.stream.finish();

        if report.result.indicates_failure() {
            // The dispatcher acknowledges once it has sent the crash counts to all cells.
            let _ = timeout(REPORT_TIMEOUT, self.stream.receive()).await;
        }
    }

    fn upstream(&self) -> &UpstreamName {
        &self.upstream
    }
}
