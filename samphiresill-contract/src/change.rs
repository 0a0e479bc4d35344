//! Changes of the configuration, each a revision of its own.
//!
//! Invariants: a snapshot's revision only grows, by one with each change; an object's revision is
//! that of the last change that touched it; a change that loses to another changes nothing.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::document::Document;
use crate::error::{Error, Result};
use crate::object::{Kind, Object, ObjectId};

/// `Operation` puts or deletes one object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operation {
    /// The object concerned.
    pub id: ObjectId,
    /// The new value, or nothing to delete the object.
    pub value: Option<Object>,
    /// The revision of the object that the operator saw (0 for none); nothing skips the check.
    pub expected: Option<u64>,
}

/// `Change` is what one operator's call asks for: all of its operations or none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Chosen by the operator's program, the same when it repeats a call.
    pub change_id: String,
    /// What to do, in order.
    pub operations: Vec<Operation>,
}

/// `Snapshot` is the document after a number of changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The number of changes that led here.
    pub revision: u64,
    /// The configuration itself.
    pub document: Document,
    /// The revision of the last change of each object, deleted ones included.
    pub object_revisions: BTreeMap<String, u64>,
}

/// The snapshot that follows `base` when `change` is accepted.
///
/// # Errors
/// `Conflict` when an object was changed after the expected revision, `Invalid` when the result
/// is not a valid document.
pub fn apply(base: &Snapshot, change: &Change) -> Result<Snapshot> {
    let mut next = base.clone();
    next.revision = base.revision + 1;
    for operation in &change.operations {
        check_expected(base, operation)?;
        put(&mut next.document, operation)?;
        next.object_revisions
            .insert(operation.id.to_string(), next.revision);
    }
    next.document.check()?;
    Ok(next)
}

fn check_expected(base: &Snapshot, operation: &Operation) -> Result<()> {
    let current = base
        .object_revisions
        .get(&operation.id.to_string())
        .copied()
        .unwrap_or(0);
    match operation.expected {
        Some(expected) if expected != current => Err(Error::Conflict {
            id: operation.id.clone(),
            expected,
            current,
        }),
        _ => Ok(()),
    }
}

fn put(document: &mut Document, operation: &Operation) -> Result<()> {
    let name = operation.id.name.as_str();
    match (operation.id.kind, &operation.value) {
        (Kind::Customer, None) => drop(document.customers.remove(&name.into())),
        (Kind::Model, None) => drop(document.models.remove(&name.into())),
        (Kind::Service, None) => drop(document.services.remove(&name.into())),
        (Kind::Target, None) => drop(document.targets.remove(&name.into())),
        (Kind::Customer, Some(Object::Customer(v))) => {
            document.customers.insert(name.into(), v.clone());
        }
        (Kind::Model, Some(Object::Model(v))) => {
            document.models.insert(name.into(), v.clone());
        }
        (Kind::Service, Some(Object::Service(v))) => {
            document.services.insert(name.into(), v.clone());
        }
        (Kind::Target, Some(Object::Target(v))) => {
            document.targets.insert(name.into(), v.clone());
        }
        (kind, Some(value)) => {
            return Err(Error::invalid(
                operation.id.to_string(),
                format!("a value of kind {}", value.kind()),
                format!("a value of kind {kind}"),
            ));
        }
    }
    Ok(())
}
