//! Prints responses of the router, as a table or as JSON.

use samphiresill_contract::object::{Kind, Object, ObjectId};
use samphiresill_proto::convert;
use samphiresill_proto::generated::{GetReply, StatusReply};
use serde_json::{Value, json};

use crate::client::CommandError;

/// Prints the state of the fleet.
pub fn print_status(response: &StatusReply, is_json: bool) {
    if is_json {
        let routers: Vec<Value> = response
            .routers
            .iter()
            .map(|r| json!({"vm": r.vm, "domain": r.domain, "revision": r.revision}))
            .collect();
        let all = json!({
            "vm": response.vm, "revision": response.revision, "routers": routers,
            "waiting": response.waiting, "running": response.running, "pools": response.pools,
            "evacuated": response.evacuated,
        });
        println!("{all}");
        return;
    }
    println!(
        "router {} at revision {}: {} waiting, {} running, {} pools",
        response.vm, response.revision, response.waiting, response.running, response.pools
    );
    if !response.evacuated.is_empty() {
        println!("evacuated: {}", response.evacuated.join(", "));
    }
    println!("{:24} {:16} REVISION", "ROUTER", "DOMAIN");
    for router in &response.routers {
        println!("{:24} {:16} {}", router.vm, router.domain, router.revision);
    }
}

/// Prints the objects of the configuration, optionally restricted to a kind and a name.
pub fn print_objects(
    response: &GetReply,
    kind: Option<Kind>,
    name: Option<&str>,
    is_json: bool,
) -> Result<(), CommandError> {
    let mut rows = Vec::new();
    for object in &response.objects {
        let invalid_response =
            |e| CommandError::unavailable(format!("the router sent an invalid response: {e}"));
        let id = ObjectId {
            kind: convert::kind_from_proto(object.kind).map_err(invalid_response)?,
            name: object.name.clone(),
        };
        let is_selected =
            kind.is_none_or(|k| k == id.kind) && name.is_none_or(|n| n == id.name.as_str());
        if let Some(value) = object.value.clone().filter(|_| is_selected) {
            let value = convert::value_from_proto(&id, value).map_err(invalid_response)?;
            rows.push((id, object.revision, value_to_json(&value)));
        }
    }
    if let Some(name) = name.filter(|_| rows.is_empty()) {
        return Err(CommandError::usage(format!(
            "no object {name:?} of this kind"
        )));
    }
    if is_json {
        let row_to_json = |(id, revision, value): &(ObjectId, u64, Value)| json!({"kind": id.kind, "name": id.name, "revision": revision, "value": value});
        let all: Vec<Value> = rows.iter().map(row_to_json).collect();
        println!("{}", json!({"revision": response.revision, "objects": all}));
        return Ok(());
    }
    println!("{:10} {:24} {:>8} VALUE", "KIND", "NAME", "REVISION");
    for (id, revision, value) in &rows {
        println!("{:10} {:24} {:>8} {}", id.kind, id.name, revision, value);
    }
    Ok(())
}

fn value_to_json(value: &Object) -> Value {
    match value {
        Object::Customer(v) => json!(v),
        Object::Model(v) => json!(v),
        Object::Service(v) => json!(v),
        Object::Target(v) => json!(v),
        Object::Evacuation(v) => json!(v),
    }
}
