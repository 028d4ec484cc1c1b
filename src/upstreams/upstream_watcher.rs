//! Probes the upstreams of a cell and reports changes of their health to the dispatcher. Only the dispatcher's host
//! probes, so that the number of probes grows with that of upstreams, not of hosts.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Weak,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use parking_lot::Mutex;
use statig::blocking::{IntoStateMachineExt, StateMachine};
use tokio::{
    sync::{Notify, Semaphore},
    task::AbortHandle,
    time::{Instant, sleep_until},
};

use crate::{
    CellDispatcher, CellEvent, CellReport, CellResult, DispatchTicket, HealthEvent, HealthStatus,
    ProbeOutcome, UpstreamClient, UpstreamHealth, UpstreamName, UpstreamTerms,
    upstreams::http_upstream::PROBE_TIMEOUT,
};

/// Time between two probes of an upstream.
const PROBE_INTERVAL: Duration = Duration::from_millis(900);

/// Time after which an upstream that has stopped accepting requests is sent none.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Time for which a grant may be used without asking the dispatcher again: what [`NOTICE_TIMEOUT`] leaves after an
/// interval and a probe.
pub(crate) const GRANT_LIFETIME: Duration =
    NOTICE_TIMEOUT.saturating_sub(PROBE_INTERVAL.saturating_add(PROBE_TIMEOUT));

/// Probes in flight at once to upstreams that are gone, each of which may last until its timeout. An upstream that is
/// not gone is probed without a place among them, so that silent ones never delay it.
const MAX_CONCURRENT_GONE_PROBES: usize = 16;

/// Number of a fact that makes the outcomes of earlier probes void.
type FactNumber = u64;

/// Terms and health of one upstream, and the task that probes it.
#[derive(derive_more::Debug)]
struct WatchedUpstream {
    terms: UpstreamTerms,
    /// The upstream's last failure or change of address, or its addition. A probe that began before it says nothing
    /// about what came after.
    last_fact: FactNumber,
    #[debug(skip)]
    health: StateMachine<UpstreamHealth>,
    /// Begins the next probe without waiting for the interval, or as soon as the present one has ended.
    recheck: Arc<Notify>,
    /// Task that runs this upstream's probes one after another.
    prober: AbortHandle,
}

impl Drop for WatchedUpstream {
    fn drop(&mut self) {
        self.prober.abort();
    }
}

/// Health checker of one cell's upstreams.
#[derive(Debug)]
pub(crate) struct UpstreamWatcher {
    dispatcher: Weak<CellDispatcher>,
    client: Arc<dyn UpstreamClient>,
    watched: Mutex<BTreeMap<UpstreamName, WatchedUpstream>>,
    /// Last fact about any upstream, so that one that is removed and added again has a new one.
    last_fact: AtomicU64,
    /// Places for probes of upstreams that are gone.
    gone_places: Semaphore,
}

impl UpstreamWatcher {
    /// Watches the upstreams of [`Self::sync_upstreams`] until the dispatcher is dropped.
    pub(crate) fn start(
        dispatcher: &Arc<CellDispatcher>,
        client: Arc<dyn UpstreamClient>,
    ) -> Arc<Self> {
        Arc::new(Self {
            dispatcher: Arc::downgrade(dispatcher),
            client,
            watched: Mutex::default(),
            last_fact: AtomicU64::new(0),
            gone_places: Semaphore::new(MAX_CONCURRENT_GONE_PROBES),
        })
    }

    /// Records that a request to an upstream failed, and probes the upstream at once. A probe that began before doesn't
    /// count.
    pub(crate) fn report_failure(&self, upstream: &UpstreamName) {
        if let Some(entry) = self.watched.lock().get_mut(upstream) {
            entry.last_fact = self.next_fact();
            self.handle_health_event(upstream, entry, HealthEvent::RequestFailed);
            entry.recheck.notify_one();
        }
    }

    /// Ends a granted request. The failure of an upstream is recorded first, so that the room that becomes free isn't
    /// granted at it again. A broken connection comes after, as the queue closes the upstream itself, and a probe may
    /// open it only from then on.
    pub(crate) fn finish_grant(
        &self,
        upstream: &UpstreamName,
        ticket: DispatchTicket,
        report: CellReport,
    ) {
        let has_failed = report.result.indicates_failure();
        let is_broken = report.result == CellResult::Broken;

        if has_failed && !is_broken {
            self.report_failure(upstream);
        }

        ticket.finish(report);

        if is_broken {
            self.report_failure(upstream);
        }
    }

