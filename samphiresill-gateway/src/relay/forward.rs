//! Attempts at targets until there is an answer, or none may follow.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::header::{CONNECTION, HeaderName, TRANSFER_ENCODING};
use hyper::{Response, StatusCode, http};
use samphiresill_attempt::failure::{self, FailurePoint, Situation, Verdict};
use samphiresill_core::name::TargetName;
use samphiresill_core::outcome;
use samphiresill_sched::fleet::admission::Refusal;
use samphiresill_sched::fleet::event::RunResult;
use samphiresill_sched::fleet::work::PlacementRequest;

use super::answer::{self, Answer};
use super::attempt::{self, Answering, Failure, Running};
use super::call::Call;
use super::stream;
use crate::gateway::{Gateway, InFlight};
use crate::log_budget::Kind;
use crate::metrics;

/// Sends of one request at most, those included that a target refused unrun.
const MAX_SENDS: usize = 3;
/// Time below which another attempt has no hope.
const MIN_TIME: Duration = Duration::from_millis(20);
/// Part of the time left that an attempt may take when another one may follow.
const FIRST_ATTEMPT_PART: f64 = 0.45;
/// Time to the head of a stream's answer, in multiples of its latency objective, when another attempt may
/// follow: callers give up a stream after four.
const STREAM_HEAD_OBJECTIVES: f64 = 2.5;
/// `Retry-After` when targets have refused or could not be reached.
const TARGETS_BUSY_RETRY: Duration = Duration::from_millis(300);

/// `End` is why no further attempt follows.
#[derive(Debug)]
pub enum End {
    /// The request has not run and will not run.
    Refused(Refusal),
    /// No target could be reached, or each stated that it did not run the request.
    Unavailable,
    /// A target may have run the request, and its answer is lost.
    Lost(FailurePoint),
    /// The time is up.
    TimeUp {
        /// Whether a target may have run the request.
        has_run: bool,
    },
    /// A target's own answer is to be passed on.
    PassOn(Box<(http::response::Parts, Bytes)>),
}

impl End {
    /// How the metrics count it.
    fn counted(&self) -> metrics::End {
        match self {
            Self::Refused(_) | Self::Unavailable | Self::TimeUp { has_run: false } => {
                metrics::End::Refused
            }
            Self::TimeUp { has_run: true } => metrics::End::TimeUp,
            Self::Lost(_) => metrics::End::Lost,
            Self::PassOn(_) => metrics::End::TargetFailure,
        }
    }
}

/// `Attempts` are the attempts at one request.
pub struct Attempts {
    gateway: Arc<Gateway>,
    call: Arc<Call>,
    tried: Vec<TargetName>,
    runs: u32,
}

impl Attempts {
    /// No attempt yet.
    #[must_use]
    pub fn new(gateway: Arc<Gateway>, call: Arc<Call>) -> Self {
        Self {
            gateway,
            call,
            tried: Vec::new(),
            runs: 0,
        }
    }

    /// The gateway and the request.
    #[must_use]
    pub fn parts(&self) -> (Arc<Gateway>, Arc<Call>) {
        (Arc::clone(&self.gateway), Arc::clone(&self.call))
    }

    /// Places and sends the request until a target answers.
    ///
    /// # Errors
    /// The end of all attempts.
    pub async fn next(&mut self, resume_after: Option<&str>) -> Result<(Running, Answering), End> {
        loop {
            let now = self.gateway.clock.monotonic();
            let time_left = self.call.time_left(now);
            if time_left < MIN_TIME {
                return Err(End::TimeUp {
                    has_run: self.runs > 0,
                });
            }
            let mut running = self.place().await?;
            let time_left = self.call.time_left(self.gateway.clock.monotonic());
            let limit = self.limit(time_left, running.placement.expected);
            let sent = attempt::send(
                &self.gateway,
                &self.call,
                &running.placement,
                resume_after,
                limit,
            );
            match sent.await {
                Ok(answering) => return Ok((running, answering)),
                Err(failure) => self.after(&mut running, failure)?,
            }
        }
    }

