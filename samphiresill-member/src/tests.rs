//! Membership views of simulated routers under message loss, partitions, pauses and restarts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, UNIX_EPOCH};

use rstest::rstest;
use samphiresill_core::name::VmName;

use crate::member::{Health, Incarnation, Member};
use crate::membership::{Membership, Message, Options, Output};

/// Returns whether a message from the first to the second router is dropped.
type DropRule = Box<dyn Fn(&str, &str) -> bool>;

const STEP: Duration = Duration::from_millis(10);

/// A group of routers. Messages are delivered one step later, unless the rule drops them.
struct Group {
    now: Duration,
    views: BTreeMap<VmName, Membership>,
    unresponsive: BTreeSet<VmName>,
    should_drop: DropRule,
    in_flight: Vec<(VmName, VmName, Message)>,
    sent: usize,
}

fn member(number: usize, start_ms: u64) -> Member {
    Member {
        vm: format!("r{number}").into(),
        domain: format!("d{}", number % 3).into(),
        address: ([127, 0, 0, 1], 1_000 + number as u16).into(),
        strength: 0,
        incarnation: Incarnation {
            start_ms,
            refutations: 0,
        },
        health: Health::Alive,
    }
}

impl Group {
    fn new(count: usize) -> Self {
        let seeds = vec![member(0, 0), member(1, 0)];
        let view = |n| Membership::new(member(n, 1), seeds.clone(), Options::default(), n as u64);
        Self {
            now: Duration::ZERO,
            views: (0..count).map(|n| (member(n, 1).vm, view(n))).collect(),
            unresponsive: BTreeSet::new(),
            should_drop: Box::new(|_, _| false),
            in_flight: Vec::new(),
            sent: 0,
        }
    }

    fn run(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            self.now += STEP;
            for (from, to, message) in std::mem::take(&mut self.in_flight) {
                if self.unresponsive.contains(&to) || (self.should_drop)(&from, &to) {
                    continue;
                }
                let Some(view) = self.views.get_mut(&to) else {
                    continue;
                };
                let out = view.receive(self.now, &from, message);
                self.send(&to, out);
            }
            for vm in self.views.keys().cloned().collect::<Vec<_>>() {
                if !self.unresponsive.contains(&vm) {
                    let out = self
                        .views
                        .get_mut(&vm)
                        .expect("a known router")
                        .tick(self.now);
                    self.send(&vm, out);
                }
            }
        }
    }

    fn send(&mut self, from: &VmName, out: Vec<Output>) {
        for output in out {
            if let Output::Send(to, message) = output {
                self.sent += 1;
                self.in_flight.push((from.clone(), to.vm, message));
            }
        }
    }

    fn assert_usable(&self, vm: &str, count: usize) {
        let usable = self.views[&VmName::from(vm)].usable();
        assert_eq!(
            usable.len(),
            count,
            "{vm} at {:?} sees {usable:?}",
            self.now
        );
    }

    fn assert_all_usable(&self, count: usize) {
        for vm in self
            .views
            .keys()
            .filter(|vm| !self.unresponsive.contains(*vm))
        {
            self.assert_usable(vm, count);
        }
    }
}

#[test]
fn routers_find_each_other_from_two_seeds() {
    let mut group = Group::new(9);
    group.run(Duration::from_secs(10));
    group.assert_all_usable(9);
}

#[test]
fn an_unresponsive_router_is_removed_and_rejoins() {
    let mut group = Group::new(9);
    group.run(Duration::from_secs(10));
    group.unresponsive.insert("r4".into());
    group.run(Duration::from_secs(8));
    group.assert_all_usable(8);
    group.unresponsive.clear();
    group.run(Duration::from_secs(20));
    group.assert_all_usable(9);
}

#[test]
fn a_failure_domain_that_fails_at_once_is_removed() {
    let mut group = Group::new(9);
    group.run(Duration::from_secs(10));
    group
        .unresponsive
        .extend(["r2", "r5", "r8"].map(VmName::from));
    group.run(Duration::from_secs(12));
    group.assert_all_usable(6);
}

