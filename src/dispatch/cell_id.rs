//! Identifier of a cell.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{ModelName, RegionName};

/// Identifies a cell: the upstreams of one region that serve one model or plain service. One dispatcher schedules all
/// of a cell's requests.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{region}/{model}")]
pub(crate) struct CellId {
    pub(crate) region: RegionName,
    pub(crate) model: ModelName,
}
