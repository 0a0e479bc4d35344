//! A stream of events on its way to a caller, continued by another run where that is allowed.
//!
//! The caller's connection polls the target's body directly, so that back-pressure reaches
//! the target, and a caller that disconnects ends the run by dropping the body.
//!
//! Invariant: of a stream that may be resumed, only whole events are delivered, each id once and
//! in rising order; the body ends as complete only if the last run's did.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use derive_more::Debug;
use hyper::Response;
use hyper::body::{Body, Frame, Incoming};
use samphiresill_attempt::failure::FailurePoint;
use samphiresill_core::routing::RequestKind;
use samphiresill_sched::fleet::account::Placement;
use samphiresill_sched::fleet::event::RunResult;
use tokio::time::Sleep;

use super::answer::Answer;
use super::attempt::{Answering, Failure, Running};
use super::call::Call;
use super::events::Splitter;
use super::forward::{self, Attempts};
use crate::gateway::{Gateway, InFlight};
use crate::log_budget::Kind;
use crate::metrics::End;

/// Silence after which a stream is resumed elsewhere, in multiples of the pause that is still on
/// time: callers give up after eight.
const SILENCE_PAUSES: u32 = 4;
/// The pause that is assumed when a route names none.
const DEFAULT_PAUSE: Duration = Duration::from_millis(500);
/// Pause between notes of progress of one stream: short against the time after which a target
/// counts as stalled.
const NOTE_EVERY: Duration = Duration::from_millis(100);
/// How the log names the end of a stream that is whole.
const COMPLETE: &str = "complete";

type Next = Pin<
    Box<dyn Future<Output = (Box<Attempts>, Result<(Running, Answering), forward::End>)> + Send>,
>;

#[derive(Debug)]
enum State {
    /// A run answers.
    #[debug("relaying")]
    Relaying {
        attempts: Box<Attempts>,
        running: Box<Running>,
        answering: Box<Answering>,
    },
    /// The last run has failed, and another one is being sent.
    #[debug("resuming")]
    Resuming(Next),
    /// Nothing follows.
    Ended,
}

/// `Stream` is the body of an answer that arrives as events.
#[derive(Debug)]
pub struct Stream {
    state: State,
    #[debug(skip)]
    gateway: Arc<Gateway>,
    call: Arc<Call>,
    is_resumable: bool,
    splitter: Splitter,
    last_id: Option<String>,
    events: u64,
    first_at: Option<Duration>,
    progress_at: Duration,
    noted_at: Option<Duration>,
    timer: Pin<Box<Sleep>>,
    /// Placement of the latest run.
    placement: Placement,
    /// Counts the stream among those that the processor relays.
    in_flight: Option<InFlight>,
}

/// Begins to relay a stream; the answer has the head of its first run.
#[must_use]
pub fn start(
    attempts: Attempts,
    running: Running,
    answering: Answering,
    in_flight: Option<InFlight>,
) -> Response<Answer> {
    let (gateway, call) = attempts.parts();
    let answer_head = answering.head.clone();
    let now = gateway.clock.monotonic();
    let stream = Stream {
        is_resumable: call.route.request_kind == RequestKind::Generation { is_resumable: true },
        timer: Box::pin(tokio::time::sleep(Duration::ZERO)),
        placement: running.placement.clone(),
        state: State::Relaying {
            attempts: Box::new(attempts),
            running: Box::new(running),
            answering: Box::new(answering),
        },
        gateway,
        call,
        splitter: Splitter::default(),
        last_id: None,
        events: 0,
        first_at: None,
        progress_at: now,
        noted_at: None,
        in_flight,
    };
    forward::forward_response(answer_head, Answer::stream(stream))
}

/// `Polled` is the result of polling the current run.
enum Polled {
    Bytes(Bytes),
    Complete,
    TimeUp,
    Broken(Failure),
}

/// `Step` is what a poll result leads to.
enum Step {
    /// Nothing to deliver yet.
    Continue,
    Deliver(Bytes),
    End,
    Abort(io::Error),
}

