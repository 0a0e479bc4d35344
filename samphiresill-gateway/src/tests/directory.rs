//! The directory of targets, as routers pass it on.

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

/// Applies changes of which none is missing.
fn apply(directory: &mut Directory, changes: Vec<Change>) {
    let newest = changes.iter().map(|c| c.version).max().unwrap_or(0);
    directory.apply(changes, newest);
}

fn present(directory: &Directory) -> Vec<Change> {
    let rows = directory.rows().filter(|c| c.entry.is_some());
    rows.cloned().collect()
}

#[test]
fn a_router_that_is_behind_gets_only_what_it_lacks() {
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
fn a_removal_that_no_row_tells_reaches_routers_that_are_behind() {
    let mut directory = Directory::default();
    apply(&mut directory, vec![listed(1, 1), listed(2, 2)]);
    let mut behind = directory.clone();
    // The store has dropped its history; the whole table no longer has the first row.
    directory.replace(vec![listed(2, 2)], 9);
    assert!(behind.update(directory.since(behind.version())));
    assert_eq!(present(&behind), vec![listed(2, 2)]);
}

#[test]
fn an_older_row_changes_nothing_and_does_not_come_back_after_its_removal() {
    let mut directory = Directory::default();
    apply(&mut directory, vec![listed(1, 5)]);
    apply(&mut directory, vec![removed(1, 6)]);
    apply(&mut directory, vec![listed(1, 5)]);
    assert!(present(&directory).is_empty());
    // So many removals that the first ones are dropped.
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
fn a_router_behind_the_kept_removals_gets_the_whole_directory() {
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
fn an_update_with_changes_missing_before_it_is_not_taken() {
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
fn parts_of_an_update_follow_each_other(#[case] bytes: usize) {
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

/// Random changes, parts that get lost, and fetches now and then: all routers end up the same.
#[test]
fn routers_converge_whatever_gets_lost() {
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
                        // A part that does not follow is left out.
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

/// A removal that a router holds back while it passes on newer rows is not lost for the others.
#[test]
fn a_change_that_is_held_back_reaches_the_others_later() {
    let mut directory = Directory::default();
    apply(&mut directory, vec![listed(1, 1), listed(2, 2)]);
    let mut behind = directory.clone();
    // The removal of version 3 is held; the row of version 4 is known.
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
