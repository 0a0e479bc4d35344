//! Whole knowledge of configuration and targets, fetched from a peer over TCP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::connection::call;
use crate::gateway::Gateway;
use crate::knowledge::{Change, Versions};
use crate::responder::{self, Answer};

/// Path of the configuration as written.
const CONFIGURATION_PATH: &str = "/configuration";
/// Path of the directory of targets.
const DIRECTORY_PATH: &str = "/directory";
/// Time for a whole fetch.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

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
    responder::start(address, "peers", move |req| answer(&gateway, req)).await
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

fn answer<B>(gateway: &Gateway, req: &Request<B>) -> Answer {
    match req.uri().path() {
        CONFIGURATION_PATH => Response::new(Full::new(gateway.knowledge.document())),
        DIRECTORY_PATH => {
            let (changes, version) = gateway.knowledge.directory();
            match postcard::to_stdvec(&Directory { version, changes }) {
                Ok(bytes) => Response::new(Full::new(bytes.into())),
                Err(e) => {
                    log::error!(error:% = e; "directory not encoded");
                    responder::empty(StatusCode::INTERNAL_SERVER_ERROR)
                }
            }
        }
        _ => responder::empty(StatusCode::NOT_FOUND),
    }
}
