//! Forwards a request: attempts at targets until one responds or no further attempt is allowed.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Body;
use hyper::header::{CONNECTION, HeaderName, TRANSFER_ENCODING};
use hyper::{Response, StatusCode, http};
use samphiresill_attempt::failure::{self, FailureContext, FailurePoint, Verdict};
use samphiresill_core::name::{SoftwareVersion, TargetName};
use samphiresill_core::outcome;
use samphiresill_sched::fleet::admission::Refusal;
use samphiresill_sched::fleet::event::RunResult;
use samphiresill_sched::fleet::request::PlacementRequest;
use samphiresill_sched::fleet::streams::StreamOrigin;
use tokio::time::Instant;

use super::attempt::{self, Failure, RunGuard, Symptom, TargetResponse};
use super::body;
use super::delivery::Delivery;
use super::request_context::RequestContext;
use super::response::{self, ResponseBody};
use super::stream;
use crate::body_budget::Reservation;
use crate::crash_probe;
use crate::customer_log::RefusedBy;
use crate::gateway::{Gateway, InFlightGuard};
use crate::log_budget::Kind;
use crate::metrics;

/// Maximum number of times that a request is sent, including sends that a target refused to
/// execute.
const MAX_SENDS: usize = 3;
/// Time left below which another attempt cannot succeed.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(20);
/// Fraction of the time left that an attempt may use when another one may follow.
const FIRST_ATTEMPT_FRACTION: f64 = 0.45;
/// Timeout for the response head of a stream when another attempt may follow, in multiples of the
/// latency objective: callers abandon a stream after four.
const STREAM_HEAD_TIMEOUT_FACTOR: f64 = 2.5;
/// Value of `Retry-After` when targets refused the request or could not be reached.
const TARGETS_BUSY_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Value of `Retry-After` during a planned stop: another router serves at once.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// `ForwardError` is the reason why a request was not served and no further attempt follows.
#[derive(Debug)]
pub enum ForwardError {
    /// The request was not executed and will not be.
    Refused(Refusal),
    /// No target could be reached, or each stated that it did not execute the request.
    Unavailable,
    /// The request was not sent, because the process may end before its response.
    Stopping,
    /// A target may have executed the request, and its response is lost.
    Lost(FailurePoint),
    /// The deadline of the request has passed.
    TimeUp {
        /// Whether a target may have executed the request.
        has_run: bool,
    },
    /// The error response of a target is to be passed on.
    PassOn(Box<(http::response::Parts, Bytes)>),
}

impl ForwardError {
    /// Outcome under which the metrics count it.
    fn outcome(&self) -> metrics::Outcome {
        match self {
            Self::Refused(_)
            | Self::Unavailable
            | Self::Stopping
            | Self::TimeUp { has_run: false } => metrics::Outcome::Refused,
            Self::TimeUp { has_run: true } => metrics::Outcome::TimeUp,
            Self::Lost(_) => metrics::Outcome::Lost,
            Self::PassOn(_) => metrics::Outcome::TargetFailure,
        }
    }
}

/// `Attempts` tracks the attempts at one request.
pub struct Attempts {
    gateway: Arc<Gateway>,
    ctx: Arc<RequestContext>,
    tried: Vec<TargetName>,
    runs: u32,
    is_placement_requested: bool,
    /// Where the stream began.
    origin: StreamOrigin,
}

impl Attempts {
    /// Creates the state of a request that was not attempted yet.
    #[must_use]
    pub fn new(gateway: Arc<Gateway>, ctx: Arc<RequestContext>) -> Self {
        let origin = gateway.fleet_load().resolve(&ctx.origin());
        Self {
            gateway,
            ctx,
            origin,
            tried: Vec::new(),
            runs: 0,
            is_placement_requested: false,
        }
    }

    /// Returns the gateway and the request.
    #[must_use]
    pub fn parts(&self) -> (Arc<Gateway>, Arc<RequestContext>) {
        (Arc::clone(&self.gateway), Arc::clone(&self.ctx))
    }

    /// Records that the stream holds an event of a run at `version`: it may go on only there.
    pub fn record_begin(&mut self, version: Option<&SoftwareVersion>) {
        self.origin = version.map_or(StreamOrigin::Unknown, |v| StreamOrigin::At(v.clone()));
    }

