//! Commands that change the configuration.

use std::collections::BTreeMap;

use anyhow::Context;
use getopts::Matches;
use samphiresill_contract::document::Document;
use samphiresill_contract::object::{Kind, Object, ObjectId};
use samphiresill_proto::convert;
use samphiresill_proto::generated::{ApplyRequest, GetReply, Operation};

use crate::client::{Client, Failure};

/// One object with its new value, or none to delete it, and the revision that it was seen at.
type Wanted = (ObjectId, Option<Object>, Option<u64>);
/// The objects of a configuration, with their revisions.
type Present = BTreeMap<ObjectId, (Object, u64)>;

/// Applies a change and waits until it is in force.
pub fn change(client: &mut Client, given: &Matches, wanted: Vec<Wanted>) -> Result<(), Failure> {
    let operation = |(id, value, expected): Wanted| Operation {
        object: Some(convert::object_to_proto(&id, value.as_ref(), 0)),
        expected_revision: expected,
    };
    let is_dry_run = given.opt_present("dry-run");
    let change_id = given.opt_str("change-id").unwrap_or_else(new_change_id);
    let reply = client.apply(ApplyRequest {
        change_id: change_id.clone(),
        operations: wanted.into_iter().map(operation).collect(),
        dry_run: is_dry_run,
        wait_ms: crate::wait_ms(given)?,
    });
    let reply = reply.map_err(|failure| {
        if failure.exit_code() == 1 {
            return Failure::unavailable(format!("{failure} (change id {change_id})"));
        }
        failure
    })?;
    if is_dry_run {
        println!("valid; would be revision {}", reply.revision);
        return Ok(());
    }
    if !reply.lagging.is_empty() {
        return Err(Failure::lagging(format!(
            "revision {} is accepted; not in force yet on {}",
            reply.revision,
            reply.lagging.join(", ")
        )));
    }
    println!(
        "revision {} in force after {} ms",
        reply.revision, reply.in_force_ms
    );
    Ok(())
}

/// Sets or clears that a target is leaving.
pub fn drain(client: &mut Client, given: &Matches, target: &str) -> Result<(), Failure> {
    let present = present(&client.get()?)?;
    let id = ObjectId {
        kind: Kind::Target,
        name: target.to_owned(),
    };
    let Some((Object::Target(found), revision)) = present.get(&id) else {
        return Err(Failure::usage(format!("there is no target {target:?}")));
    };
    let mut changed = found.clone();
    changed.draining = !given.opt_present("undo");
    change(
        client,
        given,
        vec![(id, Some(Object::Target(changed)), Some(*revision))],
    )
}

/// Makes the configuration as a file says, after showing the difference.
pub fn file(client: &mut Client, given: &Matches, file: &str) -> Result<(), Failure> {
    let text = std::fs::read_to_string(file).with_context(|| format!("cannot read {file}"))?;
    let opts = jsonc_parser::ParseOptions::default();
    let value = jsonc_parser::parse_to_serde_value::<serde_json::Value>(&text, &opts)
        .map_err(|e| Failure::usage(format!("{file}: {e}")))?;
    let document = Document::from_json(&value.to_string())
        .map_err(|e| Failure::usage(format!("{file}: {e}")))?;
    let present = present(&client.get()?)?;
    let wanted = difference(&document, &present, given.opt_present("prune"));
    if wanted.is_empty() {
        println!("no difference");
        return Ok(());
    }
    for (id, value, _) in &wanted {
        let sign = match (value, present.contains_key(id)) {
            (None, _) => '-',
            (Some(_), true) => '~',
            (Some(_), false) => '+',
        };
        println!("{sign} {id}");
    }
    change(client, given, wanted)
}

fn difference(document: &Document, present: &Present, prune: bool) -> Vec<Wanted> {
    let objects: BTreeMap<ObjectId, Object> = document.objects().into_iter().collect();
    let changed = objects
        .iter()
        .filter(|(id, value)| present.get(id).is_none_or(|(current, _)| current != *value));
    let revision = |id: &ObjectId| present.get(id).map_or(0, |(_, revision)| *revision);
    let mut wanted: Vec<Wanted> = changed
        .map(|(id, value)| {
            // An object that was deleted has a revision that the reply does not tell.
            let expected = present.contains_key(id).then(|| revision(id));
            (id.clone(), Some(value.clone()), expected)
        })
        .collect();
    if prune {
        let gone = present.keys().filter(|id| !objects.contains_key(id));
        wanted.extend(gone.map(|id| (id.clone(), None, Some(revision(id)))));
    }
    wanted
}

fn present(reply: &GetReply) -> Result<Present, Failure> {
    let mut present = Present::new();
    for object in &reply.objects {
        let unreadable = |e| Failure::unavailable(format!("the router's reply is not valid: {e}"));
        let kind = convert::kind_from_proto(object.kind).map_err(unreadable)?;
        let id = ObjectId {
            kind,
            name: object.name.clone(),
        };
        let Some(value) = object.value.clone() else {
            continue;
        };
        let value = convert::value_from_proto(&id, value).map_err(unreadable)?;
        present.insert(id, (value, object.revision));
    }
    Ok(present)
}

fn new_change_id() -> String {
    format!("ctl-{:032x}", rand::random::<u128>())
}