impl Stream {
    /// The next piece for the caller; nothing after the end.
    pub fn poll_piece(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        loop {
            let step = match &mut self.state {
                State::Ended => Step::End,
                State::Resuming(next) => {
                    let (attempts, result) = ready!(next.as_mut().poll(cx));
                    match self.resume(attempts, result) {
                        Ok(()) => Step::Continue,
                        Err(cause) => Step::Abort(self.abort(&cause)),
                    }
                }
                State::Relaying { answering, .. } => {
                    let polled = match poll_body(Pin::new(&mut answering.body), cx) {
                        Poll::Ready(polled) => polled,
                        Poll::Pending => ready!(self.poll_timer(cx)),
                    };
                    self.take(polled)
                }
            };
            return Poll::Ready(match step {
                Step::Continue => continue,
                Step::Deliver(bytes) => Some(Ok(bytes)),
                Step::End => None,
                Step::Abort(error) => Some(Err(error)),
            });
        }
    }

    fn take(&mut self, polled: Polled) -> Step {
        let during_answer = |cause| Failure::new(FailurePoint::DuringAnswer, cause);
        match polled {
            Polled::Bytes(bytes) => {
                self.note_progress();
                match self.whole_events(&bytes) {
                    Ok(bytes) if bytes.is_empty() => Step::Continue,
                    Ok(bytes) => Step::Deliver(bytes),
                    Err(cause) => self.fail(during_answer(cause)),
                }
            }
            Polled::Complete if self.splitter.has_rest() => {
                self.fail(during_answer("the stream ended within an event"))
            }
            Polled::Complete => {
                self.complete();
                Step::End
            }
            Polled::TimeUp => Step::Abort(self.abort("time is up")),
            Polled::Broken(failure) => self.fail(failure),
        }
    }

    /// Checks for silence of the target and for the end of the time.
    fn poll_timer(&mut self, cx: &mut Context<'_>) -> Poll<Polled> {
        loop {
            ready!(self.timer.as_mut().poll(cx));
            let now = self.gateway.clock.monotonic();
            let time_left = self.call.time_left(now);
            if time_left.is_zero() {
                return Poll::Ready(Polled::TimeUp);
            }
            let pause = self.call.route.pause_objective.unwrap_or(DEFAULT_PAUSE);
            let silent_at = self.progress_at + pause * SILENCE_PAUSES;
            let wait = if self.is_resumable {
                if now >= silent_at {
                    let cause = "no event for too long";
                    let failure = Failure::new(FailurePoint::Silence, cause);
                    return Poll::Ready(Polled::Broken(failure));
                }
                time_left.min(silent_at.saturating_sub(now))
            } else {
                time_left
            };
            self.timer.set(tokio::time::sleep(wait));
        }
    }

