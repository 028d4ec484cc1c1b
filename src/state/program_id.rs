//! Identifier of a program.

use std::str::FromStr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::ShardId;

/// Identifier of a program. It contains the shard, so that any host can find the owner without a lookup.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("p-{shard}-{serial:016x}")]
#[serde(into = "String", try_from = "String")]
pub(crate) struct ProgramId {
    pub(crate) shard: ShardId,
    pub(crate) serial: u64,
}

impl ProgramId {
    pub(crate) fn random(shard: ShardId) -> Self {
        Self { shard, serial: rand::random() }
    }
}

/// The text is not of the form `p-SSSS-NNNNNNNNNNNNNNNN`.
#[derive(Debug, Display, derive_more::Error)]
#[display("expected a program such as p-0007-00112233aabbccdd")]
pub(crate) struct ProgramIdError;

impl FromStr for ProgramId {
    type Err = ProgramIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (shard, serial) =
            text.strip_prefix("p-").and_then(|it| it.split_once('-')).ok_or(ProgramIdError)?;

        if shard.len() != 4 || serial.len() != 16 {
            return Err(ProgramIdError);
        }

        let shard = u16::from_str_radix(shard, 16).map_err(|_| ProgramIdError)?;
        let serial = u64::from_str_radix(serial, 16).map_err(|_| ProgramIdError)?;
        Ok(Self { shard: ShardId(shard), serial })
    }
}

impl From<ProgramId> for String {
    fn from(id: ProgramId) -> Self {
        id.to_string()
    }
}

impl TryFrom<String> for ProgramId {
    type Error = ProgramIdError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}
