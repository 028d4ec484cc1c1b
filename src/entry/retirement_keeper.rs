//! Answers the operator's requests to empty a storage host.
//!
//! Storage hosts hold nothing that has to last, so each of them may declare any other one empty.

use std::sync::Arc;

use parking_lot::Mutex;
use serde_json::value::RawValue;
use tokio::{
    sync::Notify,
    time::{Duration, sleep},
};

use crate::{
    BackoffPolicy,
    entry::{ObjectStore, WriteOutcome},
};

/// Time that a storage host leaves to the one that is to be emptied before it answers in its place.
const OTHERS_PAUSE: Duration = Duration::from_millis(700);

/// Pause between tries while the store does not answer.
const WRITE_BACKOFF: BackoffPolicy =
    BackoffPolicy { first: Duration::from_millis(100), limit: Duration::from_secs(1) };

/// A request to empty a host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RetirementRequest {
    /// The host to empty.
    pub host: Arc<str>,
    /// Revision of the request's object.
    pub revision: u64,
}

/// Declares storage hosts empty.
#[derive(Debug)]
pub struct RetirementKeeper {
    host: Arc<str>,
    kind: &'static str,
    /// Status that says that a host is empty, in the platform's words.
    complete: Box<RawValue>,
    store: Arc<dyn ObjectStore>,
    open: Mutex<Vec<RetirementRequest>>,
    wake: Notify,
}

impl RetirementKeeper {
    /// Makes a keeper on a storage host.
    pub fn new(
        host: Arc<str>,
        kind: &'static str,
        complete: Box<RawValue>,
        store: Arc<dyn ObjectStore>,
    ) -> Self {
        Self { host, kind, complete, store, open: Mutex::default(), wake: Notify::new() }
    }

    /// Takes a request that has not been answered.
    pub fn add_request(&self, request: RetirementRequest) {
        let mut open = self.open.lock();
        open.retain(|it| it.host != request.host);
        open.push(request);
        self.wake.notify_one();
    }

    /// Takes note that a request is answered or gone.
    pub fn remove_request(&self, host: &str) {
        self.open.lock().retain(|it| &*it.host != host);
    }

    /// Answers requests until the task is dropped.
    pub async fn run(self: Arc<Self>) {
        loop {
            let next = self.open.lock().first().cloned();
            let Some(request) = next else {
                self.wake.notified().await;
                continue;
            };

            if request.host != self.host {
                sleep(OTHERS_PAUSE).await;
                if !self.open.lock().contains(&request) {
                    continue;
                }
            }

            self.declare(&request).await;
        }
    }

    async fn declare(&self, request: &RetirementRequest) {
        let mut attempt = 0;

        while self.open.lock().contains(request) {
            let result = self
                .store
                .replace_status(self.kind, &request.host, &self.complete, request.revision)
                .await;

            match result {
                Ok(outcome) => {
                    let is_own = matches!(outcome, WriteOutcome::Written { .. });
                    log::info!(host:% = request.host, written = is_own; "a storage host is declared empty");
                    self.remove_request(&request.host);
                }
                Err(error) => {
                    log::warn!(host:% = request.host; "a storage host can't be declared empty yet: {error}");
                    WRITE_BACKOFF.sleep(attempt).await;
                    attempt += 1;
                }
            }
        }
    }
}
