//! What operators configure. See docs/CONFIGURATION.md.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};
use serde_json::Value;
use sha2::{Digest, Sha256};

use crate::{CellPolicy, ConfigError, ModelName, RegionName, TeamName, UpstreamName};

/// A team: its key and the terms that bind it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TeamTerms {
    /// SHA-256 of the team's key, in hexadecimal digits.
    pub(crate) key_hash: Arc<str>,
    /// Share of the capacity against other teams.
    #[serde(default = "default_weight")]
    pub(crate) weight: u32,
    /// Most tokens that one program may be created with.
    #[serde(default = "default_budget_limit")]
    pub(crate) budget_limit_tokens: u64,
    /// Whether a turn that can't be logged is refused, rather than answered with a receipt.
    #[serde(default)]
    pub(crate) require_durable: bool,
}

/// A model, or a plain service that stands beside the engines.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ModelTerms {
    pub(crate) kind: ModelKind,
    /// Tokens of an answer whose request states no limit.
    #[serde(default = "default_answer_tokens")]
    pub(crate) answer_tokens: u64,
    /// Tokens of a prompt and its answer that an engine takes at most.
    #[serde(default = "default_context_tokens")]
    pub(crate) context_tokens: u64,
    /// Path under which a service tells whether a call ran, where `{key}` stands for its idempotency key.
    #[serde(default)]
    pub(crate) status_path: Option<Arc<str>>,
}

/// What a model name stands for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ModelKind {
    Engine,
    Service,
}

/// An upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct UpstreamTerms {
    pub(crate) region: RegionName,
    pub(crate) model: ModelName,
    pub(crate) url: Arc<str>,
    /// Most requests in flight.
    #[serde(default = "default_window")]
    pub(crate) window: u32,
    /// Memory for prefixes, in tokens.
    #[serde(default = "default_cache_tokens")]
    pub(crate) cache_tokens: u64,
    /// Time to prefill a token, in microseconds.
    #[serde(default = "default_prefill_us")]
    pub(crate) prefill_us: u64,
    /// Whether the upstream refuses orders with an old fencing number.
    #[serde(default)]
    pub(crate) checks_fencing: bool,
}

/// Bounds of every program.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct ProgramLimits {
    pub(crate) turns: u32,
    pub(crate) wall_s: u64,
    pub(crate) idle_s: u64,
    /// Time that an ended program's history can be read.
    pub(crate) retention_s: u64,
    pub(crate) call_timeout_ms: u64,
    /// Time to an answer's first token, from the grant on.
    pub(crate) first_token_timeout_ms: u64,
    /// Time between two tokens.
    pub(crate) token_timeout_ms: u64,
    /// Tokens that a chunk of budget holds at the least.
    pub(crate) chunk_tokens: u64,
    /// Retries as a share of all turns of a host, in percent.
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

/// The whole configuration, always valid as a whole.
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
    /// Applies a JSON merge patch and validates the whole result.
    pub(crate) fn patched(&self, patch: &Value) -> Result<Self, ConfigError> {
        let mut whole = serde_json::to_value(self)
            .map_err(|error| ConfigError::Malformed { reason: error.to_string() })?;

        json_patch::merge(&mut whole, patch);

        let document: Self = serde_json::from_value(whole)
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
            return Err(ConfigError::KeyHash { team: name.clone() });
        }

        if self.weight == 0 {
            return Err(ConfigError::Weight { team: name.clone() });
        }

        Ok(())
    }
}

impl UpstreamTerms {
    fn validate(&self, name: &UpstreamName) -> Result<(), ConfigError> {
        let is_url = self.url.starts_with("http://") && !self.url.ends_with('/');

        if !is_url {
            return Err(ConfigError::Url { upstream: name.clone() });
        }

        if self.window == 0 {
            return Err(ConfigError::Window { upstream: name.clone() });
        }

        Ok(())
    }
}

/// Hash under which the configuration knows a key.
pub(crate) fn key_hash(key: &str) -> Arc<str> {
    let digest = Sha256::digest(key.as_bytes());
    hex_text(&digest).into()
}

/// Writes bytes as hexadecimal digits.
pub(crate) fn hex_text(bytes: &[u8]) -> String {
    use std::fmt::Write;

    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}
