//! Interface through which the owner of a program acquires upstream capacity from dispatchers.

use std::fmt::Debug;

use async_trait::async_trait;

use crate::{CellRefusal, CellReport, CellRequest, ModelName, ProgramId, UpstreamName};

/// Permit for one request in an upstream's window. Dropping it unfinished frees its room in the window.
#[async_trait]
pub(crate) trait CellPermit: Debug + Send {
    /// Reports how the request ended and frees its room in the window.
    async fn finish(self: Box<Self>, report: CellReport);

    fn upstream(&self) -> &UpstreamName;
}

/// Source of permits, from whichever host dispatches for a cell.
#[async_trait]
pub(crate) trait CellGateway: Debug + Send + Sync {
    /// Waits in the queue of a cell that serves the model until the request is granted or refused.
    async fn acquire(
        &self,
        model: &ModelName,
        request: CellRequest,
    ) -> Result<Box<dyn CellPermit>, CellRefusal>;

    /// Notifies the dispatchers that programs have ended, so that upstreams release their cached prefixes.
    async fn end_programs(&self, model: &ModelName, programs: Vec<ProgramId>);
}