#[test]
fn each_side_of_a_partition_keeps_its_own_routers_until_they_merge() {
    let mut group = Group::new(9);
    group.run(Duration::from_secs(10));
    let is_first = |vm: &str| ["r0", "r3", "r6"].contains(&vm);
    group.should_drop = Box::new(move |from, to| is_first(from) != is_first(to));
    group.run(Duration::from_secs(15));
    group.assert_usable("r0", 3);
    group.assert_usable("r1", 6);
    group.should_drop = Box::new(|_, _| false);
    group.run(Duration::from_secs(20));
    group.assert_all_usable(9);
}

#[test]
fn one_way_loss_between_two_routers_removes_no_router() {
    let mut group = Group::new(9);
    group.run(Duration::from_secs(10));
    group.should_drop = Box::new(|from, to| from == "r2" && to == "r3");
    group.run(Duration::from_secs(30));
    group.assert_all_usable(9);
}

#[test]
fn a_restart_at_the_same_address_is_a_new_incarnation() {
    let mut group = Group::new(5);
    group.run(Duration::from_secs(10));
    let seeds = vec![member(0, 0), member(1, 0)];
    group.views.insert(
        "r4".into(),
        Membership::new(member(4, 2), seeds, Options::default(), 77),
    );
    group.run(Duration::from_secs(10));
    group.assert_all_usable(5);
    let known = &group.views[&VmName::from("r0")].members()[&VmName::from("r4")];
    assert_eq!(known.incarnation.start_ms, 2);
}

/// Guards against a wall clock that jumps between two starts of a process: what others know of an
/// earlier start must not hide it, whether it stopped long before or just now. Times in ms.
#[rstest]
#[case::forward(&[50_000, 55_000], Duration::from_secs(5))]
#[case::back(&[50_000, 45_000], Duration::from_secs(5))]
#[case::back_at_once(&[50_000, 45_000], Duration::ZERO)]
#[case::back_and_forward(&[50_000, 45_000, 55_000], Duration::from_secs(5))]
#[case::forward_and_back(&[50_000, 55_000, 50_000], Duration::ZERO)]
#[case::the_same_again(&[50_000, 50_000], Duration::from_secs(5))]
#[case::before_1970(&[50_000, -5_000], Duration::from_secs(5))]
#[case::twice_before_1970(&[-5_000, -6_000], Duration::from_secs(5))]
fn a_process_is_used_again_whatever_its_clock_says(
    #[case] starts: &[i64],
    #[case] absence: Duration,
) {
    let mut group = Group::new(5);
    group.run(Duration::from_secs(10));
    for (seed, start_ms) in (77..).zip(starts) {
        let offset = Duration::from_millis(start_ms.unsigned_abs());
        let wall = if *start_ms < 0 {
            UNIX_EPOCH - offset
        } else {
            UNIX_EPOCH + offset
        };
        let own = Member {
            incarnation: Incarnation::starting_at(wall),
            ..member(4, 0)
        };
        group.unresponsive.insert("r4".into());
        group.run(absence);
        group.unresponsive.remove(&VmName::from("r4"));
        let seeds = vec![member(0, 0), member(1, 0)];
        let view = Membership::new(own, seeds, Options::default(), seed);
        group.views.insert("r4".into(), view);
        // As long as a process with a sound clock may take.
        group.run(Duration::from_secs(2));
        group.assert_all_usable(5);
        group.run(Duration::from_secs(5));
        group.assert_all_usable(5);
    }
}

#[test]
fn a_leaving_router_is_no_longer_used() {
    let mut group = Group::new(5);
    group.run(Duration::from_secs(10));
    let out = group
        .views
        .get_mut(&VmName::from("r3"))
        .expect("a known router")
        .leave();
    group.send(&"r3".into(), out);
    group.run(Duration::from_secs(1));
    group.assert_all_usable(4);
}

#[test]
fn messages_of_a_router_do_not_grow_with_the_fleet() {
    let rate = |count: usize| {
        let mut group = Group::new(count);
        group.run(Duration::from_secs(30));
        group.sent = 0;
        group.run(Duration::from_secs(20));
        group.sent as f64 / count as f64 / 20.0
    };
    let (small, large) = (rate(9), rate(100));
    assert!(
        large < small * 1.5,
        "{small} messages a second with 9, {large} with 100"
    );
}
