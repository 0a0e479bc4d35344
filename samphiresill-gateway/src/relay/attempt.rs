//! An attempt: sends a request to one target and waits for the head of the response.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::CONTENT_ENCODING;
use hyper::{Request, StatusCode, http};
use samphiresill_attempt::failure::FailurePoint;
use samphiresill_core::name::SoftwareVersion;
use samphiresill_sched::fleet::event::RunResult;
use samphiresill_sched::fleet::load::Placement;

use super::body;
use super::request_context::RequestContext;
use crate::connection::{self, Connection};
use crate::dialect::{Directives, Echo, ForwardMetadata};
use crate::gateway::Gateway;
use crate::log_budget::Kind;

/// Timeout for establishing a connection to a target: several round trips.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// `RunGuard` counts a run on its target in the fleet load until it is dropped.
pub struct RunGuard {
    gateway: Arc<Gateway>,
    /// Placement of the run.
    pub placement: Placement,
    /// When it was placed.
    pub placed_at: Duration,
    /// When the listed instance of its target started, in Unix milliseconds; `None` when it was not
    /// listed.
    started_ms: Option<u64>,
    /// Version of the software of its target, as listed when the run was placed.
    pub version: Option<SoftwareVersion>,
    result: RunResult,
}

impl RunGuard {
    /// Creates the guard of a run that is already counted by `placement`.
    #[must_use]
    pub fn new(gateway: Arc<Gateway>, placement: Placement) -> Self {
        let (started_ms, version) = {
            let fleet_load = gateway.fleet_load();
            let target = &placement.target;
            (
                fleet_load.started_ms(target),
                fleet_load.software_version(target),
            )
        };
        Self {
            placed_at: gateway.clock.monotonic(),
            gateway,
            placement,
            started_ms,
            version,
            result: RunResult::Unknown,
        }
    }

    /// Sets the result that is reported to the fleet load when the run ends.
    pub fn set_result(&mut self, result: RunResult) {
        self.result = result;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let now = self.gateway.clock.monotonic();
        let mut fleet_load = self.gateway.fleet_load();
        fleet_load.end(&self.placement, self.result, now);
    }
}

/// `Symptom` is what a failed attempt shows about its target, beside the stage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Symptom {
    /// Nothing more.
    #[default]
    None,
    /// The connection broke after the request was sent, as it does in a crash.
    BrokenConnection,
    /// This router broke the attempt off, which tells nothing about the target.
    Cancelled,
    /// The target was full: it turned the request away with status 503, and neither leaves nor names a
    /// limit that explains it.
    Rejected,
    /// The target has not read the request, or acknowledged nothing, for too long.
    Stalled,
}

/// `Failure` is the reason why an attempt produced no response that may be delivered.
#[derive(Debug)]
pub struct Failure {
    /// Stage at which the attempt failed.
    pub point: FailurePoint,
    /// Description of the failure for the log.
    pub cause: String,
    /// The error response of the target, when it may be passed on.
    pub response: Option<(http::response::Parts, Bytes)>,
    /// What it shows beside the stage.
    pub symptom: Symptom,
}

impl Failure {
    /// Creates a failure without a response.
    #[must_use]
    pub fn new(point: FailurePoint, cause: impl Into<String>) -> Self {
        Self {
            point,
            cause: cause.into(),
            response: None,
            symptom: Symptom::None,
        }
    }

    /// Creates the failure of a connection that broke during a response.
    #[must_use]
    pub fn broken_response(cause: impl Into<String>) -> Self {
        Self {
            symptom: Symptom::BrokenConnection,
            ..Self::new(FailurePoint::DuringAnswer, cause)
        }
    }
}

impl From<connection::Error> for Failure {
    fn from(e: connection::Error) -> Self {
        let point = match &e {
            connection::Error::InvalidPath(_)
            | connection::Error::Connect(_)
            | connection::Error::Unsent => FailurePoint::Connect,
            connection::Error::Broken(_) => FailurePoint::Sending,
            connection::Error::Truncated { .. } => FailurePoint::DuringAnswer,
            connection::Error::Stalled | connection::Error::Timeout => FailurePoint::Silence,
        };
        let symptom = match &e {
            connection::Error::Broken(_) | connection::Error::Truncated { .. } => {
                Symptom::BrokenConnection
            }
            connection::Error::Stalled => Symptom::Stalled,
            _ => Symptom::None,
        };
        Self {
            symptom,
            ..Self::new(point, e.to_string())
        }
    }
}

