//! Relays a stream of events to a caller, and resumes it with another run where that is allowed.
//!
//! The caller's connection polls the target's body directly, so that back-pressure reaches the
//! target, and a caller that disconnects ends the run because the body is dropped.
//!
//! Invariant: of a resumable stream, only complete events are delivered, each id once and in
//! ascending order. The body ends without an error only if the body of the last run did, and not
//! within an event: where the close of its connection ends a body, a crash looks like its end.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use derive_more::Debug;
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE};
use hyper::{HeaderMap, Response};
use samphiresill_attempt::failure::FailurePoint;
use samphiresill_core::name::SoftwareVersion;
use samphiresill_sched::fleet::event::RunResult;
use samphiresill_sched::fleet::load::Placement;
use samphiresill_sched::fleet::streams::StreamId;
use tokio::time::Sleep;

use super::attempt::{Failure, RunGuard, TargetResponse};
use super::body;
use super::delivery::Delivery;
use super::events::{EventBoundary, EventSplitter};
use super::forward::{self, Attempts};
use super::framing::Framing;
use super::request_context::RequestContext;
use super::response::ResponseBody;
use crate::gateway::{Gateway, InFlightGuard};
use crate::log_budget::Kind;
use crate::metrics::{ContinuedBy, Outcome, StreamEnd, VersionMatch};

/// Time before the deadline from which on a caller that leaves counts as one that ran out of time:
/// its own clock started before the request arrived here.
const CALLER_DEADLINE_MARGIN: Duration = Duration::from_millis(50);
/// Number of events from which on their mean interval is reported.
const MIN_PACED_EVENTS: u32 = 3;
/// Time without data after which a stream is resumed on another target, in multiples of the pause
/// objective: callers abandon the stream after eight.
const SILENCE_TIMEOUT_PAUSES: u32 = 4;
/// Pause objective of routes that specify none.
const DEFAULT_PAUSE: Duration = Duration::from_millis(500);
/// Interval at which progress of a stream is reported to the fleet load: short compared with the
/// time after which a target counts as stalled.
const PROGRESS_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Value of `end` in the log for a stream that completed.
const COMPLETE: &str = "complete";

type PendingAttempt = Pin<
    Box<
        dyn Future<
                Output = (
                    Box<Attempts>,
                    Result<(RunGuard, TargetResponse), forward::ForwardError>,
                ),
            > + Send,
    >,
>;

#[derive(Debug)]
enum State {
    /// The body of a run is relayed.
    #[debug("relaying")]
    Relaying {
        attempts: Box<Attempts>,
        run: Box<RunGuard>,
        response: Box<TargetResponse>,
    },
    /// The last run failed, and another attempt is in progress.
    #[debug("resuming")]
    Resuming(PendingAttempt),
    /// The stream has completed or was aborted.
    Ended,
}

/// `Pace` measures the intervals between the events of one run.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    events: u32,
    first_at: Duration,
    last_at: Duration,
    longest: Duration,
}

impl Pace {
    fn observe(&mut self, events: u32, now: Duration) {
        if self.events == 0 {
            self.first_at = now;
        } else {
            self.longest = self.longest.max(now.saturating_sub(self.last_at));
        }
        self.events += events;
        self.last_at = now;
    }

    /// Returns the mean interval, when there are enough events to tell.
    fn interval(&self) -> Option<Duration> {
        (self.events >= MIN_PACED_EVENTS)
            .then(|| self.last_at.saturating_sub(self.first_at) / (self.events - 1))
    }
}

/// `EventStream` is a response body that is relayed as events.
#[derive(Debug)]
pub struct EventStream {
    state: State,
    #[debug(skip)]
    gateway: Arc<Gateway>,
    ctx: Arc<RequestContext>,
    /// Whether the body is a stream of events. Other bodies are relayed as they are.
    has_events: bool,
    is_resumable: bool,
    /// Framing of the body of the latest run.
    framing: Framing,
    /// Position in the body of the latest run.
    boundary: EventBoundary,
    splitter: EventSplitter,
    last_id: Option<String>,
    events: u64,
    first_at: Option<Duration>,
    pace: Pace,
    progress_at: Duration,
    reported_at: Option<Duration>,
    timer: Pin<Box<Sleep>>,
    /// Placement of the latest run.
    placement: Placement,
    /// Software version of the run that delivered the first event.
    version: Option<SoftwareVersion>,
    /// Number of runs so far.
    runs: u32,
    /// Counts the stream towards the stream limit.
    in_flight: Option<InFlightGuard>,
    /// Memory of what is delivered.
    delivery: Delivery,
    /// Whether the run is held because its caller does not take what it has written.
    is_held: bool,
}

