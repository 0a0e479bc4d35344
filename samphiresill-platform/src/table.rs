//! Interface of the table service: versioned rows and conditional transactions.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// `Row` is a row returned by a read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Version of the row, which increases with each write.
    pub version: u64,
    /// Content of the row.
    pub value: String,
}

/// `Condition` requires a row to have a given version; version 0 requires that the row does not
/// exist.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// Required version.
    pub version: u64,
}

/// `Write` creates, replaces or deletes a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// New content; `None` deletes the row.
    pub value: Option<String>,
}

/// `Transaction` applies all writes atomically if all conditions hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions that must all hold.
    pub conditions: Vec<Condition>,
    /// Writes to apply.
    pub writes: Vec<Write>,
}

/// `Error` is the reason why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// A condition was not met; nothing was written.
    #[display("the row {key} has another version")]
    Conflict {
        /// Row whose condition was not met.
        key: String,
    },
    /// The platform rejected the call; nothing was written.
    #[display("the platform refused with status {status}")]
    Refused {
        /// HTTP status code.
        status: u16,
    },
    /// No usable response was received; a write may have taken effect.
    #[display("no reply from the platform: {cause}")]
    NoReply {
        /// Description of the error.
        cause: String,
    },
}

/// `Result` of a call to the platform.
pub type Result<T> = std::result::Result<T, Error>;

/// `Table` is the table service; tests may substitute another implementation.
pub trait Table: Send + Sync {
    /// Executes a transaction.
    ///
    /// # Errors
    /// `Conflict` if a condition was not met, `Refused` if the platform rejected the transaction,
    /// `NoReply` if it may have taken effect.
    fn transact(&self, transaction: &Transaction) -> Result<()>;

    /// Reads rows by key; rows that do not exist are omitted.
    ///
    /// # Errors
    /// `Refused` or `NoReply`.
    fn get(&self, keys: &[String]) -> Result<Vec<Row>>;

    /// Reads up to `limit` rows whose keys start with `prefix` and are greater than `after`, sorted
    /// by key.
    ///
    /// # Errors
    /// `Refused` or `NoReply`.
    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>>;
}
