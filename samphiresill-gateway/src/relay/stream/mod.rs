//! Relays a stream of events to a caller, and resumes it with another run where that is allowed.
//!
//! The caller's connection polls the target's body directly, so that back-pressure reaches the
//! target, and a caller that disconnects ends the run because the body is dropped.
//!
//! Invariant: of a resumable stream, only complete events are delivered, each id once and in
//! ascending order. The body ends without an error only if the body of the last run did, and not
//! within an event: where the close of its connection ends a body, a crash looks like its end.

mod pace;
mod report;
mod resume;

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
use tokio::time::Sleep;

use self::pace::Pace;
use self::resume::no_event_failure;
use super::attempt::{Failure, RunGuard, TargetResponse};
use super::body;
use super::delivery::Delivery;
use super::events::{EventBoundary, EventSplitter};
use super::forward::{self, Attempts};
use super::framing::Framing;
use super::request_context::RequestContext;
use super::response::ResponseBody;
use crate::gateway::{Gateway, InFlightGuard};
use crate::metrics::Outcome;

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
}

/// Whether a body may be taken for a stream of events: other media types have to be stated.
fn is_event_stream(headers: &HeaderMap) -> bool {
    let Some(value) = headers.get(CONTENT_TYPE) else {
        return true;
    };
    let media_type = value.to_str().unwrap_or_default().split(';').next();
    media_type.is_some_and(|m| m.trim().eq_ignore_ascii_case("text/event-stream"))
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
