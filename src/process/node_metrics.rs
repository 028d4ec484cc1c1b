//! Metrics of a host, exported in the Prometheus text format. See docs/METRICS.md for a list of them and for alerts.

use std::time::Duration;

use eyre::Result;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, Meter},
};

use crate::{CellId, RequestOutcome, process::metrics_registry::MetricsRegistry};

/// Bucket boundaries of the latency histograms, in seconds.
const LATENCY_BUCKETS_S: [f64; 14] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 120.0];

/// Bucket boundaries of the histogram of program durations, in seconds.
const PROGRAM_BUCKETS_S: [f64; 10] =
    [0.5, 1.0, 5.0, 15.0, 60.0, 180.0, 600.0, 1_800.0, 3_600.0, 14_400.0];

fn counter(
    meter: &Meter,
    name: &'static str,
    unit: &'static str,
    help: &'static str,
) -> Counter<u64> {
    meter.u64_counter(name).with_unit(unit).with_description(help).build()
}

fn gauge(meter: &Meter, name: &'static str, help: &'static str) -> Gauge<u64> {
    meter.u64_gauge(name).with_description(help).build()
}

fn histogram(
    meter: &Meter,
    name: &'static str,
    help: &'static str,
    buckets: &[f64],
) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_unit("s")
        .with_description(help)
        .with_boundaries(buckets.to_vec())
        .build()
}

/// Counters, which only increase.
#[derive(Debug)]
struct TrafficCounters {
    requests: Counter<u64>,
    decisions: Counter<u64>,
    platform_calls: Counter<u64>,
    peer_bytes: Counter<u64>,
    log_batches: Counter<u64>,
    log_bytes: Counter<u64>,
    retries: Counter<u64>,
    prompt_tokens: Counter<u64>,
    cached_tokens: Counter<u64>,
    completion_tokens: Counter<u64>,
}

impl TrafficCounters {
    fn new(meter: &Meter) -> Self {
        Self {
            requests: counter(
                meter,
                "ragwortknot.requests",
                "",
                "Requests of callers that were answered, by operation and outcome.",
            ),
            decisions: counter(
                meter,
                "ragwortknot.decisions",
                "",
                "Decisions of this host's dispatchers, by cell and choice.",
            ),
            platform_calls: counter(
                meter,
                "ragwortknot.platform.calls",
                "",
                "Calls to the platform's object API, by call and result.",
            ),
            peer_bytes: counter(
                meter,
                "ragwortknot.peer",
                "By",
                "Bytes of messages between hosts, by class (control, request) and direction.",
            ),
            log_batches: counter(
                meter,
                "ragwortknot.log.batches",
                "",
                "Batches that this host has appended to shard logs.",
            ),
            log_bytes: counter(
                meter,
                "ragwortknot.log",
                "By",
                "Bytes that this host has appended to shard logs.",
            ),
            retries: counter(
                meter,
                "ragwortknot.retries",
                "",
                "Turns that were tried again on another upstream.",
            ),
            prompt_tokens: counter(
                meter,
                "ragwortknot.prompt.tokens",
                "",
                "Tokens of prompts, as engines counted them.",
            ),
            cached_tokens: counter(
                meter,
                "ragwortknot.cached.tokens",
                "",
                "Tokens of prompts that engines had cached.",
            ),
            completion_tokens: counter(
                meter,
                "ragwortknot.completion.tokens",
                "",
                "Tokens of answers, as engines counted them.",
            ),
        }
    }
}

/// Histograms of latencies that callers notice, in seconds.
#[derive(Debug)]
struct LatencyHistograms {
    first_token: Histogram<f64>,
    turn_time: Histogram<f64>,
    program_time: Histogram<f64>,
}

impl LatencyHistograms {
    fn new(meter: &Meter) -> Self {
        Self {
            first_token: histogram(
                meter,
                "ragwortknot.first.token",
                "Time from a turn's arrival at its owner to the first token.",
                &LATENCY_BUCKETS_S,
            ),
            turn_time: histogram(
                meter,
                "ragwortknot.turn",
                "Time from a turn's arrival at its owner to its durable end.",
                &LATENCY_BUCKETS_S,
            ),
            program_time: histogram(
                meter,
                "ragwortknot.program",
                "Time from a program's creation to its end.",
                &PROGRAM_BUCKETS_S,
            ),
        }
    }
}

/// Gauges of the host's current state.
#[derive(Debug)]
struct StateGauges {
    queue_age: Gauge<f64>,
    queue_length: Gauge<u64>,
    open_programs: Gauge<u64>,
    owned_shards: Gauge<u64>,
    config_number: Gauge<u64>,
}

