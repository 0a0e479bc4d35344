//! The callers' interface: connections, their bounds, and their end.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use anyhow::Context;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

use crate::gateway::Gateway;
use crate::relay;

/// Pause after a failed accept, as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Pause between looks at whether a connection is idle for too long.
const IDLE_CHECK: Duration = Duration::from_secs(1);
/// Idle time while no configuration tells one.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);
/// Bytes of a request's head while no configuration tells how many; the smallest that hyper takes.
const MIN_HEAD_BYTES: usize = 8_192;
/// Part of the process's descriptors that callers may take; the rest is for targets and peers.
const CALLERS_PART: f64 = 0.7;
/// Part of the callers' connections from which on each answer ends its connection, and idle
/// connections are closed, so that new callers are still accepted.
const CROWDED_PART: f64 = 0.5;
/// Time that a connection may stay idle while there are many.
const CROWDED_IDLE: Duration = Duration::from_secs(2);

/// `Callers` is the open interface for callers.
#[derive(Debug)]
pub struct Callers {
    closing: watch::Sender<bool>,
    connections: Arc<Semaphore>,
    max_connections: usize,
}

impl Callers {
    /// Accepts nothing more, and ends each connection once its last answer has left.
    pub fn close(&self) {
        self.closing.send_replace(true);
    }

    /// Connections that are open.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.max_connections - self.connections.available_permits()
    }
}

/// Listens for callers and serves them until the interface is closed.
///
/// # Errors
/// When the address cannot be bound.
pub async fn start(address: SocketAddr, gateway: Arc<Gateway>) -> anyhow::Result<Callers> {
    let listener = TcpListener::bind(address)
        .await
        .with_context(|| format!("cannot listen on {address} for callers"))?;
    let descriptors = gateway.settings.load().limits.descriptors;
    let max_connections = ((descriptors as f64 * CALLERS_PART) as usize).max(1);
    let connections = Arc::new(Semaphore::new(max_connections));
    let (closing, closed) = watch::channel(false);
    tokio::spawn(accept(
        gateway,
        listener,
        Arc::clone(&connections),
        max_connections,
        closed,
    ));
    Ok(Callers {
        closing,
        connections,
        max_connections,
    })
}

async fn accept(
    gateway: Arc<Gateway>,
    listener: TcpListener,
    connections: Arc<Semaphore>,
    max_connections: usize,
    mut closing: watch::Receiver<bool>,
) {
    loop {
        let Ok(permit) = Arc::clone(&connections).acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.changed() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let (gateway, closing) = (Arc::clone(&gateway), closing.clone());
                let crowd = Crowd(Arc::clone(&connections), max_connections);
                tokio::spawn(async move {
                    serve(gateway, stream, crowd, closing).await;
                    drop(permit);
                });
            }
            Err(e) => {
                log::warn!(error:% = e; "accept failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// `Crowd` tells whether there are many connections; it holds the free places and their number.
#[derive(Clone, Debug)]
struct Crowd(Arc<Semaphore>, usize);

impl Crowd {
    fn is_crowded(&self) -> bool {
        let open = self.1 - self.0.available_permits();
        open as f64 > self.1 as f64 * CROWDED_PART
    }
}

/// `Activity` tells whether a connection is idle, and since when.
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

async fn serve(
    gateway: Arc<Gateway>,
    stream: TcpStream,
    crowd: Crowd,
    mut closing: watch::Receiver<bool>,
) {
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!(error:% = e; "connection without nodelay");
    }
    let activity = Arc::new(Activity::default());
    activity.change(&gateway);
    let service = {
        let (gateway, activity) = (Arc::clone(&gateway), Arc::clone(&activity));
        let crowd = crowd.clone();
        service_fn(move |req| {
            let (gateway, activity) = (Arc::clone(&gateway), Arc::clone(&activity));
            let is_crowded = crowd.is_crowded();
            async move {
                activity.requests.fetch_add(1, Ordering::Relaxed);
                let mut response = relay::handle(Arc::clone(&gateway), req).await;
                if is_crowded {
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
                let limit = if crowd.is_crowded() {
                    CROWDED_IDLE
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
