//! Lets requests of teams with a quota run or refuses them, and keeps this host's allowances filled.
//!
//! Locks: that of the allowances and that of the owner are each taken alone.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use parking_lot::Mutex;
use tokio::{
    sync::Notify,
    time::{Duration, Instant, sleep, timeout_at},
};

use crate::entry::{
    entry_metrics::EntryMetrics,
    explain::QuotaExplanation,
    peer_mesh::PeerMesh,
    quotas::{
        QuotaLimit, QuotaRefusal, QuotaTolerance,
        known_hosts::KnownHosts,
        program_registry::ProgramRegistry,
        quota_allowance::{TokenDecision, WaitOutcome},
        quota_owner::QuotaOwner,
        quota_refusal::{RefusalCause, RefusedUse},
        quota_reporter::QuotaReporter,
        quota_token::QuotaToken,
        start_account::team_of,
        waiting_requests::WaitingRequests,
    },
};

/// Longest time for which a request waits for a quota owner.
const OWNER_WAIT: Duration = Duration::from_millis(250);

/// Time after which a client is asked to retry if no owner has answered. Another scheduler has taken over by then.
const NO_OWNER_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Allowances of this host and the requests that wait for them.
#[derive(Debug)]
pub(super) struct GateState {
    pub(super) reporter: QuotaReporter,
    pub(super) known_hosts: KnownHosts,
    pub(super) programs: ProgramRegistry,
    waiting: HashMap<Arc<str>, WaitingRequests>,
    last_ticket: u64,
}

impl GateState {
    /// Tells waiting requests of a team what has become of them.
    pub(super) fn settle(&mut self, team: &Arc<str>, outcome: WaitOutcome) {
        let Some(requests) = self.waiting.get_mut(team) else {
            (0..outcome.granted).for_each(|_| self.reporter.give_back(team));
            return;
        };
        let unused = requests.settle(outcome);
        if requests.is_empty() {
            self.waiting.remove(team);
        }
        (0..unused).for_each(|_| self.reporter.give_back(team));
    }

    fn cancel_wait(&mut self, team: &Arc<str>, ticket: u64) {
        let Some(requests) = self.waiting.get_mut(team) else {
            return;
        };
        if let Some(place) = requests.remove(ticket) {
            self.reporter.cancel_wait(team, place);
        }
        if requests.is_empty() {
            self.waiting.remove(team);
        }
    }
}

/// Removes a request from those that wait when its future ends or is dropped.
struct WaitGuard<'a> {
    gate: &'a QuotaGate,
    team: &'a Arc<str>,
    ticket: u64,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.gate.state.lock().cancel_wait(self.team, self.ticket);
    }
}

/// Quotas of all teams at this host. It sends no message until the configuration has a team with a quota.
#[derive(Debug)]
pub(crate) struct QuotaGate {
    pub(super) state: Mutex<GateState>,
    pub(super) owner: Arc<Mutex<QuotaOwner>>,
    pub(super) mesh: Arc<PeerMesh>,
    pub(super) is_enabled: AtomicBool,
    /// Wakes the task that reports.
    pub(super) wake: Notify,
    pub(super) metrics: Arc<EntryMetrics>,
}

impl QuotaGate {
    fn new(owner: Arc<Mutex<QuotaOwner>>, mesh: Arc<PeerMesh>, metrics: Arc<EntryMetrics>) -> Self {
        let identity = &mesh.identity;
        let (host, run) = (Arc::clone(&identity.host), Arc::clone(&identity.writer));
        let state = GateState {
            reporter: QuotaReporter::new(Instant::now(), host, run),
            known_hosts: KnownHosts::default(),
            programs: ProgramRegistry::new(Instant::now()),
            waiting: HashMap::new(),
            last_ticket: 0,
        };
        Self {
            state: Mutex::new(state),
            owner,
            mesh,
            is_enabled: AtomicBool::new(false),
            wake: Notify::new(),
            metrics,
        }
    }

    /// Starts the quotas of a scheduler, and lets it answer the reports of others.
    pub(crate) fn start(
        tolerance: QuotaTolerance,
        mesh: &Arc<PeerMesh>,
        metrics: &Arc<EntryMetrics>,
    ) -> Arc<Self> {
        let host = Arc::clone(&mesh.identity.host);
        let owner = Arc::new(Mutex::new(QuotaOwner::new(Instant::now(), host, tolerance)));
        mesh.set_quota_owner(Arc::clone(&owner));
        let gate = Arc::new(Self::new(owner, Arc::clone(mesh), Arc::clone(metrics)));
        tokio::spawn(Arc::clone(&gate).run());
        gate
    }

