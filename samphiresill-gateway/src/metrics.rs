//! Counters, gauges and latency histograms, recorded through OpenTelemetry and exposed to scrapers.
//!
//! Labels have low cardinality: kinds of requests, outcomes and reasons, but never names.

mod evenness;

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use http_body_util::Full;
use hyper::{Response, StatusCode};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter};
use samphiresill_core::name::SoftwareVersion;
use samphiresill_core::routing::RequestKind;
use samphiresill_sched::fleet::balance::evenness::Summary;
use samphiresill_telemetry::exposition::Exposition;

use self::evenness::EvennessGauges;
use crate::customer_log::RefusedBy;
use crate::relay::framing::Framing;
use crate::responder::{self, FullResponse};

/// Bucket boundaries of latency histograms, in seconds.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0,
];

/// `Outcome` is how a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Outcome {
    /// The response of a target was delivered completely.
    #[display("served")]
    Served,
    /// An error response of the target was passed on.
    #[display("target_failure")]
    TargetFailure,
    /// Refused because no capacity was available.
    #[display("refused")]
    Refused,
    /// Refused because this router's processor is overloaded.
    #[display("overloaded")]
    Overloaded,
    /// The response of a target was lost or truncated.
    #[display("lost")]
    Lost,
    /// The deadline of the request passed.
    #[display("time_up")]
    TimeUp,
}

/// `PlacedBy` is which gateway decided on the placement of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum PlacedBy {
    /// This gateway, as a scheduler.
    #[display("own")]
    Own,
    /// Another gateway that is a scheduler.
    #[display("scheduler")]
    Scheduler,
    /// This gateway, because no scheduler replied in time.
    #[display("fallback")]
    Fallback,
}

/// `ContinuedBy` is who resumed a stream of events that had begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum ContinuedBy {
    /// Its caller, with another request.
    #[display("caller")]
    Caller,
    /// This router, within one response.
    #[display("router")]
    Router,
}

/// `VersionMatch` is how the software version of a run compares with that which began the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum VersionMatch {
    /// They are the same.
    #[display("same")]
    Same,
    /// They differ.
    #[display("other")]
    Other,
    /// One of them is not known.
    #[display("unknown")]
    Unknown,
}

impl VersionMatch {
    /// Compares the version that began a stream with that of another run.
    #[must_use]
    pub fn of(began: Option<&SoftwareVersion>, run: Option<&SoftwareVersion>) -> Self {
        match (began, run) {
            (Some(began), Some(run)) if began == run => Self::Same,
            (Some(_), Some(_)) => Self::Other,
            _ => Self::Unknown,
        }
    }
}

/// `StreamEnd` is how a stream of events ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamEnd {
    /// Framing of the body of the last run.
    pub framing: Framing,
    /// Whether the stream ended as complete towards the caller.
    pub is_complete: bool,
    /// Whether the last bytes from the target belong to an incomplete event.
    pub is_within_event: bool,
}

/// `Metrics` are the instruments of one gateway.
#[derive(Debug)]
pub struct Metrics {
    exposition: Exposition,
    requests: Counter<u64>,
    refused_tokens: Counter<u64>,
    not_admitted: Counter<u64>,
    attempts_failed: Counter<u64>,
    placements: Counter<u64>,
    stream_ends: Counter<u64>,
    continuations: Counter<u64>,
    crashes: Counter<u64>,
    quarantined: Gauge<u64>,
    limited_responses: Counter<u64>,
    callers_cut_off: Counter<u64>,
    limited_targets: Gauge<u64>,
    cold_targets: Gauge<u64>,
    cold_diversions: Counter<u64>,
    first_event_time: Histogram<f64>,
    request_time: Histogram<f64>,
    queueing_time: Histogram<f64>,
    streams: Gauge<u64>,
    stream_limit: Gauge<f64>,
    revision: Gauge<u64>,
    targets: Gauge<u64>,
    evacuated_domains: Gauge<u64>,
    task_restarts: Counter<u64>,
    evenness: EvennessGauges,
}

impl Metrics {
    /// Creates the instruments.
    ///
    /// # Errors
    /// When the exporter cannot be set up.
    pub fn new() -> anyhow::Result<Self> {
        let exposition = Exposition::new()?;
        let meter = exposition.meter();
        Ok(Self {
            exposition,
            requests: meter.u64_counter("gateway_requests").build(),
            refused_tokens: meter.u64_counter("gateway_refused_tokens").build(),
            not_admitted: meter.u64_counter("gateway_not_admitted").build(),
            attempts_failed: meter.u64_counter("gateway_attempts_failed").build(),
            placements: meter.u64_counter("gateway_placements").build(),
            stream_ends: meter.u64_counter("gateway_stream_ends").build(),
            continuations: meter.u64_counter("gateway_stream_continuations").build(),
            crashes: meter.u64_counter("gateway_target_crashes").build(),
            quarantined: meter.u64_gauge("gateway_quarantined_parts").build(),
            limited_responses: meter.u64_counter("gateway_limited_responses").build(),
            callers_cut_off: meter.u64_counter("gateway_callers_cut_off").build(),
            limited_targets: meter.u64_gauge("gateway_limited_targets").build(),
            cold_targets: meter.u64_gauge("gateway_cold_targets").build(),
            cold_diversions: meter.u64_counter("gateway_cold_diversions").build(),
            first_event_time: histogram(&meter, "gateway_first_event_seconds"),
            request_time: histogram(&meter, "gateway_request_seconds"),
            queueing_time: histogram(&meter, "gateway_queueing_seconds"),
            streams: meter.u64_gauge("gateway_streams").build(),
            stream_limit: meter.f64_gauge("gateway_stream_limit").build(),
            revision: meter.u64_gauge("gateway_configuration_revision").build(),
            targets: meter.u64_gauge("gateway_targets").build(),
            evacuated_domains: meter.u64_gauge("gateway_evacuated_domains").build(),
            task_restarts: meter.u64_counter("gateway_task_restarts").build(),
            evenness: EvennessGauges::new(&meter),
        })
    }

