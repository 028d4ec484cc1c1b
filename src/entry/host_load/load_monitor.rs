//! Samples what this process uses, and keeps what the host is short of.

use std::{
    fs,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use parking_lot::Mutex;
use tokio::time::{Duration, Instant, sleep};

use crate::entry::{
    BufferBudget, EntryRequest,
    entry_metrics::EntryMetrics,
    host_load::{DescriptorSupply, HostLoad, LoadLimits, LoadPolicy, LoadSample},
};

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// Samples between two counts of the descriptors, which take about a millisecond with 4,000 of them. Connections of clients are
/// counted exactly meanwhile.
const SAMPLES_PER_COUNT: u32 = 4;

/// Body size up to which a request is taken while memory is short, as such bodies are not counted either.
const SMALL_BODY_BYTES: u64 = 32 << 10;

#[derive(Debug, Default)]
struct MonitorState {
    policy: LoadPolicy,
    load: HostLoad,
    /// Descriptors at the last count, and the connections of clients among them.
    counted: (usize, usize),
    resident: u64,
    lag: Duration,
}

/// Knows what a host is short of.
#[derive(Debug)]
pub struct LoadMonitor {
    limits: LoadLimits,
    buffers: Arc<BufferBudget>,
    metrics: Arc<EntryMetrics>,
    connections: AtomicUsize,
    state: Mutex<MonitorState>,
}

/// Counts a connection of a client until it is dropped.
#[derive(Debug)]
pub struct ConnectionGuard {
    monitor: Arc<LoadMonitor>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.monitor.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

impl LoadMonitor {
    pub(crate) fn new(
        limits: LoadLimits,
        buffers: Arc<BufferBudget>,
        metrics: Arc<EntryMetrics>,
    ) -> Arc<Self> {
        let (connections, state) = (AtomicUsize::new(0), Mutex::default());
        Arc::new(Self { limits, buffers, metrics, connections, state })
    }

    /// Samples for ever; not at all without a limit.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut number = 0;

        while self.limits.is_limited() {
            let began_at = Instant::now();
            sleep(SAMPLE_INTERVAL).await;
            let lag = began_at.elapsed().saturating_sub(SAMPLE_INTERVAL);
            let is_count_due = number % SAMPLES_PER_COUNT == 0;
            number = number.wrapping_add(1);
            let descriptors = if is_count_due { count_descriptors() } else { None };
            let resident = resident_bytes().unwrap_or_default();
            let connections = self.connections.load(Ordering::Relaxed);
            {
                let mut state = self.state.lock();
                (state.resident, state.lag) = (resident, lag);
                if let Some(descriptors) = descriptors {
                    state.counted = (descriptors, connections);
                }
            }
            self.update();
        }
    }

    /// Decides again what the host is short of.
    fn update(&self) -> HostLoad {
        let connections = self.connections.load(Ordering::Relaxed);
        let mut state = self.state.lock();
        let descriptors = (state.counted.0 + connections).saturating_sub(state.counted.1);
        let sample = LoadSample {
            taken_at: Instant::now(),
            buffers: self
                .limits
                .memory_bytes
                .map(|_| (self.buffers.used(), self.buffers.capacity())),
            resident: self.limits.memory_bytes.map(|it| (state.resident, it)),
            descriptors: self.limits.usable_descriptors().map(|it| (descriptors, it)),
            lag: state.lag,
        };
        let load = state.policy.update(&sample);
        let was = std::mem::replace(&mut state.load, load);
        drop(state);

        if (was.is_memory_short, was.descriptors) != (load.is_memory_short, load.descriptors) {
            log::warn!(
                buffers:? = sample.buffers, resident:? = sample.resident, descriptors:? = sample.descriptors,
                stalled_bytes = self.buffers.stalled_bytes(), lag_ms = sample.lag.as_millis() as u64, load:?;
                "the host has become overloaded, or less so"
            );
        }
        self.metrics.record_load(load, sample.lag, self.buffers.stalled_bytes());
        load
    }

    /// What the host is short of, as of the last decision.
    pub fn load(&self) -> HostLoad {
        self.state.lock().load
    }

    /// Limits of the host.
    pub fn limits(&self) -> LoadLimits {
        self.limits
    }

    /// Counts a new connection of a client, and returns whether its requests are served.
    pub fn open_connection(self: &Arc<Self>) -> (ConnectionGuard, bool) {
        self.connections.fetch_add(1, Ordering::Relaxed);
        let guard = ConnectionGuard { monitor: Arc::clone(self) };
        let is_served =
            !self.limits.is_limited() || self.update().descriptors != DescriptorSupply::Exhausted;
        (guard, is_served)
    }

    /// Why a request with a body of at least this size can't be taken, which is known before the body is read.
    pub fn refusal_of_body(&self, body_bytes: u64) -> Option<&'static str> {
        let is_short = self.load().is_memory_short && body_bytes > SMALL_BODY_BYTES;
        is_short.then_some("the buffers of this host are nearly full")
    }

    /// Why a request of another host can't be taken, if so. That host offers it to others.
    pub(crate) fn refusal_of_offer(&self, request: &EntryRequest) -> Option<&'static str> {
        if self.load().descriptors == DescriptorSupply::Exhausted {
            return Some("no descriptors are left");
        }
        self.refusal_of_body(request.body.len() as u64)
    }
}

fn count_descriptors() -> Option<usize> {
    Some(fs::read_dir("/proc/self/fd").ok()?.count())
}

fn resident_bytes() -> Option<u64> {
    let text = fs::read_to_string("/proc/self/status").ok()?;
    let line = text.lines().find_map(|it| it.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse::<u64>().ok().map(|it| it << 10)
}
