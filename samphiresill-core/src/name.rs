//! Typed names, stored as reference-counted immutable strings that are cheap to clone.

use std::sync::Arc;

use derive_more::{AsRef, Deref, Display, From};
use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, AsRef, Deref,
            Serialize, Deserialize,
        )]
        #[from(Arc<str>, String, &str)]
        #[as_ref(str)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);
    };
}

name_type! {
    /// `VmName` identifies a VM that runs a router, as given by the platform's list of VMs.
    VmName
}
name_type! {
    /// `DomainName` identifies a failure domain.
    DomainName
}
name_type! {
    /// `CustomerName` identifies a customer.
    CustomerName
}
name_type! {
    /// `TargetName` identifies a target: a model engine or an instance of a plain service.
    TargetName
}
name_type! {
    /// `ServiceName` identifies what targets serve: a model or a plain service.
    ServiceName
}
name_type! {
    /// `SoftwareVersion` identifies the version of the software that a target runs. Versions have no
    /// order.
    SoftwareVersion
}
name_type! {
    /// `RequestId` identifies a caller's request across all of its attempts.
    RequestId
}

/// `KeyHash` is the hexadecimal BLAKE3 hash of a caller's or an operator's API key.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Display, From, AsRef, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct KeyHash(Arc<str>);

impl KeyHash {
    /// Hashes a key in plain text, as presented in a request.
    #[must_use]
    pub fn of_key(key: &str) -> Self {
        Self(blake3::hash(key.as_bytes()).to_hex().as_str().into())
    }

    /// Wraps a hexadecimal hash without validation; the configuration document validates it.
    #[must_use]
    pub fn from_hex(text: &str) -> Self {
        Self(text.into())
    }
}
