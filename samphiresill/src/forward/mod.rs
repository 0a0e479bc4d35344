//! The way of a request from its slot to a target and back.

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

/// Time within which a target has to accept a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Attempts of one request at the most.
pub const MAX_ATTEMPTS: u32 = 4;

/// A request to a target, on a connection of its own: none rides on one that has gone silent.
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

/// Where an attempt failed, as far as its error tells: in doubt something was sent.
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

/// What a settled attempt tells the scheduler of its target.
fn observed(settled: &Settled) -> Observed {
    let millis = |d: Duration| u32::try_from(d.as_millis()).unwrap_or(u32::MAX);
    let micros = |d: Duration| u32::try_from(d.as_micros()).unwrap_or(u32::MAX);
    Observed {
        first_token_ms: settled.first.map_or(0, millis),
        between_tokens_us: settled.between.map_or(0, micros),
        failed: settled.failed,
    }
}
