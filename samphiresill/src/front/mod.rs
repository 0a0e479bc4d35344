//! The callers' interface: listening, bounds, and the way of a request to its handler.
//!
//! hyper serves it in place of `tiny_http`; `docs/DESIGN.md` gives the reasons.

pub mod answer;
pub mod claims;
pub mod handler;
pub mod openai;

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

use crate::shared::Shared;

/// Pause after a failed accept, as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// `Front` is the open interface for callers.
#[derive(Debug)]
pub struct Front {
    closing: watch::Sender<bool>,
    connections: Arc<Semaphore>,
    max_connections: usize,
}

impl Front {
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
pub async fn start(shared: Arc<Shared>) -> anyhow::Result<Front> {
    let address = shared.settings.listen.callers;
    let listener = TcpListener::bind(address)
        .await
        .with_context(|| format!("cannot listen on {address}"))?;
    let max_connections = shared.settings.limits.connections;
    let connections = Arc::new(Semaphore::new(max_connections));
    let (closing, closed) = watch::channel(false);
    tokio::spawn(accept(shared, listener, Arc::clone(&connections), closed));
    Ok(Front {
        closing,
        connections,
        max_connections,
    })
}

async fn accept(
    shared: Arc<Shared>,
    listener: TcpListener,
    connections: Arc<Semaphore>,
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
                let (shared, closing) = (Arc::clone(&shared), closing.clone());
                tokio::spawn(async move {
                    serve(shared, stream, closing).await;
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

async fn serve(shared: Arc<Shared>, stream: TcpStream, mut closing: watch::Receiver<bool>) {
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!(error:% = e; "connection without nodelay");
    }
    let limits = shared.settings.limits;
    let service = service_fn(move |req| {
        let shared = Arc::clone(&shared);
        async move { Ok::<_, Infallible>(handler::handle(shared, req).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.head_ms))
        .max_buf_size(limits.head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        _ = closing.changed() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = ended {
        log::debug!(error:% = e; "connection of a caller ended");
    }
}
