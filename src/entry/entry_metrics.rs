//! Metrics of an entry host. docs/METRICS.md lists them.

use std::time::Duration;

use eyre::Result;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram},
};

use crate::{
    entry::{
        host_load::{HostLoad, LoadMetrics},
        object_affinity::object_gain::ObjectPlace,
        placement_metrics::PlacementMetrics,
    },
    process::metrics_registry::MetricsRegistry,
};

/// Bucket boundaries of the latency histograms, in seconds.
pub(super) const LATENCY_BOUNDS_S: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 1.0, 2.0, 3.0, 5.0];

/// Instruments of one entry host's metrics, and the registry that exports them.
#[derive(Debug)]
pub(crate) struct EntryMetrics {
    registry: MetricsRegistry,
    requests: Counter<u64>,
    attempts: Counter<u64>,
    store_calls: Counter<u64>,
    tokens: Counter<u64>,
    journal_turns: Counter<u64>,
    first_event_time: Histogram<f64>,
    request_time: Histogram<f64>,
    queue_time: Histogram<f64>,
    journal_write_time: Histogram<f64>,
    config_version: Gauge<u64>,
    history_bytes: Gauge<u64>,
    offers: Counter<u64>,
    forwarded_requests: Counter<u64>,
    broken_streams: Counter<u64>,
    is_scheduler: Gauge<u64>,
    schedulers: Gauge<u64>,
    lost_services: Gauge<u64>,
    key_checks: Counter<u64>,
    teams: Gauge<u64>,
    quota_decisions: Counter<u64>,
    crashes: Counter<u64>,
    placements: PlacementMetrics,
    load: LoadMetrics,
}

impl EntryMetrics {
    pub(crate) fn new() -> Result<Self> {
        let registry = MetricsRegistry::new()?;
        let meter = registry.meter();

        let counter = |name: &'static str, description: &'static str| {
            meter.u64_counter(name).with_description(description).build()
        };
        let latency = |name: &'static str, description: &'static str| {
            meter
                .f64_histogram(name)
                .with_unit("s")
                .with_description(description)
                .with_boundaries(LATENCY_BOUNDS_S.to_vec())
                .build()
        };

        Ok(Self {
            requests: counter(
                "ragwortknot.entry.requests",
                "Requests that were answered, by route kind and outcome.",
            ),
            attempts: counter(
                "ragwortknot.entry.attempts",
                "Requests sent to upstreams, by service and result.",
            ),
            store_calls: counter(
                "ragwortknot.entry.store.calls",
                "Calls to the platform's store, by call and result.",
            ),
            tokens: counter("ragwortknot.entry.tokens", "Tokens that were handed to clients."),
            journal_turns: counter(
                "ragwortknot.entry.journal.turns",
                "Turns that were recorded in the store.",
            ),
            first_event_time: latency(
                "ragwortknot.entry.first.event",
                "Time from a request's arrival to the first event of its stream.",
            ),
            request_time: latency(
                "ragwortknot.entry.request",
                "Time from a request's arrival to the end of its answer.",
            ),
            queue_time: latency(
                "ragwortknot.entry.queue",
                "Time that a request waited for a place at an upstream.",
            ),
            journal_write_time: latency(
                "ragwortknot.entry.journal.write",
                "Time to record a batch of turns, with all tries.",
            ),
            config_version: meter
                .u64_gauge("ragwortknot.entry.config.version")
                .with_description("Version of the configuration in force.")
                .build(),
            history_bytes: meter
                .u64_gauge("ragwortknot.entry.history")
                .with_unit("By")
                .with_description("Bytes of turns in memory.")
                .build(),
            offers: counter(
                "ragwortknot.entry.offers",
                "Requests that were offered to schedulers, by result.",
            ),
            forwarded_requests: counter(
                "ragwortknot.entry.forwarded",
                "Forwarded requests that a scheduler has accepted, by outcome.",
            ),
            broken_streams: counter(
                "ragwortknot.entry.streams.broken",
                "Streams to clients that were closed before their end, by cause.",
            ),
            is_scheduler: meter
                .u64_gauge("ragwortknot.entry.scheduler")
                .with_description("1 on a scheduler, 0 on a gateway.")
                .build(),
            schedulers: meter
                .u64_gauge("ragwortknot.entry.schedulers")
                .with_description("Schedulers that a gateway knows, by whether they respond.")
                .build(),
            lost_services: meter
                .u64_gauge("ragwortknot.entry.reach.lost")
                .with_description("Services of which this host reaches no upstream.")
                .build(),
            key_checks: counter(
                "ragwortknot.entry.key.checks",
                "Requests whose key was checked, by outcome.",
            ),
            teams: meter
                .u64_gauge("ragwortknot.entry.teams")
                .with_description("Teams of the configuration in force.")
                .build(),
            quota_decisions: counter(
                "ragwortknot.entry.quota.decisions",
                "Requests of teams with a quota, and failed reports to quota owners, by result.",
            ),
            crashes: counter(
                "ragwortknot.entry.crashes",
                "Presumed crashes of upstreams under requests, by what became of them.",
            ),
            placements: PlacementMetrics::new(&registry),
            load: LoadMetrics::new(&registry),
            registry,
        })
    }