/// Starts to relay a stream. The response has the head of the first run.
#[must_use]
pub fn start(
    attempts: Attempts,
    run: RunGuard,
    response: TargetResponse,
    delivery: Delivery,
    in_flight: InFlightGuard,
) -> Response<ResponseBody> {
    let (gateway, ctx) = attempts.parts();
    let mut response_head = response.head.clone();
    let now = gateway.clock.monotonic();
    let has_events = is_event_stream(&response_head.headers);
    let stream = EventStream {
        has_events,
        is_resumable: has_events && ctx.is_resumable(),
        framing: Framing::of(&response_head),
        boundary: EventBoundary::default(),
        timer: Box::pin(tokio::time::sleep(Duration::ZERO)),
        placement: run.placement.clone(),
        version: None,
        runs: 1,
        state: State::Relaying {
            attempts: Box::new(attempts),
            run: Box::new(run),
            response: Box::new(response),
        },
        gateway,
        ctx,
        splitter: EventSplitter::default(),
        last_id: None,
        events: 0,
        first_at: None,
        pace: Pace::default(),
        progress_at: now,
        reported_at: None,
        in_flight: Some(in_flight),
        delivery,
        is_held: false,
    };
    if stream.is_resumable {
        // Another run may end with a body of another length.
        response_head.headers.remove(CONTENT_LENGTH);
    }
    forward::forward_response(response_head, ResponseBody::stream(stream))
}

/// `BodyPoll` is the result of polling the body of the current run.
enum BodyPoll {
    Bytes(Bytes),
    Complete,
    TimeUp,
    Failed(Failure),
}

/// `Step` is the action that follows from a poll.
enum Step {
    /// Nothing to deliver yet.
    Continue,
    Deliver(Bytes),
    End,
    Abort(io::Error),
}