    /// Places and sends the request until a target responds.
    ///
    /// # Errors
    /// When no further attempt is allowed.
    pub async fn next_response(
        &mut self,
        resume_after: Option<&str>,
    ) -> Result<(RunGuard, TargetResponse), ForwardError> {
        loop {
            let now = self.gateway.clock.monotonic();
            let time_left = self.ctx.time_left(now);
            if time_left < MIN_ATTEMPT_TIME {
                return Err(ForwardError::TimeUp {
                    has_run: self.runs > 0,
                });
            }
            let mut run = self.place().await?;
            let time_left = self.ctx.time_left(self.gateway.clock.monotonic());
            let timeout = self.response_timeout(time_left, run.placement.expected);
            let sent = attempt::send(&self.gateway, &self.ctx, &run, resume_after, timeout);
            match sent.await {
                Ok(response) => return Ok((run, response)),
                Err(failure) => self.handle_failure(&mut run, failure)?,
            }
        }
    }

    /// Records the failure of an attempt. Another attempt may follow when this returns `Ok`.
    ///
    /// # Errors
    /// When no further attempt is allowed.
    pub fn handle_failure(
        &mut self,
        run: &mut RunGuard,
        failure: Failure,
    ) -> Result<(), ForwardError> {
        let now = self.gateway.clock.monotonic();
        let target = run.placement.target.clone();
        run.set_result(run_result(&failure));
        if failure.symptom == Symptom::BrokenConnection {
            let mut fleet_load = self.gateway.fleet_load();
            fleet_load.record_broken_connection(&run.placement, now);
        }
        if failure.symptom == Symptom::Stalled {
            self.gateway.fleet_load().record_stall(&target, now);
        }
        if let Some(generation) = self.ctx.generation.as_ref()
            && failure.symptom == Symptom::BrokenConnection
        {
            crash_probe::record_broken_run(&self.gateway, &run.placement, generation);
        }
        if failure.point.may_have_run() || failure.response.is_some() {
            self.runs += 1;
        }
        let context = FailureContext {
            retry_class: self.ctx.retry_class(),
            // A run whose response was lost counts as one that delivered nothing.
            has_delivered: false,
            is_deterministic: false,
            may_retry: self.can_retry(&failure, now),
        };
        let verdict = failure::verdict(failure.point, context);
        self.gateway
            .metrics
            .record_failed_attempt(&failure.point.to_string());
        if self.gateway.log_budget.allows(Kind::Failed) {
            log::info!(
                request:% = self.ctx.request, target:%, point:% = failure.point,
                cause = failure.cause.as_str(), verdict:%, runs = self.runs,
                parts = self.ctx.prompt_parts();
                "attempt failed"
            );
        }
        match verdict {
            Verdict::Retry => {
                self.tried.push(target);
                Ok(())
            }
            Verdict::PassOn => Err(failure
                .response
                .map_or(ForwardError::Lost(failure.point), |response| {
                    ForwardError::PassOn(Box::new(response))
                })),
            Verdict::Refuse(outcome::Refusal::TargetUnavailable) if self.runs == 0 => {
                Err(ForwardError::Unavailable)
            }
            _ if self.ctx.time_left(now) < MIN_ATTEMPT_TIME => Err(ForwardError::TimeUp {
                has_run: self.runs > 0,
            }),
            _ => Err(ForwardError::Lost(failure.point)),
        }
    }

    /// Whether another run of the request is allowed after the current one.
    #[must_use]
    pub fn allows_another_run(&self) -> bool {
        self.ctx.route.request_kind.is_repeatable()
            && self.runs + 1 < self.ctx.route.max_attempts
            && self.tried.len() + 1 < MAX_SENDS
    }

    /// Finds a target. The request is queued while capacity is expected soon.
    async fn place(&mut self) -> Result<RunGuard, ForwardError> {
        let began = self.gateway.clock.monotonic();
        loop {
            if self.runs == 0 && !self.gateway.allows_run_until(self.ctx.deadline) {
                return Err(ForwardError::Stopping);
            }
            let now = self.gateway.clock.monotonic();
            let avoided = self
                .gateway
                .fleet_load()
                .avoided_targets(&self.ctx.service, now);
            let req = PlacementRequest {
                customer: self.ctx.customer.as_ref(),
                service: &self.ctx.service,
                generation: self.ctx.generation.as_ref(),
                latency_objective: self.ctx.route.latency_objective,
                time_left: self.ctx.time_left(now),
                domain: &self.gateway.domain,
                tried: &self.tried,
                avoided: &avoided,
                is_first_attempt: !std::mem::replace(&mut self.is_placement_requested, true),
                waited: now.saturating_sub(began),
                has_run: self.runs > 0,
                origin: &self.origin,
            };
            match self.gateway.peers.place(&self.gateway, &req).await {
                Ok(placement) => {
                    self.gateway.metrics.record_queueing(req.waited);
                    return Ok(RunGuard::new(Arc::clone(&self.gateway), placement));
                }
                Err(refusal) => match refusal.recheck_in {
                    Some(pause) => tokio::time::sleep(pause).await,
                    None if self.runs > 0 => return Err(ForwardError::Lost(FailurePoint::Connect)),
                    None => return Err(ForwardError::Refused(refusal)),
                },
            }
        }
    }

