//! Errors for rejected configuration documents and changes.

use derive_more::{Display, Error};

use crate::object;

/// `Error` is the reason why a document or change was rejected, worded for the operator.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// A value is not valid.
    #[display("{path}: {found}; accepted: {accepted}")]
    Invalid {
        /// Path of the invalid value in the document.
        path: String,
        /// Description of the invalid value.
        found: String,
        /// Description of valid values.
        accepted: String,
    },
    /// The object was modified by another change first.
    #[display("{id} was changed at revision {current}, after the expected revision {expected}")]
    Conflict {
        /// The object that both changes modify.
        id: object::ObjectId,
        /// Revision that the change was based on.
        expected: u64,
        /// Current revision of the object.
        current: u64,
    },
}

impl Error {
    /// Creates an `Invalid` error.
    pub fn invalid(
        path: impl Into<String>,
        found: impl Into<String>,
        accepted: impl Into<String>,
    ) -> Self {
        Self::Invalid {
            path: path.into(),
            found: found.into(),
            accepted: accepted.into(),
        }
    }
}

/// `Result` with the error type of this crate.
pub type Result<T> = std::result::Result<T, Error>;