    /// Counts a request that ended after `took`.
    pub fn record_request(&self, request_kind: RequestKind, outcome: Outcome, took: Duration) {
        let kind = KeyValue::new("kind", kind_label(request_kind));
        let labels = [kind.clone(), KeyValue::new("end", outcome.to_string())];
        self.requests.add(1, &labels);
        self.request_time.record(took.as_secs_f64(), &[kind]);
    }

    /// Counts the weighted tokens of a refused request to a model engine.
    pub fn record_refused_tokens(&self, by: RefusedBy, tokens: u64) {
        let label = [KeyValue::new("by", by.to_string())];
        self.refused_tokens.add(tokens, &label);
    }

    /// Counts a request that was rejected before it was forwarded.
    pub fn record_not_admitted(&self, status: StatusCode) {
        let label = [KeyValue::new("status", i64::from(status.as_u16()))];
        self.not_admitted.add(1, &label);
    }

    /// Counts a placement decision, including refusals.
    pub fn record_placement(&self, placer: PlacedBy) {
        let label = [KeyValue::new("by", placer.to_string())];
        self.placements.add(1, &label);
    }

    /// Counts a failed attempt to send a request to a target.
    pub fn record_failed_attempt(&self, point: &str) {
        let label = [KeyValue::new("point", point.to_owned())];
        self.attempts_failed.add(1, &label);
    }

    /// Counts the end of a stream.
    pub fn record_stream_end(&self, end: StreamEnd) {
        let labels = [
            KeyValue::new("framing", end.framing.to_string()),
            KeyValue::new("complete", end.is_complete),
            KeyValue::new("within_event", end.is_within_event),
        ];
        self.stream_ends.add(1, &labels);
    }

    /// Counts a run that goes on with a stream.
    pub fn record_continuation(&self, by: ContinuedBy, version: VersionMatch) {
        let labels = [
            KeyValue::new("by", by.to_string()),
            KeyValue::new("version", version.to_string()),
        ];
        self.continuations.add(1, &labels);
    }

    /// Counts a crash of a target during runs of this gateway.
    pub fn record_crash(&self) {
        self.crashes.add(1, &[]);
    }

    /// Records the number of prompt parts whose requests are refused.
    pub fn record_quarantined(&self, parts: usize) {
        self.quarantined.record(parts as u64, &[]);
    }

    /// Counts a response whose target names a limit on the requests to it.
    pub fn record_limited_response(&self) {
        self.limited_responses.add(1, &[]);
    }

    /// Counts a caller that was cut off because it read nothing.
    pub fn record_cut_off(&self) {
        self.callers_cut_off.add(1, &[]);
    }

    /// Records the number of targets that name such a limit.
    pub fn record_limited_targets(&self, targets: usize) {
        self.limited_targets.record(targets as u64, &[]);
    }

    /// Records the number of cold targets.
    pub fn record_cold_targets(&self, targets: usize) {
        self.cold_targets.record(targets as u64, &[]);
    }

    /// Counts requests that the limit of a cold target sent elsewhere, delayed or refused.
    pub fn record_cold_diversions(&self, requests: u64) {
        self.cold_diversions.add(requests, &[]);
    }

    /// Records the time to the first event of a stream.
    pub fn record_first_event(&self, took: Duration) {
        self.first_event_time.record(took.as_secs_f64(), &[]);
    }

    /// Records how long a request was queued in the router.
    pub fn record_queueing(&self, took: Duration) {
        self.queueing_time.record(took.as_secs_f64(), &[]);
    }

    /// Records the number of streams in flight and the stream limit.
    pub fn record_streams(&self, streams: usize, limit: f64) {
        self.streams.record(streams as u64, &[]);
        self.stream_limit.record(limit, &[]);
    }

    /// Records the revision of the configuration in force and the number of known targets.
    pub fn record_routing_state(&self, revision: u64, targets: usize) {
        self.revision.record(revision, &[]);
        self.targets.record(targets as u64, &[]);
    }

    /// Records the number of failure domains whose targets get no requests.
    pub fn record_evacuated_domains(&self, domains: usize) {
        self.evacuated_domains.record(domains as u64, &[]);
    }

    /// Records how evenly the targets are loaded, of the services in `summaries` the worst.
    pub fn record_evenness<'a>(&self, summaries: impl Iterator<Item = &'a Summary>) {
        self.evenness.record(summaries);
    }

    /// Returns the counter of tasks that were started again.
    #[must_use]
    pub fn task_restarts(&self) -> Counter<u64> {
        self.task_restarts.clone()
    }

    /// Renders all instruments as the response to a scrape.
    #[must_use]
    pub fn scrape(&self) -> FullResponse {
        match self.exposition.text() {
            Ok(text) => Response::new(Full::new(Bytes::from(text))),
            Err(e) => {
                log::warn!(error:% = e; "failed to encode metrics");
                responder::empty(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }
}

fn histogram(meter: &Meter, name: &'static str) -> Histogram<f64> {
    let histogram = meter.f64_histogram(name).with_unit("s");
    histogram
        .with_boundaries(LATENCY_BUCKETS_S.to_vec())
        .build()
}

fn kind_label(request_kind: RequestKind) -> &'static str {
    match request_kind {
        RequestKind::Idempotent => "idempotent",
        RequestKind::NonIdempotent => "non_idempotent",
        RequestKind::Generation { .. } => "generation",
    }
}
