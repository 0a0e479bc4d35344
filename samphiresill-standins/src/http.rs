//! HTTP server functions shared by the stand-ins: listening, JSON bodies and event streams.

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use anyhow::Context;
use tiny_http::{Header, Request, Response, Server};

/// Writer of a chunked response body; [`send_chunk`] flushes each chunk to the client.
pub type ChunkedWriter = chunked_transfer::Encoder<AutoFlushWriter>;

/// `AutoFlushWriter` flushes after each write, because flushing the chunk encoder does not flush
/// the writer below it.
pub struct AutoFlushWriter(Box<dyn Write + Send>);

impl Write for AutoFlushWriter {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        let written = self.0.write(buf)?;
        self.0.flush()?;
        Ok(written)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        self.0.flush()
    }
}

/// Delay before accepting again after a failed accept, for example when the process has no free
/// file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Idle time after which a replaced server, which accepts no more connections, is dropped.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Listens on `address` and handles each request in its own thread, indefinitely.
///
/// # Errors
/// Returns an error if the address cannot be bound.
pub fn serve(
    address: SocketAddr,
    handle: impl Fn(Request) + Send + Sync + 'static,
) -> anyhow::Result<()> {
    serve_listener(&listen(address)?, handle)
}

/// Listens on `address`, even if connections of a previous listener are still in `TIME_WAIT`.
///
/// # Errors
/// Returns an error if the address cannot be bound.
pub fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let socket = socket2::Socket::new(
        socket2::Domain::for_address(address),
        socket2::Type::STREAM,
        None,
    )?;
    socket.set_reuse_address(true)?;
    // Accepted sockets inherit TCP_NODELAY, so that small chunks are sent without delay.
    socket.set_tcp_nodelay(true)?;
    socket
        .bind(&address.into())
        .with_context(|| format!("failed to bind {address}"))?;
    socket.listen(1024)?;
    Ok(socket.into())
}

/// Handles each request that arrives at `listener` in its own thread, indefinitely.
///
/// A `tiny_http` server stops accepting and drops its listener after the first failed accept. It
/// therefore gets a clone of the listener: the address stays bound, and a new server replaces it.
///
/// # Errors
/// Returns an error if the listener cannot be cloned or a server cannot be started.
pub fn serve_listener(
    listener: &TcpListener,
    handle: impl Fn(Request) + Send + Sync + 'static,
) -> anyhow::Result<()> {
    let handle = Arc::new(handle);
    loop {
        let server = Server::from_listener(listener.try_clone()?, None)
            .map_err(|e| anyhow::anyhow!("failed to start the HTTP server: {e}"))?;
        let error = loop {
            match server.recv() {
                Ok(req) => spawn_handler(req, &handle),
                Err(e) => break e,
            }
        };
        log::warn!(error:% = error; "accept failed; restarting the HTTP server on the same listener");
        let handle = Arc::clone(&handle);
        // Requests on connections accepted earlier still arrive at the replaced server.
        thread::spawn(move || {
            while let Ok(Some(req)) = server.recv_timeout(DRAIN_TIMEOUT) {
                spawn_handler(req, &handle);
            }
        });
        thread::sleep(ACCEPT_RETRY_DELAY);
    }
}

fn spawn_handler(req: Request, handle: &Arc<impl Fn(Request) + Send + Sync + 'static>) {
    let handle = Arc::clone(handle);
    thread::spawn(move || handle(req));
}

/// Returns the value of a request header; the name is case-insensitive.
#[must_use]
pub fn header(req: &Request, name: &str) -> Option<String> {
    let found = req
        .headers()
        .iter()
        .find(|h| h.field.as_str().as_str().eq_ignore_ascii_case(name));
    found.map(|h| h.value.as_str().to_owned())
}

/// Reads the body of a request.
#[must_use]
pub fn read_body(req: &mut Request) -> String {
    let mut text = String::new();
    // A truncated body is handled as if it ended with the last byte received.
    let _ = req.as_reader().read_to_string(&mut text);
    text
}

/// Sends a response with a JSON body.
pub fn respond(req: Request, status: u16, body: &serde_json::Value) {
    let mut response = Response::from_string(body.to_string()).with_status_code(status);
    if let Ok(header) = Header::from_bytes("Content-Type", "application/json") {
        response.add_header(header);
    }
    // The client may have disconnected; there is nowhere else to report the error.
    let _ = req.respond(response);
}

/// Starts a response that is a stream of server-sent events.
///
/// # Errors
/// Returns an error if the client has disconnected.
pub fn start_event_stream(req: Request) -> std::io::Result<ChunkedWriter> {
    let mut writer = req.into_writer();
    writer.write_all(
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
          Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n",
    )?;
    writer.flush()?;
    Ok(chunked_transfer::Encoder::new(AutoFlushWriter(writer)))
}

/// Sends one chunk of a streamed response.
///
/// # Errors
/// Returns an error if the client has disconnected.
pub fn send_chunk(stream: &mut ChunkedWriter, text: &str) -> std::io::Result<()> {
    stream.write_all(text.as_bytes())?;
    stream.flush()
}
