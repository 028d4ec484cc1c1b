//! Why a host can't explain a request.

use std::sync::Arc;

use derive_more::{Display, Error};

/// Why a host can't explain a request.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum ExplainError {
    /// The host is a gateway. It forwards requests, and schedulers decide on them.
    #[display("{host} is a gateway, ask one of its schedulers: {}", host_list(schedulers))]
    Gateway {
        /// Name of the host.
        host: Arc<str>,
        /// Names of the schedulers that it knows.
        schedulers: Vec<Arc<str>>,
    },
    /// The host has no configuration.
    #[display("{host} has no configuration yet")]
    NoConfiguration {
        /// Name of the host.
        host: Arc<str>,
    },
    /// The host has not read yet what earlier runs have recorded.
    #[display("{host} is restoring: the turns and budgets of earlier runs are not known yet")]
    Restoring {
        /// Name of the host.
        host: Arc<str>,
    },
    /// No route has the host name.
    #[display("configuration {version} has no route for the host {name}")]
    UnknownHost {
        /// Version of the configuration.
        version: u64,
        /// Host name of the request.
        name: Arc<str>,
    },
    /// No route of the host name has the path.
    #[display("configuration {version} has no route for the path {path} of {name}")]
    UnknownRoute {
        /// Version of the configuration.
        version: u64,
        /// Host name of the request.
        name: Arc<str>,
        /// Path of the request.
        path: Arc<str>,
    },
    /// No team has the name.
    #[display("configuration {version} has no team {name}")]
    UnknownTeam {
        /// Version of the configuration.
        version: u64,
        /// Name of the team.
        name: Arc<str>,
    },
    /// The route sends its requests to no service.
    #[display("the route {route} has no service")]
    NoService {
        /// Name of the route.
        route: Arc<str>,
    },
}

impl ExplainError {
    /// Whether the request names something that the configuration does not have.
    pub fn is_unknown(&self) -> bool {
        matches!(
            self,
            Self::UnknownHost { .. } | Self::UnknownRoute { .. } | Self::UnknownTeam { .. }
        )
    }
}

fn host_list(hosts: &[Arc<str>]) -> String {
    if hosts.is_empty() { "it knows none".to_owned() } else { hosts.join(", ") }
}
