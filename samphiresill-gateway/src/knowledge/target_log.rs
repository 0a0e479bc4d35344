//! Logs what changes in the directory of targets.

use std::collections::BTreeMap;

use samphiresill_core::name::TargetName;
use samphiresill_core::routing::{TargetEntry, TargetState};

/// Logs targets that were added, changed state or were removed. Targets that are known at the start
/// are not logged.
pub fn log_changes(known: &mut BTreeMap<TargetName, TargetState>, targets: &[TargetEntry]) {
    let now: BTreeMap<TargetName, TargetState> =
        targets.iter().map(|t| (t.name.clone(), t.state)).collect();
    let is_start = known.is_empty();
    for target in targets {
        let before = known.insert(target.name.clone(), target.state);
        if before != Some(target.state) && !is_start {
            log::info!(target:% = target.name, service:% = target.service, state:? = target.state, version = target.version.as_deref(); "target listed");
        }
    }
    known.retain(|name, _| {
        let is_listed = now.contains_key(name);
        if !is_listed {
            log::info!(target:% = name; "target removed");
        }
        is_listed
    });
}
