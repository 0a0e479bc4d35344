//! Counters and latency histograms, through OpenTelemetry, in the form that a scraper takes.
//!
//! Labels have few values each: kinds of requests, outcomes and reasons, never names.

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use http_body_util::Full;
use hyper::{Response, StatusCode};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter};
use samphiresill_core::routing::RequestKind;
use samphiresill_telemetry::exposition::Exposition;

use crate::responder::{self, Answer};

/// Bounds of the buckets of latencies, in seconds.
const BUCKETS_S: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0,
];

/// `End` is how a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum End {
    /// A target's answer was passed on whole.
    #[display("served")]
    Served,
    /// A target's own failure was passed on.
    #[display("target_failure")]
    TargetFailure,
    /// Refused for lack of capacity.
    #[display("refused")]
    Refused,
    /// Refused because this router's processor is overloaded.
    #[display("overloaded")]
    Overloaded,
    /// The answer of a target was lost, or broke off.
    #[display("lost")]
    Lost,
    /// The time was up.
    #[display("time_up")]
    TimeUp,
}

/// `PlacedBy` is which gateway has decided on the placement of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum PlacedBy {
    /// This gateway, which is a scheduler.
    #[display("own")]
    Own,
    /// A scheduler that was asked.
    #[display("scheduler")]
    Scheduler,
    /// This gateway, because no scheduler replied in time.
    #[display("fallback")]
    Fallback,
}

/// `Metrics` are the counters of one gateway.
#[derive(Debug)]
pub struct Metrics {
    exposition: Exposition,
    requests: Counter<u64>,
    not_admitted: Counter<u64>,
    attempts_failed: Counter<u64>,
    placements: Counter<u64>,
    first_event: Histogram<f64>,
    whole: Histogram<f64>,
    queueing: Histogram<f64>,
    streams: Gauge<u64>,
    stream_limit: Gauge<f64>,
    revision: Gauge<u64>,
    targets: Gauge<u64>,
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
            requests: meter.u64_counter("gateway_requests").build(),
            not_admitted: meter.u64_counter("gateway_not_admitted").build(),
            attempts_failed: meter.u64_counter("gateway_attempts_failed").build(),
            placements: meter.u64_counter("gateway_placements").build(),
            first_event: histogram(&meter, "gateway_first_event_seconds"),
            whole: histogram(&meter, "gateway_request_seconds"),
            queueing: histogram(&meter, "gateway_queueing_seconds"),
            streams: meter.u64_gauge("gateway_streams").build(),
            stream_limit: meter.f64_gauge("gateway_stream_limit").build(),
            revision: meter.u64_gauge("gateway_configuration_revision").build(),
            targets: meter.u64_gauge("gateway_targets").build(),
        })
    }

    /// Counts a request that has ended after `took`.
    pub fn ended(&self, exchange: RequestKind, end: End, took: Duration) {
        let kind = KeyValue::new("kind", kind(exchange));
        let labels = [kind.clone(), KeyValue::new("end", end.to_string())];
        self.requests.add(1, &labels);
        self.whole.record(took.as_secs_f64(), &[kind]);
    }

    /// Counts a request that was not admitted.
    pub fn not_admitted(&self, status: StatusCode) {
        let label = [KeyValue::new("status", i64::from(status.as_u16()))];
        self.not_admitted.add(1, &label);
    }

    /// Counts a decision on the placement of a request, refusals included.
    pub fn placed(&self, placer: PlacedBy) {
        let label = [KeyValue::new("by", placer.to_string())];
        self.placements.add(1, &label);
    }

    /// Counts a failed attempt at a target.
    pub fn attempt_failed(&self, point: &str) {
        let label = [KeyValue::new("point", point.to_owned())];
        self.attempts_failed.add(1, &label);
    }

    /// Takes in the time to the first event of a stream.
    pub fn first_event(&self, took: Duration) {
        self.first_event.record(took.as_secs_f64(), &[]);
    }

    /// Takes in how long a request was queued in the router.
    pub fn queued(&self, took: Duration) {
        self.queueing.record(took.as_secs_f64(), &[]);
    }

    /// Takes in the streams that are relayed, and how many may be.
    pub fn streams(&self, streams: usize, limit: f64) {
        self.streams.record(streams as u64, &[]);
        self.stream_limit.record(limit, &[]);
    }

    /// Takes in the revision in force and the number of targets known.
    pub fn knowledge(&self, revision: u64, targets: usize) {
        self.revision.record(revision, &[]);
        self.targets.record(targets as u64, &[]);
    }

    /// Everything counted, as an answer for a scraper.
    #[must_use]
    pub fn answer(&self) -> Answer {
        match self.exposition.text() {
            Ok(text) => Response::new(Full::new(Bytes::from(text))),
            Err(e) => {
                log::warn!(error:% = e; "metrics not encoded");
                responder::empty(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }
}

fn histogram(meter: &Meter, name: &'static str) -> Histogram<f64> {
    let histogram = meter.f64_histogram(name).with_unit("s");
    histogram.with_boundaries(BUCKETS_S.to_vec()).build()
}

fn kind(exchange: RequestKind) -> &'static str {
    match exchange {
        RequestKind::Idempotent => "idempotent",
        RequestKind::NonIdempotent => "non_idempotent",
        RequestKind::Generation { .. } => "generation",
    }
}
