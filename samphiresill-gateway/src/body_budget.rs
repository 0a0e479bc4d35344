//! A bound on the memory that bodies of requests take.
//!
//! Answers the load pattern in which many callers send long bodies at once, or send them slowly:
//! what does not fit is refused before it is buffered.
//!
//! Invariant: the bytes reserved never exceed the budget.

use std::sync::Arc;

use bytes::Bytes;
use derive_more::{Debug, Deref};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Part of the process's memory that bodies may take; a gateway needs some 25 MB beside them.
const BODY_MEMORY_FRACTION: f64 = 0.4;
/// Bytes of a megabyte.
const BYTES_PER_MB: f64 = 1_000_000.0;

/// `BodyBudget` is the memory for bodies of one gateway.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    free: Arc<Semaphore>,
}

/// `Reservation` is a part of the budget that is free again when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: BodyBudget,
    permit: Option<OwnedSemaphorePermit>,
}

/// `Body` is a whole body, counted against the budget until it is dropped.
#[derive(Debug, Deref)]
pub struct Body {
    #[deref]
    bytes: Bytes,
    _reservation: Reservation,
}

impl BodyBudget {
    /// A budget in a process that may use `memory_mb` megabytes.
    #[must_use]
    pub fn new(memory_mb: u64) -> Self {
        let bytes = memory_mb as f64 * BYTES_PER_MB * BODY_MEMORY_FRACTION;
        let bytes = (bytes as usize).min(Semaphore::MAX_PERMITS);
        Self {
            free: Arc::new(Semaphore::new(bytes)),
        }
    }

    /// A reservation of nothing.
    #[must_use]
    pub fn begin(&self) -> Reservation {
        Reservation {
            budget: self.clone(),
            permit: None,
        }
    }

    /// Bytes that are not reserved.
    #[must_use]
    pub fn free(&self) -> usize {
        self.free.available_permits()
    }
}

impl Reservation {
    /// Reserves `bytes` more; false when the budget has not so many left.
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

    /// A body that was read whole within the reservation.
    #[must_use]
    pub fn into_body(self, bytes: Bytes) -> Body {
        Body {
            bytes,
            _reservation: self,
        }
    }
}