/// `TargetResponse` is a response whose head has been checked to belong to the request.
pub struct TargetResponse {
    /// Head of the response.
    pub head: http::response::Parts,
    /// Body, which may still be arriving.
    pub body: Incoming,
    /// Connection on which the body arrives.
    pub connection: Connection,
}

/// Sends a request to a target and waits at most `timeout` for the head of the response. Dropping
/// the future closes the connection. A request of whose prompt a part is quarantined meanwhile is
/// cancelled, before it crashes the target.
///
/// # Errors
/// When the attempt fails; the failure contains the stage.
pub async fn send(
    gateway: &Gateway,
    ctx: &RequestContext,
    run: &RunGuard,
    resume_after: Option<&str>,
    timeout: Duration,
) -> Result<TargetResponse, Failure> {
    let exchange = exchange(gateway, ctx, run, resume_after);
    tokio::select! {
        sent = tokio::time::timeout(timeout, exchange) => match sent {
            Ok(result) => result,
            Err(_) => Err(Failure::new(FailurePoint::Silence, "no answer in time")),
        },
        () = quarantined(gateway, ctx) => Err(Failure {
            symptom: Symptom::Cancelled,
            ..Failure::new(FailurePoint::Sending, "cancelled, a prompt part is quarantined")
        }),
    }
}

