//! Persistent connections to targets, peers and the store.

pub mod call;
pub mod pool;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Weak};
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

/// TCP user timeout: the time for which sent bytes may stay unacknowledged, or the receive window of the
/// other side closed, before the connection is closed. A partitioned peer acknowledges nothing, a
/// connection can stall without a reset, and a server may not read a request.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Size of the buffer for received bytes, which also bounds the head of a response. Of each connection
/// at most twice this size is held: what is buffered, and one chunk of a body that is not taken yet.
pub const READ_BUFFER_BYTES: usize = 32 << 10;
/// Size of the kernel's send buffer (the kernel doubles it). It bounds what the kernel holds for a
/// server that does not read a request, and still sends after the connection is closed, until the user
/// timeout; the default grows to several megabytes. 256 KB are enough for 36 MB/s at a round trip of
/// 7 ms.
const SEND_BUFFER_BYTES: usize = 128 << 10;
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
    /// The server has not read the request, or acknowledged nothing, for the user timeout. Bytes of the
    /// request have been sent.
    #[display("the server reads nothing")]
    #[from(skip)]
    Stalled,
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
    /// Alive until the body of the latest request is written.
    unsent_body: Weak<()>,
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
        let handshake = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            if let Err(e) = connection.await {
                log::debug!(error:% = e; "connection ended");
            }
        });
        Ok(Self {
            sender,
            task: task.abort_handle(),
            unsent_body: Weak::new(),
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

    /// Whether a part of the latest request's body is still to be written.
    #[must_use]
    pub fn has_unsent_body(&self) -> bool {
        self.unsent_body.strong_count() > 0
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
    /// `Unsent`, `Stalled` or `Broken`.
    pub async fn send(&mut self, req: Request<Bytes>) -> Result<Response<Incoming>, Error> {
        self.requests += 1;
        let unsent = Arc::new(());
        self.unsent_body = Arc::downgrade(&unsent);
        let track = |bytes| OutgoingBody {
            bytes,
            _unsent: unsent,
        };
        let req = req.map(|bytes| Full::new(Bytes::from_owner(track(bytes))));
        let sent = self.sender.try_send_request(req).await;
        sent.map_err(|mut e| {
            if e.take_message().is_some() {
                return Error::Unsent;
            }
            let e = e.into_error();
            if is_timed_out(&e) {
                Error::Stalled
            } else {
                Error::Broken(e)
            }
        })
    }
}

/// `OutgoingBody` is the body of a request; the connection drops it once it is written.
struct OutgoingBody {
    bytes: Bytes,
    _unsent: Arc<()>,
}

impl AsRef<[u8]> for OutgoingBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Whether the user timeout has closed the connection.
fn is_timed_out(e: &hyper::Error) -> bool {
    let cause = std::error::Error::source(e).and_then(|s| s.downcast_ref::<io::Error>());
    cause.is_some_and(|e| e.kind() == io::ErrorKind::TimedOut)
}

fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}
