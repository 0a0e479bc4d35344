//! Commands that change the configuration.

use std::collections::BTreeMap;

use anyhow::Context;
use getopts::Matches;
use samphiresill_contract::document::Document;
use samphiresill_contract::object::{Evacuation, Kind, Object, ObjectId};
use samphiresill_proto::convert;
use samphiresill_proto::generated::{ApplyRequest, GetReply, Operation};

use crate::client::{Client, CommandError};

/// Change of one object: its new value, or `None` to delete it, and the revision that the object is
/// expected to have, if that is checked.
type ObjectChange = (ObjectId, Option<Object>, Option<u64>);
/// Objects of the current configuration, with their revisions.
type CurrentObjects = BTreeMap<ObjectId, (Object, u64)>;

/// Applies changes as one operation and waits until they are in force on all live routers.
pub fn apply_changes(
    client: &mut Client,
    matches: &Matches,
    changes: Vec<ObjectChange>,
) -> Result<(), CommandError> {
    let operation = |(id, value, expected): ObjectChange| Operation {
        object: Some(convert::object_to_proto(&id, value.as_ref(), 0)),
        expected_revision: expected,
    };
    let is_dry_run = matches.opt_present("dry-run");
    let change_id = matches.opt_str("change-id").unwrap_or_else(new_change_id);
    let response = client.apply(ApplyRequest {
        change_id: change_id.clone(),
        operations: changes.into_iter().map(operation).collect(),
        dry_run: is_dry_run,
        wait_ms: crate::wait_ms(matches)?,
    });
    let response = response.map_err(|error| {
        if error.exit_code() == 1 {
            // The operator needs the change id to repeat the call safely.
            return CommandError::unavailable(format!("{error} (change id {change_id})"));
        }
        error
    })?;
    if is_dry_run {
        println!("valid; would become revision {}", response.revision);
        return Ok(());
    }
    if !response.lagging.is_empty() {
        return Err(CommandError::lagging(format!(
            "revision {} is committed, but not yet in force on {}",
            response.revision,
            response.lagging.join(", ")
        )));
    }
    println!(
        "revision {} in force after {} ms",
        response.revision, response.in_force_ms
    );
    Ok(())
}

/// Starts draining a target, or ends that with `--undo`.
pub fn drain(client: &mut Client, matches: &Matches, name: &str) -> Result<(), CommandError> {
    let current = parse_objects(&client.get()?)?;
    let id = ObjectId {
        kind: Kind::Target,
        name: name.to_owned(),
    };
    let Some((Object::Target(target), revision)) = current.get(&id) else {
        return Err(CommandError::usage(format!("no target {name:?}")));
    };
    let mut target = target.clone();
    target.draining = !matches.opt_present("undo");
    apply_changes(
        client,
        matches,
        vec![(id, Some(Object::Target(target)), Some(*revision))],
    )
}

/// Takes a failure domain out of service. It need not have targets yet.
pub fn evacuate(client: &mut Client, matches: &Matches, domain: &str) -> Result<(), CommandError> {
    let current = parse_objects(&client.get()?)?;
    let is_in_domain =
        |object: &Object| matches!(object, Object::Target(t) if **t.domain == *domain);
    if !current.values().any(|(object, _)| is_in_domain(object)) {
        eprintln!("samphiresillctl: no target is in the failure domain {domain:?}");
    }
    let value = Object::Evacuation(Evacuation {});
    apply_changes(
        client,
        matches,
        vec![(evacuation_id(domain), Some(value), None)],
    )
}

/// Returns an evacuated failure domain to service.
pub fn restore(client: &mut Client, matches: &Matches, domain: &str) -> Result<(), CommandError> {
    let current = parse_objects(&client.get()?)?;
    let id = evacuation_id(domain);
    let Some((_, revision)) = current.get(&id) else {
        return Err(CommandError::usage(format!(
            "the failure domain {domain:?} is not evacuated"
        )));
    };
    let expected = Some(*revision);
    apply_changes(client, matches, vec![(id, None, expected)])
}

fn evacuation_id(domain: &str) -> ObjectId {
    ObjectId {
        kind: Kind::Evacuation,
        name: domain.to_owned(),
    }
}

/// Applies the configuration in a file, after printing the differences.
pub fn apply_file(client: &mut Client, matches: &Matches, file: &str) -> Result<(), CommandError> {
    let text = std::fs::read_to_string(file).with_context(|| format!("cannot read {file}"))?;
    let opts = jsonc_parser::ParseOptions::default();
    let value = jsonc_parser::parse_to_serde_value::<serde_json::Value>(&text, &opts)
        .map_err(|e| CommandError::usage(format!("{file}: {e}")))?;
    let document = Document::from_json(&value.to_string())
        .map_err(|e| CommandError::usage(format!("{file}: {e}")))?;
    let current = parse_objects(&client.get()?)?;
    let changes = diff(&document, &current, matches.opt_present("prune"));
    if changes.is_empty() {
        println!("no changes");
        return Ok(());
    }
    for (id, value, _) in &changes {
        let sign = match (value, current.contains_key(id)) {
            (None, _) => '-',
            (Some(_), true) => '~',
            (Some(_), false) => '+',
        };
        println!("{sign} {id}");
    }
    apply_changes(client, matches, changes)
}

/// Computes the changes that turn the current objects into those of the document. Objects that the
/// document lacks are deleted only when `prune` is set; evacuations are not, since the file describes the
/// permanent configuration.
fn diff(document: &Document, current: &CurrentObjects, prune: bool) -> Vec<ObjectChange> {
    let desired: BTreeMap<ObjectId, Object> = document.objects().into_iter().collect();
    let updated = desired
        .iter()
        .filter(|(id, value)| current.get(id).is_none_or(|(present, _)| present != *value));
    let revision = |id: &ObjectId| current.get(id).map_or(0, |(_, revision)| *revision);
    let mut changes: Vec<ObjectChange> = updated
        .map(|(id, value)| {
            // Without a current object no revision is expected: a deleted object keeps a revision
            // that the response does not contain.
            let expected_revision = current.contains_key(id).then(|| revision(id));
            (id.clone(), Some(value.clone()), expected_revision)
        })
        .collect();
    if prune {
        let removed = current
            .keys()
            .filter(|id| id.kind != Kind::Evacuation && !desired.contains_key(id));
        changes.extend(removed.map(|id| (id.clone(), None, Some(revision(id)))));
    }
    changes
}

fn parse_objects(response: &GetReply) -> Result<CurrentObjects, CommandError> {
    let mut objects = CurrentObjects::new();
    for object in &response.objects {
        let invalid_response =
            |e| CommandError::unavailable(format!("the router sent an invalid response: {e}"));
        let kind = convert::kind_from_proto(object.kind).map_err(invalid_response)?;
        let id = ObjectId {
            kind,
            name: object.name.clone(),
        };
        let Some(value) = object.value.clone() else {
            continue;
        };
        let value = convert::value_from_proto(&id, value).map_err(invalid_response)?;
        objects.insert(id, (value, object.revision));
    }
    Ok(objects)
}

fn new_change_id() -> String {
    format!("ctl-{:032x}", rand::random::<u128>())
}