impl StateGauges {
    fn new(meter: &Meter) -> Self {
        Self {
            queue_age: meter
                .f64_gauge("ragwortknot.queue.age")
                .with_unit("s")
                .with_description("Age of the oldest waiting request, by cell.")
                .build(),
            queue_length: gauge(meter, "ragwortknot.queue.length", "Requests that wait, by cell."),
            open_programs: gauge(
                meter,
                "ragwortknot.programs.open",
                "Programs that live in this host's shards.",
            ),
            owned_shards: gauge(meter, "ragwortknot.shards.owned", "Shards that this host owns."),
            config_number: gauge(
                meter,
                "ragwortknot.config.number",
                "Number of the configuration in force on this host.",
            ),
        }
    }
}

/// Counters, gauges and histograms of one host. Hosts that run in the same process don't share them.
#[derive(Debug)]
pub(crate) struct NodeMetrics {
    registry: MetricsRegistry,
    counters: TrafficCounters,
    histograms: LatencyHistograms,
    gauges: StateGauges,
}

impl NodeMetrics {
    pub(crate) fn new() -> Result<Self> {
        let registry = MetricsRegistry::new()?;
        let meter = registry.meter();

        Ok(Self {
            counters: TrafficCounters::new(&meter),
            histograms: LatencyHistograms::new(&meter),
            gauges: StateGauges::new(&meter),
            registry,
        })
    }

    pub(crate) fn count_decision(&self, cell: &CellId, choice: &'static str) {
        let attributes = [KeyValue::new("cell", cell.to_string()), KeyValue::new("choice", choice)];
        self.counters.decisions.add(1, &attributes);
    }

    pub(crate) fn count_log_batch(&self, bytes: usize) {
        self.counters.log_batches.add(1, &[]);
        self.counters.log_bytes.add(bytes as u64, &[]);
    }

    pub(crate) fn count_peer_bytes(&self, is_control: bool, direction: &'static str, bytes: u64) {
        let class = if is_control { "control" } else { "request" };
        let attributes = [KeyValue::new("class", class), KeyValue::new("direction", direction)];
        self.counters.peer_bytes.add(bytes, &attributes);
    }

    /// Counts a call to the platform. `call` names the operation; without an answer the call has failed.
    pub(crate) fn count_platform_call(&self, call: &'static str, is_answered: bool) {
        let result = if is_answered { "answered" } else { "failed" };
        let attributes = [KeyValue::new("call", call), KeyValue::new("result", result)];
        self.counters.platform_calls.add(1, &attributes);
    }

    pub(crate) fn count_request(&self, operation: &'static str, outcome: RequestOutcome) {
        let attributes =
            [KeyValue::new("operation", operation), KeyValue::new("outcome", outcome.to_string())];
        self.counters.requests.add(1, &attributes);
    }

    /// Counts a turn that is retried on another upstream.
    pub(crate) fn count_retry(&self) {
        self.counters.retries.add(1, &[]);
    }

    pub(crate) fn count_tokens(&self, usage: crate::TokenUsage) {
        self.counters.prompt_tokens.add(usage.prompt, &[]);
        self.counters.cached_tokens.add(usage.cached, &[]);
        self.counters.completion_tokens.add(usage.completion, &[]);
    }

    pub(crate) fn record_config_number(&self, number: u64) {
        self.gauges.config_number.record(number, &[]);
    }

    /// Records the time from a turn's arrival at its owner to its first token.
    pub(crate) fn record_first_token(&self, time: Duration) {
        self.histograms.first_token.record(time.as_secs_f64(), &[]);
    }

    /// Records the number of shards that this host owns, and of open programs in them.
    pub(crate) fn record_owned(&self, shards: usize, programs: usize) {
        self.gauges.owned_shards.record(shards as u64, &[]);
        self.gauges.open_programs.record(programs as u64, &[]);
    }

    /// Records the time from a program's creation to its end.
    pub(crate) fn record_program(&self, time: Duration) {
        self.histograms.program_time.record(time.as_secs_f64(), &[]);
    }

    /// Records the age of a cell's oldest queued request and the number of queued requests.
    pub(crate) fn record_queue(&self, cell: &CellId, age_ms: u64, length: usize) {
        let attributes = [KeyValue::new("cell", cell.to_string())];
        self.gauges.queue_age.record(age_ms as f64 / 1_000.0, &attributes);
        self.gauges.queue_length.record(length as u64, &attributes);
    }

    /// Records the time from a turn's arrival at its owner to its durable end.
    pub(crate) fn record_turn(&self, time: Duration) {
        self.histograms.turn_time.record(time.as_secs_f64(), &[]);
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> Result<String> {
        self.registry.text()
    }
}
