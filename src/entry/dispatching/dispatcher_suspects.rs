//! Dispatchers that are not asked for a time, since they have failed.

use std::{collections::HashMap, sync::Arc};

use derive_more::Display;
use tokio::time::{Duration, Instant};

/// Time for which a dispatcher is not asked that was silent, not ready or lost. The mesh finds out within this time
/// whether a host is gone.
const SUSPECT_TIME: Duration = Duration::from_secs(1);

/// Time for which a host is not asked whose build knows no queries, or that is told not to dispatch. Hosts are replaced by
/// other builds one after the other, which takes longer.
const UNABLE_TIME: Duration = Duration::from_secs(30);

/// How a dispatcher has failed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum DispatcherFailure {
    /// It has not answered in time.
    #[display("silent")]
    Silent,
    /// The stream to it broke, or could not be opened.
    #[display("lost")]
    Lost,
    /// It has stated that it is not ready.
    #[display("not_ready")]
    NotReady,
    /// Its build knows no queries, or it is told not to dispatch.
    #[display("unable")]
    Unable,
}

impl DispatcherFailure {
    /// The failure as a label of a metric.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Lost => "lost",
            Self::NotReady => "not_ready",
            Self::Unable => "unable",
        }
    }

    fn suspect_time(self) -> Duration {
        match self {
            Self::Silent | Self::Lost | Self::NotReady => SUSPECT_TIME,
            Self::Unable => UNABLE_TIME,
        }
    }
}

/// The suspects of one host by their runs, and until when each is one. A host that has restarted may have another build, and
/// is asked once its new run is heard.
#[derive(Debug, Default)]
pub(crate) struct DispatcherSuspects {
    until: HashMap<Arc<str>, Instant>,
}

impl DispatcherSuspects {
    /// Records that a dispatcher has failed. Returns whether it was not a suspect before.
    pub(crate) fn record(
        &mut self,
        run: &Arc<str>,
        failure: DispatcherFailure,
        now: Instant,
    ) -> bool {
        self.until.retain(|_, until| now < *until);
        let until = now + failure.suspect_time();
        let known = self.until.get(run).copied();
        self.until.insert(Arc::clone(run), known.map_or(until, |it| it.max(until)));
        known.is_none()
    }

    /// Whether a dispatcher is not to be asked now.
    pub(crate) fn contains(&self, run: &str, now: Instant) -> bool {
        self.until.get(run).is_some_and(|until| now < *until)
    }
}
