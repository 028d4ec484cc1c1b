//! Places at upstreams, from dispatchers on this host or on others.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use tokio::time::timeout;

use crate::{
    CellGateway, CellId, CellPermit, CellRefusal, CellReport, CellRequest, CellResult, ClusterView,
    ConfigStore, DispatchOutcome, DispatchTicket, DispatcherTable, HostTarget, ModelName,
    PeerError, PeerMessage, PeerStream, PeerTransport, ProgramId, RefusalReason, RegionName,
    UpstreamName,
};

/// Pause before a request goes to the next dispatcher, while hosts agree on who it is.
const MOVE_PAUSE: Duration = Duration::from_millis(50);

/// Time for a dispatcher's answer to a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Times that a request is sent on before it is refused.
const MOVE_LIMIT: u32 = 200;

/// Time to come back that is stated when no dispatcher could be found, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Finds the dispatcher of a cell, here or on a peer.
#[derive(Debug)]
pub(crate) struct PeerGateway {
    pub(crate) region: RegionName,
    pub(crate) view: ClusterView,
    pub(crate) config: Arc<ConfigStore>,
    pub(crate) dispatchers: Arc<DispatcherTable>,
    pub(crate) transport: Arc<dyn PeerTransport>,
}

enum CellAnswer {
    Granted(Box<dyn CellPermit>),
    Declined(CellRefusal),
    /// Whoever was asked does not dispatch for the cell.
    Moved,
}

impl PeerGateway {
    /// Cells that serve a model, this host's region first. Others are asked only if it can't serve.
    fn cells(&self, model: &ModelName) -> Vec<CellId> {
        let config = self.config.document();

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

    async fn acquire_in(
        &self,
        cell: &CellId,
        request: &CellRequest,
    ) -> Result<Box<dyn CellPermit>, CellRefusal> {
        for _ in 0..MOVE_LIMIT {
            let answer = match self.view.dispatcher(cell) {
                Some(target) if target.is_own => self.ask_own(cell, request).await,
                Some(target) => self.ask_peer(&target, cell, request).await,
                None => CellAnswer::Moved,
            };

            match answer {
                CellAnswer::Granted(permit) => return Ok(permit),
                CellAnswer::Declined(refusal) => return Err(refusal),
                CellAnswer::Moved => tokio::time::sleep(MOVE_PAUSE).await,
            }
        }

        let reason = RefusalReason::NoUpstream;
        Err(CellRefusal { reason, retry_after_ms: RETRY_AFTER_MS })
    }

    async fn ask_own(&self, cell: &CellId, request: &CellRequest) -> CellAnswer {
        let Some(dispatcher) = self.dispatchers.dispatcher(cell) else {
            return CellAnswer::Moved;
        };

        let mut ticket = dispatcher.submit(request.clone());

        match ticket.outcome().await {
            DispatchOutcome::Granted { upstream } => {
                let dispatchers = Arc::clone(&self.dispatchers);
                let cell = cell.clone();
                CellAnswer::Granted(Box::new(OwnPermit { upstream, ticket, cell, dispatchers }))
            }
            DispatchOutcome::Declined { refusal } => CellAnswer::Declined(refusal),
            DispatchOutcome::Moved => CellAnswer::Moved,
        }
    }

    async fn ask_peer(
        &self,
        target: &HostTarget,
        cell: &CellId,
        request: &CellRequest,
    ) -> CellAnswer {
        match self.exchange(target, cell, request).await {
            Ok(answer) => answer,
            Err(error) => {
                log::warn!(cell:% = cell, peer:% = target.name; "the dispatcher is lost: {error}");
                CellAnswer::Moved
            }
        }
    }

    async fn exchange(
        &self,
        target: &HostTarget,
        cell: &CellId,
        request: &CellRequest,
    ) -> Result<CellAnswer, PeerError> {
        let first = PeerMessage::Dispatch { cell: cell.clone(), request: request.clone() };
        let mut stream = self.transport.open(target.address, &first).await?;

        Ok(match stream.receive().await? {
            Some(PeerMessage::Granted { upstream }) => {
                CellAnswer::Granted(Box::new(PeerPermit { upstream, stream }))
            }
            Some(PeerMessage::Declined { refusal }) => CellAnswer::Declined(refusal),
            Some(PeerMessage::NotDispatcher) | None => CellAnswer::Moved,
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
            match self.acquire_in(&cell, &request).await {
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
                Some(target) if target.is_own => {
                    self.dispatchers.end_programs(&cell, programs.clone()).await;
                }
                Some(target) => {
                    let programs = programs.clone();
                    let message = PeerMessage::ProgramsEnded { cell: cell.clone(), programs };
                    let call = crate::membership::peer_transport::peer_call(
                        &*self.transport,
                        target.address,
                        &message,
                    );

                    if let Err(error) = call.await {
                        log::warn!(cell:% = cell; "the dispatcher was not told of ends: {error}");
                    }
                }
                None => (),
            }
        }
    }
}

/// A place from a dispatcher on this host.
#[derive(Debug)]
struct OwnPermit {
    upstream: UpstreamName,
    ticket: DispatchTicket,
    cell: CellId,
    dispatchers: Arc<DispatcherTable>,
}

/// Tells whether a result puts the upstream's health in doubt.
pub(crate) fn indicates_failure(result: CellResult) -> bool {
    match result {
        CellResult::Broken | CellResult::NotSent | CellResult::Overdue | CellResult::Refused => {
            true
        }
        CellResult::Completed | CellResult::Lost => false,
    }
}

#[async_trait]
impl CellPermit for OwnPermit {
    async fn finish(self: Box<Self>, report: CellReport) {
        self.ticket.finish(report);

        if indicates_failure(report.result) {
            self.dispatchers.report_failure(&self.cell, &self.upstream);
            self.dispatchers.broadcast_crashes(&self.cell).await;
        }
    }

    fn upstream(&self) -> &UpstreamName {
        &self.upstream
    }
}

/// A place from a dispatcher on a peer. The exchange stays open while the place is taken, so that the dispatcher
/// learns at once when its holder dies.
#[derive(Debug)]
struct PeerPermit {
    upstream: UpstreamName,
    stream: Box<dyn PeerStream>,
}

#[async_trait]
impl CellPermit for PeerPermit {
    async fn finish(mut self: Box<Self>, report: CellReport) {
        if let Err(error) = self.stream.send(&PeerMessage::Report(report)).await {
            log::debug!("a dispatcher is gone before its report: {error}");
        }

        self.stream.finish();

        if indicates_failure(report.result) {
            // The dispatcher answers when all cells know of the crash, if it was one.
            let _ = timeout(REPORT_TIMEOUT, self.stream.receive()).await;
        }
    }

    fn upstream(&self) -> &UpstreamName {
        &self.upstream
    }
}
