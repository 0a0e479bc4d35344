//! The log of changes in the table service: one row a change, and a head with the last revision.
//!
//! A change is one transaction: it takes the next revision if the head has not moved, writes the
//! change and its id. A lost reply is settled by reading the row of the change's id.

use samphiresill_contract::change::{self, Change, Snapshot};
use samphiresill_contract::error::Error as ContractError;
use samphiresill_platform::table::{self, Condition, Table, Transaction, Write};

use derive_more::{Display, Error, From};

/// Changes that one read fetches at the most.
const FETCH_LIMIT: usize = 200;
/// Tries to take the next revision while other operators do the same.
const MAX_TRIES: u32 = 20;
/// Key of the row that holds the last revision.
const HEAD_KEY: &str = "config/head";
/// Prefix of the rows that hold the changes.
const CHANGE_PREFIX: &str = "config/change/";
/// Prefix of the rows that lead from a change's id to its revision.
const ID_PREFIX: &str = "config/id/";

/// `Error` is why a change was not accepted, or the log not read.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error, From)]
pub enum Error {
    /// The change is not acceptable.
    #[display("{_0}")]
    Rejected(ContractError),
    /// The platform does not serve; the change may be repeated with the same id.
    #[display("{_0}")]
    Platform(table::Error),
    /// The log holds something that cannot be read.
    #[display("the log of changes is damaged at {key}")]
    #[from(ignore)]
    Damaged {
        /// The row.
        key: String,
    },
    /// Other changes came first again and again.
    #[display("too many other changes at the same time; repeat the call")]
    #[from(ignore)]
    Busy,
}

/// The last revision in the log, with the version of its row.
///
/// # Errors
/// `Platform`, or `Damaged` when the row is not a number.
pub fn head(table: &dyn Table) -> Result<(u64, u64), Error> {
    let rows = table.get(&[HEAD_KEY.to_owned()])?;
    let Some(row) = rows.first() else {
        return Ok((0, 0));
    };
    let revision = row.value.parse().map_err(|_| damaged(HEAD_KEY))?;
    Ok((revision, row.version))
}

/// The snapshot that follows from `base` by the changes in the log behind it.
///
/// # Errors
/// `Platform`, or `Damaged` when a change cannot be read or does not fit.
pub fn catch_up(table: &dyn Table, base: &Snapshot) -> Result<Snapshot, Error> {
    let mut snapshot = base.clone();
    loop {
        let rows = table.scan(CHANGE_PREFIX, &change_key(snapshot.revision), FETCH_LIMIT)?;
        let count = rows.len();
        for row in rows {
            if row.key != change_key(snapshot.revision + 1) {
                return Err(damaged(&row.key));
            }
            let change: Change = serde_json::from_str(&row.value).map_err(|_| damaged(&row.key))?;
            snapshot = change::apply(&snapshot, &change).map_err(|_| damaged(&row.key))?;
        }
        if count < FETCH_LIMIT {
            return Ok(snapshot);
        }
    }
}

/// Appends a change; gives the revision that it took, the same for a repeated id.
///
/// # Errors
/// `Rejected` with nothing changed; `Platform` when it is not known whether it was accepted.
pub fn append(table: &dyn Table, base: &Snapshot, change: &Change) -> Result<Snapshot, Error> {
    let mut base = base.clone();
    for _ in 0..MAX_TRIES {
        base = catch_up(table, &base)?;
        if let Some(revision) = revision_of(table, &change.change_id)? {
            return at_least(table, base, revision);
        }
        let (head_revision, head_version) = head(table)?;
        if head_revision != base.revision {
            continue;
        }
        let next = change::apply(&base, change)?;
        match table.transact(&transaction(change, &next, head_version)) {
            Ok(()) => return Ok(next),
            // Another change was first, or the reply was lost: the next round reads which.
            Err(table::Error::Conflict { .. } | table::Error::NoReply { .. }) => {}
            Err(e) => return Err(e.into()),
        }
    }
    Err(Error::Busy)
}

fn at_least(table: &dyn Table, base: Snapshot, revision: u64) -> Result<Snapshot, Error> {
    if base.revision >= revision {
        Ok(base)
    } else {
        catch_up(table, &base)
    }
}

fn revision_of(table: &dyn Table, change_id: &str) -> Result<Option<u64>, Error> {
    let key = format!("{ID_PREFIX}{change_id}");
    let rows = table.get(std::slice::from_ref(&key))?;
    let parse = |value: &str| value.parse().map_err(|_| damaged(&key));
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

fn damaged(key: &str) -> Error {
    Error::Damaged {
        key: key.to_owned(),
    }
}
