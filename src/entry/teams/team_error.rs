//! Errors in the teams of a configuration.

use std::sync::Arc;

use derive_more::{Display, Error};

/// Why a version of the configuration is refused for its teams. The messages name the field and never contain a key.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum TeamError {
    /// A team has no name, or one that can't be sent in a header as it is.
    #[display(
        "`tenants[{index}].name` must be a text without control characters, and without spaces at its ends"
    )]
    Name {
        /// Position in the list of teams.
        index: usize,
    },
    /// Two teams have the same name, so that their histories, budgets and quotas could not be told apart.
    #[display("`tenants[{index}].name` is `{name}`, as is that of an earlier team")]
    RepeatedName {
        /// Position in the list of teams.
        index: usize,
        /// The name.
        name: Arc<str>,
    },
    /// A key belongs to two teams.
    #[display("`tenants[{index}].api_keys` of team `{name}` has a key of team `{other}`")]
    SharedKey {
        /// Position in the list of teams.
        index: usize,
        /// Name of the team.
        name: Arc<str>,
        /// Name of the other team.
        other: Arc<str>,
    },
    /// The rate of a quota is negative or not finite.
    #[display("`tenants[{index}].rate_per_s` must be a finite number that is not negative")]
    Rate {
        /// Position in the list of teams.
        index: usize,
    },
}