    /// Bytes that may be delivered now: whole events that were not delivered before.
    fn whole_events(&mut self, bytes: &Bytes) -> Result<Bytes, &'static str> {
        if !self.is_resumable {
            self.events += 1;
            return Ok(bytes.clone());
        }
        self.splitter.push(bytes);
        let mut whole = BytesMut::new();
        while let Some(event) = self.splitter.next_event() {
            if self.is_repeated(event.id.as_deref()) {
                continue;
            }
            if event.id.is_some() {
                self.last_id = event.id;
            }
            self.events += 1;
            whole.extend_from_slice(&event.bytes);
        }
        if self.splitter.is_overlong() {
            return Err("an event is too long");
        }
        Ok(whole.freeze())
    }

    /// Whether an event with this id or a later one has been delivered.
    fn is_repeated(&self, id: Option<&str>) -> bool {
        let number = |id: &str| id.parse::<u64>().ok();
        let delivered = self.last_id.as_deref().and_then(number);
        match (delivered, id.and_then(number)) {
            (Some(delivered), Some(id)) => id <= delivered,
            _ => false,
        }
    }

    /// Ends the current run; another one follows where that is allowed.
    fn fail(&mut self, failure: Failure) -> Step {
        let state = std::mem::replace(&mut self.state, State::Ended);
        let State::Relaying {
            mut attempts,
            mut running,
            answering,
        } = state
        else {
            unreachable!("invariant: only a relayed run fails");
        };
        let cause = failure.cause.clone();
        let is_over = attempts.after(&mut running, failure).is_err();
        // The failed run ends before the next one is placed.
        drop(answering);
        drop(running);
        if is_over {
            return Step::Abort(self.abort(&cause));
        }
        let resume_after = self.last_id.clone();
        let resume_after = resume_after.or(self.call.last_event.as_deref().map(str::to_owned));
        self.state = State::Resuming(Box::pin(async move {
            let result = attempts.next(resume_after.as_deref()).await;
            (attempts, result)
        }));
        Step::Continue
    }

    fn resume(
        &mut self,
        attempts: Box<Attempts>,
        result: Result<(Running, Answering), forward::End>,
    ) -> Result<(), String> {
        let (running, answering) = result.map_err(|end| format!("not resumed: {end:?}"))?;
        let status = answering.head.status;
        if !status.is_success() {
            return Err(format!("not resumed: status {status}"));
        }
        self.splitter = Splitter::default();
        self.placement = running.placement.clone();
        self.progress_at = self.gateway.clock.monotonic();
        self.state = State::Relaying {
            attempts,
            running: Box::new(running),
            answering: Box::new(answering),
        };
        Ok(())
    }

    fn complete(&mut self) {
        self.log(COMPLETE);
        let state = std::mem::replace(&mut self.state, State::Ended);
        self.in_flight = None;
        if let State::Relaying {
            mut running,
            answering,
            ..
        } = state
        {
            let now = self.gateway.clock.monotonic();
            let took = now.saturating_sub(self.call.started);
            self.count(End::Served, took);
            running.show(RunResult::Answered {
                ms: took.as_millis() as u32,
            });
            let Answering {
                head, connection, ..
            } = *answering;
            let address = running.placement.address;
            self.gateway
                .targets
                .release(address, connection, &head.headers);
        }
    }

    fn abort(&mut self, cause: &str) -> io::Error {
        self.log(cause);
        let now = self.gateway.clock.monotonic();
        let end = if self.call.time_left(now).is_zero() {
            End::TimeUp
        } else {
            End::Lost
        };
        self.count(end, now.saturating_sub(self.call.started));
        self.state = State::Ended;
        self.in_flight = None;
        io::Error::other(cause.to_owned())
    }

    fn count(&self, end: End, took: Duration) {
        let exchange = self.call.route.request_kind;
        self.gateway.metrics.ended(exchange, end, took);
    }

    fn note_progress(&mut self) {
        let now = self.gateway.clock.monotonic();
        self.progress_at = now;
        if self.first_at.is_none() {
            self.first_at = Some(now);
            let took = now.saturating_sub(self.call.started);
            self.gateway.metrics.first_event(took);
        }
        let is_due = self
            .noted_at
            .is_none_or(|at| now.saturating_sub(at) >= NOTE_EVERY);
        if let State::Relaying { running, .. } = &self.state
            && is_due
        {
            self.noted_at = Some(now);
            self.gateway.account().progress(&running.placement, now);
        }
    }

    fn log(&self, end: &str) {
        let kind = if end == COMPLETE {
            Kind::Served
        } else {
            Kind::Failed
        };
        if !self.gateway.lines.allows(kind) {
            return;
        }
        let target = &self.placement.target;
        let estimate = self.placement.estimate.unwrap_or_default();
        let now = self.gateway.clock.monotonic();
        let since = |at: Duration| at.saturating_sub(self.call.started).as_millis() as u64;
        log::info!(
            request:% = self.call.request, route = &*self.call.route.name,
            target:%, end, events = self.events,
            expected_ms = self.placement.expected.as_millis() as u64,
            wait_ms = estimate.wait.as_millis() as u64, prefill = estimate.prefill_tokens,
            copied = estimate.copied_tokens, runs = estimate.runs, rate = estimate.rate,
            token_interval_ms = estimate.token_interval_ms,
            first_ms = self.first_at.map_or(0, since), ms = since(now);
            "stream ended"
        );
    }
}

fn poll_body(mut body: Pin<&mut Incoming>, cx: &mut Context<'_>) -> Poll<Polled> {
    loop {
        return Poll::Ready(match ready!(body.as_mut().poll_frame(cx)) {
            None => Polled::Complete,
            Some(Ok(frame)) => match Frame::into_data(frame) {
                Ok(bytes) => Polled::Bytes(bytes),
                // Trailers concern only the connection.
                Err(_) => continue,
            },
            Some(Err(e)) => Polled::Broken(Failure::new(FailurePoint::DuringAnswer, e.to_string())),
        });
    }
}
