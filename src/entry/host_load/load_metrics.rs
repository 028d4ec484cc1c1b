//! Metrics of what a host is short of.

use opentelemetry::{KeyValue, metrics::Gauge};
use tokio::time::Duration;

use crate::{
    entry::host_load::{DescriptorSupply, HostLoad},
    process::metrics_registry::MetricsRegistry,
};

/// Instruments of the host's load.
#[derive(Debug)]
pub(crate) struct LoadMetrics {
    shortages: Gauge<u64>,
    stalled_bytes: Gauge<u64>,
    timer_lag: Gauge<f64>,
}

impl LoadMetrics {
    pub(crate) fn new(registry: &MetricsRegistry) -> Self {
        let meter = registry.meter();

        Self {
            shortages: meter
                .u64_gauge("ragwortknot.entry.load.short")
                .with_description("1 while the host is short of a resource, by resource.")
                .build(),
            stalled_bytes: meter
                .u64_gauge("ragwortknot.entry.load.stalled")
                .with_unit("By")
                .with_description("Bytes that are counted for streams whose clients don't read.")
                .build(),
            timer_lag: meter
                .f64_gauge("ragwortknot.entry.load.lag")
                .with_unit("s")
                .with_description("Time by which the last timer of the host fired late.")
                .build(),
        }
    }

    pub(crate) fn record(&self, load: HostLoad, lag: Duration, stalled_bytes: usize) {
        let resources = [
            ("memory", load.is_memory_short),
            ("descriptors", load.descriptors > DescriptorSupply::Ample),
            ("processor", load.is_late),
        ];

        for (resource, is_short) in resources {
            self.shortages.record(u64::from(is_short), &[KeyValue::new("resource", resource)]);
        }
        self.stalled_bytes.record(stalled_bytes as u64, &[]);
        self.timer_lag.record(lag.as_secs_f64(), &[]);
    }
}
