//! Platform client with a rate limit, a circuit breaker and metrics around another client.

use std::{future::Future, sync::Arc};

use async_trait::async_trait;
use bytes::Bytes;
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::{
    CallLimiter, CircuitBreaker, CreateOutcome, HostRecord, NodeMetrics, PlatformClient,
    PlatformError,
};

/// The client through which all parts of a host call the platform, so that they share one rate limit and one breaker.
#[derive(Debug)]
pub(crate) struct GuardedPlatform {
    inner: Arc<dyn PlatformClient>,
    limiter: CallLimiter,
    breaker: Mutex<CircuitBreaker>,
    metrics: Arc<NodeMetrics>,
}

impl GuardedPlatform {
    pub(crate) fn new(
        inner: Arc<dyn PlatformClient>,
        calls_per_second: u32,
        metrics: Arc<NodeMetrics>,
    ) -> Self {
        let limiter = CallLimiter::new(calls_per_second);
        Self { inner, limiter, breaker: Mutex::default(), metrics }
    }

    /// Makes a call if the breaker admits it and once the rate limit allows it, and records the result in the breaker
    /// and the metrics.
    async fn guard<T>(
        &self,
        operation: &'static str,
        call: impl Future<Output = Result<T, PlatformError>>,
    ) -> Result<T, PlatformError> {
        if !self.breaker.lock().admit(Instant::now()) {
            return Err(PlatformError::BreakerOpen);
        }

        self.limiter.acquire().await;
        let result = call.await;
        self.metrics.count_platform_call(operation, result.is_ok());

        match &result {
            Ok(_) => self.breaker.lock().record_success(),
            Err(error) => {
                log::debug!(call = operation; "platform call failed: {error}");
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
