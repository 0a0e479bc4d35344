//! Where an answer goes: to a caller that wants a stream, or one that wants it whole.

use std::time::Duration;

use bytes::Bytes;
use samphiresill_core::outcome::Refusal;
use tokio::sync::{mpsc, oneshot};

use crate::front::openai::Format;

/// Pieces that wait for a slow caller.
const MAX_PIECES: usize = 32;

/// `Head` is what a caller gets first.
#[derive(Debug)]
pub enum Head {
    /// A stream whose pieces follow.
    Stream(mpsc::Receiver<Bytes>),
    /// A whole answer.
    Whole(String),
    /// A refusal.
    Refused(Refusal),
}

/// `Gone` says that the caller does not take its answer any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gone;

/// `Sink` leads to one caller; nothing has gone there while `head` is present.
pub struct Sink {
    head: Option<oneshot::Sender<Head>>,
    body: Option<mpsc::Sender<Bytes>>,
    format: Format,
    write_timeout: Duration,
}

impl Sink {
    /// Makes a sink and the caller's end of it.
    #[must_use]
    pub fn new(format: Format, write_timeout: Duration) -> (Self, oneshot::Receiver<Head>) {
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

    /// Whether the caller wants pieces as they come.
    #[must_use]
    pub fn is_stream(&self) -> bool {
        self.format.is_stream
    }

    /// Ends when the caller is gone.
    pub async fn closed(&mut self) {
        match (&mut self.head, &self.body) {
            (Some(head), _) => head.closed().await,
            (None, Some(body)) => body.closed().await,
            (None, None) => std::future::pending().await,
        }
    }

    /// Passes a piece of text on; callers that want the answer whole get it at the end.
    ///
    /// # Errors
    /// `Gone` when the caller is gone or takes too long.
    pub async fn piece(&mut self, text: &str) -> Result<(), Gone> {
        if !self.format.is_stream {
            return Ok(());
        }
        self.send(self.format.piece(text)).await
    }

    /// Ends a whole answer.
    ///
    /// # Errors
    /// `Gone` when the caller is gone or takes too long.
    pub async fn finish(&mut self, text: &str, tokens: usize) -> Result<(), Gone> {
        if self.format.is_stream {
            let end = self.format.end(tokens);
            let sent = self.send(end).await;
            self.body = None;
            return sent;
        }
        let head = self.head.take().ok_or(Gone)?;
        head.send(Head::Whole(self.format.whole(text, tokens)))
            .map_err(|_| Gone)
    }

    /// Ends with a refusal: as the whole answer, or as an explicit error event of a stream.
    pub async fn fail(&mut self, refusal: Refusal) {
        if let Some(head) = self.head.take() {
            // A caller that is gone needs no refusal.
            let _ = head.send(Head::Refused(refusal));
        } else {
            let event = self.format.error(refusal);
            let _ = self.send(event).await;
        }
        self.body = None;
    }

    async fn send(&mut self, bytes: Bytes) -> Result<(), Gone> {
        if let Some(head) = self.head.take() {
            let (tx, rx) = mpsc::channel(MAX_PIECES);
            head.send(Head::Stream(rx)).map_err(|_| Gone)?;
            self.body = Some(tx);
        }
        let body = self.body.as_ref().ok_or(Gone)?;
        match tokio::time::timeout(self.write_timeout, body.send(bytes)).await {
            Ok(Ok(())) => Ok(()),
            _ => Err(Gone),
        }
    }
}
