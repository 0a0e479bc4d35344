//! Claims on idempotency keys: at most one run per key, across all routers and restarts.
//!
//! A claim is a row in the platform's table service, written before the request is sent. It names
//! the attempt that holds it, so that an attempt whose write succeeded but whose reply was lost can
//! recognise its own claim.
//!
//! Invariants: only the attempt named in the row runs; a recorded response never changes; a row is
//! only replaced after it has expired.

use std::time::Duration;

use samphiresill_core::name::CustomerName;
use samphiresill_core::outcome::Refusal;
use serde::{Deserialize, Serialize};

/// Retention time of a claim, from its first use.
pub const CLAIM_RETENTION: Duration = Duration::from_hours(24);
/// Time for which a running claim is reported as in progress; afterwards its result is unknown.
pub const IN_PROGRESS_TIMEOUT: Duration = Duration::from_mins(1);
/// Maximum size of a recorded response, in bytes; the result of a larger one is recorded as
/// unknown.
pub const MAX_RECORDED_BYTES: usize = 64 * 1024;
/// Maximum number of reads after lost replies before the claim is abandoned.
const MAX_READ_BACKS: u32 = 4;

/// `Recorded` is a response as it is replayed to later requests with the same key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recorded {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// The body, as text.
    pub body: String,
}

/// `State` is the progress of the request that holds a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The attempt named in the claim may be running.
    Running,
    /// The request has completed with this response.
    Answered(Recorded),
    /// The request may have run, but its response was not recorded.
    Unknown,
}

/// `Claim` is the content of the row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Hash of the method, path and body of the request that first used the key.
    pub fingerprint: String,
    /// Name of the attempt that holds the claim, unique across all routers and their restarts.
    pub attempt: String,
    /// Wall-clock time of the claim in milliseconds since 1970.
    pub since_ms: u64,
    /// Progress of the request.
    pub state: State,
}

impl Claim {
    fn age(&self, now_ms: u64) -> Duration {
        Duration::from_millis(now_ms.saturating_sub(self.since_ms))
    }
}

/// Returns the key of the row in the table service.
#[must_use]
pub fn row_key(customer: &CustomerName, idempotency_key: &str) -> String {
    format!(
        "claim/{customer}/{}",
        blake3::hash(idempotency_key.as_bytes()).to_hex()
    )
}

/// Returns the fingerprint of a request. All requests with the same idempotency key must have the
/// same fingerprint.
#[must_use]
pub fn fingerprint(method: &str, path: &str, body: &[u8]) -> String {
    let mut hash = blake3::Hasher::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hash.update(&(part.len() as u64).to_le_bytes()).update(part);
    }
    hash.finalize().to_hex().to_string()
}

/// `Reply` is the result of a call to the table service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The transaction was committed.
    Written,
    /// The row has a different version.
    Conflict,
    /// The row with its version, or `None` if it does not exist.
    Row(Option<(u64, Claim)>),
    /// No reply was received; the call may have taken effect.
    Lost,
}

/// `Step` is the next action of a claimant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Write the claim, on condition that the row has this version; 0 means that it must not exist.
    Write(u64),
    /// Read the row.
    Read,
    /// Send the request.
    Run,
    /// Return the recorded response to the caller.
    Replay(Recorded),
    /// Refuse the request.
    Refuse(Refusal),
}

/// `Claimant` is the state machine by which one attempt acquires its claim.
#[derive(Clone, Debug)]
pub struct Claimant {
    claim: Claim,
    read_backs: u32,
    may_have_written: bool,
}

impl Claimant {
    /// Creates a claimant for a claim in state `Running`, and returns the first step, which is to
    /// write it.
    #[must_use]
    pub fn new(claim: Claim) -> (Self, Step) {
        (
            Self {
                claim,
                read_backs: 0,
                may_have_written: false,
            },
            Step::Write(0),
        )
    }

    /// Returns the claim to be written.
    #[must_use]
    pub fn claim(&self) -> &Claim {
        &self.claim
    }

    /// Returns whether the row may contain this attempt's claim.
    #[must_use]
    pub fn may_have_written(&self) -> bool {
        self.may_have_written
    }

    /// Processes a reply, and returns the next step.
    pub fn next(&mut self, reply: Reply, now_ms: u64) -> Step {
        match reply {
            Reply::Written => {
                self.may_have_written = true;
                Step::Run
            }
            Reply::Conflict => Step::Read,
            Reply::Lost => {
                self.may_have_written = true;
                self.read_backs += 1;
                if self.read_backs > MAX_READ_BACKS {
                    Step::Refuse(Refusal::ClaimUnavailable)
                } else {
                    Step::Read
                }
            }
            Reply::Row(None) => self.after_absent(),
            Reply::Row(Some((version, row))) => self.after_row(version, &row, now_ms),
        }
    }

    fn after_absent(&mut self) -> Step {
        self.read_backs += 1;
        if self.read_backs > MAX_READ_BACKS {
            return Step::Refuse(Refusal::ClaimUnavailable);
        }
        Step::Write(0)
    }

    fn after_row(&self, version: u64, row: &Claim, now_ms: u64) -> Step {
        if row.attempt == self.claim.attempt {
            return Step::Run;
        }
        if row.age(now_ms) >= CLAIM_RETENTION {
            return Step::Write(version);
        }
        if row.fingerprint != self.claim.fingerprint {
            return Step::Refuse(Refusal::KeyReused);
        }
        match &row.state {
            State::Answered(recorded) => Step::Replay(recorded.clone()),
            State::Running if row.age(now_ms) < IN_PROGRESS_TIMEOUT => {
                Step::Refuse(Refusal::InProgress)
            }
            State::Running | State::Unknown => Step::Refuse(Refusal::KeyUnknown),
        }
    }
}
