//! The request path: routing, attempts at targets, the answer.

pub mod answer;
pub mod attempt;
pub mod call;
pub mod events;
pub mod forward;
pub mod stream;

use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderValue};
use hyper::{Request, Response, StatusCode};
use samphiresill_core::name::CustomerName;
use samphiresill_core::routing::{Exchange, Route, RoutingTable};
use samphiresill_sched::fleet::overload::Overload;

use self::answer::Answer;
use self::call::Call;
use crate::dialect::CallerHead;
use crate::gateway::Gateway;
use crate::log_budget;
use crate::metrics::End;

/// `Retry-After` while no configuration is known.
const NO_CONFIGURATION_RETRY: Duration = Duration::from_millis(500);

/// `Refused` is an answer of the gateway itself, in place of a request that can be forwarded.
type Refused = Box<Response<Answer>>;

/// Serves one request of a caller.
pub async fn handle(gateway: Arc<Gateway>, req: Request<Incoming>) -> Response<Answer> {
    let in_flight = gateway.begin_request();
    let started = gateway.clock.monotonic();
    let mut response = match read(&gateway, req, started).await {
        Ok(call) => serve(&gateway, call).await,
        Err(refused) => *refused,
    };
    response.body_mut().hold(in_flight);
    response
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
    let body = read_body(&table, &parts.headers, body).await?;
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

async fn read_body(
    table: &RoutingTable,
    headers: &hyper::HeaderMap,
    body: Incoming,
) -> Result<bytes::Bytes, Refused> {
    let limit = table.limits.body_bytes;
    let length = headers
        .get(CONTENT_LENGTH)
        .and_then(|l| l.to_str().ok()?.parse::<usize>().ok());
    let too_large = || {
        let reason = "the body is too large";
        Box::new(answer::local(StatusCode::PAYLOAD_TOO_LARGE, reason))
    };
    if length.is_some_and(|l| l > limit) {
        return Err(too_large());
    }
    let reading = Limited::new(body, limit).collect();
    match tokio::time::timeout(table.limits.idle_timeout, reading).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => Err(too_large()),
        Ok(Err(e)) => {
            log::debug!(error:% = e; "body of a request broke off");
            Err(Box::new(answer::local(
                StatusCode::BAD_REQUEST,
                "the body broke off",
            )))
        }
        Err(_) => Err(Box::new(answer::local(
            StatusCode::REQUEST_TIMEOUT,
            "the body did not arrive in time",
        ))),
    }
}
