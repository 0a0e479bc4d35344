//! The request path: admission, routing, attempts at targets, and the response.

pub mod attempt;
mod body;
mod delivery;
pub mod events;
pub mod forward;
pub mod framing;
pub mod request_context;
pub mod response;
pub mod stream;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderValue};
use hyper::{Request, Response, StatusCode};
use samphiresill_core::name::{CustomerName, RequestId};
use samphiresill_core::routing::{CallerLimits, RequestKind, Route, RoutingTable};
use samphiresill_sched::fleet::overload::StreamLimiter;

use self::delivery::Delivery;
use self::request_context::RequestContext;
use self::response::ResponseBody;
use crate::body_budget::{BodyBuffer, Reservation};
use crate::customer_log::RefusedBy;
use crate::dialect::CallerHead;
use crate::gateway::Gateway;
use crate::log_budget;
use crate::metrics::Outcome;

/// Value of `Retry-After` while no configuration is known.
const NO_CONFIGURATION_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Value of `Retry-After` while the memory for bodies is exhausted: most requests end, and release
/// their bodies, within a second.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// `Rejection` is the response to a request that is not forwarded, and the reason.
struct Rejection {
    response: Response<ResponseBody>,
    reason: &'static str,
}

/// Boxed to keep the `Result` small for requests that are admitted.
type BoxedRejection = Box<Rejection>;

fn reject(status: StatusCode, reason: &'static str) -> BoxedRejection {
    let response = response::local(status, reason);
    Box::new(Rejection { response, reason })
}

fn reject_with_retry_after(reason: &'static str, delay: Duration) -> BoxedRejection {
    let response = response::refusal(reason, delay);
    Box::new(Rejection { response, reason })
}

fn record_rejection(gateway: &Gateway, request: Option<&RequestId>, rejection: &Rejection) {
    gateway
        .metrics
        .record_not_admitted(rejection.response.status());
    if gateway.log_budget.allows(log_budget::Kind::Refused) {
        log::info!(
            request = request.map(ToString::to_string), reason = rejection.reason,
            status = rejection.response.status().as_u16(),
            revision = gateway.routing_state.versions().revision,
            free_bytes = gateway.body_budget.free();
            "not admitted"
        );
    }
}

/// Counts a refused request for its customer.
fn record_refusal(gateway: &Gateway, ctx: &RequestContext, by: RefusedBy) {
    if let Some((customer, cost)) = ctx.customer_cost() {
        let log = &gateway.customer_log;
        log.record_refusal(&gateway.metrics, customer, by, cost);
    }
}

/// Handles a request of a caller.
pub async fn handle(gateway: Arc<Gateway>, req: Request<Incoming>) -> Response<ResponseBody> {
    let started = gateway.clock.monotonic();
    let head = gateway.dialect.caller_head(req.headers());
    let request = head.request.clone();
    match receive_request(&gateway, req, head, started).await {
        Ok(ctx) => serve(&gateway, ctx).await,
        Err(rejection) => {
            record_rejection(&gateway, request.as_ref(), &rejection);
            rejection.response
        }
    }
}

/// Forwards a request, unless its response is a stream and the stream limit is reached.
async fn serve(gateway: &Arc<Gateway>, ctx: RequestContext) -> Response<ResponseBody> {
    if !ctx.is_stream() {
        return forward::forward(gateway, ctx, None).await;
    }
    if let Some((customer, cost)) = ctx.customer_cost() {
        gateway.customer_log.record_request(customer, cost);
    }
    let Some(delivery) = Delivery::new(&gateway.body_budget) else {
        record_refusal(gateway, &ctx, RefusedBy::Memory);
        let refusal = memory_exhausted("no memory for another stream");
        record_rejection(gateway, Some(&ctx.request), &refusal);
        return refusal.response;
    };
    if let Some(stream) = gateway.begin_stream(ctx.is_continuation()) {
        return forward::forward(gateway, ctx, Some((stream, delivery))).await;
    }
    record_refusal(gateway, &ctx, RefusedBy::StreamLimit);
    if gateway.log_budget.allows(log_budget::Kind::Refused) {
        log::info!(request:% = ctx.request; "refused, processor overloaded");
    }
    let took = gateway.clock.monotonic().saturating_sub(ctx.started);
    gateway
        .metrics
        .record_request(ctx.route.request_kind, Outcome::Overloaded, took);
    let delay = StreamLimiter::retry_after(rand::random());
    let mut refusal = response::refusal("router overloaded", delay);
    // On a new connection, the load balancer chooses a router again.
    let close = HeaderValue::from_static("close");
    refusal.headers_mut().insert(CONNECTION, close);
    refusal
}

