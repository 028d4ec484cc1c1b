//! A platform in memory. Each call yields to other tasks before and after it takes effect, so that a test can drop the
//! calling task on either side of the effect, like a process that crashes.

use std::{collections::BTreeMap, sync::Arc};

use async_trait::async_trait;
use bytes::Bytes;
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::task::yield_now;

use crate::{CreateOutcome, HostRecord, PlatformClient, PlatformError};

/// Rates of the platform's faults, in percent of all calls.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FaultRates {
    /// The call fails without effect.
    pub(super) refusal_percent: u32,
    /// The call takes effect, but its response is lost.
    pub(super) lost_response_percent: u32,
}

#[derive(Debug)]
struct MemoryState {
    objects: BTreeMap<String, Bytes>,
    fault_rates: FaultRates,
    random: StdRng,
    create_calls: u64,
}

#[derive(Debug)]
pub(super) struct MemoryPlatform {
    state: Mutex<MemoryState>,
}

/// Fault that one call meets.
enum CallFault {
    None,
    Refused,
    ResponseLost,
}

impl MemoryPlatform {
    pub(super) fn new(seed: u64, fault_rates: FaultRates) -> Arc<Self> {
        let random = StdRng::seed_from_u64(seed);
        let state = MemoryState { objects: BTreeMap::new(), fault_rates, random, create_calls: 0 };
        Arc::new(Self { state: Mutex::new(state) })
    }

    pub(super) fn set_fault_rates(&self, fault_rates: FaultRates) {
        self.state.lock().fault_rates = fault_rates;
    }

    pub(super) fn object_count(&self) -> usize {
        self.state.lock().objects.len()
    }

    /// Number of calls to create an object that took effect or met an existing object.
    pub(super) fn create_calls(&self) -> u64 {
        self.state.lock().create_calls
    }

    /// Draws the fault of a call.
    fn draw_fault(&self) -> CallFault {
        let mut state = self.state.lock();
        let draw = state.random.random_range(0..100);
        let FaultRates { refusal_percent, lost_response_percent } = state.fault_rates;

        match draw {
            draw if draw < refusal_percent => CallFault::Refused,
            draw if draw < refusal_percent + lost_response_percent => CallFault::ResponseLost,
            _ => CallFault::None,
        }
    }

    async fn call<T>(
        &self,
        effect: impl FnOnce(&mut MemoryState) -> T,
    ) -> Result<T, PlatformError> {
        yield_now().await;
        let fault = self.draw_fault();

        if matches!(fault, CallFault::Refused) {
            return Err(PlatformError::Refused { status: 503 });
        }

        let result = effect(&mut self.state.lock());
        yield_now().await;

        match fault {
            CallFault::ResponseLost => Err(PlatformError::Overdue),
            _ => Ok(result),
        }
    }
}

#[async_trait]
impl PlatformClient for MemoryPlatform {
    async fn create(&self, key: &str, value: Bytes) -> Result<CreateOutcome, PlatformError> {
        self.call(|state| {
            state.create_calls += 1;

            if state.objects.contains_key(key) {
                return CreateOutcome::Exists;
            }

            state.objects.insert(key.to_owned(), value);
            CreateOutcome::Created
        })
        .await
    }

    async fn delete(&self, key: &str) -> Result<(), PlatformError> {
        self.call(|state| {
            state.objects.remove(key);
        })
        .await
    }

    async fn get(&self, key: &str) -> Result<Option<Bytes>, PlatformError> {
        self.call(|state| state.objects.get(key).cloned()).await
    }

    async fn hosts(&self) -> Result<Vec<HostRecord>, PlatformError> {
        Ok(Vec::new())
    }

    fn is_available(&self) -> bool {
        true
    }

    async fn list(&self, prefix: &str, after: &str) -> Result<Vec<Arc<str>>, PlatformError> {
        self.call(|state| {
            state
                .objects
                .keys()
                .filter(|key| key.starts_with(prefix) && key.as_str() > after)
                .map(|key| Arc::from(key.as_str()))
                .collect()
        })
        .await
    }
}
