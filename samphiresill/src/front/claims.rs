//! Claims on idempotency keys in the platform's table service.

use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use samphiresill_attempt::claim::{self, Claim, Claimant, Recorded, Reply, State, Step};
use samphiresill_core::clock::Clock;
use samphiresill_core::outcome::Refusal;
use samphiresill_platform::table::{self, Condition, Table, Transaction, Write};

/// Maximum number of attempts to record the result of a request.
const MAX_RECORD_ATTEMPTS: u32 = 5;
/// Delay between these attempts.
const RECORD_RETRY_DELAY: Duration = Duration::from_millis(500);

/// `Admission` is the result of a successful claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may be sent; the caller holds this claim.
    Run(Claim),
    /// An earlier request with the same key has completed; its recorded response is replayed.
    Replay(Recorded),
}

/// `Claims` reads and writes claims in the table service.
#[derive(Clone)]
pub struct Claims {
    table: Arc<dyn Table>,
    clock: Arc<dyn Clock>,
}

impl Claims {
    /// Creates access to the claims in a table.
    #[must_use]
    pub fn new(table: Arc<dyn Table>, clock: Arc<dyn Clock>) -> Self {
        Self { table, clock }
    }

    /// Claims an idempotency key for a request. Blocks on calls to the table service.
    ///
    /// # Errors
    /// The refusal to return to the caller.
    pub fn claim_key(
        &self,
        row_key: &str,
        fingerprint: String,
        attempt: String,
    ) -> Result<Admission, Refusal> {
        let since_ms = self.now_ms();
        let claim = Claim {
            fingerprint,
            attempt,
            since_ms,
            state: State::Running,
        };
        let (mut claimant, mut step) = Claimant::new(claim);
        loop {
            let reply = match step {
                Step::Write(version) => self.write(row_key, version, claimant.claim()),
                Step::Read => self.read(row_key),
                Step::Run => return Ok(Admission::Run(claimant.claim().clone())),
                Step::Replay(recorded) => return Ok(Admission::Replay(recorded)),
                Step::Refuse(refusal) => return Err(refusal),
            };
            step = claimant.next(reply, self.now_ms());
        }
    }

    /// Records the result of the request that holds a claim, for later requests with the same key.
    ///
    /// If the result cannot be recorded, later requests with the key get an unknown outcome.
    pub fn record(&self, row_key: &str, claim: &Claim, state: State) {
        let completed = Claim {
            state,
            ..claim.clone()
        };
        for _ in 0..MAX_RECORD_ATTEMPTS {
            let is_settled = match self.read(row_key) {
                Reply::Row(Some((version, row))) => {
                    row != *claim || self.write(row_key, version, &completed) == Reply::Written
                }
                Reply::Row(None) => true,
                _ => false,
            };
            if is_settled {
                return;
            }
            std::thread::sleep(RECORD_RETRY_DELAY);
        }
        log::warn!(row = row_key; "cannot record the result of a request with an idempotency key");
    }

    /// Releases the claim of a request that was certainly not executed, so that the key can be used
    /// again.
    pub fn release(&self, row_key: &str, claim: &Claim) {
        if let Reply::Row(Some((version, row))) = self.read(row_key)
            && row == *claim
        {
            let transaction = transaction(row_key, version, None);
            if let Err(e) = self.table.transact(&transaction) {
                log::info!(row = row_key, error:% = e; "cannot release claim on idempotency key");
            }
        }
    }

    fn write(&self, row_key: &str, version: u64, claim: &Claim) -> Reply {
        let value = serde_json::to_string(claim).expect("a claim is always serializable");
        match self
            .table
            .transact(&transaction(row_key, version, Some(value)))
        {
            Ok(()) => Reply::Written,
            Err(table::Error::Conflict { .. }) => Reply::Conflict,
            Err(table::Error::Refused { .. } | table::Error::NoReply { .. }) => Reply::Lost,
        }
    }

    fn read(&self, row_key: &str) -> Reply {
        let Ok(rows) = self.table.get(&[row_key.to_owned()]) else {
            return Reply::Lost;
        };
        let Some(row) = rows.first() else {
            return Reply::Row(None);
        };
        match serde_json::from_str(&row.value) {
            Ok(claim) => Reply::Row(Some((row.version, claim))),
            Err(_) => Reply::Lost,
        }
    }

    fn now_ms(&self) -> u64 {
        let since = self
            .clock
            .wall()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}

/// Returns the state to record for a response. The state is `Unknown` if the body is too large or
/// is not valid UTF-8.
#[must_use]
pub fn recorded_state(status: u16, content_type: &str, body: &[u8]) -> State {
    match std::str::from_utf8(body) {
        Ok(text) if body.len() <= claim::MAX_RECORDED_BYTES => State::Answered(Recorded {
            status,
            content_type: content_type.to_owned(),
            body: text.to_owned(),
        }),
        _ => State::Unknown,
    }
}

fn transaction(row_key: &str, version: u64, value: Option<String>) -> Transaction {
    Transaction {
        conditions: vec![Condition {
            key: row_key.to_owned(),
            version,
        }],
        writes: vec![Write {
            key: row_key.to_owned(),
            value,
        }],
    }
}
