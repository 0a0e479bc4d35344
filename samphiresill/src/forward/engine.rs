//! Client of the model engines. Responses are streams of numbered server-sent events; the numbers
//! allow a stream to be resumed.

use std::cell::Cell;
use std::io::Read;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use attohttpc::{Method, RequestBuilder};
use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures::executor::block_on_stream;
use futures::stream;
use samphiresill_attempt::attempt::AttemptId;
use samphiresill_attempt::failure::FailurePoint;
use tokio::runtime::Handle;
use tokio::sync::mpsc;

/// Read timeout, after which an abandoned reader releases its thread.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for a cancellation request.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
/// Capacity of the queue between the reader thread and the consumer.
const EVENT_QUEUE_CAPACITY: usize = 64;
/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;
/// Size of the read buffer, in bytes.
const READ_BYTES: usize = 8 * 1024;
/// Request header with the attempt ID.
const ATTEMPT_HEADER: &str = "x-request-id";

/// `StreamEvent` is an event of an engine's response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// A numbered piece of generated text.
    Text {
        /// Number of the piece, starting at 0.
        index: usize,
        /// Generated text.
        text: String,
    },
    /// The response is complete.
    Done,
    /// The attempt has failed.
    Failed(FailurePoint),
}

/// `Engine` is a client of one engine. Each response is read on a thread of the blocking pool.
#[derive(Clone, Debug)]
pub struct Engine {
    address: SocketAddr,
    runtime: Handle,
}

impl Engine {
    /// Creates a client of the engine at an address.
    #[must_use]
    pub fn new(address: SocketAddr, runtime: Handle) -> Self {
        Self { address, runtime }
    }

    /// Sends a request and returns the events of its response.
    #[must_use]
    pub fn open(
        &self,
        path: &str,
        attempt: &AttemptId,
        body: String,
    ) -> mpsc::Receiver<StreamEvent> {
        let req = super::request(Method::POST, self.address, path, READ_TIMEOUT)
            .header(ATTEMPT_HEADER, attempt.to_string())
            .header("content-type", "application/json");
        self.read(req, body)
    }

    /// Resumes the response to an attempt after the piece numbered `last`, on a new connection.
    #[must_use]
    pub fn resume(&self, attempt: &AttemptId, last: Option<usize>) -> mpsc::Receiver<StreamEvent> {
        let path = format!("/v1/streams/{attempt}");
        let mut req = super::request(Method::GET, self.address, &path, READ_TIMEOUT);
        if let Some(last) = last {
            req = req.header("last-event-id", last.to_string());
        }
        self.read(req, String::new())
    }

    /// Cancels an attempt at the engine in the background.
    pub fn cancel(&self, attempt: &AttemptId) {
        let path = format!("/v1/streams/{attempt}");
        let address = self.address;
        self.runtime.spawn_blocking(move || {
            let req = super::request(Method::DELETE, address, &path, CANCEL_TIMEOUT);
            // An engine that does not receive the cancellation detects that the stream is not read.
            if let Err(e) = req.send() {
                log::debug!(address:%, path, error:% = e; "cannot deliver cancellation to engine");
            }
        });
    }

    fn read(&self, req: RequestBuilder, body: String) -> mpsc::Receiver<StreamEvent> {
        let (tx, rx) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        self.runtime.spawn_blocking(move || {
            let end = read_events(req, body, &tx);
            // The receiver is closed if the attempt was abandoned.
            let _ = tx.blocking_send(end);
        });
        rx
    }
}

/// Sends the events of a response to `tx`, except the last one, which is returned.
fn read_events(req: RequestBuilder, body: String, tx: &mpsc::Sender<StreamEvent>) -> StreamEvent {
    let response = match req.text(body).send() {
        Ok(response) => response,
        Err(e) => return StreamEvent::Failed(super::failure_point(&e)),
    };
    match response.status().as_u16() {
        200 => {}
        404 => return StreamEvent::Failed(FailurePoint::StreamLost),
        _ => return StreamEvent::Failed(FailurePoint::RefusedByTarget),
    }
    let (_, _, reader) = response.split();
    let pending = Rc::new(Cell::new(0));
    let chunks = chunks(reader, Rc::clone(&pending));
    for event in block_on_stream(stream::iter(chunks).eventsource()) {
        let Ok(event) = event else { break };
        pending.set(0);
        if event.data == "[DONE]" {
            return StreamEvent::Done;
        }
        let Some(event) = decode(&event) else { break };
        if tx.blocking_send(event).is_err() {
            break;
        }
    }
    StreamEvent::Failed(FailurePoint::DuringAnswer)
}

/// Returns the pieces of a body. It ends early when an event exceeds the maximum size; `pending` counts
/// the bytes since the last event.
fn chunks(
    mut reader: impl Read,
    pending: Rc<Cell<usize>>,
) -> impl Iterator<Item = std::io::Result<Bytes>> {
    let mut buf = vec![0; READ_BYTES];
    std::iter::from_fn(move || {
        if pending.get() > MAX_EVENT_BYTES {
            return None;
        }
        match reader.read(&mut buf) {
            Ok(0) => None,
            Ok(n) => {
                pending.set(pending.get() + n);
                Some(Ok(Bytes::copy_from_slice(&buf[..n])))
            }
            Err(e) => Some(Err(e)),
        }
    })
}

fn decode(event: &eventsource_stream::Event) -> Option<StreamEvent> {
    let index = event.id.parse().ok()?;
    let data: serde_json::Value = serde_json::from_str(&event.data).ok()?;
    let choice = &data["choices"][0];
    let text = choice["delta"]["content"]
        .as_str()
        .or_else(|| choice["text"].as_str())?;
    Some(StreamEvent::Text {
        index,
        text: text.to_owned(),
    })
}