/// Waits until a part of the prompt is quarantined.
async fn quarantined(gateway: &Gateway, ctx: &RequestContext) {
    let Some(generation) = &ctx.generation else {
        return std::future::pending().await;
    };
    let mut changes = gateway.quarantine_changed.subscribe();
    loop {
        let now = gateway.clock.monotonic();
        let remaining = gateway.fleet_load().quarantine_remaining(generation, now);
        if remaining.is_some() {
            return;
        }
        if changes.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}

async fn exchange(
    gateway: &Gateway,
    ctx: &RequestContext,
    run: &RunGuard,
    resume_after: Option<&str>,
) -> Result<TargetResponse, Failure> {
    let placement = &run.placement;
    let mut needs_new_connection = false;
    loop {
        let acquired = if needs_new_connection {
            Connection::open(placement.address, CONNECT_TIMEOUT).await
        } else {
            gateway
                .target_pool
                .acquire(placement.address, CONNECT_TIMEOUT)
                .await
        };
        let mut connection = acquired?;
        // The domain may have been evacuated while the request waited for its placement by a scheduler
        // that did not know it yet, or for the connection.
        if gateway.fleet_load().is_evacuated(&placement.target) {
            return Err(Failure {
                symptom: Symptom::Cancelled,
                ..Failure::new(FailurePoint::Connect, "the failure domain is evacuated")
            });
        }
        let req = target_request(gateway, ctx, placement, resume_after);
        let sent_at = gateway.clock.monotonic();
        match connection.send(req).await {
            // That an idle connection was closed does not indicate a failure of the target.
            Err(connection::Error::Unsent) if !needs_new_connection => needs_new_connection = true,
            Err(e) => return Err(e.into()),
            Ok(response) => {
                let (head, body) = response.into_parts();
                let response = TargetResponse {
                    head,
                    body,
                    connection,
                };
                return validate(gateway, ctx, run, response, sent_at).await;
            }
        }
    }
}

fn target_request(
    gateway: &Gateway,
    ctx: &RequestContext,
    placement: &Placement,
    resume_after: Option<&str>,
) -> Request<Bytes> {
    let forward = ForwardMetadata {
        target: &placement.target,
        time_left: ctx.time_left(gateway.clock.monotonic()),
        customer: ctx.customer.as_ref(),
        copy_from: placement.copy_from,
        resume_after,
    };
    let mut req = Request::new(ctx.body.clone());
    *req.method_mut() = ctx.method.clone();
    *req.uri_mut() = ctx.uri.clone();
    *req.headers_mut() = gateway.dialect.target_headers(&ctx.headers, &forward);
    req
}

/// Records what a response tells about the load that its target accepts.
fn observe_directives(gateway: &Gateway, run: &RunGuard, told: Directives, sent_at: Duration) {
    if told.rate_limit.is_some() {
        gateway.metrics.record_limited_response();
    }
    let now = gateway.clock.monotonic();
    let target = &run.placement.target;
    let mut fleet_load = gateway.fleet_load();
    fleet_load.observe_limit(&run.placement, told.rate_limit, sent_at, now);
    let started_ms = run.started_ms.filter(|_| told.is_leaving);
    let is_new =
        started_ms.is_some_and(|started_ms| fleet_load.record_leaving(target, started_ms, now));
    if let (Some(started_ms), Some(pause)) = (run.started_ms, told.pause) {
        fleet_load.record_pause(target, started_ms, pause, now);
    }
    drop(fleet_load);
    if is_new {
        log::info!(target:%, started_ms; "target leaves");
    }
    if let Some(pause) = told.pause
        && gateway.log_budget.allows(Kind::Failed)
    {
        log::info!(target:%, pause_ms = pause.as_millis() as u64; "target turns requests away");
    }
}

/// Checks that a response may be delivered to the caller: the target executed this request, signed
/// a successful response, and did not encode the body or switch protocols.
async fn validate(
    gateway: &Gateway,
    ctx: &RequestContext,
    run: &RunGuard,
    response: TargetResponse,
    sent_at: Duration,
) -> Result<TargetResponse, Failure> {
    let placement = &run.placement;
    let TargetResponse {
        head,
        body,
        connection,
    } = response;
    let info = gateway
        .dialect
        .response_head(&ctx.request, head.status, &head.headers);
    // Whatever request it refuses, the target means what it says of its load.
    let is_from_target =
        info.echo != Echo::Foreign && head.status != StatusCode::MISDIRECTED_REQUEST;
    if is_from_target {
        observe_directives(gateway, run, info.directives, sent_at);
    }
    // A refusal may omit the request's id. On a kept connection it may then be the copy of an earlier
    // one, and the target may run this request.
    let is_own = match info.echo {
        Echo::Own => true,
        Echo::Foreign => false,
        Echo::Absent => info.is_unexecuted && connection.is_first_request(),
    };
    // The connection is dropped, since nothing on it can be trusted.
    if !is_own {
        return Err(Failure::new(
            FailurePoint::Sending,
            "an answer to another request",
        ));
    }
    if info.is_unexecuted {
        // The head alone states the refusal; only the reuse of the connection needs the body.
        if body::discard(body).await {
            gateway
                .target_pool
                .release(placement.address, connection, &head.headers);
        }
        let point = if head.status == StatusCode::MISDIRECTED_REQUEST {
            FailurePoint::Misdirected
        } else {
            FailurePoint::NotExecuted
        };
        let cause = format!("the target did not run it, status {}", head.status);
        let told = info.directives;
        let is_full = head.status == StatusCode::SERVICE_UNAVAILABLE
            && !told.is_leaving
            && told.rate_limit.is_none();
        return Err(Failure {
            symptom: if is_full {
                Symptom::Rejected
            } else {
                Symptom::None
            },
            ..Failure::new(point, cause)
        });
    }
    if head.status.is_success() && !info.is_signed {
        return Err(Failure::new(
            FailurePoint::DuringAnswer,
            "a success without proof of origin",
        ));
    }
    if head.headers.contains_key(CONTENT_ENCODING) {
        return Err(Failure::new(FailurePoint::DuringAnswer, "an encoded body"));
    }
    if head.status == StatusCode::SWITCHING_PROTOCOLS {
        return Err(Failure::new(
            FailurePoint::DuringAnswer,
            "a switch of protocols",
        ));
    }
    Ok(TargetResponse {
        head,
        body,
        connection,
    })
}
