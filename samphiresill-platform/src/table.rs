//! The table service: rows with versions, and transactions with conditions on them.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// `Row` is one row as read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Grows with each write of the row.
    pub version: u64,
    /// Its content.
    pub value: String,
}

/// `Condition` demands a version of a row, 0 for a row that is absent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The row's key.
    pub key: String,
    /// The version that it must have.
    pub version: u64,
}

/// `Write` puts a row, or deletes it when there is no value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The row's key.
    pub key: String,
    /// The new content.
    pub value: Option<String>,
}

/// `Transaction` takes effect whole, if all conditions hold, or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// What must hold.
    pub conditions: Vec<Condition>,
    /// What is written.
    pub writes: Vec<Write>,
}

/// `Error` is how a call of the platform can fail.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// A condition did not hold; nothing was written.
    #[display("the row {key} has another version")]
    Conflict {
        /// The row whose condition failed.
        key: String,
    },
    /// The platform refused; nothing was written.
    #[display("the platform refused with status {status}")]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// No reply came; a write may have taken effect.
    #[display("no reply from the platform: {cause}")]
    NoReply {
        /// What was seen.
        cause: String,
    },
}

/// `Result` of a call of the platform.
pub type Result<T> = std::result::Result<T, Error>;

/// `Table` is the table service, or what takes its place in a test.
pub trait Table: Send + Sync {
    /// Runs a transaction.
    ///
    /// # Errors
    /// `Conflict` when a condition did not hold; `NoReply` when it may have taken effect.
    fn transact(&self, transaction: &Transaction) -> Result<()>;

    /// Reads rows by key; absent rows are left out.
    ///
    /// # Errors
    /// `Refused` or `NoReply`.
    fn get(&self, keys: &[String]) -> Result<Vec<Row>>;

    /// Reads up to `limit` rows whose keys begin with `prefix`, in order, from behind `after`.
    ///
    /// # Errors
    /// `Refused` or `NoReply`.
    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>>;
}
