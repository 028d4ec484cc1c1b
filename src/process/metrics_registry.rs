//! Registry of a host's metrics, exported in the Prometheus text format.

use eyre::Result;
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Name of the instrumentation scope.
const METER_NAME: &str = "ragwortknot";

/// Metrics of one host. Instruments of its meter are exported until the registry is dropped.
#[derive(Debug)]
pub(crate) struct MetricsRegistry {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl MetricsRegistry {
    pub(crate) fn new() -> Result<Self> {
        let registry = Registry::new();
        let exporter =
            opentelemetry_prometheus::exporter().with_registry(registry.clone()).build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    pub(crate) fn meter(&self) -> Meter {
        self.provider.meter(METER_NAME)
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> Result<String> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(String::from_utf8(text)?)
    }
}
