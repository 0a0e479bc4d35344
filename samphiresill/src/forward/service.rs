//! A request to a plain service: idempotent ones may be tried again, others are sent once.

use std::future::Future;
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use attohttpc::Method;
use bytes::Bytes;
use samphiresill_attempt::attempt::Planned;
use samphiresill_attempt::failure::{self, FailureContext, FailurePoint, RequestKind, Verdict};
use samphiresill_core::name::TargetName;
use samphiresill_core::outcome::Refusal;
use samphiresill_core::units::Tokens;
use samphiresill_sched::queue::SlotRequest;

use super::{CONNECT_TIMEOUT, MAX_ATTEMPTS};
use crate::dispatch::Slot;
use crate::shared::Shared;

/// Largest answer of a plain service, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// `ServiceCall` is a caller's request to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// HTTP method.
    pub method: String,
    /// Path and query, passed on as they are.
    pub path: String,
    /// Content type of the body, if any.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
    /// Whether it may be sent again.
    pub nature: RequestKind,
    /// Time within which a target has to answer.
    pub answer_time: Duration,
}

/// `ServiceAnswer` is a target's own answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// The body.
    pub body: Bytes,
}

/// Runs a request to its end; while it waits for a slot, it ends when `caller_gone` does.
///
/// # Errors
/// The refusal that the caller is told.
pub async fn run(
    shared: &Arc<Shared>,
    call: &ServiceCall,
    mut work: SlotRequest,
    mut caller_gone: Pin<&mut (impl Future<Output = ()> + Send)>,
) -> Result<ServiceAnswer, Refusal> {
    shared.earn_retries(&work.customer);
    let mut attempts = 0;
    let mut may_have_run = false;
    loop {
        let slot = tokio::select! {
            slot = shared.dispatcher.submit(work.clone()) => slot,
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
        let result = attempt(shared, call, &work, slot, attempts).await;
        let point = match result {
            Ok(answer) if !is_refusal(answer.status) => return Ok(answer),
            Ok(_) => FailurePoint::RefusedByTarget,
            Err(point) => point,
        };
        may_have_run |= point != FailurePoint::Connect;
        let verdict = verdict(shared, call, &work, &target, point, attempts);
        log::info!(request:% = work.request, target:%, attempt = attempts, point:%, verdict:%;
            "attempt failed");
        match (verdict, result) {
            (Verdict::Retry, _) => work.is_retry = true,
            (Verdict::PassOn, Ok(answer)) => return Ok(answer),
            (Verdict::Tell(refusal), _) if !may_have_run => return Err(refusal),
            _ => return Err(Refusal::TargetFailed),
        }
    }
}

/// Whether a status says that the target is not able to serve.
fn is_refusal(status: u16) -> bool {
    matches!(status, 502..=504)
}

fn verdict(
    shared: &Shared,
    call: &ServiceCall,
    work: &SlotRequest,
    target: &TargetName,
    point: FailurePoint,
    attempts: u32,
) -> Verdict {
    let may_try_again = attempts < MAX_ATTEMPTS
        && shared.clock.monotonic() < work.deadline
        && shared.spend_retry(&work.customer, target);
    let situation = FailureContext {
        kind: call.nature,
        has_delivered: false,
        is_deterministic: false,
        may_try_again,
    };
    failure::verdict(point, situation)
}

async fn attempt(
    shared: &Arc<Shared>,
    call: &ServiceCall,
    work: &SlotRequest,
    slot: Slot,
    number: u32,
) -> Result<ServiceAnswer, FailurePoint> {
    let target = slot.target().clone();
    let address = shared.address_of(&target).ok_or(FailurePoint::Connect)?;
    let planned = Planned::new(work.request.clone(), number, target.clone());
    let id = planned.id().to_string();
    shared.record_attempt(planned.id(), work, &target);
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
    let is_failed = result.as_ref().map_or(true, |a| is_refusal(a.status));
    let settled = if is_failed {
        sent.settle(true)
    } else {
        sent.begin_answer(now).settle(false)
    };
    slot.finish(super::observed(&settled));
    result
}

fn send(
    address: SocketAddr,
    attempt: &str,
    call: &ServiceCall,
) -> Result<ServiceAnswer, FailurePoint> {
    if call.nature == RequestKind::Once {
        // A connection that cannot be made here proves that nothing was sent, which an error of
        // the call itself does not always do.
        TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).map_err(|_| FailurePoint::Connect)?;
    }
    let method = Method::from_bytes(call.method.as_bytes()).map_err(|_| FailurePoint::Connect)?;
    let mut req = super::request(method, address, &call.path, call.answer_time)
        .timeout(call.answer_time)
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
    let body = read_whole(reader, expected)?;
    Ok(ServiceAnswer {
        status: status.as_u16(),
        content_type,
        body,
    })
}

/// Reads an answer whole; one that breaks off or exceeds the bound is none.
fn read_whole(
    reader: attohttpc::ResponseReader,
    expected: Option<usize>,
) -> Result<Bytes, FailurePoint> {
    use std::io::Read;
    let mut body = Vec::new();
    let mut bounded = reader.take(MAX_ANSWER_BYTES as u64 + 1);
    bounded
        .read_to_end(&mut body)
        .map_err(|_| FailurePoint::DuringAnswer)?;
    if body.len() > MAX_ANSWER_BYTES || expected.is_some_and(|n| n != body.len()) {
        return Err(FailurePoint::DuringAnswer);
    }
    Ok(body.into())
}
