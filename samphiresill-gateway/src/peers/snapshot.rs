//! Whole knowledge of configuration and targets, fetched from a peer over TCP.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

use crate::connection::call;
use crate::gateway::Gateway;
use crate::knowledge::{Change, Versions};

/// Path of the configuration as written.
const CONFIGURATION_PATH: &str = "/configuration";
/// Path of the directory of targets.
const DIRECTORY_PATH: &str = "/directory";
/// Time for a whole fetch.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause after a failed accept, as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

#[derive(Debug, Serialize, Deserialize)]
struct Directory {
    version: u64,
    changes: Vec<Change>,
}

/// Serves this gateway's knowledge to peers.
///
/// # Errors
/// When the address cannot be bound.
pub async fn start(address: SocketAddr, gateway: Arc<Gateway>) -> anyhow::Result<()> {
    let listener = TcpListener::bind(address)
        .await
        .with_context(|| format!("cannot listen on {address} for peers"))?;
    tokio::spawn(accept(listener, gateway));
    Ok(())
}

/// Fetches from a peer what its `versions` are ahead in, in the background.
pub fn fetch(
    gateway: &Arc<Gateway>,
    peer: SocketAddr,
    versions: Versions,
    is_fetching: &Arc<AtomicBool>,
) {
    is_fetching.store(true, Ordering::Release);
    let (gateway, is_fetching) = (Arc::clone(gateway), Arc::clone(is_fetching));
    tokio::spawn(async move {
        if let Err(e) = fetch_newer(&gateway, peer, versions).await {
            log::warn!(peer:% = peer, error:% = format!("{e:#}"); "knowledge not fetched");
        }
        is_fetching.store(false, Ordering::Release);
    });
}

async fn fetch_newer(
    gateway: &Gateway,
    peer: SocketAddr,
    versions: Versions,
) -> anyhow::Result<()> {
    let own = gateway.knowledge.versions();
    if versions.revision > own.revision {
        let document = get(gateway, peer, CONFIGURATION_PATH).await?;
        gateway.knowledge.offer_configuration(&document, "peer");
    }
    if versions.directory > own.directory {
        let bytes = get(gateway, peer, DIRECTORY_PATH).await?;
        let directory: Directory = postcard::from_bytes(&bytes)?;
        log::info!(peer:% = peer, version = directory.version; "directory taken from a peer");
        gateway
            .knowledge
            .replace_directory(directory.changes, directory.version);
    }
    Ok(())
}

async fn get(gateway: &Gateway, peer: SocketAddr, path: &str) -> anyhow::Result<Bytes> {
    let called = call::call(
        &gateway.calls,
        peer,
        Method::GET,
        path,
        Bytes::new(),
        FETCH_TIMEOUT,
    );
    let (status, bytes) = called.await?;
    anyhow::ensure!(status == StatusCode::OK, "{path}: status {status}");
    Ok(bytes)
}

async fn accept(listener: TcpListener, gateway: Arc<Gateway>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let gateway = Arc::clone(&gateway);
                let service = service_fn(move |req: Request<_>| {
                    let response = answer(&gateway, &req);
                    async move { Ok::<_, Infallible>(response) }
                });
                tokio::spawn(async move {
                    let connection =
                        http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                    if let Err(e) = connection.await {
                        log::debug!(error:% = e; "connection of a peer ended");
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

fn answer<B>(gateway: &Gateway, req: &Request<B>) -> Response<Full<Bytes>> {
    match req.uri().path() {
        CONFIGURATION_PATH => Response::new(Full::new(gateway.knowledge.document())),
        DIRECTORY_PATH => {
            let (changes, version) = gateway.knowledge.directory();
            match postcard::to_stdvec(&Directory { version, changes }) {
                Ok(bytes) => Response::new(Full::new(bytes.into())),
                Err(e) => {
                    log::error!(error:% = e; "directory not encoded");
                    status(StatusCode::INTERNAL_SERVER_ERROR)
                }
            }
        }
        _ => status(StatusCode::NOT_FOUND),
    }
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
