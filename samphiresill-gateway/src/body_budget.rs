//! A limit on the memory that buffered bodies of requests and responses use.
//!
//! Guards against many callers that send large bodies at once, send them slowly, or do not take their
//! responses: a body that does not fit is refused before it is buffered.
//!
//! Invariant: the reserved bytes never exceed the budget.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Debug;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Fraction of the process's memory that bodies may use; a gateway needs about 25 MB in addition to
/// them.
const BODY_MEMORY_FRACTION: f64 = 0.4;
/// Interval at which a reservation that waits is tried again: short compared with the time
/// in which a blocked caller is cut off, and at most 50 wake-ups per second for each one that waits.
const RESERVE_RETRY_INTERVAL: Duration = Duration::from_millis(20);
const BYTES_PER_MB: f64 = 1_000_000.0;

/// `BodyBudget` is the memory that a gateway may use for buffered bodies.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    free: Arc<Semaphore>,
    /// Size of the whole budget in bytes.
    total: usize,
}

/// `Reservation` is a part of the budget; dropping it releases the memory.
#[derive(Debug)]
pub struct Reservation {
    budget: BodyBudget,
    permit: Option<OwnedSemaphorePermit>,
}

/// `Reserved` are bytes that count against the budget until the last reference to them is dropped.
#[derive(Debug)]
struct Reserved {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Reserved {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BodyBudget {
    /// Creates the budget of a process that may use `memory_mb` megabytes.
    #[must_use]
    pub fn new(memory_mb: u64) -> Self {
        let bytes = memory_mb as f64 * BYTES_PER_MB * BODY_MEMORY_FRACTION;
        let bytes = (bytes as usize).min(Semaphore::MAX_PERMITS);
        Self {
            free: Arc::new(Semaphore::new(bytes)),
            total: bytes,
        }
    }

    /// Creates an empty reservation.
    #[must_use]
    pub fn new_reservation(&self) -> Reservation {
        Reservation {
            budget: self.clone(),
            permit: None,
        }
    }

    /// Reserves `bytes`, and waits until the budget has them. Smaller reservations may overtake: the
    /// semaphore's own queue would collect what is released for the first one that waits, and keep
    /// all others out meanwhile. Returns `None` when the whole budget is smaller.
    pub async fn reserve(&self, bytes: usize) -> Option<Reservation> {
        if bytes > self.total {
            return None;
        }
        let mut reservation = self.new_reservation();
        while !reservation.grow(bytes) {
            tokio::time::sleep(RESERVE_RETRY_INTERVAL).await;
        }
        Some(reservation)
    }

    /// Number of bytes that are not reserved.
    #[must_use]
    pub fn free(&self) -> usize {
        self.free.available_permits()
    }
}

impl Reservation {
    /// Reserves `bytes` more. Returns false, and reserves nothing, when the budget has fewer left.
    #[must_use]
    pub fn grow(&mut self, bytes: usize) -> bool {
        let free = Arc::clone(&self.budget.free);
        let Ok(more) = u32::try_from(bytes)
            .map_err(drop)
            .and_then(|n| free.try_acquire_many_owned(n).map_err(drop))
        else {
            return false;
        };
        match &mut self.permit {
            Some(permit) => permit.merge(more),
            None => self.permit = Some(more),
        }
        true
    }

    /// Number of reserved bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.permit
            .as_ref()
            .map_or(0, OwnedSemaphorePermit::num_permits)
    }

    /// Attaches the reservation to the bytes that were read within it.
    #[must_use]
    pub fn attach(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(Reserved {
            bytes,
            _reservation: self,
        })
    }
}

/// `BodyBuffer` collects a body. What it allocates is reserved, also what is not filled yet.
#[derive(Debug)]
pub struct BodyBuffer {
    bytes: Vec<u8>,
    reservation: Reservation,
}

impl BodyBuffer {
    /// Creates an empty buffer that may allocate what is reserved.
    #[must_use]
    pub fn new(reservation: Reservation) -> Self {
        Self {
            bytes: Vec::with_capacity(reservation.size()),
            reservation,
        }
    }

    /// Number of bytes in the buffer.
    #[must_use]
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether the buffer is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends bytes. Returns false, and appends nothing, when the budget has no memory for them.
    #[must_use]
    pub fn push(&mut self, chunk: &[u8]) -> bool {
        let reserved = self.reservation.size();
        let missing = (self.bytes.len() + chunk.len()).saturating_sub(reserved);
        // Half more at least, so that few reallocations follow; less where the budget has no more.
        let has_room = missing == 0
            || self.reservation.grow(missing.max(reserved / 2))
            || self.reservation.grow(missing);
        if has_room {
            let additional = self.reservation.size() - self.bytes.len();
            self.bytes.reserve_exact(additional);
            self.bytes.extend_from_slice(chunk);
        }
        has_room
    }

    /// Returns the body. It counts against the budget until it is dropped.
    #[must_use]
    pub fn into_bytes(self) -> Bytes {
        self.reservation.attach(Bytes::from(self.bytes))
    }
}
