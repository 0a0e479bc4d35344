//! A limit on the memory that buffered bodies of requests and responses use.
//!
//! Guards against many callers that send large bodies at once, send them slowly, or do not take their
//! responses: a body that does not fit is refused before it is buffered.
//!
//! Invariant: the reserved bytes never exceed the budget.

use std::sync::Arc;

use bytes::Bytes;
use derive_more::{Debug, Deref};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Fraction of the process's memory that bodies may use; a gateway needs about 25 MB in addition to
/// them.
const BODY_MEMORY_FRACTION: f64 = 0.4;
const BYTES_PER_MB: f64 = 1_000_000.0;

/// `BodyBudget` is the memory that a gateway may use for buffered bodies.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    free: Arc<Semaphore>,
}

/// `Reservation` is a part of the budget; dropping it releases the memory.
#[derive(Debug)]
pub struct Reservation {
    budget: BodyBudget,
    permit: Option<OwnedSemaphorePermit>,
}

/// `Body` is a complete body that counts against the budget until it is dropped.
#[derive(Debug, Deref)]
pub struct Body {
    #[deref]
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Body {
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

    /// Attaches the reservation to the body that was read within it.
    #[must_use]
    pub fn into_body(self, bytes: Bytes) -> Body {
        Body {
            bytes,
            _reservation: self,
        }
    }
}
