//! The share of cold targets' rates that a gateway uses, by its view of the fleet.

use std::time::Duration;

use rstest::rstest;
use samphiresill_core::name::{DomainName, VmName};
use samphiresill_member::member::{Health, Incarnation, Member};
use samphiresill_sched::fleet::cold_start::share::ColdShare;

use crate::peers::cold_share::{ColdShares, View};

const TICK: Duration = Duration::from_millis(25);
const SCHEDULERS: usize = 6;
const START: Duration = Duration::from_secs(100);

fn member(number: usize, health: Health) -> Member {
    Member {
        vm: VmName::from(format!("g{number}")),
        domain: DomainName::from("d"),
        address: ([127, 0, 0, 1], 9_000 + number as u16).into(),
        strength: 1,
        incarnation: Incarnation::default(),
        health,
    }
}

struct Case {
    /// Members of the fleet, of which the first six are schedulers.
    members: usize,
    dead: usize,
    /// Other schedulers that are heard.
    heard: usize,
    /// Time since the start, and since an interruption of the updates for 2 s, in milliseconds.
    running_ms: u64,
    suspended_ms_ago: Option<u64>,
    is_scheduler: bool,
    has_full_share: bool,
}

const CASE: Case = Case {
    members: 91,
    dead: 0,
    heard: 5,
    running_ms: 4_000,
    suspended_ms_ago: None,
    is_scheduler: true,
    has_full_share: true,
};

/// Guards against two partitions, or a gateway with an old view, that use the same share.
#[rstest]
#[case::whole(CASE)]
#[case::small_fleet(Case { members: 6, ..CASE })]
#[case::no_scheduler(Case { is_scheduler: false, has_full_share: false, ..CASE })]
#[case::just_started(Case { running_ms: 2_900, has_full_share: false, ..CASE })]
#[case::minority(Case { dead: 46, has_full_share: false, ..CASE })]
#[case::half(Case { members: 90, dead: 45, has_full_share: false, ..CASE })]
#[case::majority(Case { dead: 45, ..CASE })]
#[case::cut_off_from_schedulers(Case { heard: 2, has_full_share: false, ..CASE })]
#[case::hears_most_schedulers(Case { heard: 3, ..CASE })]
#[case::suspended(Case { suspended_ms_ago: Some(2_000), has_full_share: false, ..CASE })]
#[case::suspended_long_ago(Case { suspended_ms_ago: Some(3_100), ..CASE })]
fn only_a_scheduler_of_the_larger_partition_has_a_full_share(#[case] case: Case) {
    let alive = case.members - case.dead;
    let own = member(
        if case.is_scheduler { 0 } else { SCHEDULERS },
        Health::Alive,
    );
    let all = (0..case.members).map(|n| {
        let is_alive = n < alive;
        member(
            n,
            if is_alive {
                Health::Alive
            } else {
                Health::Dead
            },
        )
    });
    let members = all.filter(|m| m.vm != own.vm).map(|m| (m.vm.clone(), m));
    let members = members.collect();
    let schedulers: Vec<Member> = (0..SCHEDULERS).map(|n| member(n, Health::Alive)).collect();
    let view = View {
        own: &own,
        members: &members,
        schedulers: &schedulers,
    };
    let mut shares = ColdShares::new(START);
    let mut share = ColdShare::default();
    let run = |shares: &mut ColdShares, from: Duration, ms: u64| {
        for tick in 0..=(ms / 25) as u32 {
            let now = from + TICK * tick;
            for scheduler in &schedulers[1..=case.heard] {
                shares.record_heard(scheduler.address, now);
            }
            share = shares.update(&view, now);
        }
        from + TICK * (ms / 25) as u32
    };
    let mut run = run;
    let now = run(&mut shares, START, case.running_ms);
    if let Some(ms) = case.suspended_ms_ago {
        run(&mut shares, now + Duration::from_secs(2), ms);
    }
    let is_full = matches!(share, ColdShare::Scheduler { .. });
    assert_eq!(is_full, case.has_full_share, "{share:?}");
}
