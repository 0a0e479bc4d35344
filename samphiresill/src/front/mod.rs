//! HTTP server for callers.
//!
//! It uses hyper instead of `tiny_http` for the reasons given in `docs/DESIGN.md`.

pub mod answer;
pub mod claims;
pub mod handler;
pub mod openai;

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use samphiresill_gateway::listener::{Accepted, Listener};

use crate::shared::Shared;

/// Starts the server, which runs until the returned listener is closed.
///
/// # Errors
/// If the address cannot be bound.
pub async fn start(shared: Arc<Shared>) -> anyhow::Result<Listener> {
    let address = shared.settings.listen.callers;
    let max_connections = shared.settings.limits.connections;
    let serve = move |accepted| serve(Arc::clone(&shared), accepted);
    Listener::start(address, "callers", max_connections, serve).await
}

async fn serve(shared: Arc<Shared>, accepted: Accepted) {
    let Accepted {
        stream,
        mut closing,
        ..
    } = accepted;
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!(error:% = e; "cannot set TCP_NODELAY on connection");
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
    let result = tokio::select! {
        result = connection.as_mut() => result,
        _ = closing.changed() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = result {
        log::debug!(error:% = e; "connection of a caller ended with an error");
    }
}
