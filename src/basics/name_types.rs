//! Names that operators and the platform assign. Each kind has its own type, so that the name of a host can't be passed
//! as that of a region. All are cheap to clone.

use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub(crate) struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            #[allow(dead_code, reason = "not every kind of name is read as text")]
            pub(crate) fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }
    };
}

name_type!(
    /// Name of a host, unique in the platform.
    HostName
);

name_type!(
    /// Name of a region, which consists of data centres.
    RegionName
);

name_type!(
    /// Name of a team, which owns programs and a share of the capacity.
    TeamName
);

name_type!(
    /// Name of an upstream: an engine or a plain service.
    UpstreamName
);

name_type!(
    /// Name of what the upstreams of a cell serve: a model, or a plain service.
    ModelName
);
