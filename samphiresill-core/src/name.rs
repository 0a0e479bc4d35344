//! Names of the objects that the fleet deals with, as cheap immutable strings.

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
    /// `VmName` names one entry VM, as the platform's list gives it.
    VmName
}
name_type! {
    /// `DomainName` names a failure domain.
    DomainName
}
name_type! {
    /// `CustomerName` names a customer.
    CustomerName
}
name_type! {
    /// `TargetName` names a target: a model engine or a plain service instance.
    TargetName
}
name_type! {
    /// `ServiceName` names what targets serve: a model or a plain service.
    ServiceName
}
name_type! {
    /// `RequestId` identifies one caller's request over its whole life.
    RequestId
}

/// `KeyHash` is the hexadecimal BLAKE3 hash of a caller's or operator's key.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Display, From, AsRef, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct KeyHash(Arc<str>);

impl KeyHash {
    /// Hashes a key as its holder presents it.
    #[must_use]
    pub fn of_key(key: &str) -> Self {
        Self(blake3::hash(key.as_bytes()).to_hex().as_str().into())
    }

    /// Takes a hash as text; a configuration checks its form.
    #[must_use]
    pub fn from_hex(text: &str) -> Self {
        Self(text.into())
    }
}
