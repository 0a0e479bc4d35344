//! Metrics of a router, recorded through OpenTelemetry and exported in the Prometheus text format.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram};
use samphiresill_core::name::CustomerName;
use samphiresill_core::outcome::Outcome;
use samphiresill_telemetry::exposition::Exposition;

/// `Metrics` are the counters and histograms of one router.
#[derive(Debug)]
pub struct Metrics {
    exposition: Exposition,
    requests: Counter<u64>,
    resumes: Counter<u64>,
    duration: Histogram<f64>,
    control_bytes: Counter<u64>,
    control_messages: Counter<u64>,
}

impl Metrics {
    /// Registers the instruments.
    ///
    /// # Errors
    /// If the exporter cannot be set up.
    pub fn new() -> anyhow::Result<Self> {
        let exposition = Exposition::new()?;
        let meter = exposition.meter();
        Ok(Self {
            exposition,
            requests: meter.u64_counter("samphiresill_requests").build(),
            resumes: meter.u64_counter("samphiresill_stream_resumes").build(),
            duration: meter.f64_histogram("samphiresill_request_seconds").build(),
            control_bytes: meter.u64_counter("samphiresill_control_sent_bytes").build(),
            control_messages: meter
                .u64_counter("samphiresill_control_sent_messages")
                .build(),
        })
    }

    /// Counts a completed request and records its duration.
    pub fn record_request(&self, customer: &CustomerName, outcome: Outcome, duration: Duration) {
        let labels = [
            KeyValue::new("customer", customer.to_string()),
            KeyValue::new("outcome", outcome.to_string()),
        ];
        self.requests.add(1, &labels);
        self.duration.record(duration.as_secs_f64(), &[]);
    }

    /// Counts the resumption of a stream.
    pub fn record_resume(&self) {
        self.resumes.add(1, &[]);
    }

    /// Counts messages sent to other routers.
    pub fn record_control_sent(&self, messages: u64, bytes: u64) {
        self.control_messages.add(messages, &[]);
        self.control_bytes.add(bytes, &[]);
    }

    /// Encodes all metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> String {
        let text = self.exposition.text().unwrap_or_else(|e| {
            log::warn!(error:% = e; "cannot encode metrics");
            Vec::new()
        });
        String::from_utf8_lossy(&text).into_owned()
    }
}
