//! Why a change of the configuration is not accepted.

use derive_more::{Display, Error};

use crate::object;

/// `Error` tells the operator what to mend.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// A value is not what the document accepts.
    #[display("{path}: {found}; accepted: {accepted}")]
    Invalid {
        /// Path of the fault in the document.
        path: String,
        /// What is wrong there.
        found: String,
        /// What would be accepted.
        accepted: String,
    },
    /// Another change of the same object came first.
    #[display("{id} was changed at revision {current}, after the expected revision {expected}")]
    Conflict {
        /// The object that both changes concern.
        id: object::ObjectId,
        /// The revision that the change was based on.
        expected: u64,
        /// The revision it lost to.
        current: u64,
    },
}

impl Error {
    /// A fault at a path of the document.
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

/// `Result` of an operation on the configuration.
pub type Result<T> = std::result::Result<T, Error>;
