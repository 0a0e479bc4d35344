//! Forwarding of requests to the targets that slots were granted for.

pub mod engine;
pub mod model;
pub mod service;
pub mod sink;

use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::{ErrorKind, Method, ProxySettings, RequestBuilder};
use samphiresill_attempt::attempt::Settled;
use samphiresill_attempt::failure::FailurePoint;
use samphiresill_sched::message::Observed;

/// Timeout for connecting to a target.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of attempts per request.
pub const MAX_ATTEMPTS: u32 = 4;

/// Prepares a request to a target. Each request uses a new connection, so that none is sent on a
/// connection that has silently failed.
fn request(
    method: Method,
    address: SocketAddr,
    path: &str,
    read_timeout: Duration,
) -> RequestBuilder {
    RequestBuilder::new(method, format!("http://{address}{path}"))
        .proxy_settings(ProxySettings::builder().build())
        .follow_redirects(false)
        .connect_timeout(CONNECT_TIMEOUT)
        .read_timeout(read_timeout)
}

/// Derives from an error where an attempt failed. If in doubt, the request may have been sent.
fn failure_point(error: &attohttpc::Error) -> FailurePoint {
    use std::io::ErrorKind as Io;
    match error.kind() {
        ErrorKind::Io(e) => match e.kind() {
            Io::ConnectionRefused | Io::HostUnreachable | Io::NetworkUnreachable => {
                FailurePoint::Connect
            }
            _ => FailurePoint::Sending,
        },
        _ => FailurePoint::Sending,
    }
}

/// Converts the measurements of a settled attempt for the scheduler of its target.
fn observed(settled: &Settled) -> Observed {
    let millis = |d: Duration| u32::try_from(d.as_millis()).unwrap_or(u32::MAX);
    let micros = |d: Duration| u32::try_from(d.as_micros()).unwrap_or(u32::MAX);
    Observed {
        first_token_ms: settled.first.map_or(0, millis),
        between_tokens_us: settled.between.map_or(0, micros),
        failed: settled.failed,
    }
}
