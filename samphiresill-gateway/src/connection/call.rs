//! Calls of the store, of peers and of targets: one request, one whole answer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::HOST;
use hyper::{Request, StatusCode};

use super::Error;
use super::pool::Pool;

/// Bytes of an answer that are taken at most: a page of the store has 1 MB, a page of rows in
/// base64 somewhat more.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Time for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Gets what is at a path, whole and within `timeout`.
///
/// # Errors
/// As for a [`super::Connection`]; `Timeout` when the answer is not whole in time.
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