impl EventStream {
    /// Polls the next bytes for the caller; `None` after the end.
    pub fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        loop {
            if let Some(chunk) = ready!(self.delivery.poll(cx)) {
                return Poll::Ready(Some(chunk.map_err(|cause| self.abort(cause))));
            }
            let step = match &mut self.state {
                State::Ended => Step::End,
                State::Resuming(pending) => {
                    let (attempts, result) = ready!(pending.as_mut().poll(cx));
                    match self.resume_with(attempts, result) {
                        Ok(()) => Step::Continue,
                        Err(cause) => Step::Abort(self.abort(&cause)),
                    }
                }
                State::Relaying { response, .. } => {
                    let polled = match poll_body(Pin::new(&mut response.body), cx) {
                        Poll::Ready(polled) => polled,
                        Poll::Pending => {
                            self.resume_run();
                            ready!(self.poll_timer(cx))
                        }
                    };
                    self.handle_poll(polled)
                }
            };
            return Poll::Ready(match step {
                Step::Continue => continue,
                Step::Deliver(bytes) => {
                    self.hold_run();
                    let now = self.gateway.clock.monotonic();
                    self.delivery.push(bytes, self.ctx.time_left(now));
                    continue;
                }
                Step::End => None,
                Step::Abort(error) => Some(Err(error)),
            });
        }
    }

    /// Records that the target is not read until the caller has taken what is delivered.
    fn hold_run(&mut self) {
        if let State::Relaying { run, .. } = &self.state
            && !std::mem::replace(&mut self.is_held, true)
        {
            self.gateway.fleet_load().hold_run(&run.placement);
        }
    }

    /// Records that the stream waits for its target.
    fn resume_run(&mut self) {
        if let State::Relaying { run, .. } = &self.state
            && std::mem::replace(&mut self.is_held, false)
        {
            let now = self.gateway.clock.monotonic();
            // The target could not write meanwhile, so that its silence begins now.
            self.progress_at = now;
            self.gateway.fleet_load().resume_run(&run.placement, now);
        }
    }

    fn handle_poll(&mut self, polled: BodyPoll) -> Step {
        let now = self.gateway.clock.monotonic();
        match polled {
            // A caller that reads slowly keeps bytes waiting, so that the timer is not polled.
            BodyPoll::Bytes(_) if self.ctx.time_left(now).is_zero() => {
                Step::Abort(self.abort("time is up"))
            }
            BodyPoll::Bytes(bytes) => match self.take_complete_events(&bytes) {
                Ok(bytes) if bytes.is_empty() => self.handle_lack_of_events(),
                Ok(bytes) => {
                    self.record_progress();
                    Step::Deliver(bytes)
                }
                Err(failure) => self.fail(*failure),
            },
            BodyPoll::Complete => match self.truncation() {
                Some(cause) => self.fail(Failure::broken_response(cause)),
                None => self.complete(),
            },
            BodyPoll::TimeUp => Step::Abort(self.abort("time is up")),
            BodyPoll::Failed(failure) => self.fail(failure),
        }
    }

    /// Returns what shows that a body that ended without an error was broken off.
    fn truncation(&self) -> Option<&'static str> {
        if !self.has_events {
            return None;
        }
        if self.boundary.is_within_event() {
            return Some("the stream ended within an event");
        }
        (self.framing == Framing::Close && self.boundary.events() == 0)
            .then_some("the connection closed before the first event")
    }

    /// Ends the stream as complete, after what follows the last event.
    fn complete(&mut self) -> Step {
        let rest = self.splitter.take_rest();
        self.finish();
        if rest.is_empty() {
            Step::End
        } else {
            Step::Deliver(rest)
        }
    }

    /// Checks the silence timeout of the target and the deadline of the request.
    fn poll_timer(&mut self, cx: &mut Context<'_>) -> Poll<BodyPoll> {
        loop {
            ready!(self.timer.as_mut().poll(cx));
            let now = self.gateway.clock.monotonic();
            let time_left = self.ctx.time_left(now);
            if time_left.is_zero() {
                return Poll::Ready(BodyPoll::TimeUp);
            }
            let silent_at = self.silent_at();
            let wait = if self.is_resumable {
                if now >= silent_at {
                    return Poll::Ready(BodyPoll::Failed(no_event_failure()));
                }
                time_left.min(silent_at.saturating_sub(now))
            } else {
                time_left
            };
            self.timer.set(tokio::time::sleep(wait));
        }
    }

    /// Ends a run that sends bytes but no new event, as if it were silent. The timer alone would not
    /// do: it is polled only while no bytes are there.
    fn handle_lack_of_events(&mut self) -> Step {
        let now = self.gateway.clock.monotonic();
        if self.ctx.time_left(now).is_zero() {
            return Step::Abort(self.abort("time is up"));
        }
        if self.is_resumable && now >= self.silent_at() {
            return self.fail(no_event_failure());
        }
        Step::Continue
    }

    /// Time at which the run counts as silent.
    fn silent_at(&self) -> Duration {
        self.progress_at + self.pause() * SILENCE_TIMEOUT_PAUSES
    }

    /// Returns the bytes that may be delivered now. Of a resumable stream, these are complete
    /// events that were not delivered before.
    fn take_complete_events(&mut self, bytes: &Bytes) -> Result<Bytes, Box<Failure>> {
        let now = self.gateway.clock.monotonic();
        self.boundary.push(bytes);
        if !self.is_resumable {
            self.events += 1;
            self.pace.observe(1, now);
            return Ok(bytes.clone());
        }
        self.splitter.push(bytes);
        let mut complete = BytesMut::new();
        while let Some(event) = self.splitter.next_event() {
            if self.is_duplicate(event.id.as_deref()) {
                continue;
            }
            if event.id.is_some() {
                self.last_id = event.id;
            }
            self.events += 1;
            self.pace.observe(1, now);
            complete.extend_from_slice(&event.bytes);
        }
        if self.splitter.is_event_too_long() {
            let cause = "an event is too long";
            return Err(Box::new(Failure::new(FailurePoint::DuringAnswer, cause)));
        }
        if !self.delivery.reserve_incomplete(self.splitter.buffered()) {
            return Err(Box::new(body::no_memory()));
        }
        Ok(complete.freeze())
    }

    /// Whether an event with this or a higher id has been delivered.
    fn is_duplicate(&self, id: Option<&str>) -> bool {
        let number = |id: &str| id.parse::<u64>().ok();
        let delivered = self.last_id.as_deref().and_then(number);
        match (delivered, id.and_then(number)) {
            (Some(delivered), Some(id)) => id <= delivered,
            _ => false,
        }
    }

    /// Ends the current run, and starts another attempt where that is allowed.
    fn fail(&mut self, failure: Failure) -> Step {
        let state = std::mem::replace(&mut self.state, State::Ended);
        let State::Relaying {
            mut attempts,
            mut run,
            response,
        } = state
        else {
            unreachable!("invariant: only a relayed run fails");
        };
        let cause = failure.cause.clone();
        let is_over = attempts.handle_failure(&mut run, failure).is_err();
        // The failed run must be uncounted before the next one is placed.
        drop(response);
        drop(run);
        if is_over {
            return Step::Abort(self.abort(&cause));
        }
        let resume_after = self.last_id.clone();
        let resume_after = resume_after.or(self.ctx.last_event.as_deref().map(str::to_owned));
        self.state = State::Resuming(Box::pin(async move {
            let result = attempts.next_response(resume_after.as_deref()).await;
            (attempts, result)
        }));
        Step::Continue
    }

    fn resume_with(
        &mut self,
        attempts: Box<Attempts>,
        result: Result<(RunGuard, TargetResponse), forward::ForwardError>,
    ) -> Result<(), String> {
        let (run, response) = result.map_err(|end| format!("not resumed: {end:?}"))?;
        let status = response.head.status;
        if !status.is_success() {
            return Err(format!("not resumed: status {status}"));
        }
        if !is_event_stream(&response.head.headers) {
            return Err("not resumed: the response is no stream of events".to_owned());
        }
        self.runs += 1;
        if self.first_at.is_some() {
            let version_match = VersionMatch::of(self.version.as_ref(), run.version.as_ref());
            let metrics = &self.gateway.metrics;
            metrics.record_continuation(ContinuedBy::Router, version_match);
        }
        self.framing = Framing::of(&response.head);
        self.boundary = EventBoundary::default();
        self.splitter = EventSplitter::default();
        self.pace = Pace::default();
        self.is_held = false;
        self.placement = run.placement.clone();
        self.progress_at = self.gateway.clock.monotonic();
        self.state = State::Relaying {
            attempts,
            run: Box::new(run),
            response: Box::new(response),
        };
        Ok(())
    }

    fn finish(&mut self) {
        self.log_end(COMPLETE);
        self.report_event_intervals();
        let state = std::mem::replace(&mut self.state, State::Ended);
        self.in_flight = None;
        if let State::Relaying {
            mut run, response, ..
        } = state
        {
            let now = self.gateway.clock.monotonic();
            let took = now.saturating_sub(self.ctx.started);
            self.record_outcome(Outcome::Served, took);
            run.set_result(RunResult::Answered {
                ms: took.as_millis() as u32,
            });
            let TargetResponse {
                head, connection, ..
            } = *response;
            let address = run.placement.address;
            self.gateway
                .target_pool
                .release(address, connection, &head.headers);
        }
    }

    fn abort(&mut self, cause: &str) -> io::Error {
        self.log_end(cause);
        self.report_event_intervals();
        let now = self.gateway.clock.monotonic();
        let outcome = if self.ctx.time_left(now).is_zero() {
            self.record_time_up(now);
            Outcome::TimeUp
        } else {
            Outcome::Lost
        };
        self.record_outcome(outcome, now.saturating_sub(self.ctx.started));
        self.state = State::Ended;
        self.in_flight = None;
        io::Error::other(cause.to_owned())
    }

    /// Records that the deadline has passed, unless the target had stalled before.
    fn record_time_up(&mut self, now: Duration) {
        let is_progressing = now.saturating_sub(self.progress_at) < self.pause() * 2;
        if let State::Relaying { run, .. } = &mut self.state
            && self.first_at.is_some()
            && is_progressing
        {
            run.set_result(RunResult::TimeUp);
        }
    }

    /// Longest pause between events that meets the objective.
    fn pause(&self) -> Duration {
        let objective = self.ctx.route.event_interval_objective;
        objective.unwrap_or(DEFAULT_PAUSE)
    }

    /// Reports the intervals between events to the fleet load, while the run is counted.
    fn report_event_intervals(&self) {
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

    fn record_outcome(&self, outcome: Outcome, took: Duration) {
        let request_kind = self.ctx.route.request_kind;
        self.gateway
            .metrics
            .record_request(request_kind, outcome, took);
    }

    /// Records that the stream holds its first event, so that others know where it may go on.
    fn record_begin(&mut self) {
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

    fn record_progress(&mut self) {
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
    fn log_end(&self, end: &str) {
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

/// Whether a body may be taken for a stream of events: other media types have to be stated.
fn is_event_stream(headers: &HeaderMap) -> bool {
    let Some(value) = headers.get(CONTENT_TYPE) else {
        return true;
    };
    let media_type = value.to_str().unwrap_or_default().split(';').next();
    media_type.is_some_and(|m| m.trim().eq_ignore_ascii_case("text/event-stream"))
}

fn no_event_failure() -> Failure {
    Failure::new(FailurePoint::Silence, "no event for too long")
}

fn poll_body(mut body: Pin<&mut Incoming>, cx: &mut Context<'_>) -> Poll<BodyPoll> {
    loop {
        return Poll::Ready(match ready!(body.as_mut().poll_frame(cx)) {
            None => BodyPoll::Complete,
            Some(Ok(frame)) => match Frame::into_data(frame) {
                Ok(bytes) => BodyPoll::Bytes(bytes),
                // Trailers concern only this connection and are not forwarded.
                Err(_) => continue,
            },
            Some(Err(e)) => BodyPoll::Failed(Failure::broken_response(e.to_string())),
        });
    }
}
