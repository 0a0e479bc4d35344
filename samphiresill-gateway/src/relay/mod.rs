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
use samphiresill_core::name::{CustomerName, RequestId};
use samphiresill_core::routing::{CallerLimits, RequestKind, Route, RoutingTable};
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

/// `Retry-After` while the memory for bodies is used up: most requests, and their bodies with them,
/// end within a second.
const NO_MEMORY_RETRY: Duration = Duration::from_secs(1);

/// `NotAdmitted` is the gateway's own answer to a request that is not forwarded, and the reason.
struct NotAdmitted {
    response: Response<Answer>,
    reason: &'static str,
}

/// Boxed, because requests that are admitted should not carry its size.
type Refused = Box<NotAdmitted>;

fn not_admitted(status: StatusCode, reason: &'static str) -> Refused {
    let response = answer::local(status, reason);
    Box::new(NotAdmitted { response, reason })
}

fn not_admitted_now(reason: &'static str, delay: Duration) -> Refused {
    let response = answer::refusal(reason, delay);
    Box::new(NotAdmitted { response, reason })
}

fn note_not_admitted(gateway: &Gateway, request: Option<&RequestId>, refused: &NotAdmitted) {
    gateway.metrics.not_admitted(refused.response.status());
    if gateway.lines.allows(log_budget::Kind::Refused) {
        log::info!(
            request = request.map(ToString::to_string), reason = refused.reason,
            status = refused.response.status().as_u16(),
            revision = gateway.knowledge.versions().revision,
            free_bytes = gateway.bodies.free();
            "not admitted"
        );
    }
}

/// Serves one request of a caller.
pub async fn handle(gateway: Arc<Gateway>, req: Request<Incoming>) -> Response<Answer> {
    let started = gateway.clock.monotonic();
    let head = gateway.dialect.caller_head(req.headers());
    let request = head.request.clone();
    match read(&gateway, req, head, started).await {
        Ok(call) => serve(&gateway, call).await,
        Err(refused) => {
            note_not_admitted(&gateway, request.as_ref(), &refused);
            refused.response
        }
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
        .ended(call.route.request_kind, End::Overloaded, took);
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
    head: CallerHead,
    started: Duration,
) -> Result<Call, Refused> {
    let Some(table) = gateway.knowledge.table() else {
        let reason = "no configuration yet";
        return Err(not_admitted_now(reason, NO_CONFIGURATION_RETRY));
    };
    let (route, customer) = admit(&table, &req, &head)?;
    let Some(request) = head.request else {
        let reason = "the request has no id";
        return Err(not_admitted(StatusCode::BAD_REQUEST, reason));
    };
    let (parts, body) = req.into_parts();
    let body = read_body(gateway, table.limits, &parts.headers, body).await?;
    let timeout = head.timeout.unwrap_or(route.timeout).min(route.timeout);
    let service = route.service(rand::random()).clone();
    let is_generation = matches!(route.request_kind, RequestKind::Generation { .. });
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
        return Err(not_admitted(StatusCode::NOT_FOUND, "no such route"));
    };
    if route.allows_anonymous {
        return Ok((Arc::clone(route), None));
    }
    let customer = head.key.as_deref().and_then(|key| table.customer(key));
    if customer.is_none() {
        return Err(not_admitted(StatusCode::UNAUTHORIZED, "unknown key"));
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
        return Err(no_memory());
    }
    let reading = read_pieces(body, limits.body_bytes, expected, reservation);
    tokio::time::timeout(limits.idle_timeout, reading)
        .await
        .unwrap_or_else(|_| {
            let reason = "the body did not arrive in time";
            Err(not_admitted(StatusCode::REQUEST_TIMEOUT, reason))
        })
}

async fn read_pieces(
    mut body: Incoming,
    limit: usize,
    reserved: usize,
    mut reservation: Reservation,
) -> Result<Body, Refused> {
    let mut whole = BytesMut::with_capacity(reserved);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| {
            log::debug!(error:% = e; "body of a request broke off");
            not_admitted(StatusCode::BAD_REQUEST, "the body broke off")
        })?;
        let Ok(piece) = frame.into_data() else {
            continue;
        };
        let length = whole.len() + piece.len();
        if length > limit {
            return Err(too_large());
        }
        if length > reserved && !reservation.grow(length - whole.len().max(reserved)) {
            return Err(no_memory());
        }
        whole.extend_from_slice(&piece);
    }
    Ok(reservation.body(whole.freeze()))
}

fn too_large() -> Refused {
    not_admitted(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")
}

/// The request has not run; the rest of its body is not read, so its connection ends.
fn no_memory() -> Refused {
    let mut refused = not_admitted_now("no memory for another body", NO_MEMORY_RETRY);
    let close = HeaderValue::from_static("close");
    refused.response.headers_mut().insert(CONNECTION, close);
    refused
}
