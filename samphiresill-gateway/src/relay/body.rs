//! Reads the bodies of targets within bounds: a faulty target may write without end.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use samphiresill_attempt::failure::FailurePoint;

use super::attempt::{Failure, Symptom};
use crate::body_budget::{BodyBuffer, Reservation};

/// Maximum size of a response that is read as a whole; streams have no limit.
pub const MAX_BODY_BYTES: usize = 8 << 20;
/// Maximum number of bytes of a body that are discarded to reuse its connection. Opening a new
/// connection costs less than reading more.
const MAX_DISCARDED_BYTES: usize = 16 << 10;
/// Time for which a body is discarded: several round trips.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(50);

/// Reads a body to its end. It counts against the memory budget until the bytes are dropped: a
/// caller may take its response slowly, or not at all.
///
/// # Errors
/// When the body ends prematurely, or exceeds `MAX_BODY_BYTES` or the budget.
pub async fn read(mut body: Incoming, reservation: Reservation) -> Result<Bytes, Failure> {
    let failed = |cause: String| Failure::new(FailurePoint::DuringAnswer, cause);
    let mut buf = BodyBuffer::new(reservation);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| Failure::broken_response(e.to_string()))?;
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        if buf.len() + chunk.len() > MAX_BODY_BYTES {
            return Err(failed(format!("the body exceeds {MAX_BODY_BYTES} bytes")));
        }
        if !buf.push(&chunk) {
            return Err(no_memory());
        }
    }
    Ok(buf.into_bytes())
}

/// The failure of an attempt for whose response this router has no memory.
pub fn no_memory() -> Failure {
    Failure {
        symptom: Symptom::Cancelled,
        ..Failure::new(FailurePoint::DuringAnswer, "no memory for the body")
    }
}

/// Discards a body that is not needed. Returns whether it ended, so that its connection can be
/// reused; a long or slow one is not read to its end.
pub async fn discard(body: Incoming) -> bool {
    tokio::time::timeout(DISCARD_TIMEOUT, discard_frames(body))
        .await
        .unwrap_or(false)
}

async fn discard_frames(mut body: Incoming) -> bool {
    let mut discarded = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return false;
        };
        discarded += frame.data_ref().map_or(0, Bytes::len);
        if discarded > MAX_DISCARDED_BYTES {
            return false;
        }
    }
    true
}
