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

/// `Running` is a run that is counted on its target until this is dropped.
pub struct Running {
    gateway: Arc<Gateway>,
    /// Where it runs.
    pub placement: Placement,
    result: RunResult,
}

impl Running {
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
    pub fn show(&mut self, result: RunResult) {
        self.result = result;
    }
}

impl Drop for Running {
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
            connection::Error::Cut { .. } => FailurePoint::DuringAnswer,
            connection::Error::Timeout => FailurePoint::Silence,
        };
        Self::new(point, e.to_string())
    }
}

/// `Answering` is an answer whose head is known to belong to the request.
pub struct Answering {
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
    limit: Duration,
) -> Result<Answering, Failure> {
    let exchange = exchange(gateway, ctx, placement, resume_after);
    match tokio::time::timeout(limit, exchange).await {
        Ok(answer) => answer,
        Err(_) => Err(Failure::new(FailurePoint::Silence, "no answer in time")),
    }
}

async fn exchange(
    gateway: &Gateway,
    ctx: &RequestContext,
    placement: &Placement,
    resume_after: Option<&str>,
) -> Result<Answering, Failure> {
    let mut tried_idle = false;
    loop {
        let acquired = if tried_idle {
            Connection::open(placement.address, CONNECT_TIMEOUT).await
        } else {
            gateway
                .target_pool
                .acquire(placement.address, CONNECT_TIMEOUT)
                .await
        };
        let mut connection = acquired?;
        let req = request(gateway, ctx, placement, resume_after);
        match connection.send(req).await {
            // An idle connection that had ended says nothing of the target.
            Err(connection::Error::Unsent) if !tried_idle => tried_idle = true,
            Err(e) => return Err(e.into()),
            Ok(response) => {
                let (head, body) = response.into_parts();
                let answering = Answering {
                    head,
                    body,
                    connection,
                };
                return check(gateway, ctx, placement, answering).await;
            }
        }
    }
}

fn request(
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
async fn check(
    gateway: &Gateway,
    ctx: &RequestContext,
    placement: &Placement,
    answering: Answering,
) -> Result<Answering, Failure> {
    let Answering {
        head,
        body,
        connection,
    } = answering;
    let said = gateway
        .dialect
        .response_head(&ctx.request, head.status, &head.headers);
    if said.is_unexecuted {
        // Read to its end, so that the connection can be used again.
        let rest = body.collect().await;
        if rest.is_ok() {
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
    if !said.echoes_request {
        return Err(Failure::new(
            FailurePoint::Sending,
            "an answer to another request",
        ));
    }
    if head.status.is_success() && !said.is_signed {
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
    Ok(Answering {
        head,
        body,
        connection,
    })
}
