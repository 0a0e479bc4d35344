//! The callers' interface: connections, their bounds, and their end.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};

use crate::gateway::Gateway;
use crate::listener::{Accepted, Listener};
use crate::relay;

/// Pause between looks at whether a connection is idle for too long.
const IDLE_CHECK: Duration = Duration::from_secs(1);
/// Idle timeout without a configuration.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);
/// Bytes of a request's head without a configuration; the smallest buffer that hyper accepts.
const MIN_HEAD_BYTES: usize = 8_192;
/// Part of the process's descriptors that callers may take; the rest is for targets and peers.
const CALLERS_PART: f64 = 0.7;
/// Part of the callers' connections from which on each answer ends its connection, and idle
/// connections are closed, so that new callers are still accepted.
const HIGH_OCCUPANCY: f64 = 0.5;
/// Idle timeout at high occupancy.
const IDLE_AT_HIGH_OCCUPANCY: Duration = Duration::from_secs(2);

/// Listens for callers and serves them until the interface is closed.
///
/// # Errors
/// When the address cannot be bound.
pub async fn start(address: SocketAddr, gateway: Arc<Gateway>) -> anyhow::Result<Listener> {
    let descriptors = gateway.settings.load().limits.descriptors;
    let max_connections = ((descriptors as f64 * CALLERS_PART) as usize).max(1);
    let serve = move |accepted| serve(Arc::clone(&gateway), accepted);
    Listener::start(address, "callers", max_connections, serve).await
}

/// `Activity` is the number of requests on a connection and when it last changed.
#[derive(Debug, Default)]
struct Activity {
    requests: AtomicUsize,
    changed_ms: AtomicU64,
}

impl Activity {
    fn change(&self, gateway: &Gateway) {
        let now = gateway.clock.monotonic().as_millis();
        self.changed_ms.store(now as u64, Ordering::Relaxed);
    }

    fn idle_for(&self, now: Duration) -> Duration {
        if self.requests.load(Ordering::Relaxed) > 0 {
            return Duration::ZERO;
        }
        now.saturating_sub(Duration::from_millis(
            self.changed_ms.load(Ordering::Relaxed),
        ))
    }
}

async fn serve(gateway: Arc<Gateway>, accepted: Accepted) {
    let Accepted {
        stream,
        mut closing,
        occupancy,
    } = accepted;
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!(error:% = e; "connection without nodelay");
    }
    let activity = Arc::new(Activity::default());
    activity.change(&gateway);
    let service = {
        let (gateway, activity) = (Arc::clone(&gateway), Arc::clone(&activity));
        let occupancy = occupancy.clone();
        service_fn(move |req| {
            let (gateway, activity) = (Arc::clone(&gateway), Arc::clone(&activity));
            let is_occupancy_high = occupancy.exceeds(HIGH_OCCUPANCY);
            async move {
                activity.requests.fetch_add(1, Ordering::Relaxed);
                let mut response = relay::handle(Arc::clone(&gateway), req).await;
                if is_occupancy_high {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
                activity.requests.fetch_sub(1, Ordering::Relaxed);
                activity.change(&gateway);
                Ok::<_, Infallible>(response)
            }
        })
    };
    let table = gateway.knowledge.table();
    let head_bytes = table.map_or(MIN_HEAD_BYTES, |t| t.limits.head_bytes);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(head_bytes.max(MIN_HEAD_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let ended = loop {
        tokio::select! {
            ended = connection.as_mut() => break ended,
            _ = closing.changed() => break {
                connection.as_mut().graceful_shutdown();
                connection.await
            },
            () = tokio::time::sleep(IDLE_CHECK) => {
                let limit = if occupancy.exceeds(HIGH_OCCUPANCY) {
                    IDLE_AT_HIGH_OCCUPANCY
                } else {
                    gateway.knowledge.table().map_or(DEFAULT_IDLE, |t| t.limits.idle_timeout)
                };
                if activity.idle_for(gateway.clock.monotonic()) > limit {
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    };
    if let Err(e) = ended {
        log::debug!(error:% = e; "connection of a caller ended");
    }
}
