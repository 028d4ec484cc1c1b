//! Decides whether a request may use a route, and for which team. It answers requests without a key, with unknown or removed
//! keys, and from gateways of builds that know no teams.
//!
//! | Teams in the configuration | Route | Key | Configuration known to be current | Outcome |
//! |---|---|---|---|---|
//! | no | any | any | any | runs without a team |
//! | yes | any | known | any | runs for the team |
//! | yes | public | any other | any | runs without a team |
//! | yes | not public | not stated | any | `Unstated`: 503, not run |
//! | yes | not public | missing or unknown | yes | `Unauthorized`: 401 |
//! | yes | not public | missing or unknown | no | `Unverified`: 503, not run |
//!
//! A known key is accepted while the store is away, as the last configuration stays in force then. See
//! docs/design/teams.md.

use std::sync::Arc;

use derive_more::Display;
use tokio::time::Duration;

use crate::entry::{ClientKey, EntryRefusal, EntryResponse, Team};

/// Time after which a client is asked to retry while the host can't know whether its configuration is current. Monitors of the
/// store probe it every 400 ms while it is silent.
const UNVERIFIED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Time after which a client is asked to retry whose gateway knows no teams. Another gateway may take the request at once.
const UNSTATED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// What the decision depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AccessInputs<'a> {
    pub(crate) has_teams: bool,
    pub(crate) is_public: bool,
    pub(crate) key: ClientKey,
    /// Team of the key in the configuration in force.
    pub(crate) team: Option<&'a Arc<Team>>,
    /// Whether the host can know that its configuration is current.
    pub(crate) is_current: bool,
}

/// Why a request may not use its route.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum AccessRefusal {
    /// The request has no key, or one that no team has.
    #[display("the route needs the key of a team")]
    Unauthorized,
    /// The key is not known, and a newer configuration that knows it may exist.
    #[display("the key can't be checked, as the store does not answer")]
    Unverified,
    /// The forwarding host has not stated the key.
    #[display("the route needs the key of a team, which the forwarding host does not state")]
    Unstated,
    /// The key belongs to another team than when the request arrived.
    #[display("the key has changed its team")]
    Reassigned,
}

impl AccessInputs<'_> {
    /// Returns the team for which the request runs, if any.
    pub(crate) fn decide(self) -> Result<Option<Arc<Team>>, AccessRefusal> {
        if !self.has_teams {
            return Ok(None);
        }
        if let Some(team) = self.team {
            return Ok(Some(Arc::clone(team)));
        }
        if self.is_public {
            return Ok(None);
        }

        Err(match self.key {
            ClientKey::Unstated => AccessRefusal::Unstated,
            _ if self.is_current => AccessRefusal::Unauthorized,
            _ => AccessRefusal::Unverified,
        })
    }
}

impl AccessRefusal {
    /// The response to a request that has not run.
    pub(crate) fn response(self) -> EntryResponse {
        let reason = self.to_string();

        match self {
            Self::Unauthorized => EntryResponse::refused(EntryRefusal::Unauthorized, reason),
            Self::Unverified => EntryResponse::not_run(UNVERIFIED_RETRY_AFTER, reason),
            Self::Unstated | Self::Reassigned => {
                EntryResponse::not_run(UNSTATED_RETRY_AFTER, reason)
            }
        }
    }

    /// The refusal as a label of metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Unauthorized => "unauthorized",
            Self::Unverified => "unverified",
            Self::Unstated => "unstated",
            Self::Reassigned => "reassigned",
        }
    }
}