    fn response_timeout(&self, time_left: Duration, expected: Duration) -> Duration {
        if !self.allows_another_run() {
            return time_left;
        }
        let timeout = if self.ctx.is_stream() {
            self.ctx
                .route
                .latency_objective
                .mul_f64(STREAM_HEAD_TIMEOUT_FACTOR)
                .max(expected * 2)
        } else {
            time_left.mul_f64(FIRST_ATTEMPT_FRACTION)
        };
        timeout.min(time_left)
    }

    fn can_retry(&self, failure: &Failure, now: Duration) -> bool {
        let has_time = self.ctx.time_left(now) > MIN_ATTEMPT_TIME;
        if !has_time || self.tried.len() + 1 >= MAX_SENDS {
            return false;
        }
        match failure.point {
            FailurePoint::Connect => true,
            FailurePoint::NotExecuted | FailurePoint::Misdirected => {
                self.gateway.try_withdraw_retry(&self.ctx.service)
            }
            _ => {
                self.ctx.route.request_kind.is_repeatable()
                    && self.runs < self.ctx.route.max_attempts
                    && self.gateway.try_withdraw_retry(&self.ctx.service)
            }
        }
    }
}

/// Forwards a request and returns the response to the caller. `stream` counts a stream towards the
/// stream limit until it ends, and is its memory.
pub async fn forward(
    gateway: &Arc<Gateway>,
    ctx: RequestContext,
    stream: Option<(InFlightGuard, Delivery)>,
) -> Response<ResponseBody> {
    gateway.deposit_retries(&ctx.service);
    let ctx = Arc::new(ctx);
    let mut attempts = Attempts::new(Arc::clone(gateway), Arc::clone(&ctx));
    loop {
        let (mut run, response) = match attempts.next_response(ctx.last_event.as_deref()).await {
            Ok(next) => next,
            Err(error) => return error_response(gateway, &ctx, error),
        };
        if response.head.status.is_success()
            && let Some((in_flight, delivery)) = stream
        {
            return stream::start(attempts, run, response, delivery, in_flight);
        }
        match read_full(gateway, &ctx, &mut run, &attempts, response).await {
            Ok(response) => return response,
            Err(failure) => {
                if let Err(error) = attempts.handle_failure(&mut run, failure) {
                    return error_response(gateway, &ctx, error);
                }
            }
        }
    }
}

/// Reads the complete response before it is delivered, so that another attempt can replace one that
/// ends prematurely.
async fn read_full(
    gateway: &Arc<Gateway>,
    ctx: &RequestContext,
    run: &mut RunGuard,
    attempts: &Attempts,
    response: TargetResponse,
) -> Result<Response<ResponseBody>, Failure> {
    let TargetResponse {
        head,
        body,
        connection,
    } = response;
    let time_left = ctx.time_left(gateway.clock.monotonic());
    let until = Instant::now() + time_left;
    let length = body.size_hint().exact().unwrap_or(0);
    let reservation = reserve(gateway, run, length, until).await?;
    let read = tokio::time::timeout_at(until, body::read(body, reservation)).await;
    let timed_out = |_| Failure::new(FailurePoint::Silence, "the body did not arrive in time");
    let bytes = read.map_err(timed_out)??;
    let placement = &run.placement;
    gateway
        .target_pool
        .release(placement.address, connection, &head.headers);
    if head.status.is_server_error() && attempts.allows_another_run() {
        let mut failure = Failure::new(FailurePoint::RefusedByTarget, head.status.to_string());
        failure.response = Some((head, bytes));
        return Err(failure);
    }
    let now = gateway.clock.monotonic();
    let took = now.saturating_sub(ctx.started);
    let target = placement.target.clone();
    let (result, outcome) = if head.status.is_server_error() {
        (RunResult::Failed, metrics::Outcome::TargetFailure)
    } else {
        // The time that the request waited in this router says nothing about the target.
        let ms = now.saturating_sub(run.placed_at).as_millis() as u32;
        (RunResult::Answered { ms }, metrics::Outcome::Served)
    };
    run.set_result(result);
    gateway
        .metrics
        .record_request(ctx.route.request_kind, outcome, took);
    if gateway.log_budget.allows(Kind::Served) {
        log::info!(
            request:% = ctx.request, target:%, status = head.status.as_u16(),
            ms = took.as_millis() as u64;
            "answered"
        );
    }
    Ok(forward_response(head, ResponseBody::full(bytes)))
}