    /// Begins or ends the reports, as the configuration has teams with quotas or not.
    pub(crate) fn set_enabled(&self, is_enabled: bool) {
        if self.is_enabled.swap(is_enabled, Ordering::Relaxed) != is_enabled {
            log::info!(is_enabled; "quotas of teams have been switched on or off by the configuration");
            self.wake.notify_one();
        }
    }

    /// Gets a token for a request that waits for none.
    #[cfg(test)]
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        team: &Arc<str>,
        limit: QuotaLimit,
        deadline: Instant,
    ) -> Result<QuotaToken, QuotaRefusal> {
        self.acquire_within(team, limit, deadline, Duration::ZERO).await
    }

    /// Gets a token for a request of a team. Waits for an owner for at most 250 ms, for at most `patience` for a token that is known
    /// to arrive by then, and not beyond `deadline`.
    pub(crate) async fn acquire_within(
        self: &Arc<Self>,
        team: &Arc<str>,
        limit: QuotaLimit,
        deadline: Instant,
        patience: Duration,
    ) -> Result<QuotaToken, QuotaRefusal> {
        let patient_until = Instant::now() + patience;
        let mut has_waited = false;
        loop {
            let (cause, retry_after) = match self.acquire_tokens(team, limit, 1, deadline).await {
                Ok(result) => {
                    let result = if has_waited { "waited" } else { result };
                    self.metrics.count_quota_decision(result);
                    return Ok(QuotaToken::new(Arc::clone(team), Arc::clone(self)));
                }
                Err(refusal) => refusal,
            };

            let is_imminent = cause != RefusalCause::NoOwner
                && Instant::now() + retry_after <= patient_until.min(deadline);
            if !is_imminent {
                self.metrics.count_quota_decision(cause.as_str());
                return Err(self.refusal(team, RefusedUse::Request, cause, retry_after));
            }
            has_waited = true;
            sleep(retry_after).await;
        }
    }

    /// Gets `size` tokens of one of a team's accounts, and says how.
    pub(super) async fn acquire_tokens(
        &self,
        account: &Arc<str>,
        limit: QuotaLimit,
        size: u32,
        deadline: Instant,
    ) -> Result<&'static str, (RefusalCause, Duration)> {
        let now = Instant::now();
        self.set_enabled(true);

        let (receiver, ticket) = {
            let mut state = self.state.lock();
            match state.reporter.acquire_tokens(now, account, limit, size) {
                TokenDecision::Granted => return Ok("allowance"),
                TokenDecision::Refused { retry_after } => {
                    return Err((RefusalCause::StatedBefore, retry_after));
                }
                TokenDecision::Waits => {
                    state.last_ticket += 1;
                    let ticket = state.last_ticket;
                    let requests = state.waiting.entry(Arc::clone(account)).or_default();
                    (requests.push(ticket), ticket)
                }
            }
        };

        let guard = WaitGuard { gate: self, team: account, ticket };
        self.wake.notify_one();
        let result = timeout_at(deadline.min(now + OWNER_WAIT), receiver).await;
        drop(guard);

        match result {
            Ok(Ok(Ok(()))) => Ok("grant"),
            Ok(Ok(Err(retry_after))) => Err((RefusalCause::EmptyBucket, retry_after)),
            Ok(Err(_)) | Err(_) => Err((RefusalCause::NoOwner, NO_OWNER_RETRY_AFTER)),
        }
    }

    /// What this host holds of a team's quota for requests, and what the owner has answered last. Nothing changes.
    pub(crate) fn standing(&self, now: Instant, team: &str) -> QuotaExplanation {
        self.state.lock().reporter.standing(now, team)
    }

    /// A refusal with the figures of the account's owner.
    pub(super) fn refusal(
        &self,
        account: &Arc<str>,
        refused: RefusedUse,
        cause: RefusalCause,
        retry_after: Duration,
    ) -> QuotaRefusal {
        let (figures, age) = self.state.lock().reporter.figures(Instant::now(), account);
        QuotaRefusal { team: team_of(account).into(), refused, cause, retry_after, figures, age }
    }

    /// Counts a token among those that are held, or no longer, as its request waits for an upstream or not.
    pub(super) fn record_queued(&self, team: &str, is_queued: bool) {
        self.state.lock().reporter.record_queued(team, is_queued);
    }

    /// Takes back the token of a request that has not run.
    pub(super) fn give_back(&self, team: &str) {
        self.metrics.count_quota_decision("given_back");
        self.state.lock().reporter.give_back(team);
    }
}
