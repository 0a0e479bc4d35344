//! Configuration change log in the table service, with one row for each change and a head row that
//! holds the last revision.
//!
//! A change is appended in one transaction, on condition that the head is unchanged. It advances
//! the head to the next revision and writes the rows of the change and of its ID. A lost response
//! is resolved by reading the row of the change's ID.

use samphiresill_contract::change::{self, Change, Snapshot};
use samphiresill_contract::error::Error as ContractError;
use samphiresill_platform::table::{self, Condition, Table, Transaction, Write};

use derive_more::{Display, Error, From};

/// Maximum number of changes fetched by one read.
const FETCH_LIMIT: usize = 200;
/// Maximum number of attempts to append a change while other operators append concurrently.
const MAX_APPEND_ATTEMPTS: u32 = 20;
/// Key of the head row, which holds the last revision.
const HEAD_KEY: &str = "config/head";
/// Key prefix of the rows that hold the changes.
const CHANGE_PREFIX: &str = "config/change/";
/// Key prefix of the rows that map the ID of a change to its revision.
const ID_PREFIX: &str = "config/id/";

/// `Error` is the reason why a change was not appended or the log could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error, From)]
pub enum Error {
    /// The change is invalid or conflicts with another one.
    #[display("{_0}")]
    Rejected(ContractError),
    /// The platform is unavailable; the change may be retried with the same ID.
    #[display("{_0}")]
    Platform(table::Error),
    /// The log contains an invalid row.
    #[display("the log of changes is damaged at {key}")]
    #[from(ignore)]
    Damaged {
        /// Key of the row.
        key: String,
    },
    /// Every attempt to append conflicted with a concurrent change.
    #[display("too many other changes at the same time; repeat the call")]
    #[from(ignore)]
    Busy,
}

/// Returns the last revision in the log and the version of the head row.
///
/// # Errors
/// `Platform`, or `Damaged` if the head row does not contain a number.
pub fn head(table: &dyn Table) -> Result<(u64, u64), Error> {
    let rows = table.get(&[HEAD_KEY.to_owned()])?;
    let Some(row) = rows.first() else {
        return Ok((0, 0));
    };
    let revision = row.value.parse().map_err(|_| damaged_row(HEAD_KEY))?;
    Ok((revision, row.version))
}

/// Applies all later changes in the log to `base`.
///
/// # Errors
/// `Platform`, or `Damaged` if a change is missing, cannot be parsed or cannot be applied.
pub fn catch_up(table: &dyn Table, base: &Snapshot) -> Result<Snapshot, Error> {
    let mut snapshot = base.clone();
    loop {
        let rows = table.scan(CHANGE_PREFIX, &change_key(snapshot.revision), FETCH_LIMIT)?;
        let count = rows.len();
        for row in rows {
            if row.key != change_key(snapshot.revision + 1) {
                return Err(damaged_row(&row.key));
            }
            let change: Change =
                serde_json::from_str(&row.value).map_err(|_| damaged_row(&row.key))?;
            snapshot = change::apply(&snapshot, &change).map_err(|_| damaged_row(&row.key))?;
        }
        if count < FETCH_LIMIT {
            return Ok(snapshot);
        }
    }
}

/// Appends a change and returns a snapshot that includes it. An ID that is already in the log is
/// not appended again.
///
/// # Errors
/// `Rejected` or `Busy` if nothing was changed; `Platform` if the change may have been appended;
/// `Damaged`.
pub fn append(table: &dyn Table, base: &Snapshot, change: &Change) -> Result<Snapshot, Error> {
    let mut base = base.clone();
    for _ in 0..MAX_APPEND_ATTEMPTS {
        base = catch_up(table, &base)?;
        if let Some(revision) = revision_of(table, &change.change_id)? {
            return catch_up_to(table, base, revision);
        }
        let (head_revision, head_version) = head(table)?;
        if head_revision != base.revision {
            continue;
        }
        let next = change::apply(&base, change)?;
        match table.transact(&transaction(change, &next, head_version)) {
            Ok(()) => return Ok(next),
            // Either a concurrent change was appended first or the response was lost; the next
            // iteration finds out by reading the row of the change's ID.
            Err(table::Error::Conflict { .. } | table::Error::NoReply { .. }) => {}
            Err(e) => return Err(e.into()),
        }
    }
    Err(Error::Busy)
}

fn catch_up_to(table: &dyn Table, base: Snapshot, revision: u64) -> Result<Snapshot, Error> {
    if base.revision >= revision {
        Ok(base)
    } else {
        catch_up(table, &base)
    }
}

fn revision_of(table: &dyn Table, change_id: &str) -> Result<Option<u64>, Error> {
    let key = format!("{ID_PREFIX}{change_id}");
    let rows = table.get(std::slice::from_ref(&key))?;
    let parse = |value: &str| value.parse().map_err(|_| damaged_row(&key));
    rows.first().map(|row| parse(&row.value)).transpose()
}

fn transaction(change: &Change, next: &Snapshot, head_version: u64) -> Transaction {
    let id_key = format!("{ID_PREFIX}{}", change.change_id);
    let value = serde_json::to_string(change).expect("a change is always serializable");
    Transaction {
        conditions: vec![
            Condition {
                key: HEAD_KEY.into(),
                version: head_version,
            },
            Condition {
                key: id_key.clone(),
                version: 0,
            },
        ],
        writes: vec![
            Write {
                key: HEAD_KEY.into(),
                value: Some(next.revision.to_string()),
            },
            Write {
                key: change_key(next.revision),
                value: Some(value),
            },
            Write {
                key: id_key,
                value: Some(next.revision.to_string()),
            },
        ],
    }
}

fn change_key(revision: u64) -> String {
    format!("{CHANGE_PREFIX}{revision:012}")
}

fn damaged_row(key: &str) -> Error {
    Error::Damaged {
        key: key.to_owned(),
    }
}
