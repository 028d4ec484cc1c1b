//! Configuration in force on a host.

use std::{collections::BTreeMap, sync::Arc};

use serde_json::Value;

use crate::{
    ConfigDocument, ConfigEntry, ConfigError, TeamName, configuration::config_document::key_hash,
};

/// A configuration with its number. Entries advance it by one number at a time.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct ConfigState {
    pub(crate) number: u64,
    pub(crate) document: ConfigDocument,
    /// Teams by the hash of their key.
    team_index: BTreeMap<Arc<str>, TeamName>,
}

impl ConfigState {
    pub(crate) fn new(number: u64, document: ConfigDocument) -> Self {
        let team_index = document
            .teams
            .iter()
            .map(|(name, team)| (Arc::clone(&team.key_hash), name.clone()))
            .collect();

        Self { number, document, team_index }
    }

    /// Returns the team that a caller's key belongs to.
    pub(crate) fn team_by_key(&self, key: &str) -> Option<&TeamName> {
        self.team_index.get(&key_hash(key))
    }

    /// Returns the state after an entry, or `None` if the entry does not have the next number.
    pub(crate) fn advanced(&self, entry: &ConfigEntry) -> Result<Option<Self>, ConfigError> {
        if entry.number != self.number + 1 {
            return Ok(None);
        }

        let patch: Value = serde_json::from_str(&entry.patch)
            .map_err(|error| ConfigError::Malformed { reason: error.to_string() })?;

        let document = self.document.patched(&patch)?;
        Ok(Some(Self::new(entry.number, document)))
    }

    /// Applies all entries that follow without a gap. Stops at the first that is not valid.
    pub(crate) fn advance_all(
        &mut self,
        entries: &BTreeMap<u64, ConfigEntry>,
    ) -> Result<(), ConfigError> {
        while let Some(entry) = entries.get(&(self.number + 1)) {
            if let Some(next) = self.advanced(entry)? {
                *self = next;
            }
        }

        Ok(())
    }
}
