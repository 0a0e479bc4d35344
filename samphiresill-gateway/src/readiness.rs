//! The balancer's checks.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use crate::gateway::Gateway;

/// Time for the head of a check, also on a connection that is kept.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a failed accept, as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Answers checks: 200 while callers should be sent here, 503 otherwise.
///
/// # Errors
/// When the address cannot be bound.
pub async fn start(address: SocketAddr, gateway: Arc<Gateway>) -> anyhow::Result<()> {
    let listener = TcpListener::bind(address)
        .await
        .with_context(|| format!("cannot listen on {address} for checks"))?;
    tokio::spawn(accept(listener, gateway));
    Ok(())
}

async fn accept(listener: TcpListener, gateway: Arc<Gateway>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let gateway = Arc::clone(&gateway);
                let service = service_fn(move |_| {
                    let is_ready = gateway.is_ready();
                    async move { Ok::<_, Infallible>(answer(is_ready)) }
                });
                tokio::spawn(async move {
                    let connection = http1::Builder::new()
                        .timer(TokioTimer::new())
                        .header_read_timeout(HEAD_TIMEOUT)
                        .serve_connection(TokioIo::new(stream), service);
                    if let Err(e) = connection.await {
                        log::debug!(error:% = e; "connection of a check ended");
                    }
                });
            }
            Err(e) => {
                log::warn!(error:% = e; "accept failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn answer(is_ready: bool) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    if !is_ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
