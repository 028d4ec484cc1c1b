//! Errors of configuration patches.

use derive_more::Display;

use crate::{ModelName, TeamName, UpstreamName};

/// Reason why a patched configuration is not valid. Each message names the setting and what is expected.
#[derive(Clone, Debug, Display, Eq, PartialEq, derive_more::Error)]
pub(crate) enum ConfigError {
    #[display("teams.{team}.key_hash: expected 64 hexadecimal digits")]
    InvalidKeyHash { team: TeamName },
    #[display("the document does not have the expected form: {reason}")]
    Malformed { reason: String },
    #[display("teams.{team}.key_hash: team {other} has the same key")]
    SharedKey { team: TeamName, other: TeamName },
    #[display("upstreams.{upstream}.url: upstream {other} has the same address")]
    SharedUrl { upstream: UpstreamName, other: UpstreamName },
    #[display("upstreams.{upstream}.model: there is no model {model}")]
    UnknownModel { upstream: UpstreamName, model: ModelName },
    #[display("upstreams.{upstream}.url: expected http://HOST:PORT without a slash at the end")]
    InvalidUrl { upstream: UpstreamName },
    #[display("teams.{team}.weight: expected 1 or more")]
    ZeroWeight { team: TeamName },
    #[display("upstreams.{upstream}.window: expected 1 or more")]
    ZeroWindow { upstream: UpstreamName },
}
