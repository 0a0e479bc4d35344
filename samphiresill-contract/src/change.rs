//! Atomic changes of the configuration, each of which creates a new revision.
//!
//! Invariants: each change increments the revision of the snapshot by one; the revision of an
//! object is that of the last change that modified it; a change that is rejected because of a
//! conflict has no effect.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::document::Document;
use crate::error::{Error, Result};
use crate::object::{Kind, Object, ObjectId};

/// `Operation` creates, replaces or deletes one object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operation {
    /// The object to modify.
    pub id: ObjectId,
    /// The new value; `None` deletes the object.
    pub value: Option<Object>,
    /// Required revision of the object, 0 if it never existed; `None` disables the check.
    pub expected: Option<u64>,
}

/// `Change` is a list of operations that are applied atomically.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Identifier chosen by the client, which reuses it when it repeats a call.
    pub change_id: String,
    /// Operations in the order of application.
    pub operations: Vec<Operation>,
}

/// `Snapshot` is the configuration document at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Number of changes applied so far.
    pub revision: u64,
    /// The configuration document.
    pub document: Document,
    /// Revision of the last change of each object, including deleted objects.
    pub object_revisions: BTreeMap<String, u64>,
}

/// Applies `change` to `base` and returns the next snapshot.
///
/// # Errors
/// `Conflict` if an object does not have the expected revision, `Invalid` if the resulting document
/// is not valid.
pub fn apply(base: &Snapshot, change: &Change) -> Result<Snapshot> {
    let mut next = base.clone();
    next.revision = base.revision + 1;
    for operation in &change.operations {
        check_expected_revision(base, operation)?;
        apply_operation(&mut next.document, operation)?;
        next.object_revisions
            .insert(operation.id.to_string(), next.revision);
    }
    next.document.validate()?;
    Ok(next)
}

fn check_expected_revision(base: &Snapshot, operation: &Operation) -> Result<()> {
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

fn apply_operation(document: &mut Document, operation: &Operation) -> Result<()> {
    let name = operation.id.name.as_str();
    match (operation.id.kind, &operation.value) {
        (Kind::Customer, None) => drop(document.customers.remove(&name.into())),
        (Kind::Model, None) => drop(document.models.remove(&name.into())),
        (Kind::Service, None) => drop(document.services.remove(&name.into())),
        (Kind::Target, None) => drop(document.targets.remove(&name.into())),
        (Kind::Evacuation, None) => {
            document.evacuations.remove(&name.into());
        }
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
        (Kind::Evacuation, Some(Object::Evacuation(_))) => {
            document.evacuations.insert(name.into());
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
