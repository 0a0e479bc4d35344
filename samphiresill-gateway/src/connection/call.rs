//! Calls to the store, to peers and to targets whose responses are buffered completely.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Request, Response, http};

use super::Error;
use super::pool::Pool;

/// Maximum size of a response body: a page of the store has 1 MB, and a page of rows in base64
/// somewhat more.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Sends a GET request and returns the response with its complete body.
///
/// # Errors
/// As for a [`super::Connection`]; `InvalidPath`; `Truncated` when the body ends prematurely or is too
/// large; `Timeout` when the response is not complete within `timeout`.
pub async fn get(
    pool: &Pool,
    address: SocketAddr,
    path: &str,
    timeout: Duration,
) -> Result<Response<Bytes>, Error> {
    get_limited(pool, address, path, timeout, MAX_RESPONSE_BYTES).await
}

/// Like [`get`], for a response whose body has at most `max_bytes`.
///
/// # Errors
/// As for [`get`].
pub async fn get_limited(
    pool: &Pool,
    address: SocketAddr,
    path: &str,
    timeout: Duration,
    max_bytes: usize,
) -> Result<Response<Bytes>, Error> {
    let req = Request::get(path).body(Bytes::new());
    call(pool, address, req, timeout, max_bytes).await
}

/// Sends a POST request with a JSON document and returns the response with its complete body.
///
/// # Errors
/// As for [`get`].
pub async fn post_json(
    pool: &Pool,
    address: SocketAddr,
    path: &str,
    document: Bytes,
    timeout: Duration,
) -> Result<Response<Bytes>, Error> {
    let req = Request::post(path)
        .header(CONTENT_TYPE, "application/json")
        .body(document);
    call(pool, address, req, timeout, MAX_RESPONSE_BYTES).await
}

async fn call(
    pool: &Pool,
    address: SocketAddr,
    req: http::Result<Request<Bytes>>,
    timeout: Duration,
    max_bytes: usize,
) -> Result<Response<Bytes>, Error> {
    let req = req.map_err(Error::InvalidPath)?;
    tokio::time::timeout(timeout, exchange(pool, address, req, max_bytes))
        .await
        .unwrap_or(Err(Error::Timeout))
}

async fn exchange(
    pool: &Pool,
    address: SocketAddr,
    mut req: Request<Bytes>,
    max_bytes: usize,
) -> Result<Response<Bytes>, Error> {
    let host = HeaderValue::from_str(&address.to_string());
    let host = host.expect("invariant: an address is a valid header value");
    req.headers_mut().insert(HOST, host);
    let mut connection = pool.acquire(address, CONNECT_TIMEOUT).await?;
    let (head, body) = connection.send(req).await?.into_parts();
    let collected = Limited::new(body, max_bytes).collect().await;
    let bytes = collected
        .map_err(|e| Error::Truncated {
            cause: e.to_string(),
        })?
        .to_bytes();
    pool.release(address, connection, &head.headers);
    Ok(Response::from_parts(head, bytes))
}
