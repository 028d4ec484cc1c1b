//! Identity of a cell.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{ModelName, RegionName};

/// The upstreams of one region that serve one model or plain service; one dispatcher orders their requests.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{region}/{model}")]
pub(crate) struct CellId {
    pub(crate) region: RegionName,
    pub(crate) model: ModelName,
}