    /// Takes in the failure of an attempt; another one may follow when this succeeds.
    ///
    /// # Errors
    /// The end of all attempts.
    pub fn after(&mut self, running: &mut Running, failure: Failure) -> Result<(), End> {
        let now = self.gateway.clock.monotonic();
        let target = running.placement.target.clone();
        running.show(result_of(&failure));
        if failure.point.may_have_run() || failure.answer.is_some() {
            self.runs += 1;
        }
        let situation = Situation {
            nature: self.call.nature(),
            // A run whose answer is lost has reached the caller as little as one not begun.
            has_delivered: false,
            is_deterministic: false,
            may_try_again: self.may_try_again(&failure, now),
        };
        let verdict = failure::verdict(failure.point, situation);
        self.gateway
            .metrics
            .attempt_failed(&failure.point.to_string());
        if self.gateway.lines.allows(Kind::Failed) {
            log::info!(
                request:% = self.call.request, target:%, point:% = failure.point,
                cause = failure.cause.as_str(), verdict:%, runs = self.runs;
                "attempt failed"
            );
        }
        match verdict {
            Verdict::Retry => {
                self.tried.push(target);
                Ok(())
            }
            Verdict::PassOn => Err(failure.answer.map_or(End::Lost(failure.point), |answer| {
                End::PassOn(Box::new(answer))
            })),
            Verdict::Tell(outcome::Refusal::TargetUnavailable) if self.runs == 0 => {
                Err(End::Unavailable)
            }
            _ if self.call.time_left(now) < MIN_TIME => Err(End::TimeUp {
                has_run: self.runs > 0,
            }),
            _ => Err(End::Lost(failure.point)),
        }
    }

    /// Whether another run of the request is allowed after the present one.
    #[must_use]
    pub fn has_another(&self) -> bool {
        self.call.route.request_kind.is_repeatable()
            && self.runs + 1 < self.call.route.max_attempts
            && self.tried.len() + 1 < MAX_SENDS
    }

    /// Finds a target; a request for which capacity is expected soon is queued.
    async fn place(&self) -> Result<Running, End> {
        let began = self.gateway.clock.monotonic();
        loop {
            let now = self.gateway.clock.monotonic();
            let req = PlacementRequest {
                customer: self.call.customer.as_ref(),
                service: &self.call.service,
                generation: self.call.generation.as_ref(),
                latency_objective: self.call.route.latency_objective,
                time_left: self.call.time_left(now),
                domain: &self.gateway.domain,
                tried: &self.tried,
                waited: now.saturating_sub(began),
                has_run: self.runs > 0,
            };
            match self.gateway.peers.place(&self.gateway, &req).await {
                Ok(placement) => {
                    self.gateway.metrics.queued(req.waited);
                    return Ok(Running::new(Arc::clone(&self.gateway), placement));
                }
                Err(refusal) => match refusal.recheck_in {
                    Some(pause) => tokio::time::sleep(pause).await,
                    None if self.runs > 0 => return Err(End::Lost(FailurePoint::Connect)),
                    None => return Err(End::Refused(refusal)),
                },
            }
        }
    }

    fn limit(&self, time_left: Duration, expected: Duration) -> Duration {
        if !self.has_another() {
            return time_left;
        }
        let limit = if self.call.is_stream() {
            self.call
                .route
                .latency_objective
                .mul_f64(STREAM_HEAD_OBJECTIVES)
                .max(expected * 2)
        } else {
            time_left.mul_f64(FIRST_ATTEMPT_PART)
        };
        limit.min(time_left)
    }

    fn may_try_again(&self, failure: &Failure, now: Duration) -> bool {
        let has_time = self.call.time_left(now) > MIN_TIME;
        if !has_time || self.tried.len() + 1 >= MAX_SENDS {
            return false;
        }
        match failure.point {
            FailurePoint::Connect => true,
            FailurePoint::NotExecuted | FailurePoint::Misdirected => {
                self.gateway.spend_retry(&self.call.service)
            }
            _ => {
                self.call.route.request_kind.is_repeatable()
                    && self.runs < self.call.route.max_attempts
                    && self.gateway.spend_retry(&self.call.service)
            }
        }
    }
}

/// Serves a request: attempts, then the answer. `stream` counts it towards the stream limit until
/// it ends.
pub async fn forward(
    gateway: &Arc<Gateway>,
    call: Call,
    stream: Option<InFlight>,
) -> Response<Answer> {
    gateway.earn_retries(&call.service);
    let call = Arc::new(call);
    let mut attempts = Attempts::new(Arc::clone(gateway), Arc::clone(&call));
    loop {
        let (mut running, answering) = match attempts.next(call.last_event.as_deref()).await {
            Ok(answered) => answered,
            Err(end) => return ended(gateway, &call, end),
        };
        if call.is_stream() && answering.head.status.is_success() {
            return stream::start(attempts, running, answering, stream);
        }
        match whole(gateway, &call, &mut running, &attempts, answering).await {
            Ok(response) => return response,
            Err(failure) => {
                if let Err(end) = attempts.after(&mut running, failure) {
                    return ended(gateway, &call, end);
                }
            }
        }
    }
}