/// Reserves memory for a response of a known length. While callers that read slowly hold the memory,
/// the response is not read, so that its target waits.
async fn reserve(
    gateway: &Gateway,
    run: &RunGuard,
    length: u64,
    until: Instant,
) -> Result<Reservation, Failure> {
    let mut reservation = gateway.body_budget.new_reservation();
    let length = usize::try_from(length).unwrap_or(usize::MAX);
    // `body::read` fails on a longer body.
    if length > body::MAX_BODY_BYTES || reservation.grow(length) {
        return Ok(reservation);
    }
    gateway.fleet_load().hold_run(&run.placement);
    let reserved = tokio::time::timeout_at(until, gateway.body_budget.reserve(length)).await;
    let now = gateway.clock.monotonic();
    gateway.fleet_load().resume_run(&run.placement, now);
    reserved.ok().flatten().ok_or_else(body::no_memory)
}

/// Result of a failed attempt that is reported to the fleet load.
fn run_result(failure: &Failure) -> RunResult {
    match failure.point {
        _ if failure.symptom == Symptom::Cancelled => RunResult::Unknown,
        FailurePoint::NotExecuted if failure.symptom == Symptom::Rejected => RunResult::Rejected,
        // `Misdirected`: another target has taken over the address.
        FailurePoint::Connect | FailurePoint::Misdirected => RunResult::Unreachable,
        _ => RunResult::Failed,
    }
}

/// Creates the response to the caller from a target's response, without hop-by-hop headers.
#[must_use]
pub fn forward_response(head: http::response::Parts, body: ResponseBody) -> Response<ResponseBody> {
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

fn error_response(
    gateway: &Gateway,
    ctx: &RequestContext,
    error: ForwardError,
) -> Response<ResponseBody> {
    let took = gateway.clock.monotonic().saturating_sub(ctx.started);
    gateway
        .metrics
        .record_request(ctx.route.request_kind, error.outcome(), took);
    let (status, reason) = match error {
        ForwardError::Refused(refusal) => return refusal_response(gateway, ctx, &refusal),
        ForwardError::PassOn(response) => {
            let (head, bytes) = *response;
            log_not_served(gateway, ctx, head.status, "the target's own failure");
            return forward_response(head, ResponseBody::full(bytes));
        }
        ForwardError::Unavailable | ForwardError::TimeUp { has_run: false } => {
            let reason = "no target took it";
            log_not_served(gateway, ctx, StatusCode::SERVICE_UNAVAILABLE, reason);
            return response::refusal(reason, TARGETS_BUSY_RETRY_AFTER);
        }
        ForwardError::Stopping => {
            let reason = "the router stops";
            log_not_served(gateway, ctx, StatusCode::SERVICE_UNAVAILABLE, reason);
            return response::refusal(reason, STOPPING_RETRY_AFTER);
        }
        ForwardError::Lost(FailurePoint::Silence) | ForwardError::TimeUp { has_run: true } => {
            (StatusCode::GATEWAY_TIMEOUT, "no answer in time".to_owned())
        }
        ForwardError::Lost(point) => {
            let reason = format!("the target's answer is lost: {point}");
            (StatusCode::BAD_GATEWAY, reason)
        }
    };
    log_not_served(gateway, ctx, status, &reason);
    response::local(status, &reason)
}

/// Responds to a request that was refused, and logs the inputs of the decision.
fn refusal_response(
    gateway: &Gateway,
    ctx: &RequestContext,
    refusal: &Refusal,
) -> Response<ResponseBody> {
    super::record_refusal(gateway, ctx, RefusedBy::Scheduler(refusal.reason));
    let basis = refusal.basis;
    if gateway.log_budget.allows(Kind::Refused) {
        log::info!(
            request:% = ctx.request, route = &*ctx.route.name, reason:% = refusal.reason,
            wait_ms = basis.wait.as_millis() as u64,
            token_interval_ms = basis.token_interval_ms,
            interval_target_ms = basis.interval_target_ms, share_ratio = basis.share_ratio,
            queued_ms = basis.waited.as_millis() as u64,
            retry_after_ms = refusal.retry_after.as_millis() as u64;
            "refused"
        );
    }
    response::refusal(&refusal.reason.to_string(), refusal.retry_after)
}

fn log_not_served(gateway: &Gateway, ctx: &RequestContext, status: StatusCode, reason: &str) {
    let took = gateway.clock.monotonic().saturating_sub(ctx.started);
    if gateway.log_budget.allows(Kind::Failed) {
        log::info!(
            request:% = ctx.request, route = &*ctx.route.name, status = status.as_u16(),
            reason, ms = took.as_millis() as u64;
            "not served"
        );
    }
}
