//! What a stream reports of itself: to the fleet load, the metrics and the log.

use std::time::Duration;

use samphiresill_sched::fleet::event::RunResult;
use samphiresill_sched::fleet::streams::StreamId;

use super::{COMPLETE, EventStream, State};
use crate::log_budget::Kind;
use crate::metrics::{ContinuedBy, Outcome, StreamEnd, VersionMatch};
use crate::relay::framing::Framing;

/// Interval at which progress of a stream is reported to the fleet load: short compared with the
/// time after which a target counts as stalled.
const PROGRESS_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Time before the deadline from which on a caller that leaves counts as one that ran out of time:
/// its own clock started before the request arrived here.
const CALLER_DEADLINE_MARGIN: Duration = Duration::from_millis(50);

impl EventStream {
    /// Records that the deadline has passed, unless the target had stalled before.
    pub(super) fn record_time_up(&mut self, now: Duration) {
        let is_progressing = now.saturating_sub(self.progress_at) < self.pause() * 2;
        if let State::Relaying { run, .. } = &mut self.state
            && self.first_at.is_some()
            && is_progressing
        {
            run.set_result(RunResult::TimeUp);
        }
    }

    /// Reports the intervals between events to the fleet load, while the run is counted.
    pub(super) fn report_event_intervals(&self) {
        let State::Relaying { run, .. } = &self.state else {
            return;
        };
        let now = self.gateway.clock.monotonic();
        let mut fleet_load = self.gateway.fleet_load();
        if let Some(interval) = self.pace.interval() {
            fleet_load.record_event_interval(&run.placement, interval, now);
        }
        let longest = self.pace.longest;
        let objective = self.ctx.route.event_interval_objective;
        if objective.is_some_and(|objective| longest > objective) {
            fleet_load.record_long_pause(&run.placement, longest, now);
        }
    }

    pub(super) fn record_outcome(&self, outcome: Outcome, took: Duration) {
        let request_kind = self.ctx.route.request_kind;
        self.gateway
            .metrics
            .record_request(request_kind, outcome, took);
    }

    /// Records that the stream holds its first event, so that others know where it may go on.
    pub(super) fn record_begin(&mut self) {
        let State::Relaying { run, attempts, .. } = &mut self.state else {
            return;
        };
        self.version.clone_from(&run.version);
        attempts.record_begin(run.version.as_ref());
        if self.ctx.is_continuation() {
            let metrics = &self.gateway.metrics;
            metrics.record_continuation(ContinuedBy::Caller, VersionMatch::Same);
        } else if let Some(version) = run.version.as_ref().filter(|_| self.is_resumable) {
            let now = self.gateway.clock.monotonic();
            let stream = StreamId::of(&self.ctx.request);
            let mut fleet_load = self.gateway.fleet_load();
            fleet_load.record_stream(stream, &run.placement.target, version, now);
        }
    }

    pub(super) fn record_progress(&mut self) {
        let now = self.gateway.clock.monotonic();
        self.progress_at = now;
        if self.first_at.is_none() {
            self.record_begin();
            self.first_at = Some(now);
            let took = now.saturating_sub(self.ctx.started);
            self.gateway.metrics.record_first_event(took);
            if let Some((customer, cost)) = self.ctx.customer_cost() {
                self.gateway.customer_log.record_begin(customer, cost);
            }
        }
        let is_due = self
            .reported_at
            .is_none_or(|at| now.saturating_sub(at) >= PROGRESS_REPORT_INTERVAL);
        if let State::Relaying { run, .. } = &self.state
            && is_due
        {
            self.reported_at = Some(now);
            self.gateway.fleet_load().progress(&run.placement, now);
        }
    }

    /// Counts and logs the end of the stream, with what shows whether it was complete.
    pub(super) fn log_end(&self, end: &str) {
        let is_complete = end == COMPLETE;
        let is_within_event = self.boundary.is_within_event();
        self.gateway.metrics.record_stream_end(StreamEnd {
            framing: self.framing,
            is_complete,
            is_within_event,
        });
        let kind = match self.framing {
            _ if !is_complete => Kind::Failed,
            Framing::Close => Kind::ServedUnframed,
            Framing::Chunked | Framing::Length => Kind::Served,
        };
        if !self.gateway.log_budget.allows(kind) {
            return;
        }
        let target = &self.placement.target;
        let estimate = self.placement.estimate.unwrap_or_default();
        let now = self.gateway.clock.monotonic();
        let since = |at: Duration| at.saturating_sub(self.ctx.started).as_millis() as u64;
        log::info!(
            request:% = self.ctx.request, route = &*self.ctx.route.name,
            target:%, end, events = self.events, framing:% = self.framing,
            is_within_event, is_resumable = self.is_resumable, attempts = self.runs,
            version = self.version.as_deref(), resumes = self.ctx.resumes.as_deref(),
            expected_ms = self.placement.expected.as_millis() as u64,
            wait_ms = estimate.wait.as_millis() as u64, prefill = estimate.prefill_tokens,
            copied = estimate.copied_tokens, runs = estimate.runs, rate = estimate.rate,
            token_interval_ms = estimate.token_interval_ms,
            first_ms = self.first_at.map_or(0, since), ms = since(now);
            "stream ended"
        );
    }
}

impl Drop for EventStream {
    /// A caller that leaves about when its deadline passes has run out of time.
    fn drop(&mut self) {
        let now = self.gateway.clock.monotonic();
        if self.ctx.time_left(now) < CALLER_DEADLINE_MARGIN {
            self.record_time_up(now);
        }
    }
}