/// Reads an answer whole, so that one that breaks off can be replaced by another attempt's.
async fn whole(
    gateway: &Arc<Gateway>,
    call: &Call,
    running: &mut Running,
    attempts: &Attempts,
    answering: Answering,
) -> Result<Response<Answer>, Failure> {
    let Answering {
        head,
        body,
        connection,
    } = answering;
    let time_left = call.time_left(gateway.clock.monotonic());
    let read = tokio::time::timeout(time_left, body.collect()).await;
    let silent = |_| Failure::new(FailurePoint::Silence, "the body did not arrive in time");
    let cut = |e: hyper::Error| Failure::new(FailurePoint::DuringAnswer, e.to_string());
    let bytes = read.map_err(silent)?.map_err(cut)?.to_bytes();
    let placement = &running.placement;
    gateway
        .targets
        .release(placement.address, connection, &head.headers);
    if head.status.is_server_error() && attempts.has_another() {
        let mut failure = Failure::new(FailurePoint::RefusedByTarget, head.status.to_string());
        failure.answer = Some((head, bytes));
        return Err(failure);
    }
    let now = gateway.clock.monotonic();
    let took = now.saturating_sub(call.started);
    let target = placement.target.clone();
    let (result, end) = if head.status.is_server_error() {
        (RunResult::Failed, metrics::End::TargetFailure)
    } else {
        let ms = took.as_millis() as u32;
        (RunResult::Answered { ms }, metrics::End::Served)
    };
    running.show(result);
    gateway.metrics.ended(call.route.request_kind, end, took);
    if gateway.lines.allows(Kind::Served) {
        log::info!(
            request:% = call.request, target:%, status = head.status.as_u16(),
            ms = took.as_millis() as u64;
            "answered"
        );
    }
    Ok(forward_response(head, Answer::whole(bytes)))
}

/// What a failed attempt shows of its target.
fn result_of(failure: &Failure) -> RunResult {
    match failure.point {
        // Another target has taken over the address.
        FailurePoint::Connect | FailurePoint::Misdirected => RunResult::Unreachable,
        _ => RunResult::Failed,
    }
}

/// The answer of a target, without what concerns only the connection that it came on.
#[must_use]
pub fn forward_response(head: http::response::Parts, body: Answer) -> Response<Answer> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    let mut headers = head.headers;
    for name in [
        CONNECTION,
        TRANSFER_ENCODING,
        HeaderName::from_static("keep-alive"),
        HeaderName::from_static("proxy-connection"),
        HeaderName::from_static("upgrade"),
        HeaderName::from_static("trailer"),
    ] {
        headers.remove(name);
    }
    *response.headers_mut() = headers;
    response
}

fn ended(gateway: &Gateway, call: &Call, end: End) -> Response<Answer> {
    let took = gateway.clock.monotonic().saturating_sub(call.started);
    gateway
        .metrics
        .ended(call.route.request_kind, end.counted(), took);
    let (status, reason) = match end {
        End::Refused(refusal) => return refused(gateway, call, &refusal),
        End::PassOn(answer) => {
            let (head, bytes) = *answer;
            log_failed(gateway, call, head.status, "the target's own failure");
            return forward_response(head, Answer::whole(bytes));
        }
        End::Unavailable | End::TimeUp { has_run: false } => {
            let reason = "no target took it";
            log_failed(gateway, call, StatusCode::SERVICE_UNAVAILABLE, reason);
            return answer::refusal(reason, TARGETS_BUSY_RETRY);
        }
        End::Lost(FailurePoint::Silence) | End::TimeUp { has_run: true } => {
            (StatusCode::GATEWAY_TIMEOUT, "no answer in time".to_owned())
        }
        End::Lost(point) => {
            let reason = format!("the target's answer is lost: {point}");
            (StatusCode::BAD_GATEWAY, reason)
        }
    };
    log_failed(gateway, call, status, &reason);
    answer::local(status, &reason)
}

/// Answers a request that was refused, with the inputs of the decision in the log.
fn refused(gateway: &Gateway, call: &Call, refusal: &Refusal) -> Response<Answer> {
    let basis = refusal.basis;
    if gateway.lines.allows(Kind::Refused) {
        log::info!(
            request:% = call.request, route = &*call.route.name, reason:% = refusal.reason,
            wait_ms = basis.wait.as_millis() as u64,
            token_interval_ms = basis.token_interval_ms,
            interval_target_ms = basis.interval_target_ms, share_ratio = basis.share_ratio,
            queued_ms = basis.waited.as_millis() as u64,
            retry_after_ms = refusal.retry_after.as_millis() as u64;
            "refused"
        );
    }
    answer::refusal(&refusal.reason.to_string(), refusal.retry_after)
}

fn log_failed(gateway: &Gateway, call: &Call, status: StatusCode, reason: &str) {
    let took = gateway.clock.monotonic().saturating_sub(call.started);
    if gateway.lines.allows(Kind::Failed) {
        log::info!(
            request:% = call.request, route = &*call.route.name, status = status.as_u16(),
            reason, ms = took.as_millis() as u64;
            "not served"
        );
    }
}