/// Finds the route and the customer of a request, and reads its body.
async fn receive_request(
    gateway: &Gateway,
    req: Request<Incoming>,
    head: CallerHead,
    started: Duration,
) -> Result<RequestContext, BoxedRejection> {
    let Some(table) = gateway.routing_state.table() else {
        let reason = "no configuration yet";
        return Err(reject_with_retry_after(
            reason,
            NO_CONFIGURATION_RETRY_AFTER,
        ));
    };
    if head_size(&req) > table.limits.head_bytes {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return Err(reject(status, "the request head is too large"));
    }
    let (route, customer) = match_route(&table, &req, &head)?;
    let Some(request) = head.request else {
        let reason = "the request has no id";
        return Err(reject(StatusCode::BAD_REQUEST, reason));
    };
    let (parts, body) = req.into_parts();
    let body = read_body(gateway, table.limits, &parts.headers, body).await?;
    let timeout = head.timeout.unwrap_or(route.timeout).min(route.timeout);
    let service = route.service(rand::random()).clone();
    let is_generation = matches!(route.request_kind, RequestKind::Generation { .. });
    let engine = table.services.get(&service).and_then(|s| s.engine.as_ref());
    let is_engine = engine.is_some();
    if let (Some(engine), Some(generation)) = (engine, &head.generation)
        && !generation.fits(engine)
    {
        // No engine of the service will ever hold it, so that there is no time to retry at.
        let reason = "the prompt and the output exceed the memory of an engine";
        return Err(reject(StatusCode::PAYLOAD_TOO_LARGE, reason));
    }
    Ok(RequestContext {
        request,
        service,
        customer,
        generation: head
            .generation
            .or_else(|| is_generation.then(Default::default))
            .filter(|_| is_engine),
        last_event: head.last_event,
        resumes: head.resumes,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        started,
        deadline: started + timeout,
        route,
    })
}

/// Size of a request head as it was received, in bytes.
fn head_size(req: &Request<Incoming>) -> usize {
    const REQUEST_LINE_OVERHEAD: usize = "  HTTP/1.1\r\n".len();
    const FIELD_OVERHEAD: usize = ": \r\n".len();
    let target = req.uri().path_and_query().map_or(1, |p| p.as_str().len());
    let fields = req.headers().iter();
    let fields = fields.map(|(name, value)| name.as_str().len() + value.len() + FIELD_OVERHEAD);
    req.method().as_str().len() + target + REQUEST_LINE_OVERHEAD + fields.sum::<usize>() + 2
}

fn match_route(
    table: &RoutingTable,
    req: &Request<Incoming>,
    head: &CallerHead,
) -> Result<(Arc<Route>, Option<CustomerName>), BoxedRejection> {
    let host = req.headers().get(HOST).and_then(|h| h.to_str().ok());
    let host = host.or_else(|| req.uri().host()).unwrap_or_default();
    let Some(route) = table.route(host, req.uri().path()) else {
        return Err(reject(StatusCode::NOT_FOUND, "no such route"));
    };
    if route.allows_anonymous {
        return Ok((Arc::clone(route), None));
    }
    let customer = head.key.as_deref().and_then(|key| table.customer(key));
    if customer.is_none() {
        return Err(reject(StatusCode::UNAUTHORIZED, "unknown key"));
    }
    Ok((Arc::clone(route), customer.cloned()))
}

/// Reads a complete body within the limits of the configuration and the memory budget.
async fn read_body(
    gateway: &Gateway,
    limits: CallerLimits,
    headers: &hyper::HeaderMap,
    body: Incoming,
) -> Result<Bytes, BoxedRejection> {
    let length = headers
        .get(CONTENT_LENGTH)
        .and_then(|l| l.to_str().ok()?.parse::<usize>().ok());
    let mut reservation = gateway.body_budget.new_reservation();
    let expected = length.unwrap_or(0);
    if expected > limits.body_bytes {
        return Err(body_too_large());
    }
    if !reservation.grow(expected) {
        return Err(body_memory_exhausted());
    }
    let reading = read_chunks(body, limits.body_bytes, reservation);
    tokio::time::timeout(limits.idle_timeout, reading)
        .await
        .unwrap_or_else(|_| {
            let reason = "the body did not arrive in time";
            Err(reject(StatusCode::REQUEST_TIMEOUT, reason))
        })
}

async fn read_chunks(
    mut body: Incoming,
    limit: usize,
    reservation: Reservation,
) -> Result<Bytes, BoxedRejection> {
    let mut buf = BodyBuffer::new(reservation);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| {
            log::debug!(error:% = e; "request body ended prematurely");
            reject(StatusCode::BAD_REQUEST, "the body broke off")
        })?;
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        if buf.len() + chunk.len() > limit {
            return Err(body_too_large());
        }
        if !buf.push(&chunk) {
            return Err(body_memory_exhausted());
        }
    }
    Ok(buf.into_bytes())
}

fn body_too_large() -> BoxedRejection {
    reject(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")
}

/// Refuses a request whose body does not fit into the memory budget.
fn body_memory_exhausted() -> BoxedRejection {
    memory_exhausted("no memory for another body")
}

/// Refuses a request for which the budget has no memory. The connection is closed, because the rest of
/// a body may be unread, and another gateway may have memory.
fn memory_exhausted(reason: &'static str) -> BoxedRejection {
    let mut rejection = reject_with_retry_after(reason, NO_MEMORY_RETRY_AFTER);
    let close = HeaderValue::from_static("close");
    rejection.response.headers_mut().insert(CONNECTION, close);
    rejection
}
