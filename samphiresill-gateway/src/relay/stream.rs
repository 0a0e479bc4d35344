//! A stream of events on its way to a caller, continued by another run where that is allowed.
//!
//! Invariant: of a stream that may be resumed, only whole events are delivered, each id once and
//! in rising order; the body ends as complete only if the last run's did.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use samphiresill_attempt::failure::FailurePoint;
use samphiresill_core::routing::Exchange;
use samphiresill_sched::fleet::event::RunResult;
use tokio::sync::mpsc;

use super::answer::{self, Answer, Piece};
use super::attempt::{Answering, Failure, Running};
use super::call::Call;
use super::events::Splitter;
use super::forward::{self, Attempts};
use crate::gateway::{AtWork, Gateway};

/// Silence after which a stream is resumed elsewhere, in multiples of the pause that is still on
/// time: callers give up after eight.
const SILENCE_PAUSES: u32 = 4;
/// The pause that is assumed when a route names none.
const DEFAULT_PAUSE: Duration = Duration::from_millis(500);

enum Relayed {
    Complete,
    CallerGone,
    TimeUp,
    Broken(Failure),
}

struct Pump {
    gateway: Arc<Gateway>,
    call: Arc<Call>,
    tx: mpsc::Sender<Piece>,
    is_resumable: bool,
    last_id: Option<String>,
    events: u64,
    first_at: Option<Duration>,
}

/// Begins to relay a stream; the answer keeps the head of its first run.
pub fn start(
    attempts: Attempts,
    running: Running,
    answering: Answering,
    at_work: Arc<AtWork>,
) -> Response<Answer> {
    let (tx, rx) = mpsc::channel(answer::MAX_PIECES);
    let (gateway, call) = attempts.parts();
    let head = answering.head.clone();
    let pump = Pump {
        is_resumable: call.route.exchange == Exchange::Generation { is_resumable: true },
        gateway,
        call,
        tx,
        last_id: None,
        events: 0,
        first_at: None,
    };
    tokio::spawn(async move {
        pump.run(attempts, running, answering).await;
        drop(at_work);
    });
    forward::pass_on(head, Answer::stream(rx))
}

impl Pump {
    async fn run(mut self, mut attempts: Attempts, running: Running, answering: Answering) {
        let mut current = (running, answering);
        loop {
            let (mut running, answering) = current;
            let failure = match self.relay(&mut running, answering).await {
                Relayed::Complete => return self.log(&running, "complete"),
                Relayed::CallerGone => return self.log(&running, "caller gone"),
                Relayed::TimeUp => return self.break_off(&running, "time is up").await,
                Relayed::Broken(failure) => failure,
            };
            let cause = failure.cause.clone();
            if attempts.after(&mut running, failure).is_err() {
                return self.break_off(&running, &cause).await;
            }
            let resume_after = self.last_id.clone();
            let resume_after = resume_after.as_deref().or(self.call.last_event.as_deref());
            // The failed run has ended before the next one is placed.
            let target = running.placement.target.clone();
            drop(running);
            current = match attempts.next(resume_after).await {
                Ok(next) if next.1.head.status.is_success() => next,
                _ => {
                    log::warn!(request:% = self.call.request, target:%; "stream not resumed");
                    let lost = io::Error::other("the stream could not be resumed");
                    // A caller that is gone needs no error.
                    let _ = self.tx.send(Err(lost)).await;
                    return;
                }
            };
        }
    }

    /// Relays one run until it ends in some way.
    async fn relay(&mut self, running: &mut Running, answering: Answering) -> Relayed {
        let Answering {
            head,
            mut body,
            connection,
        } = answering;
        let mut splitter = Splitter::default();
        loop {
            let bytes = match self.next_bytes(&mut body).await {
                Ok(Some(bytes)) => bytes,
                Ok(None) if splitter.has_rest() => {
                    let cause = "the stream ended within an event";
                    return Relayed::Broken(Failure::new(FailurePoint::DuringAnswer, cause));
                }
                Ok(None) => break,
                Err(ended) => return ended,
            };
            self.note_progress(running);
            let is_delivered = if self.is_resumable {
                splitter.push(&bytes);
                if splitter.is_overlong() {
                    let cause = "an event is too long";
                    return Relayed::Broken(Failure::new(FailurePoint::DuringAnswer, cause));
                }
                self.deliver_events(&mut splitter).await
            } else {
                self.events += 1;
                self.tx.send(Ok(bytes)).await.is_ok()
            };
            if !is_delivered {
                return Relayed::CallerGone;
            }
        }
        let address = running.placement.address;
        self.gateway
            .targets
            .release(address, connection, &head.headers);
        let took = self
            .gateway
            .clock
            .monotonic()
            .saturating_sub(self.call.started);
        running.show(RunResult::Answered {
            ms: took.as_millis() as u32,
        });
        Relayed::Complete
    }

    async fn next_bytes(&self, body: &mut Incoming) -> Result<Option<Bytes>, Relayed> {
        let now = self.gateway.clock.monotonic();
        let time_left = self.call.time_left(now);
        let pause = self.call.route.pause_aim.unwrap_or(DEFAULT_PAUSE);
        let silence = if self.is_resumable {
            pause * SILENCE_PAUSES
        } else {
            time_left
        };
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = self.tx.closed() => return Err(Relayed::CallerGone),
                () = tokio::time::sleep(time_left.min(silence)) => {
                    return Err(if time_left <= silence {
                        Relayed::TimeUp
                    } else {
                        let cause = "no event for too long";
                        Relayed::Broken(Failure::new(FailurePoint::Silence, cause))
                    });
                }
            };
            match frame {
                None => return Ok(None),
                Some(Ok(frame)) => {
                    // Trailers concern only the connection.
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(Some(bytes));
                    }
                }
                Some(Err(e)) => {
                    let failure = Failure::new(FailurePoint::DuringAnswer, e.to_string());
                    return Err(Relayed::Broken(failure));
                }
            }
        }
    }

    /// Delivers the whole events that have arrived; false when the caller is gone.
    async fn deliver_events(&mut self, splitter: &mut Splitter) -> bool {
        while let Some(event) = splitter.next_event() {
            if self.is_repeated(event.id.as_deref()) {
                continue;
            }
            if event.id.is_some() {
                self.last_id = event.id;
            }
            self.events += 1;
            if self.tx.send(Ok(event.bytes)).await.is_err() {
                return false;
            }
        }
        true
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

    fn note_progress(&mut self, running: &Running) {
        let now = self.gateway.clock.monotonic();
        self.gateway.account().progress(&running.placement, now);
        if self.first_at.is_none() {
            self.first_at = Some(now);
        }
    }

    async fn break_off(&self, running: &Running, cause: &str) {
        self.log(running, cause);
        // A caller that is gone needs no error.
        let _ = self.tx.send(Err(io::Error::other(cause.to_owned()))).await;
    }

    fn log(&self, running: &Running, end: &str) {
        let now = self.gateway.clock.monotonic();
        let since = |at: Duration| at.saturating_sub(self.call.started).as_millis() as u64;
        let estimate = running.placement.estimate.unwrap_or_default();
        log::info!(
            request:% = self.call.request, route = &*self.call.route.name,
            target:% = running.placement.target, end, events = self.events,
            expected_ms = running.placement.expected.as_millis() as u64,
            wait_ms = estimate.wait.as_millis() as u64, unread = estimate.unread_tokens,
            copied = estimate.copied_tokens, runs = estimate.runs, rate = estimate.rate,
            pace_ms = estimate.pace_ms,
            first_ms = self.first_at.map_or(0, since), ms = since(now);
            "stream ended"
        );
    }
}
