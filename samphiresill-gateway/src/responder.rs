//! An HTTP server for responses that need no I/O: health checks, metrics and snapshots for peers.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};

use crate::listener::{Accepted, Listener};

/// Timeout for a request head, also on a kept-alive connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of concurrent connections: all peers of a large fleet may fetch at once.
const MAX_CONNECTIONS: usize = 400;

/// `FullResponse` is a response with a complete body.
pub type FullResponse = Response<Full<Bytes>>;

/// Listens on an address and responds to requests by `respond`. `purpose` names the address in
/// errors.
///
/// # Errors
/// When the address cannot be bound.
pub async fn start(
    address: SocketAddr,
    purpose: &'static str,
    respond: impl Fn(&Request<Incoming>) -> FullResponse + Send + Sync + 'static,
) -> anyhow::Result<()> {
    let respond = Arc::new(respond);
    let serve = move |accepted: Accepted| serve(accepted, purpose, Arc::clone(&respond));
    Listener::start(address, purpose, MAX_CONNECTIONS, serve).await?;
    Ok(())
}

/// Creates a response without a body.
#[must_use]
pub fn empty(status: StatusCode) -> FullResponse {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

async fn serve(
    accepted: Accepted,
    purpose: &'static str,
    respond: Arc<impl Fn(&Request<Incoming>) -> FullResponse>,
) {
    let service = service_fn(move |req| {
        let response = respond(&req);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(accepted.stream), service);
    if let Err(e) = connection.await {
        log::debug!(purpose, error:% = e; "connection ended");
    }
}