    pub(crate) fn count_key_check(&self, outcome: &'static str) {
        self.key_checks.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    pub(crate) fn record_teams(&self, count: usize) {
        self.teams.record(count as u64, &[]);
    }

    pub(crate) fn count_request(&self, kind: &'static str, outcome: String) {
        let attributes = [KeyValue::new("kind", kind), KeyValue::new("outcome", outcome)];
        self.requests.add(1, &attributes);
    }

    pub(crate) fn count_attempt(&self, service: &str, result: &'static str) {
        let attributes =
            [KeyValue::new("service", service.to_owned()), KeyValue::new("result", result)];
        self.attempts.add(1, &attributes);
    }

    pub(crate) fn count_store_call(&self, call: &'static str, is_answered: bool) {
        let result = if is_answered { "answered" } else { "failed" };
        self.store_calls.add(1, &[KeyValue::new("call", call), KeyValue::new("result", result)]);
    }

    /// Counts a decision on a request of a team with a quota. Teams are not told apart, since there may be 20,000.
    pub(crate) fn count_quota_decision(&self, result: &'static str) {
        self.quota_decisions.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts a presumed crash of an upstream, or what has become of one since.
    pub(crate) fn count_crash(&self, outcome: &'static str) {
        self.crashes.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    pub(crate) fn count_tokens(&self, tokens: u64) {
        self.tokens.add(tokens, &[]);
    }

    /// Counts an offer of a request to a scheduler.
    pub(crate) fn count_offer(&self, result: &'static str) {
        self.offers.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts a request that a scheduler has accepted, once its response begins or it is lost.
    pub(crate) fn count_forwarded(&self, outcome: &'static str) {
        self.forwarded_requests.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a request that got no place at an upstream. The reasons are texts of the code, so they are few.
    pub(crate) fn count_placement_refusal(&self, reason: &'static str) {
        self.placements.placement_refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a placed request about an object.
    pub(crate) fn count_object(&self, place: ObjectPlace) {
        let place = match place {
            ObjectPlace::Preferred => "preferred",
            ObjectPlace::Next => "next",
            ObjectPlace::Beside => "beside",
        };
        self.placements.object_placements.add(1, &[KeyValue::new("place", place)]);
    }

    /// Counts a stream that this host closes before its end. The client then has an incomplete response.
    pub(crate) fn count_broken_stream(&self, cause: &'static str) {
        self.broken_streams.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts a query to a dispatcher, or the reason for which none was sent.
    pub(crate) fn count_dispatch(&self, result: &'static str) {
        self.placements.dispatches.add(1, &[KeyValue::new("result", result)]);
    }

    pub(crate) fn record_dispatch_time(&self, time: Duration) {
        self.placements.dispatch_time.record(time.as_secs_f64(), &[]);
    }

    /// Counts a query of another scheduler.
    pub(crate) fn count_served_placement(&self, result: &'static str) {
        self.placements.served_placements.add(1, &[KeyValue::new("result", result)]);
    }

    pub(crate) fn record_role(&self, is_scheduler: bool) {
        self.is_scheduler.record(u64::from(is_scheduler), &[]);
    }

    pub(crate) fn record_schedulers(&self, responsive: usize, suspect: usize) {
        let state = |name: &'static str| [KeyValue::new("state", name)];
        self.schedulers.record(responsive as u64, &state("responsive"));
        self.schedulers.record(suspect as u64, &state("suspect"));
    }

    pub(crate) fn record_config_version(&self, version: u64) {
        self.config_version.record(version, &[]);
    }

    pub(crate) fn record_first_event_time(&self, time: Duration) {
        self.first_event_time.record(time.as_secs_f64(), &[]);
    }

    pub(crate) fn record_lost_services(&self, count: usize) {
        self.lost_services.record(count as u64, &[]);
    }

    pub(crate) fn record_slow_starts(&self, count: usize) {
        self.placements.slow_starts.record(count as u64, &[]);
    }

    pub(crate) fn record_full_memories(&self, count: usize) {
        self.placements.full_memories.record(count as u64, &[]);
    }

    pub(crate) fn record_history_bytes(&self, bytes: usize) {
        self.history_bytes.record(bytes as u64, &[]);
    }

    pub(crate) fn record_journal_write(&self, time: Duration, turns: usize) {
        self.journal_write_time.record(time.as_secs_f64(), &[]);
        self.journal_turns.add(turns as u64, &[]);
    }

    pub(crate) fn record_queue_time(&self, time: Duration) {
        self.queue_time.record(time.as_secs_f64(), &[]);
    }

    pub(crate) fn record_request_time(&self, time: Duration) {
        self.request_time.record(time.as_secs_f64(), &[]);
    }

    /// Records what the host is short of.
    pub(crate) fn record_load(&self, load: HostLoad, lag: Duration, stalled_bytes: usize) {
        self.load.record(load, lag, stalled_bytes);
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> Result<String> {
        self.registry.text()
    }
}
