//! Calls of the store and of peers: one request, one whole answer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request, StatusCode};

use super::Error;
use super::pool::Pool;

/// Bytes of an answer that are taken at most: a page of the store has 1 MB, a page of rows in
/// base64 somewhat more.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Time for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Sends a request and reads its whole answer within `timeout`.
///
/// # Errors
/// As for a [`super::Connection`]; `Timeout` when the answer is not whole in time, after which
/// the call may still take effect.
pub async fn call(
    pool: &Pool,
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    timeout: Duration,
) -> Result<(StatusCode, Bytes), Error> {
    let exchange = exchange(pool, address, method, path, body);
    tokio::time::timeout(timeout, exchange)
        .await
        .unwrap_or(Err(Error::Timeout))
}

async fn exchange(
    pool: &Pool,
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<(StatusCode, Bytes), Error> {
    let req = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .expect("invariant: paths of calls are valid");
    let mut connection = pool.acquire(address, CONNECT_TIMEOUT).await?;
    let (head, body) = connection.send(req).await?.into_parts();
    let whole = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
    let bytes = whole
        .map_err(|e| Error::Cut {
            cause: e.to_string(),
        })?
        .to_bytes();
    pool.release(address, connection, &head.headers);
    Ok((head.status, bytes))
}
