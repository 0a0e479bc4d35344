//! The interface of a model engine: server-sent events with numbers, by which a stream resumes.

use std::io::Read;
use std::net::SocketAddr;
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

/// Time after which an abandoned reader gives its thread back.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Time within which a cancellation has to end.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
/// Pieces that wait between the reader and the caller.
const MAX_PIECES: usize = 64;
/// Bytes that one read takes in.
const READ_BYTES: usize = 8 * 1024;
/// Header that names the attempt to the engine.
const ATTEMPT_HEADER: &str = "x-request-id";

/// `Piece` is what a reader brings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// A numbered piece of text.
    Text {
        /// Its number, from 0.
        index: usize,
        /// The text.
        text: String,
    },
    /// The answer is whole.
    Done,
    /// The attempt has failed.
    Failed(FailurePoint),
}

/// `Engine` is one engine, reached through readers with a thread each.
#[derive(Clone, Debug)]
pub struct Engine {
    address: SocketAddr,
    runtime: Handle,
}

impl Engine {
    /// An engine at an address.
    #[must_use]
    pub fn new(address: SocketAddr, runtime: Handle) -> Self {
        Self { address, runtime }
    }

    /// Sends a request and reads its answer.
    #[must_use]
    pub fn open(&self, path: &str, attempt: &AttemptId, body: String) -> mpsc::Receiver<Piece> {
        let req = super::request(Method::POST, self.address, path, READ_TIMEOUT)
            .header(ATTEMPT_HEADER, attempt.to_string())
            .header("content-type", "application/json");
        self.read(req, body)
    }

    /// Reads on behind piece `last` of an attempt, over a new connection.
    #[must_use]
    pub fn resume(&self, attempt: &AttemptId, last: Option<usize>) -> mpsc::Receiver<Piece> {
        let path = format!("/v1/streams/{attempt}");
        let mut req = super::request(Method::GET, self.address, &path, READ_TIMEOUT);
        if let Some(last) = last {
            req = req.header("last-event-id", last.to_string());
        }
        self.read(req, String::new())
    }

    /// Tells the engine that nobody waits for an attempt any more, without waiting for its word.
    pub fn cancel(&self, attempt: &AttemptId) {
        let path = format!("/v1/streams/{attempt}");
        let address = self.address;
        self.runtime.spawn_blocking(move || {
            let req = super::request(Method::DELETE, address, &path, CANCEL_TIMEOUT);
            // An engine that does not hear it notices that nobody reads the stream.
            if let Err(e) = req.send() {
                log::debug!(address:%, path, error:% = e; "cancellation not delivered");
            }
        });
    }

    fn read(&self, req: RequestBuilder, body: String) -> mpsc::Receiver<Piece> {
        let (tx, rx) = mpsc::channel(MAX_PIECES);
        self.runtime.spawn_blocking(move || {
            let end = read_pieces(req, body, &tx);
            // The receiver is gone when the attempt was abandoned.
            let _ = tx.blocking_send(end);
        });
        rx
    }
}

/// Brings the pieces of an answer to `tx`; gives the last one.
fn read_pieces(req: RequestBuilder, body: String, tx: &mpsc::Sender<Piece>) -> Piece {
    let response = match req.text(body).send() {
        Ok(response) => response,
        Err(e) => return Piece::Failed(super::failure_point(&e)),
    };
    match response.status().as_u16() {
        200 => {}
        404 => return Piece::Failed(FailurePoint::StreamLost),
        _ => return Piece::Failed(FailurePoint::RefusedByTarget),
    }
    let (_, _, reader) = response.split();
    for event in block_on_stream(stream::iter(chunks(reader)).eventsource()) {
        let Ok(event) = event else { break };
        if event.data == "[DONE]" {
            return Piece::Done;
        }
        let Some(piece) = piece_of(&event) else { break };
        if tx.blocking_send(piece).is_err() {
            break;
        }
    }
    Piece::Failed(FailurePoint::DuringAnswer)
}

fn chunks(mut reader: impl Read) -> impl Iterator<Item = std::io::Result<Bytes>> {
    let mut buf = vec![0; READ_BYTES];
    std::iter::from_fn(move || match reader.read(&mut buf) {
        Ok(0) => None,
        Ok(n) => Some(Ok(Bytes::copy_from_slice(&buf[..n]))),
        Err(e) => Some(Err(e)),
    })
}

fn piece_of(event: &eventsource_stream::Event) -> Option<Piece> {
    let index = event.id.parse().ok()?;
    let data: serde_json::Value = serde_json::from_str(&event.data).ok()?;
    let choice = &data["choices"][0];
    let text = choice["delta"]["content"]
        .as_str()
        .or_else(|| choice["text"].as_str())?;
    Some(Piece::Text {
        index,
        text: text.to_owned(),
    })
}
