//! Right of one request to run under its team's quota.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use derive_more::Debug;

use crate::entry::quotas::quota_gate::QuotaGate;

/// A token that counts one request, however many attempts it makes. Dropping it leaves it spent.
///
/// While its request waits for an upstream, the token counts as held by this host, so that the bucket does not fill up for
/// other requests that would run together with it.
#[derive(Debug)]
#[must_use]
pub(crate) struct QuotaToken {
    team: Arc<str>,
    is_queued: AtomicBool,
    #[debug(skip)]
    gate: Arc<QuotaGate>,
}

impl QuotaToken {
    /// The token of a request that is about to wait for an upstream.
    pub(super) fn new(team: Arc<str>, gate: Arc<QuotaGate>) -> Self {
        let token = Self { team, is_queued: AtomicBool::new(false), gate };
        token.record_queued();
        token
    }

    /// Records that the request waits for an upstream.
    pub(crate) fn record_queued(&self) {
        if !self.is_queued.swap(true, Ordering::Relaxed) {
            self.gate.record_queued(&self.team, true);
        }
    }

    /// Records that the request is about to be sent.
    pub(crate) fn record_sent(&self) {
        if self.is_queued.swap(false, Ordering::Relaxed) {
            self.gate.record_queued(&self.team, false);
        }
    }

    /// Returns the token, since the request has not run and will not run. It must be returned once.
    pub(crate) fn give_back(&self) {
        self.record_sent();
        self.gate.give_back(&self.team);
    }
}

impl Drop for QuotaToken {
    fn drop(&mut self) {
        self.record_sent();
    }
}
