//! Forwarding of requests to plain services. Idempotent requests may be retried, others are sent at
//! most once.

use std::future::Future;
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use attohttpc::Method;
use bytes::Bytes;
use samphiresill_attempt::attempt::Planned;
use samphiresill_attempt::failure::{self, FailureContext, FailurePoint, RetryClass, Verdict};
use samphiresill_core::name::TargetName;
use samphiresill_core::outcome::Refusal;
use samphiresill_core::units::Tokens;
use samphiresill_sched::queue::SlotRequest;

use super::{CONNECT_TIMEOUT, MAX_ATTEMPTS};
use crate::dispatch::Slot;
use crate::shared::Shared;

/// Maximum size of a response of a plain service, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// `ServiceCall` is a request to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// HTTP method.
    pub method: String,
    /// Path and query, forwarded unchanged.
    pub path: String,
    /// Content type of the request body, if set.
    pub content_type: Option<String>,
    /// Request body.
    pub body: Bytes,
    /// How the request may be retried.
    pub retry_class: RetryClass,
    /// Timeout for the response of a target.
    pub response_timeout: Duration,
}

/// `ServiceResponse` is the response of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceResponse {
    /// HTTP status code.
    pub status: u16,
    /// Content type of the response body.
    pub content_type: String,
    /// Response body.
    pub body: Bytes,
}

/// Runs a request to completion. While the request waits for a slot, it is withdrawn when
/// `caller_gone` completes.
///
/// # Errors
/// The refusal to return to the caller.
pub async fn run(
    shared: &Arc<Shared>,
    call: &ServiceCall,
    mut slot_request: SlotRequest,
    mut caller_gone: Pin<&mut (impl Future<Output = ()> + Send)>,
) -> Result<ServiceResponse, Refusal> {
    shared.deposit_retries(&slot_request.customer);
    let mut attempts = 0;
    let mut may_have_run = false;
    loop {
        let slot = tokio::select! {
            slot = shared.dispatcher.submit(slot_request.clone()) => slot,
            () = caller_gone.as_mut() => Err(Refusal::CallerGone),
        };
        let slot = slot.map_err(|refusal| {
            if may_have_run {
                Refusal::TargetFailed
            } else {
                refusal
            }
        })?;
        attempts += 1;
        let target = slot.target().clone();
        let result = attempt(shared, call, &slot_request, slot, attempts).await;
        let point = match result {
            Ok(response) if !is_unavailable(response.status) => return Ok(response),
            Ok(_) => FailurePoint::RefusedByTarget,
            Err(point) => point,
        };
        may_have_run |= point != FailurePoint::Connect;
        let verdict = verdict(shared, call, &slot_request, &target, point, attempts);
        log::info!(
            request:% = slot_request.request, target:%, attempt = attempts, point:%, verdict:%;
            "attempt failed"
        );
        match (verdict, result) {
            (Verdict::Retry, _) => slot_request.is_retry = true,
            (Verdict::PassOn, Ok(response)) => return Ok(response),
            (Verdict::Refuse(refusal), _) if !may_have_run => return Err(refusal),
            _ => return Err(Refusal::TargetFailed),
        }
    }
}

/// Returns whether a status code means that the target is unable to serve the request.
fn is_unavailable(status: u16) -> bool {
    matches!(status, 502..=504)
}

fn verdict(
    shared: &Shared,
    call: &ServiceCall,
    slot_request: &SlotRequest,
    target: &TargetName,
    point: FailurePoint,
    attempts: u32,
) -> Verdict {
    let may_retry = attempts < MAX_ATTEMPTS
        && shared.clock.monotonic() < slot_request.deadline
        && shared.try_withdraw_retry(&slot_request.customer, target);
    let context = FailureContext {
        retry_class: call.retry_class,
        has_delivered: false,
        is_deterministic: false,
        may_retry,
    };
    failure::verdict(point, context)
}

async fn attempt(
    shared: &Arc<Shared>,
    call: &ServiceCall,
    slot_request: &SlotRequest,
    slot: Slot,
    number: u32,
) -> Result<ServiceResponse, FailurePoint> {
    let target = slot.target().clone();
    let address = shared.address_of(&target).ok_or(FailurePoint::Connect)?;
    let planned = Planned::new(slot_request.request.clone(), number, target.clone());
    let id = planned.id().to_string();
    shared.record_attempt(planned.id(), slot_request, &target);
    let sent_at = shared.clock.monotonic();
    let sent = planned.send(sent_at);
    let call = call.clone();
    let thread = shared
        .runtime
        .spawn_blocking(move || send(address, &id, &call));
    let result = thread.await.unwrap_or(Err(FailurePoint::Sending));
    let now = shared.clock.monotonic();
    let millis = now.saturating_sub(sent_at).as_millis() as u64;
    slot.add_served(Tokens(millis.max(1)));
    let is_failed = result.as_ref().map_or(true, |r| is_unavailable(r.status));
    let settled = if is_failed {
        sent.settle(true)
    } else {
        sent.begin_response(now).settle(false)
    };
    slot.finish(super::observed(&settled));
    result
}

fn send(
    address: SocketAddr,
    attempt: &str,
    call: &ServiceCall,
) -> Result<ServiceResponse, FailurePoint> {
    if call.retry_class == RetryClass::Once {
        // If this connection attempt fails, nothing has been sent. An error of the request itself
        // does not always prove that.
        TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).map_err(|_| FailurePoint::Connect)?;
    }
    let method = Method::from_bytes(call.method.as_bytes()).map_err(|_| FailurePoint::Connect)?;
    let mut req = super::request(method, address, &call.path, call.response_timeout)
        .timeout(call.response_timeout)
        .header("x-request-id", attempt);
    if let Some(content_type) = &call.content_type {
        req = req.header("content-type", content_type);
    }
    let response = req
        .bytes(&call.body)
        .send()
        .map_err(|e| super::failure_point(&e))?;
    let (status, headers, reader) = response.split();
    let header = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
    let content_type = header("content-type")
        .unwrap_or("application/octet-stream")
        .to_owned();
    let expected = header("content-length").and_then(|v| v.parse::<usize>().ok());
    let body = read_body(reader, expected)?;
    Ok(ServiceResponse {
        status: status.as_u16(),
        content_type,
        body,
    })
}

/// Reads a response body. Fails if the body is truncated or exceeds `MAX_RESPONSE_BYTES`.
fn read_body(
    reader: attohttpc::ResponseReader,
    expected: Option<usize>,
) -> Result<Bytes, FailurePoint> {
    use std::io::Read;
    let mut body = Vec::new();
    let mut bounded = reader.take(MAX_RESPONSE_BYTES as u64 + 1);
    bounded
        .read_to_end(&mut body)
        .map_err(|_| FailurePoint::DuringAnswer)?;
    if body.len() > MAX_RESPONSE_BYTES || expected.is_some_and(|n| n != body.len()) {
        return Err(FailurePoint::DuringAnswer);
    }
    Ok(body.into())
}
