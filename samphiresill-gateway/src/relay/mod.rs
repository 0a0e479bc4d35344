//! The request path: routing, attempts at targets, the answer.

pub mod answer;
pub mod attempt;
pub mod call;
pub mod events;
pub mod forward;
pub mod stream;

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderValue};
use hyper::{Request, Response, StatusCode};
use samphiresill_core::name::CustomerName;
use samphiresill_core::routing::{CallerLimits, Exchange, Route, RoutingTable};
use samphiresill_sched::fleet::overload::Overload;

use self::answer::Answer;
use self::call::Call;
use crate::body_budget::{Body, Reservation};
use crate::dialect::CallerHead;
use crate::gateway::Gateway;
use crate::log_budget;
use crate::metrics::End;

/// `Retry-After` while no configuration is known.
const NO_CONFIGURATION_RETRY: Duration = Duration::from_millis(500);

/// `Retry-After` while the memory for bodies is taken: bodies are gone with their requests, most
/// of which end within a second.
const NO_MEMORY_RETRY: Duration = Duration::from_secs(1);

/// `Refused` is an answer of the gateway itself, in place of a request that can be forwarded.
type Refused = Box<Response<Answer>>;

/// Serves one request of a caller.
pub async fn handle(gateway: Arc<Gateway>, req: Request<Incoming>) -> Response<Answer> {
    let started = gateway.clock.monotonic();
    match read(&gateway, req, started).await {
        Ok(call) => serve(&gateway, call).await,
        Err(refused) => *refused,
    }
}

/// Forwards a request, unless it is a stream that the processor cannot relay.
async fn serve(gateway: &Arc<Gateway>, call: Call) -> Response<Answer> {
    if !call.is_stream() {
        return forward::forward(gateway, call, None).await;
    }
    if let Some(stream) = gateway.begin_stream() {
        return forward::forward(gateway, call, Some(stream)).await;
    }
    if gateway.lines.allows(log_budget::Kind::Refused) {
        log::info!(request:% = call.request; "refused, processor overloaded");
    }
    let took = gateway.clock.monotonic().saturating_sub(call.started);
    gateway
        .metrics
        .ended(call.route.exchange, End::Overloaded, took);
    let delay = Overload::retry_after(rand::random());
    let mut refusal = answer::refusal("router overloaded", delay);
    // The balancer chooses a router for each new connection.
    let close = HeaderValue::from_static("close");
    refusal.headers_mut().insert(CONNECTION, close);
    refusal
}

/// Reads a request whole and finds its route and its customer.
async fn read(
    gateway: &Gateway,
    req: Request<Incoming>,
    started: Duration,
) -> Result<Call, Refused> {
    let Some(table) = gateway.knowledge.table() else {
        let refusal = answer::refusal("no configuration yet", NO_CONFIGURATION_RETRY);
        return Err(Box::new(refusal));
    };
    let head = gateway.dialect.caller_head(req.headers());
    let (route, customer) = admit(&table, &req, &head)?;
    let Some(request) = head.request else {
        return Err(Box::new(answer::local(
            StatusCode::BAD_REQUEST,
            "the request has no id",
        )));
    };
    let (parts, body) = req.into_parts();
    let body = read_body(gateway, table.limits, &parts.headers, body).await?;
    let timeout = head.timeout.unwrap_or(route.timeout).min(route.timeout);
    let service = route.service(rand::random()).clone();
    let is_generation = matches!(route.exchange, Exchange::Generation { .. });
    let is_engine = table
        .services
        .get(&service)
        .is_some_and(|s| s.engine.is_some());
    Ok(Call {
        request,
        service,
        customer,
        generation: head
            .generation
            .or_else(|| is_generation.then(Default::default))
            .filter(|_| is_engine),
        last_event: head.last_event,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        started,
        ends: started + timeout,
        route,
    })
}

fn admit(
    table: &RoutingTable,
    req: &Request<Incoming>,
    head: &CallerHead,
) -> Result<(Arc<Route>, Option<CustomerName>), Refused> {
    let host = req.headers().get(HOST).and_then(|h| h.to_str().ok());
    let host = host.or_else(|| req.uri().host()).unwrap_or_default();
    let Some(route) = table.route(host, req.uri().path()) else {
        return Err(Box::new(answer::local(
            StatusCode::NOT_FOUND,
            "no such route",
        )));
    };
    if route.is_open {
        return Ok((Arc::clone(route), None));
    }
    let customer = head.key.as_deref().and_then(|key| table.customer(key));
    if customer.is_none() {
        return Err(Box::new(answer::local(
            StatusCode::UNAUTHORIZED,
            "unknown key",
        )));
    }
    Ok((Arc::clone(route), customer.cloned()))
}

/// Reads a whole body within the limits of the configuration and the memory for bodies.
async fn read_body(
    gateway: &Gateway,
    limits: CallerLimits,
    headers: &hyper::HeaderMap,
    body: Incoming,
) -> Result<Body, Refused> {
    let length = headers
        .get(CONTENT_LENGTH)
        .and_then(|l| l.to_str().ok()?.parse::<usize>().ok());
    let mut reservation = gateway.bodies.begin();
    let expected = length.unwrap_or(0);
    if expected > limits.body_bytes {
        return Err(too_large());
    }
    if !reservation.grow(expected) {
        return Err(no_memory(gateway));
    }
    let reading = read_pieces(gateway, body, limits.body_bytes, expected, reservation);
    tokio::time::timeout(limits.idle_timeout, reading)
        .await
        .unwrap_or_else(|_| {
            Err(Box::new(answer::local(
                StatusCode::REQUEST_TIMEOUT,
                "the body did not arrive in time",
            )))
        })
}

async fn read_pieces(
    gateway: &Gateway,
    mut body: Incoming,
    limit: usize,
    reserved: usize,
    mut reservation: Reservation,
) -> Result<Body, Refused> {
    let mut whole = BytesMut::with_capacity(reserved);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| {
            log::debug!(error:% = e; "body of a request broke off");
            Box::new(answer::local(StatusCode::BAD_REQUEST, "the body broke off"))
        })?;
        let Ok(piece) = frame.into_data() else {
            continue;
        };
        let length = whole.len() + piece.len();
        if length > limit {
            return Err(too_large());
        }
        if length > reserved && !reservation.grow(length - whole.len().max(reserved)) {
            return Err(no_memory(gateway));
        }
        whole.extend_from_slice(&piece);
    }
    Ok(reservation.body(whole.freeze()))
}

fn too_large() -> Refused {
    let reason = "the body is too large";
    Box::new(answer::local(StatusCode::PAYLOAD_TOO_LARGE, reason))
}

/// The request has not run; the rest of its body is not read, so its connection ends.
fn no_memory(gateway: &Gateway) -> Refused {
    if gateway.lines.allows(log_budget::Kind::Refused) {
        log::warn!(free_bytes = gateway.bodies.free(); "refused, no memory for another body");
    }
    let mut refusal = answer::refusal("too many long bodies at once", NO_MEMORY_RETRY);
    let close = HeaderValue::from_static("close");
    refusal.headers_mut().insert(CONNECTION, close);
    Box::new(refusal)
}
