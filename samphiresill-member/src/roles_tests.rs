//! Tests of the assignment of roles to members.

use std::collections::BTreeSet;

use rstest::rstest;

use crate::member::{Health, Incarnation, Member};
use crate::roles::{RoleCounts, Roles};

const COUNTS: RoleCounts = RoleCounts {
    small_fleet: 12,
    schedulers: 6,
    watchers: 3,
};

fn member(number: u16, domain: u16, strength: u32) -> Member {
    Member {
        vm: format!("r{number}").into(),
        domain: format!("d{domain}").into(),
        address: ([127, 0, 0, 1], 1_000 + number).into(),
        strength,
        incarnation: Incarnation::default(),
        health: Health::Alive,
    }
}

/// Returns members in three domains; every tenth has more processing power.
fn fleet(count: u16) -> Vec<Member> {
    let strength = |n: u16| if n.is_multiple_of(10) { 500 } else { 90 };
    (0..count).map(|n| member(n, n % 3, strength(n))).collect()
}

struct Case {
    members: u16,
    schedulers: usize,
    watchers: usize,
}

#[rstest]
#[case::alone(Case { members: 1, schedulers: 1, watchers: 1 })]
#[case::small(Case { members: 9, schedulers: 9, watchers: 3 })]
#[case::largest_small(Case { members: 12, schedulers: 12, watchers: 3 })]
#[case::large(Case { members: 330, schedulers: 6, watchers: 3 })]
fn role_counts_do_not_grow_with_the_fleet(#[case] case: Case) {
    let members = fleet(case.members);
    let roles = Roles::new(members.iter(), COUNTS);
    assert_eq!(roles.schedulers.len(), case.schedulers);
    assert_eq!(roles.watchers.len(), case.watchers);
    let domains: BTreeSet<_> = roles.watchers.iter().map(|m| &m.domain).collect();
    assert_eq!(
        domains.len(),
        case.watchers,
        "watchers are in different failure domains"
    );
}

#[test]
fn the_strongest_routers_of_each_domain_hold_roles() {
    let members = fleet(120);
    let roles = Roles::new(members.iter(), COUNTS);
    assert!(roles.schedulers.iter().all(|m| m.strength == 500));
}

#[test]
fn each_failure_domain_has_a_scheduler() {
    let members: Vec<Member> = (0..330).map(|n| member(n, n % 10, 90)).collect();
    let roles = Roles::new(members.iter(), COUNTS);
    let domains: BTreeSet<_> = roles.schedulers.iter().map(|m| &m.domain).collect();
    assert_eq!((roles.schedulers.len(), domains.len()), (10, 10));
}

#[test]
fn the_order_of_members_does_not_matter() {
    let mut members = fleet(50);
    let roles = Roles::new(members.iter(), COUNTS);
    members.reverse();
    assert_eq!(Roles::new(members.iter(), COUNTS), roles);
}

#[test]
fn the_loss_of_a_scheduler_reassigns_only_its_role() {
    let mut members = fleet(50);
    let before = Roles::new(members.iter(), COUNTS);
    let removed = before.schedulers[5].vm.clone();
    members.retain(|m| m.vm != removed);
    let after = Roles::new(members.iter(), COUNTS);
    let kept = before
        .schedulers
        .iter()
        .filter(|m| after.is_scheduler(&m.vm));
    assert_eq!(kept.count(), 5);
}

#[test]
fn routers_are_spread_over_the_schedulers_of_their_domain() {
    let members = fleet(90);
    let roles = Roles::new(members.iter(), COUNTS);
    let mut clients: Vec<usize> = roles
        .schedulers
        .iter()
        .map(|s| {
            members
                .iter()
                .filter(|m| roles.order_for(m)[0].vm == s.vm)
                .count()
        })
        .collect();
    clients.sort_unstable();
    assert!(clients[0] >= 8 && clients[5] <= 22, "{clients:?}");
    for member in &members {
        assert_eq!(roles.order_for(member)[0].domain, member.domain);
    }
}
