//! Metrics of placements on upstreams. docs/METRICS.md lists them.

use opentelemetry::metrics::{Counter, Gauge, Histogram};

use crate::{entry::entry_metrics::LATENCY_BOUNDS_S, process::metrics_registry::MetricsRegistry};

/// Instruments of the placement pool and of the region's dispatchers.
#[derive(Debug)]
pub(super) struct PlacementMetrics {
    pub(super) placement_refusals: Counter<u64>,
    pub(super) object_placements: Counter<u64>,
    pub(super) dispatches: Counter<u64>,
    pub(super) dispatch_time: Histogram<f64>,
    pub(super) served_placements: Counter<u64>,
    pub(super) slow_starts: Gauge<u64>,
    pub(super) full_memories: Gauge<u64>,
}

impl PlacementMetrics {
    pub(super) fn new(registry: &MetricsRegistry) -> Self {
        let meter = registry.meter();

        let counter = |name: &'static str, description: &'static str| {
            meter.u64_counter(name).with_description(description).build()
        };
        let gauge = |name: &'static str, description: &'static str| {
            meter.u64_gauge(name).with_description(description).build()
        };

        Self {
            placement_refusals: counter(
                "ragwortknot.entry.placement.refusals",
                "Requests that got no place at an upstream, by reason.",
            ),
            object_placements: counter(
                "ragwortknot.entry.object.placements",
                "Requests about objects that were placed, by the upstream's place in the object's order.",
            ),
            dispatches: counter(
                "ragwortknot.entry.dispatches",
                "Queries to the region's dispatchers, by result.",
            ),
            dispatch_time: meter
                .f64_histogram("ragwortknot.entry.dispatch")
                .with_unit("s")
                .with_description(
                    "Time from a query to a dispatcher to its grant, with the wait in its queue.",
                )
                .with_boundaries(LATENCY_BOUNDS_S.to_vec())
                .build(),
            served_placements: counter(
                "ragwortknot.entry.placements.served",
                "Queries of other schedulers that this host has served as a dispatcher, by result.",
            ),
            slow_starts: gauge(
                "ragwortknot.entry.slow.starts",
                "Upstreams that have just started or failed and get few requests.",
            ),
            full_memories: gauge(
                "ragwortknot.entry.memory.full",
                "Upstreams whose memory this host's requests nearly fill.",
            ),
        }
    }
}
