//! Claims on idempotency keys: at most one run for a key, at any router, after any restart.
//!
//! A claim is a row of the platform's table service, written before the request is sent. The
//! attempt's name in it settles a reply that was lost after the write took effect.
//!
//! Invariants: only the attempt whose name is in the row runs; a recorded answer never changes;
//! a row is replaced only when it has expired.

use std::time::Duration;

use samphiresill_core::name::CustomerName;
use samphiresill_core::outcome::Refusal;
use serde::{Deserialize, Serialize};

/// How long a claim is kept, from its first use.
pub const CLAIM_LIFE: Duration = Duration::from_hours(24);
/// How long a running claim counts as in progress; afterwards its result is unknown.
pub const IN_PROGRESS_LIFE: Duration = Duration::from_mins(1);
/// Largest answer that is recorded, in bytes; a larger one is recorded as unknown.
pub const MAX_RECORDED_BYTES: usize = 64 * 1024;
/// Reads that follow a lost reply before the claim is given up.
const MAX_READ_BACKS: u32 = 4;

/// `Recorded` is an answer as a later use of the key gets it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recorded {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// The body, as text.
    pub body: String,
}

/// `State` is how far the request of a claim has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The attempt named in the claim may be running.
    Running,
    /// The request was answered.
    Answered(Recorded),
    /// The request may have run, and its answer is lost.
    Unknown,
}

/// `Claim` is the content of the row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Hash of the method, path and body that came with the key.
    pub fingerprint: String,
    /// Name of the attempt that holds the claim, unique over all routers and their lives.
    pub attempt: String,
    /// Wall time of the claim in milliseconds since 1970.
    pub since_ms: u64,
    /// How far the request has come.
    pub state: State,
}

impl Claim {
    fn age(&self, now_ms: u64) -> Duration {
        Duration::from_millis(now_ms.saturating_sub(self.since_ms))
    }
}

/// The row's key in the table service.
#[must_use]
pub fn row_key(customer: &CustomerName, idempotency_key: &str) -> String {
    format!(
        "claim/{customer}/{}",
        blake3::hash(idempotency_key.as_bytes()).to_hex()
    )
}

/// The fingerprint of a request, which a second use of its key must have as well.
#[must_use]
pub fn fingerprint(method: &str, path: &str, body: &[u8]) -> String {
    let mut hash = blake3::Hasher::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hash.update(&(part.len() as u64).to_le_bytes()).update(part);
    }
    hash.finalize().to_hex().to_string()
}

/// `Reply` is what the table service answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The transaction took effect.
    Written,
    /// The row's version was another.
    Conflict,
    /// The row as read, with its version; nothing when it is absent.
    Row(Option<(u64, Claim)>),
    /// No reply: the call may have taken effect.
    Lost,
}

/// `Step` is what the claimant does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Write the claim if the row has this version, 0 for absent.
    Write(u64),
    /// Read the row.
    Read,
    /// Send the request.
    Run,
    /// Give the caller the recorded answer.
    Replay(Recorded),
    /// Refuse the request.
    Refuse(Refusal),
}

/// `Claimant` is one attempt's way to its claim.
#[derive(Clone, Debug)]
pub struct Claimant {
    claim: Claim,
    read_backs: u32,
    may_have_written: bool,
}

impl Claimant {
    /// Begins with a claim that says `Running`; the first step is to write it.
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

    /// The claim as it is written.
    #[must_use]
    pub fn claim(&self) -> &Claim {
        &self.claim
    }

    /// Whether the row may hold this attempt's claim.
    #[must_use]
    pub fn may_have_written(&self) -> bool {
        self.may_have_written
    }

    /// The step that follows a reply.
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
        if row.age(now_ms) >= CLAIM_LIFE {
            return Step::Write(version);
        }
        if row.fingerprint != self.claim.fingerprint {
            return Step::Refuse(Refusal::KeyReused);
        }
        match &row.state {
            State::Answered(recorded) => Step::Replay(recorded.clone()),
            State::Running if row.age(now_ms) < IN_PROGRESS_LIFE => {
                Step::Refuse(Refusal::InProgress)
            }
            State::Running | State::Unknown => Step::Refuse(Refusal::KeyUnknown),
        }
    }
}
