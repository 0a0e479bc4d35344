//! Metrics of one process, through OpenTelemetry, in Prometheus' text form.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Name of the instrumentation scope.
const SCOPE: &str = "samphiresill";

/// `Exposition` makes instruments and writes what they have measured.
#[derive(Debug)]
pub struct Exposition {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Exposition {
    /// Sets up the exporter.
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

    /// Makes the instruments of the process.
    #[must_use]
    pub fn meter(&self) -> Meter {
        self.provider.meter(SCOPE)
    }

    /// Everything measured, as text for a scraper.
    ///
    /// # Errors
    /// When the text cannot be written.
    pub fn text(&self) -> anyhow::Result<Vec<u8>> {
        let mut buf = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buf)?;
        Ok(buf)
    }
}
