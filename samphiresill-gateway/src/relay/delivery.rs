//! Hands the chunks of a stream to its caller within the memory budget.
//!
//! Guards against many callers that read their streams slowly: while the budget has no memory for the
//! next chunk, the target is not read, and so has to wait.
//!
//! Invariants: at most one chunk waits, of at most the size that the caller passes; an event that is not
//! complete counts against the budget, however long its target takes to end it.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use derive_more::Debug;

use crate::body_budget::{BodyBudget, Reservation};
use crate::connection;

/// Memory of a stream besides the chunks that wait for its caller: what the connection to its target
/// buffers, and one chunk that has been read from it.
const STREAM_BYTES: usize = connection::READ_BUFFER_BYTES * 2;

type Reserving = Pin<Box<dyn Future<Output = Option<Reservation>> + Send>>;

/// `Delivery` is the memory of one stream.
#[derive(Debug)]
pub struct Delivery {
    budget: BodyBudget,
    _stream: Reservation,
    /// Memory of the event that is not complete yet, beyond that of the stream.
    incomplete: Reservation,
    /// The chunk that is to be delivered next, and the reservation that it waits for.
    #[debug(skip)]
    next: Option<(Bytes, Reserving)>,
}

impl Delivery {
    /// Reserves the memory of a stream; `None` when the budget has none.
    #[must_use]
    pub fn new(budget: &BodyBudget) -> Option<Self> {
        let mut stream = budget.new_reservation();
        stream.grow(STREAM_BYTES).then(|| Self {
            budget: budget.clone(),
            _stream: stream,
            incomplete: budget.new_reservation(),
            next: None,
        })
    }

    /// Reserves the memory of an event that is not complete yet, of `bytes` so far. Returns false when
    /// the budget has none.
    #[must_use]
    pub fn reserve_incomplete(&mut self, bytes: usize) -> bool {
        if bytes <= STREAM_BYTES {
            if self.incomplete.size() > 0 {
                self.incomplete = self.budget.new_reservation();
            }
            return true;
        }
        let reserved = self.incomplete.size();
        let missing = bytes.saturating_sub(reserved);
        // As much more as the buffer grows by.
        missing == 0 || self.incomplete.grow(missing.max(reserved)) || self.incomplete.grow(missing)
    }

    /// Adds a chunk, after the one before has been delivered. It waits for memory at most `time_left`.
    pub fn push(&mut self, chunk: Bytes, time_left: Duration) {
        let (budget, size) = (self.budget.clone(), chunk.len());
        let reserving = async move {
            let mut reservation = budget.new_reservation();
            if reservation.grow(size) {
                return Some(reservation);
            }
            let reserving = tokio::time::timeout(time_left, budget.reserve(size));
            reserving.await.ok().flatten()
        };
        self.next = Some((chunk, Box::pin(reserving)));
    }

    /// Polls the next chunk; `None` when there is none.
    ///
    /// # Errors
    /// When there was no memory for it in time.
    pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, &'static str>>> {
        let Some((_, reserving)) = &mut self.next else {
            return Poll::Ready(None);
        };
        let reservation = ready!(reserving.as_mut().poll(cx));
        let chunk = self.next.take().map(|(chunk, _)| chunk);
        // A copy, because the chunk may be a small part of the connection's buffer.
        let deliver = |chunk: Bytes| {
            let reservation = reservation.ok_or("no memory for an event")?;
            Ok(reservation.attach(Bytes::copy_from_slice(&chunk)))
        };
        Poll::Ready(chunk.map(deliver))
    }
}
