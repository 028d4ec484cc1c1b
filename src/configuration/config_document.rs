//! Settings that operators can change while hosts run. See docs/CONFIGURATION.md.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};
use serde_json::Value;
use sha2::{Digest, Sha256};

use crate::{CellPolicy, ConfigError, ModelName, RegionName, TeamName, UpstreamName};

/// Key, share and limits of a team.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TeamTerms {
    /// SHA-256 of the team's key, in hexadecimal digits.
    pub(crate) key_hash: Arc<str>,
    /// Weight of the team's share of the capacity, relative to other teams.
    #[serde(default = "default_weight")]
    pub(crate) weight: u32,
    /// Largest budget that a program may be created with.
    #[serde(default = "default_budget_limit")]
    pub(crate) budget_limit_tokens: u64,
    /// Whether a turn that can't be logged is refused rather than answered with a receipt.
    #[serde(default)]
    pub(crate) require_durable: bool,
}

/// A model, or a plain service that programs call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ModelTerms {
    pub(crate) kind: ModelKind,
    /// Largest answer, in tokens, if the request states no limit.
    #[serde(default = "default_answer_tokens")]
    pub(crate) answer_tokens: u64,
    /// Most tokens of a prompt and its answer together that an engine accepts.
    #[serde(default = "default_context_tokens")]
    pub(crate) context_tokens: u64,
    /// Path at which a service answers whether a call ran; `{key}` is replaced by the call's idempotency key.
    #[serde(default)]
    pub(crate) status_path: Option<Arc<str>>,
}

/// Kind of server behind a model name.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ModelKind {
    Engine,
    Service,
}

/// Address and capacity of an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct UpstreamTerms {
    pub(crate) region: RegionName,
    pub(crate) model: ModelName,
    pub(crate) url: Arc<str>,
    /// Most requests in flight.
    #[serde(default = "default_window")]
    pub(crate) window: u32,
    /// Capacity of the prefix cache, in tokens.
    #[serde(default = "default_cache_tokens")]
    pub(crate) cache_tokens: u64,
    /// Time to prefill a token, in microseconds.
    #[serde(default = "default_prefill_us")]
    pub(crate) prefill_us: u64,
    /// Whether the upstream refuses orders with an outdated fencing number.
    #[serde(default)]
    pub(crate) checks_fencing: bool,
}

/// Limits that apply to every program.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct ProgramLimits {
    /// Most turns and calls of a program.
    pub(crate) turns: u32,
    /// Longest time from a program's creation to its end.
    pub(crate) wall_s: u64,
    /// Time without activity after which a program ends.
    pub(crate) idle_s: u64,
    /// Time for which an ended program's history can be read.
    pub(crate) retention_s: u64,
    /// Longest time of a call to a service.
    pub(crate) call_timeout_ms: u64,
    /// Longest time from a request's grant to its first token.
    pub(crate) first_token_timeout_ms: u64,
    /// Longest time between two tokens.
    pub(crate) token_timeout_ms: u64,
    /// Tokens that are reserved in advance: at a program's creation, and after each turn on top of that turn's usage.
    pub(crate) chunk_tokens: u64,
    /// Most retries of a host, as a percentage of its turns.
    pub(crate) retry_percent: u64,
}

impl Default for ProgramLimits {
    fn default() -> Self {
        Self {
            turns: 200,
            wall_s: 86_400,
            idle_s: 3_600,
            retention_s: 3_600,
            call_timeout_ms: 30_000,
            first_token_timeout_ms: 30_000,
            token_timeout_ms: 10_000,
            chunk_tokens: 4_096,
            retry_percent: 10,
        }
    }
}

/// The whole configuration. A patch is applied only if the result is valid.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct ConfigDocument {
    pub(crate) teams: BTreeMap<TeamName, TeamTerms>,
    pub(crate) models: BTreeMap<ModelName, ModelTerms>,
    pub(crate) upstreams: BTreeMap<UpstreamName, UpstreamTerms>,
    pub(crate) limits: ProgramLimits,
    pub(crate) policy: CellPolicy,
}

fn default_weight() -> u32 {
    1
}

fn default_budget_limit() -> u64 {
    10_000_000
}

fn default_answer_tokens() -> u64 {
    512
}

fn default_context_tokens() -> u64 {
    262_144
}

fn default_window() -> u32 {
    8
}

fn default_cache_tokens() -> u64 {
    200_000
}

fn default_prefill_us() -> u64 {
    20
}

impl ConfigDocument {
    /// Returns the document after a JSON merge patch. Fails if the result is malformed or not valid.
    pub(crate) fn patched(&self, patch: &Value) -> Result<Self, ConfigError> {
        let mut merged = serde_json::to_value(self)
            .map_err(|error| ConfigError::Malformed { reason: error.to_string() })?;

        json_patch::merge(&mut merged, patch);

        let document: Self = serde_json::from_value(merged)
            .map_err(|error| ConfigError::Malformed { reason: error.to_string() })?;

        document.validate()?;
        Ok(document)
    }

    fn validate(&self) -> Result<(), ConfigError> {
        let mut hashes = BTreeMap::new();

        for (name, team) in &self.teams {
            team.validate(name)?;

            if let Some(other) = hashes.insert(&team.key_hash, name) {
                return Err(ConfigError::SharedKey { team: name.clone(), other: other.clone() });
            }
        }

        let mut urls = BTreeMap::new();

        for (name, upstream) in &self.upstreams {
            upstream.validate(name)?;

            if !self.models.contains_key(&upstream.model) {
                let model = upstream.model.clone();
                return Err(ConfigError::UnknownModel { upstream: name.clone(), model });
            }

            if let Some(other) = urls.insert(&upstream.url, name) {
                let (upstream, other) = (name.clone(), other.clone());
                return Err(ConfigError::SharedUrl { upstream, other });
            }
        }

        Ok(())
    }
}

impl TeamTerms {
    fn validate(&self, name: &TeamName) -> Result<(), ConfigError> {
        let is_hash =
            self.key_hash.len() == 64 && self.key_hash.bytes().all(|it| it.is_ascii_hexdigit());

        if !is_hash {
            return Err(ConfigError::InvalidKeyHash { team: name.clone() });
        }

        if self.weight == 0 {
            return Err(ConfigError::ZeroWeight { team: name.clone() });
        }

        Ok(())
    }
}

impl UpstreamTerms {
    fn validate(&self, name: &UpstreamName) -> Result<(), ConfigError> {
        let is_url = self.url.starts_with("http://") && !self.url.ends_with('/');

        if !is_url {
            return Err(ConfigError::InvalidUrl { upstream: name.clone() });
        }

        if self.window == 0 {
            return Err(ConfigError::ZeroWindow { upstream: name.clone() });
        }

        Ok(())
    }
}

/// Hash by which the configuration identifies a team's key: SHA-256 in hexadecimal digits.
pub(crate) fn key_hash(key: &str) -> Arc<str> {
    let digest = Sha256::digest(key.as_bytes());
    hex_text(&digest).into()
}

/// Formats bytes as hexadecimal digits.
pub(crate) fn hex_text(bytes: &[u8]) -> String {
    use std::fmt::Write;

    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}
