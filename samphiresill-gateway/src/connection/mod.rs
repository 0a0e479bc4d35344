//! Persistent connections to targets, peers and the store.

pub mod call;
pub mod pool;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error, From};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response, http};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// TCP user timeout: the time for which sent bytes may stay unacknowledged before the connection is
/// closed. A partitioned peer acknowledges nothing, and a connection can stall without a reset.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time before the first TCP keep-alive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unacknowledged probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// `Error` is the reason why a request over a connection failed.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The path of the request is not valid; nothing was sent.
    #[display("invalid path: {_0}")]
    #[from(skip)]
    InvalidPath(http::Error),
    /// No connection could be established; nothing was sent.
    #[display("no connection: {_0}")]
    Connect(io::Error),
    /// The connection was closed before the request was sent; nothing was sent.
    #[display("the connection had ended")]
    #[from(skip)]
    Unsent,
    /// The connection failed when bytes of the request may already have been sent.
    #[display("the connection failed: {_0}")]
    Broken(hyper::Error),
    /// The body of the response ended prematurely.
    #[display("the answer broke off: {cause}")]
    #[from(skip)]
    Truncated {
        /// Error that was reported.
        #[error(not(source))]
        cause: String,
    },
    /// No response arrived within the timeout.
    #[display("no answer in time")]
    #[from(skip)]
    Timeout,
}

impl Error {
    /// Whether no byte of the request can have been sent.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::InvalidPath(_) | Self::Connect(_) | Self::Unsent)
    }
}

/// `Connection` is an HTTP/1.1 client connection. It carries one request at a time and is closed
/// when it is dropped.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    /// Number of requests that were sent.
    requests: u64,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Establishes a connection.
    ///
    /// # Errors
    /// `Connect`, also when connecting takes longer than `timeout`.
    pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Self, Error> {
        let connecting = tokio::time::timeout(timeout, TcpStream::connect(address));
        let timed_out = |_| io::Error::from(io::ErrorKind::TimedOut);
        let stream = connecting.await.map_err(timed_out)??;
        set_options(&stream)?;
        let handshake = http1::Builder::new().handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            if let Err(e) = connection.await {
                log::debug!(error:% = e; "connection ended");
            }
        });
        Ok(Self {
            sender,
            task: task.abort_handle(),
            requests: 0,
        })
    }

    /// Whether a request can be sent now.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Whether the connection is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Whether the first request was the latest one, so that no earlier response can be repeated in
    /// place of its response.
    #[must_use]
    pub fn is_first_request(&self) -> bool {
        self.requests <= 1
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    /// `Unsent` or `Broken`.
    pub async fn send(&mut self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>, Error> {
        self.requests += 1;
        let sent = self.sender.try_send_request(req).await;
        sent.map_err(|mut e| {
            if e.take_message().is_some() {
                Error::Unsent
            } else {
                Error::Broken(e.into_error())
            }
        })
    }
}

fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}