    /// Adds and removes upstreams as configured. Those that stay keep their health, and are probed at once if their
    /// address has changed.
    pub(crate) fn sync_upstreams(
        self: &Arc<Self>,
        configured: &BTreeMap<UpstreamName, UpstreamTerms>,
    ) {
        let mut watched = self.watched.lock();
        watched.retain(|name, _| configured.contains_key(name));

        for (position, (name, terms)) in (1..).zip(configured) {
            // All are probed at once when they are added, and spread over the interval from then on.
            let first_wait = PROBE_INTERVAL * position / configured.len() as u32;
            let entry =
                watched.entry(name.clone()).or_insert_with(|| self.watch(name, terms, first_wait));

            if entry.terms.url != terms.url {
                entry.last_fact = self.next_fact();
                entry.recheck.notify_one();
            }

            entry.terms = terms.clone();
        }
    }

    fn next_fact(&self) -> FactNumber {
        self.last_fact.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Starts the probes of an upstream, the second of which begins after `first_wait`.
    fn watch(
        self: &Arc<Self>,
        name: &UpstreamName,
        terms: &UpstreamTerms,
        first_wait: Duration,
    ) -> WatchedUpstream {
        let recheck = Arc::new(Notify::new());
        let run = Arc::clone(self).run_probes(name.clone(), Arc::clone(&recheck), first_wait);

        WatchedUpstream {
            terms: terms.clone(),
            last_fact: self.next_fact(),
            health: UpstreamHealth.state_machine(),
            recheck,
            prober: tokio::spawn(run).abort_handle(),
        }
    }

    /// Name of the health state of each upstream, for the operator API.
    pub(crate) fn states(&self) -> BTreeMap<UpstreamName, &'static str> {
        let watched = self.watched.lock();
        watched.iter().map(|(name, entry)| (name.clone(), entry.health.state().name())).collect()
    }

    /// Probes an upstream on its own schedule, one probe at a time, until the dispatcher is dropped.
    async fn run_probes(
        self: Arc<Self>,
        upstream: UpstreamName,
        recheck: Arc<Notify>,
        first_wait: Duration,
    ) {
        let mut wait = first_wait;

        while self.dispatcher.strong_count() > 0 {
            let begun = Instant::now();
            self.probe(&upstream).await;

            tokio::select! {
                () = sleep_until(begun + wait) => (),
                () = recheck.notified() => (),
            }

            wait = PROBE_INTERVAL;
        }
    }

    fn is_gone(&self, upstream: &UpstreamName) -> bool {
        let watched = self.watched.lock();
        watched.get(upstream).is_some_and(|it| it.health.state().status() == HealthStatus::Gone)
    }

    async fn probe(&self, upstream: &UpstreamName) {
        // The semaphore is never closed.
        let _place =
            if self.is_gone(upstream) { self.gone_places.acquire().await.ok() } else { None };

        let Some((url, last_fact)) = self
            .watched
            .lock()
            .get(upstream)
            .map(|entry| (Arc::clone(&entry.terms.url), entry.last_fact))
        else {
            return;
        };

        let outcome = self.client.probe(&url).await;

        // Held until the dispatcher has been told.
        let mut watched = self.watched.lock();

        let Some(entry) = watched.get_mut(upstream) else {
            return;
        };

        if entry.last_fact != last_fact {
            log::info!(
                upstream:% = upstream, outcome:? = outcome;
                "a probe that began before an upstream's last failure or change is ignored"
            );
            return;
        }

        self.handle_health_event(upstream, entry, HealthEvent::Probed(outcome));
        let dispatcher = self.dispatcher.upgrade();

        if let (Some(dispatcher), ProbeOutcome::Healthy { load: Some(load) }) =
            (dispatcher, outcome)
        {
            dispatcher.handle_event(CellEvent::LoadReported {
                upstream: upstream.clone(),
                running: load.running,
                waiting: load.waiting,
                limit: load.limit,
            });
        }
    }

    /// Applies an event to an upstream's health and reports a changed status to the dispatcher. The entry is borrowed
    /// from the locked map, so that the dispatcher hears of changes in the order in which they happened.
    fn handle_health_event(
        &self,
        upstream: &UpstreamName,
        entry: &mut WatchedUpstream,
        event: HealthEvent,
    ) {
        let before = *entry.health.state();
        entry.health.handle(&event);
        let after = *entry.health.state();

        if before.status() == after.status() {
            return;
        }

        log::info!(
            upstream:% = upstream, before = before.name(), after = after.name();
            "the health of an upstream has changed"
        );

        let Some(dispatcher) = self.dispatcher.upgrade() else {
            return;
        };

        let upstream = upstream.clone();

        dispatcher.handle_event(match after.status() {
            HealthStatus::Gone => CellEvent::Crashed { upstream },
            status => {
                let is_serving = status == HealthStatus::Serving;
                CellEvent::Serving { upstream, is_serving }
            }
        });
    }
}
