//! Ids of turns, programs and streams inside a host, which belong to a team.

use std::sync::Arc;

use crate::entry::Team;

/// Separates the team's name from an id. Neither a header value nor a team's name can contain it, so two teams never share
/// a scoped id.
const SEPARATOR: char = '\n';

/// The scope of a request's ids: its team, if it has one. Without a team ids stay as clients send them, so that records of
/// deployments without teams do not change.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TeamScope<'a> {
    team: Option<&'a Arc<Team>>,
}

impl<'a> TeamScope<'a> {
    pub(crate) fn new(team: Option<&'a Arc<Team>>) -> Self {
        Self { team }
    }

    /// The id under which hosts and the store know what a client calls `id`.
    pub(crate) fn id(self, id: &Arc<str>) -> Arc<str> {
        match self.team {
            Some(team) => format!("{}{SEPARATOR}{id}", team.name).into(),
            None => Arc::clone(id),
        }
    }
}
