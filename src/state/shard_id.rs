//! Identifier of a shard.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Number of a shard: a fixed part of all programs, with one log and one owner at a time.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{_0:04x}")]
#[serde(transparent)]
pub(crate) struct ShardId(pub(crate) u16);
