//! Delivery of a response to its caller, either streamed or as a complete body.

use std::time::Duration;

use bytes::Bytes;
use samphiresill_core::outcome::Refusal;
use tokio::sync::{mpsc, oneshot};

use crate::front::openai::Format;

/// Capacity of the queue of chunks that the caller has not read yet.
const CHUNK_QUEUE_CAPACITY: usize = 32;

/// `ResponseHead` is the first part of a response that is passed to the caller.
#[derive(Debug)]
pub enum ResponseHead {
    /// A stream, whose chunks follow.
    Stream(mpsc::Receiver<Bytes>),
    /// A complete response body.
    Complete(String),
    /// A refusal of the request.
    Refused(Refusal),
}

/// `CallerGone` is returned if the caller has disconnected or reads too slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerGone;

/// `ResponseSink` is the sending half of a response. As long as `head` is present, nothing has been
/// sent.
pub struct ResponseSink {
    head: Option<oneshot::Sender<ResponseHead>>,
    body: Option<mpsc::Sender<Bytes>>,
    format: Format,
    write_timeout: Duration,
}

impl ResponseSink {
    /// Creates a sink and the receiver of its response.
    #[must_use]
    pub fn new(format: Format, write_timeout: Duration) -> (Self, oneshot::Receiver<ResponseHead>) {
        let (tx, rx) = oneshot::channel();
        (
            Self {
                head: Some(tx),
                body: None,
                format,
                write_timeout,
            },
            rx,
        )
    }

    /// Returns whether the caller requested a stream.
    #[must_use]
    pub fn is_stream(&self) -> bool {
        self.format.is_stream
    }

    /// Completes when the caller has disconnected.
    pub async fn closed(&mut self) {
        match (&mut self.head, &self.body) {
            (Some(head), _) => head.closed().await,
            (None, Some(body)) => body.closed().await,
            (None, None) => std::future::pending().await,
        }
    }

    /// Sends a piece of text if the response is streamed; otherwise does nothing.
    ///
    /// # Errors
    /// `CallerGone` if the caller has disconnected or does not read within the write timeout.
    pub async fn send_chunk(&mut self, text: &str) -> Result<(), CallerGone> {
        if !self.format.is_stream {
            return Ok(());
        }
        self.send(self.format.chunk(text)).await
    }

    /// Ends the response successfully. `text` and `tokens` describe the complete response.
    ///
    /// # Errors
    /// `CallerGone` if the caller has disconnected or does not read within the write timeout.
    pub async fn finish(&mut self, text: &str, tokens: usize) -> Result<(), CallerGone> {
        if self.format.is_stream {
            let end = self.format.end(tokens);
            let sent = self.send(end).await;
            self.body = None;
            return sent;
        }
        let head = self.head.take().ok_or(CallerGone)?;
        head.send(ResponseHead::Complete(self.format.complete(text, tokens)))
            .map_err(|_| CallerGone)
    }

    /// Ends the response with a refusal, which is sent as an error event if a stream has begun.
    pub async fn fail(&mut self, refusal: Refusal) {
        if let Some(head) = self.head.take() {
            // The caller may have disconnected.
            let _ = head.send(ResponseHead::Refused(refusal));
        } else {
            let event = self.format.error(refusal);
            let _ = self.send(event).await;
        }
        self.body = None;
    }

    async fn send(&mut self, bytes: Bytes) -> Result<(), CallerGone> {
        if let Some(head) = self.head.take() {
            let (tx, rx) = mpsc::channel(CHUNK_QUEUE_CAPACITY);
            head.send(ResponseHead::Stream(rx))
                .map_err(|_| CallerGone)?;
            self.body = Some(tx);
        }
        let body = self.body.as_ref().ok_or(CallerGone)?;
        match tokio::time::timeout(self.write_timeout, body.send(bytes)).await {
            Ok(Ok(())) => Ok(()),
            _ => Err(CallerGone),
        }
    }
}
