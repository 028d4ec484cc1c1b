//! The teams of a configuration by the digests of their keys.

use std::{
    collections::{HashMap, hash_map::Entry},
    sync::Arc,
};

use crate::entry::{KeyDigest, Team, TeamError, TeamTerms};

/// All teams of one version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct TeamDirectory {
    teams_by_key: HashMap<KeyDigest, Arc<Team>>,
    teams_by_name: HashMap<Arc<str>, Arc<Team>>,
    /// Whether any team has a quota.
    has_quotas: bool,
}

impl TeamDirectory {
    /// Collects teams in the order of the configuration.
    ///
    /// # Errors
    ///
    /// Returns the first field that is not valid; the version of the configuration must then not be put in force.
    pub fn new(terms: Vec<TeamTerms>) -> Result<Self, TeamError> {
        let has_quotas = terms.iter().any(|it| it.team.quota.is_some());
        let key_count = terms.iter().map(|it| it.keys.len()).sum();
        let mut teams_by_key: HashMap<KeyDigest, Arc<Team>> = HashMap::with_capacity(key_count);
        let mut teams_by_name: HashMap<Arc<str>, Arc<Team>> = HashMap::with_capacity(terms.len());

        for (index, TeamTerms { team, keys }) in terms.into_iter().enumerate() {
            let name = &team.name;

            // Upstreams get the name in a header, which can't contain control characters and loses spaces at its ends.
            if name.is_empty() || name.trim() != &**name || name.chars().any(char::is_control) {
                return Err(TeamError::Name { index });
            }
            if team.quota.is_some_and(|it| !it.rate_per_s.is_finite() || it.rate_per_s < 0.0) {
                return Err(TeamError::Rate { index });
            }
            if teams_by_name.contains_key(name) {
                return Err(TeamError::RepeatedName { index, name: Arc::clone(name) });
            }

            let team = Arc::new(team);
            teams_by_name.insert(Arc::clone(&team.name), Arc::clone(&team));

            for digest in keys {
                match teams_by_key.entry(digest) {
                    Entry::Vacant(entry) => drop(entry.insert(Arc::clone(&team))),
                    // A key that a team states twice is still the key of one team.
                    Entry::Occupied(entry) if Arc::ptr_eq(entry.get(), &team) => (),
                    Entry::Occupied(entry) => {
                        let (name, other) = (Arc::clone(&team.name), Arc::clone(&entry.get().name));
                        return Err(TeamError::SharedKey { index, name, other });
                    }
                }
            }
        }

        Ok(Self { teams_by_key, teams_by_name, has_quotas })
    }

    /// Team of a key.
    pub(crate) fn team(&self, digest: &KeyDigest) -> Option<&Arc<Team>> {
        self.teams_by_key.get(digest)
    }

    /// Team of a name.
    pub(crate) fn named(&self, name: &str) -> Option<&Arc<Team>> {
        self.teams_by_name.get(name)
    }

    /// Whether any team has a quota, so that schedulers exchange reports.
    pub(crate) fn has_quotas(&self) -> bool {
        self.has_quotas
    }

    /// Number of teams, with those that have no keys.
    pub(crate) fn team_count(&self) -> usize {
        self.teams_by_name.len()
    }
}
