//! Teams: who may use the routes of a deployment, under which key, and what belongs to whom. See docs/design/teams.md.

mod access_decision;
mod client_key;
mod config_currency;
mod key_checker;
mod key_digest;
mod team;
mod team_directory;
mod team_error;
mod team_quota;
mod team_scope;

pub(crate) use self::{
    access_decision::{AccessInputs, AccessRefusal},
    config_currency::ConfigCurrency,
    key_checker::KeyChecker,
    team_scope::TeamScope,
};
pub use self::{
    client_key::ClientKey,
    key_digest::KeyDigest,
    team::{Team, TeamTerms},
    team_directory::TeamDirectory,
    team_error::TeamError,
    team_quota::TeamQuota,
};
