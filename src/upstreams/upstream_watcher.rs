//! Probes the upstreams of a cell and tells its dispatcher what follows. Only the dispatcher's host probes, so that
//! probes grow with upstreams and not with hosts.

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

/// Time between two probes of an upstream. A leaving one gets no new work after twice this at the latest.
const PROBE_INTERVAL: Duration = Duration::from_millis(900);

/// Probes that run at once.
const PROBE_CONCURRENCY: usize = 16;

#[derive(derive_more::Debug)]
struct WatchedUpstream {
    terms: UpstreamTerms,
    #[debug(skip)]
    health: StateMachine<UpstreamHealth>,
}

/// Watcher of one cell's upstreams.
#[derive(Debug)]
pub(crate) struct UpstreamWatcher {
    dispatcher: Weak<CellDispatcher>,
    client: Arc<dyn UpstreamClient>,
    watched: Mutex<BTreeMap<UpstreamName, WatchedUpstream>>,
    suspects: mpsc::UnboundedSender<UpstreamName>,
}

impl UpstreamWatcher {
    /// Starts to watch, until the dispatcher is dropped.
    pub(crate) fn start(
        dispatcher: &Arc<CellDispatcher>,
        client: Arc<dyn UpstreamClient>,
    ) -> Arc<Self> {
        let (suspects, receiver) = mpsc::unbounded_channel();

        let watcher = Arc::new(Self {
            dispatcher: Arc::downgrade(dispatcher),
            client,
            watched: Mutex::default(),
            suspects,
        });

        tokio::spawn(Arc::clone(&watcher).run(receiver));
        watcher
    }

    /// Takes note that a request failed; the upstream is probed at once.
    pub(crate) fn report_failure(&self, upstream: &UpstreamName) {
        self.learn(upstream, HealthEvent::RequestFailed);
        let _ = self.suspects.send(upstream.clone());
    }

    pub(crate) fn sync_upstreams(&self, wanted: &BTreeMap<UpstreamName, UpstreamTerms>) {
        let mut watched = self.watched.lock();
        watched.retain(|name, _| wanted.contains_key(name));

        for (name, terms) in wanted {
            let entry = watched.entry(name.clone()).or_insert_with(|| WatchedUpstream {
                terms: terms.clone(),
                health: UpstreamHealth.state_machine(),
            });
            entry.terms = terms.clone();
        }
    }

    /// Name of the state of each upstream, for operators.
    pub(crate) fn states(&self) -> BTreeMap<UpstreamName, &'static str> {
        let watched = self.watched.lock();
        watched.iter().map(|(name, entry)| (name.clone(), entry.health.state().name())).collect()
    }

    async fn run(self: Arc<Self>, mut suspects: mpsc::UnboundedReceiver<UpstreamName>) {
        let mut interval = tokio::time::interval(PROBE_INTERVAL);

        while self.dispatcher.strong_count() > 0 {
            tokio::select! {
                _ = interval.tick() => self.probe_all().await,
                Some(upstream) = suspects.recv() => self.probe(&upstream).await,
            }
        }
    }

    async fn probe_all(&self) {
        let names: Vec<UpstreamName> = self.watched.lock().keys().cloned().collect();

        stream::iter(&names).for_each_concurrent(PROBE_CONCURRENCY, |name| self.probe(name)).await;
    }

    async fn probe(&self, upstream: &UpstreamName) {
        let Some(url) = self.watched.lock().get(upstream).map(|it| Arc::clone(&it.terms.url))
        else {
            return;
        };

        let probe = self.client.probe(&url).await;
        self.learn(upstream, HealthEvent::Probed(probe));
        let dispatcher = self.dispatcher.upgrade();

        if let (Some(dispatcher), ProbeOutcome::Well { load: Some(load) }) = (dispatcher, probe) {
            dispatcher.feed(CellEvent::LoadReported {
                upstream: upstream.clone(),
                running: load.running,
                waiting: load.waiting,
            });
        }
    }

    fn learn(&self, upstream: &UpstreamName, evidence: HealthEvent) {
        let mut watched = self.watched.lock();

        let Some(entry) = watched.get_mut(upstream) else {
            return;
        };

        let before = *entry.health.state();
        entry.health.handle(&evidence);
        let after = *entry.health.state();
        drop(watched);

        if before.verdict() == after.verdict() {
            return;
        }

        log::info!(
            upstream:% = upstream, before = before.name(), after = after.name();
            "an upstream's state has changed"
        );

        let Some(dispatcher) = self.dispatcher.upgrade() else {
            return;
        };

        let upstream = upstream.clone();

        dispatcher.feed(match after.verdict() {
            HealthStatus::Gone => CellEvent::Crashed { upstream },
            verdict => {
                let is_serving = verdict == HealthStatus::Serving;
                CellEvent::Serving { upstream, is_serving }
            }
        });
    }
}
