//! Completes the operator's requests to empty a storage host.
//!
//! Storage hosts store no durable data, so any of them may declare any other one empty.

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

/// Time that the host to be emptied has to complete its own request before another storage host does so in its place.
const TAKEOVER_DELAY: Duration = Duration::from_millis(700);

/// Delays between attempts while calls to the store fail.
const WRITE_BACKOFF: BackoffPolicy =
    BackoffPolicy { first: Duration::from_millis(100), limit: Duration::from_secs(1) };

/// A request to empty a host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RetirementRequest {
    /// The host to empty.
    pub host: Arc<str>,
    /// Revision of the request's object, on which the write of its status is conditional.
    pub revision: u64,
}

/// Completes requests to empty storage hosts, by writing their status to the store.
#[derive(Debug)]
pub struct RetirementKeeper {
    host: Arc<str>,
    kind: &'static str,
    /// Object status that marks a request as complete, in the platform's format.
    complete_status: Box<RawValue>,
    store: Arc<dyn ObjectStore>,
    open_requests: Mutex<Vec<RetirementRequest>>,
    request_added: Notify,
}

impl RetirementKeeper {
    /// Creates the keeper of the storage host `host`, for requests that are objects of `kind`.
    pub fn new(
        host: Arc<str>,
        kind: &'static str,
        complete_status: Box<RawValue>,
        store: Arc<dyn ObjectStore>,
    ) -> Self {
        Self {
            host,
            kind,
            complete_status,
            store,
            open_requests: Mutex::default(),
            request_added: Notify::new(),
        }
    }

    /// Adds a request that is not complete. It replaces an earlier one for the same host.
    pub fn add_request(&self, request: RetirementRequest) {
        let mut open_requests = self.open_requests.lock();
        open_requests.retain(|it| it.host != request.host);
        open_requests.push(request);
        self.request_added.notify_one();
    }

    /// Removes the request for a host, which is complete or has been deleted.
    pub fn remove_request(&self, host: &str) {
        self.open_requests.lock().retain(|it| &*it.host != host);
    }

    /// Completes requests until the task is dropped.
    pub async fn run(self: Arc<Self>) {
        loop {
            let next = self.open_requests.lock().first().cloned();
            let Some(request) = next else {
                self.request_added.notified().await;
                continue;
            };

            if request.host != self.host {
                sleep(TAKEOVER_DELAY).await;
                if !self.open_requests.lock().contains(&request) {
                    continue;
                }
            }

            self.declare_empty(&request).await;
        }
    }

    /// Writes the status that completes a request. Retries while calls to the store fail, unless the request is
    /// replaced or removed. After a conflict there is no retry: the request's object has changed, so the request is out
    /// of date.
    async fn declare_empty(&self, request: &RetirementRequest) {
        let mut attempt = 0;

        while self.open_requests.lock().contains(request) {
            let result = self
                .store
                .replace_status(self.kind, &request.host, &self.complete_status, request.revision)
                .await;

            match result {
                Ok(outcome) => {
                    let is_written = matches!(outcome, WriteOutcome::Written { .. });
                    log::info!(host:% = request.host, written = is_written; "closed a request to empty a storage host");
                    self.remove_request(&request.host);
                }
                Err(error) => {
                    log::warn!(host:% = request.host; "failed to declare a storage host empty, retrying: {error}");
                    WRITE_BACKOFF.sleep(attempt).await;
                    attempt += 1;
                }
            }
        }
    }
}
