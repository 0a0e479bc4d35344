//! GET requests to the store, to peers and to targets whose responses are buffered completely.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::HOST;
use hyper::{Request, StatusCode};

use super::Error;
use super::pool::Pool;

/// Maximum size of a response body: a page of the store has 1 MB, and a page of rows in base64
/// somewhat more.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Sends a GET request and returns the status and the complete body.
///
/// # Errors
/// As for a [`super::Connection`]; `Truncated` when the body ends prematurely or is too large;
/// `Timeout` when the response is not complete within `timeout`.
pub async fn get(
    pool: &Pool,
    address: SocketAddr,
    path: &str,
    timeout: Duration,
) -> Result<(StatusCode, Bytes), Error> {
    let exchange = exchange(pool, address, path);
    tokio::time::timeout(timeout, exchange)
        .await
        .unwrap_or(Err(Error::Timeout))
}

async fn exchange(
    pool: &Pool,
    address: SocketAddr,
    path: &str,
) -> Result<(StatusCode, Bytes), Error> {
    let req = Request::builder()
        .uri(path)
        .header(HOST, address.to_string())
        .body(Full::default())
        .expect("invariant: paths of calls are valid");
    let mut connection = pool.acquire(address, CONNECT_TIMEOUT).await?;
    let (head, body) = connection.send(req).await?.into_parts();
    let collected = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
    let bytes = collected
        .map_err(|e| Error::Truncated {
            cause: e.to_string(),
        })?
        .to_bytes();
    pool.release(address, connection, &head.headers);
    Ok((head.status, bytes))
}
