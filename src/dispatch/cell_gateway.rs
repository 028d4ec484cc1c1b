//! Border between the owner of a program and the dispatchers.

use std::fmt::Debug;

use async_trait::async_trait;

use crate::{CellRefusal, CellReport, CellRequest, ModelName, ProgramId, UpstreamName};

/// The right to one place of an upstream's window. Dropping it unfinished gives the place back.
#[async_trait]
pub(crate) trait CellPermit: Debug + Send {
    /// Says how the request ended.
    async fn finish(self: Box<Self>, report: CellReport);

    fn upstream(&self) -> &UpstreamName;
}

/// Way to a place at an upstream.
#[async_trait]
pub(crate) trait CellGateway: Debug + Send + Sync {
    /// Waits in the queue of a cell that serves the model.
    async fn acquire(
        &self,
        model: &ModelName,
        request: CellRequest,
    ) -> Result<Box<dyn CellPermit>, CellRefusal>;

    /// Says that programs have ended, so that their prefixes are released.
    async fn end_programs(&self, model: &ModelName, programs: Vec<ProgramId>);
}
