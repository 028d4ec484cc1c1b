//! Number of a shard.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A shard holds a fixed part of the programs and has one log and one owner at a time.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{_0:04x}")]
#[serde(transparent)]
pub(crate) struct ShardId(pub(crate) u16);
