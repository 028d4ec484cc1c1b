//! Notices times in which the store answered nothing, although connections to it have stayed open.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use parking_lot::Mutex;
use tokio::{
    sync::{Notify, watch},
    time::{Duration, Instant, sleep, sleep_until, timeout},
};

use crate::entry::{
    FollowGap, ObjectStore, ReadFreshness, StoreError, host_registry::REGISTRY_KIND,
};

/// Time between two probes. A silence that is shorter may pass unnoticed.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two probes while the store refuses them. A refused call costs as much as any other.
const REFUSED_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a follower calls the store without an answered probe, in case that only probes fail.
const UNPROBED_RETRY_DELAY: Duration = Duration::from_secs(3);

/// Time for the store to answer a probe. It usually answers within milliseconds, and takes sixty times as long while it is
/// slow.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);

/// Time between two probes, and for the store to answer one, while it answers nothing. A return is noticed within it.
const SILENT_PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Delay of a probe by which the process counts as having stood still. Its watches may have been lost meanwhile, and a connection
/// that is silent does not show that soon.
const STANDSTILL_LIMIT: Duration = Duration::from_secs(1);

/// Name after which a probe lists objects. No host has a name that comes later, so the answer is empty.
const LAST_NAME: &str = "~";

/// Probes the store. A watch that is opened while the store answers nothing may never be answered, which neither its
/// connection nor its time limit shows soon. So the kinds are listed again after each such time.
#[derive(Clone, Debug)]
pub struct StoreMonitor {
    store: Arc<dyn ObjectStore>,
    /// The last gap that has ended.
    ended_gap: watch::Sender<Option<FollowGap>>,
    /// Whether the last probe has failed.
    is_failing: Arc<AtomicBool>,
    /// Since when all probes were answered; `None` while they fail.
    answered_since: Arc<Mutex<Option<Instant>>>,
    /// Asks for a probe, since a call of a follower has failed.
    probe_request: Arc<Notify>,
}

impl StoreMonitor {
    /// Creates a monitor. It reports nothing until it runs.
    pub fn new(store: Arc<dyn ObjectStore>) -> Self {
        Self {
            store,
            ended_gap: watch::Sender::new(None),
            is_failing: Arc::default(),
            answered_since: Arc::default(),
            probe_request: Arc::default(),
        }
    }

    /// Since when the store has answered this host without a break, in which the process did not stand still either.
    pub(crate) fn answered_since(&self) -> Option<Instant> {
        *self.answered_since.lock()
    }

    /// Receives each gap once it has ended.
    pub(crate) fn ended_gaps(&self) -> watch::Receiver<Option<FollowGap>> {
        self.ended_gap.subscribe()
    }

    /// Waits before a follower calls a store that has not answered it. While probes fail as well, they are almost the only
    /// calls to the store. Returns the gap if it ends meanwhile.
    pub(crate) async fn wait_to_retry(
        &self,
        ended_gaps: &mut watch::Receiver<Option<FollowGap>>,
        backoff: impl Future<Output = ()>,
    ) -> Option<FollowGap> {
        if !self.is_failing.load(Ordering::Relaxed) {
            self.probe_request.notify_one();
        }

        let delay = async {
            backoff.await;
            if self.is_failing.load(Ordering::Relaxed) {
                sleep(UNPROBED_RETRY_DELAY).await;
            }
        };

        tokio::select! {
            () = delay => None,
            Ok(()) = ended_gaps.changed() => *ended_gaps.borrow_and_update(),
        }
    }

    /// Probes the store until the task is dropped. A probe is a stale read, which costs a tenth of a call.
    pub async fn run(self) {
        let mut last_contact = Instant::now();
        let mut last_failure = None;
        let mut due_at = Instant::now();
        let mut is_silent = false;

        loop {
            let probed_at = Instant::now();
            let delay = probed_at.saturating_duration_since(due_at);

            if delay > STANDSTILL_LIMIT {
                log::warn!(delay_ms = delay.as_millis() as u64; "the process has stood still, so watches of the store may be lost");
                last_failure = Some(probed_at);
                *self.answered_since.lock() = None;
            }
            let limit = if is_silent { SILENT_PROBE_INTERVAL } else { PROBE_TIMEOUT };
            let result = self.probe(limit).await;
            self.is_failing.store(result.is_err(), Ordering::Relaxed);

            match &result {
                Ok(()) => {
                    if let Some(last_failure) = last_failure.take() {
                        let without_contact_ms = last_contact.elapsed().as_millis() as u64;
                        log::info!(without_contact_ms; "the store answers probes again");
                        self.ended_gap.send_replace(Some(FollowGap { last_contact, last_failure }));
                    }
                    last_contact = probed_at;
                    self.answered_since.lock().get_or_insert(probed_at);
                }
                Err(error) => {
                    *self.answered_since.lock() = None;
                    if last_failure.replace(probed_at).is_none() {
                        log::warn!("the store does not answer a probe: {error}");
                    }
                }
            }

            let is_refused = matches!(result, Err(StoreError::Refused { .. }));
            is_silent = result.is_err() && !is_refused;
            let interval = match &result {
                Ok(()) => PROBE_INTERVAL,
                Err(_) if is_refused => REFUSED_PROBE_INTERVAL,
                Err(_) => SILENT_PROBE_INTERVAL,
            };
            due_at = probed_at + interval;
            tokio::select! {
                () = sleep_until(due_at) => (),
                () = self.probe_request.notified(), if result.is_ok() => (),
            }
        }
    }

    async fn probe(&self, limit: Duration) -> Result<(), StoreError> {
        let probe = self.store.list(REGISTRY_KIND, Some(LAST_NAME), ReadFreshness::MayBeStale);
        let timed_out = || StoreError::Unanswered { reason: "the probe timed out".into() };
        timeout(limit, probe).await.unwrap_or_else(|_| Err(timed_out())).map(|_| ())
    }
}
