//! The callers' interface: listening, bounds, and the way of a request to its handler.
//!
//! hyper serves it in place of `tiny_http`; `docs/DESIGN.md` gives the reasons.

pub mod answer;
pub mod claims;
pub mod handler;
pub mod openai;

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use crate::shared::Shared;

/// Pause after a failed accept, as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Listens for callers and serves them until the runtime ends.
///
/// # Errors
/// When the address cannot be bound.
pub async fn start(shared: Arc<Shared>) -> anyhow::Result<()> {
    let address = shared.settings.listen.callers;
    let listener = TcpListener::bind(address)
        .await
        .with_context(|| format!("cannot listen on {address}"))?;
    tokio::spawn(accept(shared, listener));
    Ok(())
}

async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    let connections = Arc::new(Semaphore::new(shared.settings.limits.connections));
    loop {
        let Ok(permit) = Arc::clone(&connections).acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                let shared = Arc::clone(&shared);
                tokio::spawn(async move {
                    serve(shared, stream).await;
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

async fn serve(shared: Arc<Shared>, stream: TcpStream) {
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
    if let Err(e) = connection.await {
        log::debug!(error:% = e; "connection of a caller ended");
    }
}
