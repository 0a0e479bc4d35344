//! One attempt: a request sent to one target, until the head of its answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::CONTENT_ENCODING;
use hyper::{Request, StatusCode, http};
use samphiresill_attempt::failure::FailurePoint;
use samphiresill_sched::fleet::account::Placement;
use samphiresill_sched::fleet::event::RunResult;

use super::request_context::RequestContext;
use crate::connection::{self, Connection};
use crate::dialect::ForwardMetadata;
use crate::gateway::Gateway;

/// Time for a new connection to a target: several times the way there and back.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// `RunGuard` is a run that is counted on its target until this is dropped.
pub struct RunGuard {
    gateway: Arc<Gateway>,
    /// Where it runs.
    pub placement: Placement,
    result: RunResult,
}

impl RunGuard {
    /// Ends the count of `placement` when dropped.
    #[must_use]
    pub fn new(gateway: Arc<Gateway>, placement: Placement) -> Self {
        Self {
            gateway,
            placement,
            result: RunResult::Unknown,
        }
    }

    /// Says what the run showed of its target.
    pub fn set_result(&mut self, result: RunResult) {
        self.result = result;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let now = self.gateway.clock.monotonic();
        let mut account = self.gateway.account();
        account.end(&self.placement, self.result, now);
    }
}

/// `Failure` is why an attempt gave no answer to pass on.
#[derive(Debug)]
pub struct Failure {
    /// Where it failed.
    pub point: FailurePoint,
    /// What was seen.
    pub cause: String,
    /// The target's own answer, when it is one that may be passed on.
    pub answer: Option<(http::response::Parts, Bytes)>,
}

impl Failure {
    /// A failure without an answer.
    #[must_use]
    pub fn new(point: FailurePoint, cause: impl Into<String>) -> Self {
        Self {
            point,
            cause: cause.into(),
            answer: None,
        }
    }
}

impl From<connection::Error> for Failure {
    fn from(e: connection::Error) -> Self {
        let point = match &e {
            connection::Error::Connect(_) | connection::Error::Unsent => FailurePoint::Connect,
            connection::Error::Broken(_) => FailurePoint::Sending,
            connection::Error::Truncated { .. } => FailurePoint::DuringAnswer,
            connection::Error::Timeout => FailurePoint::Silence,
        };
        Self::new(point, e.to_string())
    }
}

/// `TargetResponse` is an answer whose head is known to belong to the request.
pub struct TargetResponse {
    /// Head of the answer.
    pub head: http::response::Parts,
    /// Body, as it arrives.
    pub body: Incoming,
    /// The connection that it arrives on.
    pub connection: Connection,
}

/// Sends a request to a target and waits at most `limit` for the head of its answer.
///
/// # Errors
/// The point of failure. After a drop of the future, the connection is closed.
pub async fn send(
    gateway: &Gateway,
    ctx: &RequestContext,
    placement: &Placement,
    resume_after: Option<&str>,
    timeout: Duration,
) -> Result<TargetResponse, Failure> {
    let exchange = exchange(gateway, ctx, placement, resume_after);
    match tokio::time::timeout(timeout, exchange).await {
        Ok(result) => result,
        Err(_) => Err(Failure::new(FailurePoint::Silence, "no answer in time")),
    }
}

async fn exchange(
    gateway: &Gateway,
    ctx: &RequestContext,
    placement: &Placement,
    resume_after: Option<&str>,
) -> Result<TargetResponse, Failure> {
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
        let req = target_request(gateway, ctx, placement, resume_after);
        match connection.send(req).await {
            // An idle connection that had ended says nothing of the target.
            Err(connection::Error::Unsent) if !needs_new_connection => needs_new_connection = true,
            Err(e) => return Err(e.into()),
            Ok(response) => {
                let (head, body) = response.into_parts();
                let response = TargetResponse {
                    head,
                    body,
                    connection,
                };
                return validate(gateway, ctx, placement, response).await;
            }
        }
    }
}

fn target_request(
    gateway: &Gateway,
    ctx: &RequestContext,
    placement: &Placement,
    resume_after: Option<&str>,
) -> Request<Full<Bytes>> {
    let forward = ForwardMetadata {
        target: &placement.target,
        time_left: ctx.time_left(gateway.clock.monotonic()),
        customer: ctx.customer.as_ref(),
        copy_from: placement.copy_from,
        resume_after,
    };
    let mut req = Request::new(Full::new(Bytes::clone(&ctx.body)));
    *req.method_mut() = ctx.method.clone();
    *req.uri_mut() = ctx.uri.clone();
    *req.headers_mut() = gateway.dialect.target_headers(&ctx.headers, &forward);
    req
}

/// Tells answers that may go to the caller from those that may not.
async fn validate(
    gateway: &Gateway,
    ctx: &RequestContext,
    placement: &Placement,
    response: TargetResponse,
) -> Result<TargetResponse, Failure> {
    let TargetResponse {
        head,
        body,
        connection,
    } = response;
    let info = gateway
        .dialect
        .response_head(&ctx.request, head.status, &head.headers);
    if info.is_unexecuted {
        // Read to its end, so that the connection can be used again.
        let drained = body.collect().await;
        if drained.is_ok() {
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
        return Err(Failure::new(point, cause));
    }
    // The connection is dropped with a foreign answer: nothing on it can be trusted.
    if !info.echoes_request {
        return Err(Failure::new(
            FailurePoint::Sending,
            "an answer to another request",
        ));
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
