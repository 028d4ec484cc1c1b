//! Right of one request to run under its team's quota.

use std::sync::Arc;

use derive_more::Debug;

use crate::entry::quotas::quota_gate::QuotaGate;

/// A token that counts one request, however many attempts it makes. Dropping it leaves it spent.
#[derive(Debug)]
#[must_use]
pub(crate) struct QuotaToken {
    team: Arc<str>,
    #[debug(skip)]
    gate: Arc<QuotaGate>,
}

impl QuotaToken {
    pub(super) fn new(team: Arc<str>, gate: Arc<QuotaGate>) -> Self {
        Self { team, gate }
    }

    /// Returns the token, since the request has not run and will not run.
    pub(crate) fn give_back(self) {
        self.gate.give_back(&self.team);
    }
}
