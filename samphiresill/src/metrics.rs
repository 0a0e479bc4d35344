//! Counters for operators, through OpenTelemetry, in the form that a scraper takes.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram};
use samphiresill_core::name::CustomerName;
use samphiresill_core::outcome::Outcome;
use samphiresill_telemetry::exposition::Exposition;

/// `Metrics` are the counters of one router.
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
    /// Makes the counters.
    ///
    /// # Errors
    /// When the exporter cannot be set up.
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

    /// Counts a request that has ended.
    pub fn ended(&self, customer: &CustomerName, outcome: Outcome, took: Duration) {
        let labels = [
            KeyValue::new("customer", customer.to_string()),
            KeyValue::new("outcome", outcome.to_string()),
        ];
        self.requests.add(1, &labels);
        self.duration.record(took.as_secs_f64(), &[]);
    }

    /// Counts a stream that was resumed.
    pub fn resumed(&self) {
        self.resumes.add(1, &[]);
    }

    /// Counts messages to other routers.
    pub fn sent_control(&self, messages: u64, bytes: u64) {
        self.control_messages.add(messages, &[]);
        self.control_bytes.add(bytes, &[]);
    }

    /// Everything counted, as text for a scraper.
    #[must_use]
    pub fn text(&self) -> String {
        let text = self.exposition.text().unwrap_or_else(|e| {
            log::warn!(error:% = e; "metrics not encoded");
            Vec::new()
        });
        String::from_utf8_lossy(&text).into_owned()
    }
}
