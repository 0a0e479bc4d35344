//! Replication of the directory of targets between routers.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use samphiresill_core::name::{DomainName, ServiceName, TargetName};
use samphiresill_core::routing::{TargetEntry, TargetState};

use crate::knowledge::directory::{Change, Directory};

fn listed(name: u32, version: u64) -> Change {
    let name = TargetName::from(format!("t{name}"));
    Change {
        entry: Some(TargetEntry {
            name: name.clone(),
            service: ServiceName::from("s"),
            address: ([127, 0, 0, 1], 9).into(),
            domain: DomainName::from("d"),
            slots: 1,
            state: TargetState::Ready,
            started_ms: version,
            cold: None,
            version: None,
        }),
        name,
        version,
    }
}

fn removed(name: u32, version: u64) -> Change {
    Change {
        entry: None,
        ..listed(name, version)
    }
}

/// Applies changes and marks the directory as complete up to the newest of them.
fn apply(directory: &mut Directory, changes: Vec<Change>) {
    let newest = changes.iter().map(|c| c.version).max().unwrap_or(0);
    directory.apply(changes, newest);
}

fn present(directory: &Directory) -> Vec<Change> {
    let rows = directory.rows().filter(|c| c.entry.is_some());
    rows.cloned().collect()
}

#[test]
fn a_router_that_is_behind_receives_only_missing_changes() {
    let mut directory = Directory::default();
    apply(
        &mut directory,
        (1..=100).map(|n| listed(n, u64::from(n))).collect(),
    );
    let mut behind = directory.clone();
    apply(&mut directory, vec![listed(7, 101), removed(8, 102)]);
    let update = directory.since(behind.version());
    assert_eq!(update.changes.len(), 2);
    assert!(behind.update(update));
    assert_eq!(present(&behind), present(&directory));
    assert_eq!(behind.version(), 102);
}

#[test]
fn a_removal_missing_from_the_history_reaches_routers_that_are_behind() {
    let mut directory = Directory::default();
    apply(&mut directory, vec![listed(1, 1), listed(2, 2)]);
    let mut behind = directory.clone();
    // The store has compacted its history: no row reports the removal, and the first row is only
    // missing from the full table.
    directory.replace(vec![listed(2, 2)], 9);
    assert!(behind.update(directory.since(behind.version())));
    assert_eq!(present(&behind), vec![listed(2, 2)]);
}

#[test]
fn an_older_row_is_ignored_and_not_restored_after_its_removal() {
    let mut directory = Directory::default();
    apply(&mut directory, vec![listed(1, 5)]);
    apply(&mut directory, vec![removed(1, 6)]);
    apply(&mut directory, vec![listed(1, 5)]);
    assert!(present(&directory).is_empty());
    // Enough removals that the oldest tombstones are dropped.
    apply(
        &mut directory,
        (10..9_000).map(|n| removed(n, u64::from(n))).collect(),
    );
    assert!(directory.rows().count() <= 2_000);
    apply(&mut directory, vec![listed(1, 5)]);
    assert!(present(&directory).is_empty());
    apply(&mut directory, vec![listed(1, 9_001)]);
    assert_eq!(present(&directory), vec![listed(1, 9_001)]);
}

#[test]
fn a_router_behind_the_kept_tombstones_receives_the_full_directory() {
    let mut directory = Directory::default();
    apply(&mut directory, vec![listed(1, 1), listed(2, 2)]);
    let mut behind = directory.clone();
    apply(
        &mut directory,
        (10..9_000).map(|n| removed(n, u64::from(n))).collect(),
    );
    apply(&mut directory, vec![removed(2, 9_001)]);
    let update = directory.since(behind.version());
    assert_eq!(update.base, None);
    assert!(behind.update(update));
    assert_eq!(present(&behind), vec![listed(1, 1)]);
    assert_eq!(behind.version(), directory.version());
}

#[test]
fn an_update_with_missing_predecessors_is_rejected() {
    let mut directory = Directory::default();
    apply(
        &mut directory,
        vec![listed(1, 1), listed(2, 2), listed(3, 3)],
    );
    let mut behind = Directory::default();
    apply(&mut behind, vec![listed(1, 1)]);
    assert!(!behind.update(directory.since(2)));
    assert_eq!(behind.version(), 1);
}

#[rstest]
#[case::one_each(60)]
#[case::several(200)]
#[case::all(10_000)]
fn parts_of_an_update_are_consecutive(#[case] bytes: usize) {
    let mut directory = Directory::default();
    apply(&mut directory, vec![listed(0, 1)]);
    let mut behind = directory.clone();
    apply(
        &mut directory,
        (1..30).map(|n| listed(n, 2 + u64::from(n / 2))).collect(),
    );
    for part in directory.since(1).into_parts(bytes) {
        assert!(behind.update(part));
    }
    assert_eq!(present(&behind), present(&directory));
    assert_eq!(behind.version(), directory.version());
}

/// Applies random changes, loses parts of the updates at random, and lets each router fetch what it
/// is missing at the end. All routers must have the same directory.
#[test]
fn routers_converge_despite_lost_updates() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut directory = Directory::default();
        let mut others = [Directory::default(), Directory::default()];
        let mut announced = 0;
        for version in 1..120 {
            let name = rng.random_range(0..12);
            match rng.random_range(0..8) {
                0 | 1 => apply(&mut directory, vec![removed(name, version)]),
                2 => {
                    let mut rows = present(&directory);
                    let dropped = TargetName::from(format!("t{name}"));
                    rows.retain(|c| c.name != dropped);
                    directory.replace(rows, version);
                }
                _ => apply(&mut directory, vec![listed(name, version)]),
            }
            if rng.random_bool(0.5) {
                let update = directory.since(announced);
                for part in update.into_parts(100) {
                    for other in others.iter_mut().filter(|_| rng.random_bool(0.7)) {
                        // A part whose predecessor was lost is rejected.
                        let _ = other.update(part.clone());
                    }
                }
                announced = directory.version();
            }
        }
        for other in &mut others {
            let before = other.version();
            assert!(other.update(directory.since(before)));
            assert_eq!(present(other), present(&directory), "seed {seed}");
            assert!(other.version() >= before);
        }
    }
}

/// A router that defers a removal while it relays newer rows must not advance the version of
/// the others beyond the removal, because they would never receive it.
#[test]
fn a_deferred_change_reaches_the_others_later() {
    let mut directory = Directory::default();
    apply(&mut directory, vec![listed(1, 1), listed(2, 2)]);
    let mut behind = directory.clone();
    // The removal of version 3 is deferred; the row of version 4 is already known.
    directory.apply(vec![listed(2, 4)], 0);
    assert!(behind.update(directory.since(2)));
    assert_eq!(present(&behind), vec![listed(1, 1), listed(2, 4)]);
    assert_eq!(behind.version(), 2, "not all is known");
    apply(&mut directory, vec![removed(1, 3)]);
    directory.apply(Vec::new(), 4);
    assert!(behind.update(directory.since(2)));
    assert_eq!(present(&behind), vec![listed(2, 4)]);
    assert_eq!(behind.version(), 4);
}
