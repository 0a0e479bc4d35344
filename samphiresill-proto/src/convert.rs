//! Conversions between the messages of the API and configuration objects.

use samphiresill_contract::change::{Operation, Snapshot};
use samphiresill_contract::error::{Error, Result};
use samphiresill_contract::object::{self, Kind, ObjectId};
use samphiresill_core::name::{KeyHash, ServiceName};

use crate::generated::{self, object::Value};

/// Converts an object kind to its enum value in the API.
#[must_use]
pub fn kind_to_proto(kind: Kind) -> generated::Kind {
    match kind {
        Kind::Customer => generated::Kind::Customer,
        Kind::Model => generated::Kind::Model,
        Kind::Service => generated::Kind::Service,
        Kind::Target => generated::Kind::Target,
        Kind::Evacuation => generated::Kind::Evacuation,
    }
}

/// Converts an enum value of the API to an object kind.
///
/// # Errors
/// `Invalid` when the value is unspecified or unknown.
pub fn kind_from_proto(kind: i32) -> Result<Kind> {
    match generated::Kind::try_from(kind) {
        Ok(generated::Kind::Customer) => Ok(Kind::Customer),
        Ok(generated::Kind::Model) => Ok(Kind::Model),
        Ok(generated::Kind::Service) => Ok(Kind::Service),
        Ok(generated::Kind::Target) => Ok(Kind::Target),
        Ok(generated::Kind::Evacuation) => Ok(Kind::Evacuation),
        Ok(generated::Kind::Unspecified) | Err(_) => Err(Error::invalid(
            "object.kind",
            kind.to_string(),
            "customer, model, service, target or evacuation",
        )),
    }
}

/// Converts an object to its message; an object without a value denotes a deletion.
#[must_use]
pub fn object_to_proto(
    id: &ObjectId,
    value: Option<&object::Object>,
    revision: u64,
) -> generated::Object {
    generated::Object {
        kind: kind_to_proto(id.kind).into(),
        name: id.name.clone(),
        revision,
        value: value.map(value_to_proto),
    }
}

fn value_to_proto(value: &object::Object) -> Value {
    match value {
        object::Object::Customer(c) => Value::Customer(generated::Customer {
            share: c.share.0,
            key_hashes: c.key_hashes.iter().map(ToString::to_string).collect(),
            max_waiting: c.max_waiting,
        }),
        object::Object::Model(m) => Value::Model(generated::Model {
            first_token_ms: m.first_token_ms,
            between_tokens_ms: m.between_tokens_ms,
            quick_tokens: m.quick_tokens,
        }),
        object::Object::Service(s) => Value::Service(generated::Service {
            path: s.path.clone(),
            idempotent_methods: s.idempotent_methods.iter().cloned().collect(),
            answer_ms: s.answer_ms,
        }),
        object::Object::Target(t) => Value::Target(generated::Target {
            domain: t.domain.to_string(),
            address: t.address.to_string(),
            serves: t.serves.iter().map(ToString::to_string).collect(),
            slots: t.slots,
            checks_fencing: t.checks_fencing,
            draining: t.draining,
        }),
        object::Object::Evacuation(_) => Value::Evacuation(generated::Evacuation {}),
    }
}

/// Converts a message to the operation that it requests.
///
/// # Errors
/// `Invalid` with the path of the invalid value.
pub fn operation_from_proto(operation: generated::Operation) -> Result<Operation> {
    let missing = || Error::invalid("operation.object", "nothing", "an object");
    let object = operation.object.ok_or_else(missing)?;
    let id = ObjectId {
        kind: kind_from_proto(object.kind)?,
        name: object.name,
    };
    let value = object.value.map(|v| value_from_proto(&id, v)).transpose()?;
    Ok(Operation {
        id,
        value,
        expected: operation.expected_revision,
    })
}

/// Converts the value of a message to an object.
///
/// # Errors
/// `Invalid` with the path of the invalid value.
pub fn value_from_proto(id: &ObjectId, value: Value) -> Result<object::Object> {
    Ok(match value {
        Value::Customer(c) => object::Object::Customer(object::Customer {
            share: c.share.into(),
            key_hashes: c.key_hashes.iter().map(|h| KeyHash::from_hex(h)).collect(),
            max_waiting: c.max_waiting,
        }),
        Value::Model(m) => object::Object::Model(object::Model {
            first_token_ms: m.first_token_ms,
            between_tokens_ms: m.between_tokens_ms,
            quick_tokens: m.quick_tokens,
        }),
        Value::Service(s) => object::Object::Service(object::Service {
            path: s.path,
            idempotent_methods: s.idempotent_methods.into_iter().collect(),
            answer_ms: s.answer_ms,
        }),
        Value::Target(t) => object::Object::Target(object::Target {
            domain: t.domain.into(),
            address: t.address.parse().map_err(|_| {
                Error::invalid(
                    format!("{id}.address"),
                    format!("{:?}", t.address),
                    "IP:port",
                )
            })?,
            serves: t.serves.into_iter().map(ServiceName::from).collect(),
            slots: t.slots,
            checks_fencing: t.checks_fencing,
            draining: t.draining,
        }),
        Value::Evacuation(_) => object::Object::Evacuation(object::Evacuation {}),
    })
}

/// Converts all objects of a snapshot to messages, with the revision of each.
#[must_use]
pub fn objects_to_proto(snapshot: &Snapshot) -> Vec<generated::Object> {
    let objects = snapshot.document.objects();
    let to_message = |(id, value): (ObjectId, object::Object)| {
        let revision = snapshot
            .object_revisions
            .get(&id.to_string())
            .copied()
            .unwrap_or(0);
        object_to_proto(&id, Some(&value), revision)
    };
    objects.into_iter().map(to_message).collect()
}
