//! Probes the upstreams of a cell and reports changes of their health to the dispatcher. Only the dispatcher's host
//! probes, so that the number of probes grows with that of upstreams, not of hosts.

use std::{
    collections::BTreeMap,
    sync::{Arc, Weak},
    time::Duration,
};

use futures_util::{StreamExt, stream};
use parking_lot::Mutex;
use statig::blocking::{IntoStateMachineExt, StateMachine};
use tokio::sync::mpsc;

use crate::{
    CellDispatcher, CellEvent, HealthEvent, HealthStatus, ProbeOutcome, UpstreamClient,
    UpstreamHealth, UpstreamName, UpstreamTerms,
};

/// Time between two probes of an upstream. An upstream that stops accepting requests is granted none after twice this
/// time at the latest.
const PROBE_INTERVAL: Duration = Duration::from_millis(900);

/// Probes in flight at once.
const MAX_CONCURRENT_PROBES: usize = 16;

/// Terms and health of one upstream.
#[derive(derive_more::Debug)]
struct WatchedUpstream {
    terms: UpstreamTerms,
    #[debug(skip)]
    health: StateMachine<UpstreamHealth>,
}

/// Health checker of one cell's upstreams.
#[derive(Debug)]
pub(crate) struct UpstreamWatcher {
    dispatcher: Weak<CellDispatcher>,
    client: Arc<dyn UpstreamClient>,
    watched: Mutex<BTreeMap<UpstreamName, WatchedUpstream>>,
    /// Upstreams to probe at once, without waiting for the interval.
    probe_requests: mpsc::UnboundedSender<UpstreamName>,
}

impl UpstreamWatcher {
    /// Starts a task that probes the upstreams until the dispatcher is dropped.
    pub(crate) fn start(
        dispatcher: &Arc<CellDispatcher>,
        client: Arc<dyn UpstreamClient>,
    ) -> Arc<Self> {
        let (probe_requests, receiver) = mpsc::unbounded_channel();

        let watcher = Arc::new(Self {
            dispatcher: Arc::downgrade(dispatcher),
            client,
            watched: Mutex::default(),
            probe_requests,
        });

        tokio::spawn(Arc::clone(&watcher).run(receiver));
        watcher
    }

    /// Records that a request to an upstream failed, and probes the upstream at once.
    pub(crate) fn report_failure(&self, upstream: &UpstreamName) {
        self.handle_health_event(upstream, HealthEvent::RequestFailed);
        let _ = self.probe_requests.send(upstream.clone());
    }

    /// Adds and removes upstreams as configured. Those that stay keep their health.
    pub(crate) fn sync_upstreams(&self, configured: &BTreeMap<UpstreamName, UpstreamTerms>) {
        let mut watched = self.watched.lock();
        watched.retain(|name, _| configured.contains_key(name));

        for (name, terms) in configured {
            let entry = watched.entry(name.clone()).or_insert_with(|| WatchedUpstream {
                terms: terms.clone(),
                health: UpstreamHealth.state_machine(),
            });
            entry.terms = terms.clone();
        }
    }

    /// Name of the health state of each upstream, for the operator API.
    pub(crate) fn states(&self) -> BTreeMap<UpstreamName, &'static str> {
        let watched = self.watched.lock();
        watched.iter().map(|(name, entry)| (name.clone(), entry.health.state().name())).collect()
    }

    async fn run(self: Arc<Self>, mut probe_requests: mpsc::UnboundedReceiver<UpstreamName>) {
        let mut interval = tokio::time::interval(PROBE_INTERVAL);

        while self.dispatcher.strong_count() > 0 {
            tokio::select! {
                _ = interval.tick() => self.probe_all().await,
                Some(upstream) = probe_requests.recv() => self.probe(&upstream).await,
            }
        }
    }

    async fn probe_all(&self) {
        let names: Vec<UpstreamName> = self.watched.lock().keys().cloned().collect();

        stream::iter(&names)
            .for_each_concurrent(MAX_CONCURRENT_PROBES, |name| self.probe(name))
            .await;
    }

    async fn probe(&self, upstream: &UpstreamName) {
        let Some(url) = self.watched.lock().get(upstream).map(|it| Arc::clone(&it.terms.url))
        else {
            return;
        };

        let outcome = self.client.probe(&url).await;
        self.handle_health_event(upstream, HealthEvent::Probed(outcome));
        let dispatcher = self.dispatcher.upgrade();

        if let (Some(dispatcher), ProbeOutcome::Healthy { load: Some(load) }) =
            (dispatcher, outcome)
        {
            dispatcher.handle_event(CellEvent::LoadReported {
                upstream: upstream.clone(),
                running: load.running,
                waiting: load.waiting,
            });
        }
    }

    /// Applies an event to an upstream's health and reports a changed status to the dispatcher.
    fn handle_health_event(&self, upstream: &UpstreamName, event: HealthEvent) {
        let mut watched = self.watched.lock();

        let Some(entry) = watched.get_mut(upstream) else {
            return;
        };

        let before = *entry.health.state();
        entry.health.handle(&event);
        let after = *entry.health.state();
        drop(watched);

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
