//! Account of a team from which the starts of its programs are taken, beside that of its requests.
//!
//! Hosts carry it in the same reports as another team, so that frames don't change and builds that know no starts serve it.

use std::sync::Arc;

/// End of the account's name. A team's name contains no control character, so no team has it.
const SUFFIX: &str = "\nstarts";

/// Largest number of requests that is expected of one program. A program of a known deployment has 12 to 25; one wrong
/// estimate must not stop a team for long.
pub(crate) const MAX_PROGRAM_SIZE: u32 = 64;

/// Name of the account of a team's starts.
pub(crate) fn start_account(team: &str) -> Arc<str> {
    format!("{team}{SUFFIX}").into()
}

pub(crate) fn is_start_account(account: &str) -> bool {
    account.ends_with(SUFFIX)
}

/// Name of the team that has an account.
pub(crate) fn team_of(account: &str) -> &str {
    account.strip_suffix(SUFFIX).unwrap_or(account)
}
