//! The platform behind a call budget and a circuit breaker, with every call counted.

use std::{future::Future, sync::Arc};

use async_trait::async_trait;
use bytes::Bytes;
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::{
    CallLimiter, CircuitBreaker, CreateOutcome, HostRecord, NodeMetrics, PlatformClient,
    PlatformError,
};

/// What every part of a host calls the platform through.
#[derive(Debug)]
pub(crate) struct GuardedPlatform {
    inner: Arc<dyn PlatformClient>,
    budget: CallLimiter,
    breaker: Mutex<CircuitBreaker>,
    metrics: Arc<NodeMetrics>,
}

impl GuardedPlatform {
    pub(crate) fn new(
        inner: Arc<dyn PlatformClient>,
        calls_per_second: u32,
        metrics: Arc<NodeMetrics>,
    ) -> Self {
        let budget = CallLimiter::new(calls_per_second);
        Self { inner, budget, breaker: Mutex::default(), metrics }
    }

    async fn guard<T>(
        &self,
        kind: &'static str,
        call: impl Future<Output = Result<T, PlatformError>>,
    ) -> Result<T, PlatformError> {
        if !self.breaker.lock().admit(Instant::now()) {
            return Err(PlatformError::BreakerOpen);
        }

        self.budget.acquire().await;
        let result = call.await;
        self.metrics.count_platform_call(kind, result.is_ok());

        match &result {
            Ok(_) => self.breaker.lock().record_success(),
            Err(error) => {
                log::debug!(call = kind; "platform call failed: {error}");
                self.breaker.lock().record_failure(Instant::now());
            }
        }

        result
    }
}

#[async_trait]
impl PlatformClient for GuardedPlatform {
    async fn create(&self, key: &str, value: Bytes) -> Result<CreateOutcome, PlatformError> {
        self.guard("create", self.inner.create(key, value)).await
    }

    async fn delete(&self, key: &str) -> Result<(), PlatformError> {
        self.guard("delete", self.inner.delete(key)).await
    }

    async fn get(&self, key: &str) -> Result<Option<Bytes>, PlatformError> {
        self.guard("get", self.inner.get(key)).await
    }

    async fn hosts(&self) -> Result<Vec<HostRecord>, PlatformError> {
        self.guard("hosts", self.inner.hosts()).await
    }

    fn is_available(&self) -> bool {
        !self.breaker.lock().is_open()
    }

    async fn list(&self, prefix: &str, after: &str) -> Result<Vec<Arc<str>>, PlatformError> {
        self.guard("list", self.inner.list(prefix, after)).await
    }
}
