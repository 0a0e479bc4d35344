//! OpenTelemetry metrics of a process, exported in the Prometheus text exposition format.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// OpenTelemetry instrumentation scope of all metrics of this project.
const SCOPE: &str = "samphiresill";

/// `Exposition` creates metric instruments and exports their values.
#[derive(Debug)]
pub struct Exposition {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Exposition {
    /// Creates an empty registry and its exporter.
    ///
    /// # Errors
    /// When the exporter cannot be set up.
    pub fn new() -> anyhow::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// Returns the meter that creates the instruments of the process.
    #[must_use]
    pub fn meter(&self) -> Meter {
        self.provider.meter(SCOPE)
    }

    /// Encodes the current values of all metrics in the Prometheus text format.
    ///
    /// # Errors
    /// When the metrics cannot be encoded.
    pub fn text(&self) -> anyhow::Result<Vec<u8>> {
        let mut buf = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buf)?;
        Ok(buf)
    }
}
