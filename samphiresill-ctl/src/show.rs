//! Printing of what the procedures answer, as a table or as JSON.

use samphiresill_contract::object::{Kind, Object, ObjectId};
use samphiresill_proto::convert;
use samphiresill_proto::generated::{GetReply, StatusReply};
use serde_json::{Value, json};

use crate::client::Failure;

/// Prints the state of the fleet.
pub fn status(status: &StatusReply, is_json: bool) {
    if is_json {
        let routers: Vec<Value> = status
            .routers
            .iter()
            .map(|r| json!({"vm": r.vm, "domain": r.domain, "revision": r.revision}))
            .collect();
        let all = json!({
            "vm": status.vm, "revision": status.revision, "routers": routers,
            "waiting": status.waiting, "running": status.running, "pools": status.pools,
        });
        println!("{all}");
        return;
    }
    println!(
        "router {} at revision {}: {} waiting, {} running, {} pools",
        status.vm, status.revision, status.waiting, status.running, status.pools
    );
    println!("{:24} {:16} REVISION", "ROUTER", "DOMAIN");
    for router in &status.routers {
        println!("{:24} {:16} {}", router.vm, router.domain, router.revision);
    }
}

/// Prints objects of the configuration.
pub fn objects(
    reply: &GetReply,
    kind: Option<Kind>,
    name: Option<&str>,
    is_json: bool,
) -> Result<(), Failure> {
    let mut found = Vec::new();
    for object in &reply.objects {
        let unreadable = |e| Failure::unavailable(format!("the router's reply is not valid: {e}"));
        let id = ObjectId {
            kind: convert::kind_from_proto(object.kind).map_err(unreadable)?,
            name: object.name.clone(),
        };
        let is_wanted =
            kind.is_none_or(|k| k == id.kind) && name.is_none_or(|n| n == id.name.as_str());
        if let Some(value) = object.value.clone().filter(|_| is_wanted) {
            let value = convert::value_from_proto(&id, value).map_err(unreadable)?;
            found.push((id, object.revision, plain(&value)));
        }
    }
    if let Some(name) = name.filter(|_| found.is_empty()) {
        return Err(Failure::usage(format!(
            "there is no object {name:?} of this kind"
        )));
    }
    if is_json {
        let line = |(id, revision, value): &(ObjectId, u64, Value)| json!({"kind": id.kind, "name": id.name, "revision": revision, "value": value});
        let all: Vec<Value> = found.iter().map(line).collect();
        println!("{}", json!({"revision": reply.revision, "objects": all}));
        return Ok(());
    }
    println!("{:10} {:24} {:>8} VALUE", "KIND", "NAME", "REVISION");
    for (id, revision, value) in &found {
        println!("{:10} {:24} {:>8} {}", id.kind, id.name, revision, value);
    }
    Ok(())
}

fn plain(value: &Object) -> Value {
    match value {
        Object::Customer(v) => json!(v),
        Object::Model(v) => json!(v),
        Object::Service(v) => json!(v),
        Object::Target(v) => json!(v),
    }
}
