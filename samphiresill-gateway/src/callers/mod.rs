//! The listener for callers: accepts connections, enforces limits and timeouts, and closes them.

mod activity;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hyper::Version;
use hyper::body::Body;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;

pub use self::activity::ActiveRequest;
use self::activity::{ConnectionActivity, TrackedStream};
use crate::gateway::Gateway;
use crate::listener::{Accepted, Listener};
use crate::log_budget::Kind;
use crate::relay;

/// Interval at which the timeouts of a connection are checked.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Idle timeout while no configuration is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Timeout for a request head while no configuration is known.
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Size of the kernel's send buffer of a connection (the kernel doubles it). It bounds what the kernel
/// holds for a caller that does not read, and a caller's progress shows after a third of it is read;
/// the default grows to several megabytes. 128 KB are enough for 45 MB/s at a round trip of 2.8 ms.
const SEND_BUFFER_BYTES: usize = 64 << 10;
/// Lower bound of the buffer of a connection: the smallest one that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8_192;
/// Buffer of a connection that is opened while no configuration is known, because it keeps its buffer.
const UNCONFIGURED_BUFFER_BYTES: usize = 65_536;
/// Fraction of the process's file descriptors that callers may use; the rest is reserved for
/// connections to targets and peers.
const CALLER_DESCRIPTOR_FRACTION: f64 = 0.7;
/// Fraction of the callers' connections above which each response closes its connection and idle
/// connections are closed early, so that new callers are still accepted.
const HIGH_OCCUPANCY: f64 = 0.5;
/// Idle timeout at high occupancy.
const IDLE_TIMEOUT_AT_HIGH_OCCUPANCY: Duration = Duration::from_secs(2);

/// Listens for callers and serves them until the listener is closed.
///
/// # Errors
/// When the address cannot be bound.
pub async fn start(address: SocketAddr, gateway: Arc<Gateway>) -> anyhow::Result<Listener> {
    let descriptors = gateway.settings.load().limits.descriptors;
    let max_connections = ((descriptors as f64 * CALLER_DESCRIPTOR_FRACTION) as usize).max(1);
    let serve = move |accepted| serve(Arc::clone(&gateway), accepted);
    Listener::start(address, "callers", max_connections, serve).await
}

async fn serve(gateway: Arc<Gateway>, accepted: Accepted) {
    let Accepted {
        stream,
        mut closing,
        occupancy,
    } = accepted;
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!(error:% = e; "failed to set TCP_NODELAY");
    }
    if let Err(e) = SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES) {
        log::debug!(error:% = e; "failed to set SO_SNDBUF");
    }
    let caller = stream.peer_addr().ok();
    let activity = Arc::new(ConnectionActivity::new(Arc::clone(&gateway.clock)));
    let service = {
        let (gateway, activity) = (Arc::clone(&gateway), Arc::clone(&activity));
        let occupancy = occupancy.clone();
        service_fn(move |req| {
            let active = ActiveRequest::new(&activity, &gateway);
            let gateway = Arc::clone(&gateway);
            let is_occupancy_high = occupancy.exceeds(HIGH_OCCUPANCY);
            let version = req.version();
            async move {
                let mut response = relay::handle(Arc::clone(&gateway), req).await;
                // A caller that keeps its connection would send the next request into the stop.
                if is_occupancy_high || gateway.is_stopping() {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
                // Without a length, HTTP/1.0 has no other end than that of the connection.
                if version == Version::HTTP_10 && response.body().size_hint().exact().is_none() {
                    active.begin_unframed_response();
                }
                response.body_mut().attach_request(active);
                Ok::<_, Infallible>(response)
            }
        })
    };
    let table = gateway.routing_state.table();
    // Each request is checked against the limit of its time; the buffer only has to hold its head.
    let buffer_bytes = table.map_or(UNCONFIGURED_BUFFER_BYTES, |t| t.limits.head_bytes);
    let stream = TrackedStream::new(stream, Arc::clone(&activity));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // Hyper's timeout would also close idle connections.
        .header_read_timeout(None)
        .max_buf_size(buffer_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let ended = loop {
        tokio::select! {
            ended = connection.as_mut() => break ended,
            _ = closing.changed() => {
                connection.as_mut().graceful_shutdown();
                break connection.await;
            }
            () = tokio::time::sleep(IDLE_CHECK_INTERVAL) => {
                let limits = gateway.routing_state.table().map(|t| t.limits);
                let head_timeout = limits.map_or(DEFAULT_HEAD_TIMEOUT, |l| l.head_timeout);
                if activity.head_pending_for() > head_timeout {
                    log::debug!("request head not received within the timeout");
                    return;
                }
                let idle_timeout = limits.map_or(DEFAULT_IDLE_TIMEOUT, |l| l.idle_timeout);
                let blocked_for = activity.blocked_for();
                if blocked_for > idle_timeout {
                    if gateway.log_budget.allows(Kind::Failed) {
                        let blocked_ms = blocked_for.as_millis() as u64;
                        log::info!(caller:?, blocked_ms; "caller cut off, it reads nothing");
                    }
                    gateway.metrics.record_cut_off();
                    activity.cut_off();
                    return;
                }
                let idle_timeout = if occupancy.exceeds(HIGH_OCCUPANCY) {
                    IDLE_TIMEOUT_AT_HIGH_OCCUPANCY
                } else {
                    idle_timeout
                };
                if activity.idle_for() > idle_timeout {
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    };
    if let Err(e) = ended {
        log::debug!(error:% = e; "caller connection failed");
    }
}
