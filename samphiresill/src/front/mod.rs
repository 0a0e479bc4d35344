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

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use samphiresill_gateway::listener::{Accepted, Listener};

use crate::shared::Shared;

/// Listens for callers and serves them until the interface is closed.
///
/// # Errors
/// When the address cannot be bound.
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
