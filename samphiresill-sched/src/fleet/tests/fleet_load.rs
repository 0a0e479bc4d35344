//! Tests of the exchange of load events between routers.

use std::collections::BTreeSet;
use std::time::Duration;

use rstest::rstest;
use samphiresill_core::name::DomainName;
use samphiresill_core::routing::TargetState;

use super::simulation::{Request, entry, fleet_load, service, table};
use crate::fleet::admission::Reason;
use crate::fleet::event::{Event, RunResult};
use crate::fleet::load::{FleetLoad, Placement};
use crate::fleet::request::RunId;

const SECOND: Duration = Duration::from_secs(1);

fn place(fleet_load: &mut FleetLoad, number: u64, now: Duration) -> Placement {
    let request = Request::new("a", (number, 5_000), (1_000 + number, 2_000), 100);
    let (service, domain) = (service(), DomainName::from("d0"));
    let run = fleet_load.next_run();
    fleet_load
        .place(&request.placement_request(&service, &domain), run, 0.5, now)
        .expect("an idle fleet accepts a request")
}

/// Places three probe requests one after the other and returns the sum of the runs that
/// `fleet_load` counts on their targets.
fn runs(fleet_load: &mut FleetLoad, now: Duration) -> usize {
    let mut counted = 0;
    for number in 0..3 {
        let placement = place(fleet_load, 50 + number, now);
        counted += placement.estimate.expect("an estimate").runs;
        fleet_load.end(&placement, RunResult::Unknown, now);
    }
    counted
}

#[test]
fn routers_that_exchange_events_spread_their_requests() {
    let (mut one, mut two) = (fleet_load(1, 2), fleet_load(2, 2));
    let first = place(&mut one, 1, SECOND);
    two.apply(one.take_events(), false, SECOND);
    let second = place(&mut two, 2, SECOND);
    assert_ne!(first.target, second.target);
}

#[test]
fn a_missed_end_is_reconciled_by_the_list_of_runs() {
    let (mut one, mut two) = (fleet_load(1, 1), fleet_load(2, 1));
    let placement = place(&mut one, 1, SECOND);
    two.apply(one.take_events(), false, SECOND);
    one.end(&placement, RunResult::Unknown, SECOND);
    drop(one.take_events());
    let list: BTreeSet<u32> = one.own_runs().into_iter().collect();
    two.retain_runs(1, Some(&list), false, SECOND + SECOND / 2);
    assert_eq!(
        runs(&mut two, SECOND),
        3,
        "a young run may be missing from an older list"
    );
    two.retain_runs(1, Some(&list), false, SECOND * 2);
    assert_eq!(runs(&mut two, SECOND * 2), 0);
}

#[test]
fn runs_of_a_dead_router_are_ended() {
    let (mut one, mut two) = (fleet_load(1, 1), fleet_load(2, 1));
    place(&mut one, 1, SECOND);
    two.apply(one.take_events(), false, SECOND);
    two.retain_runs(1, None, false, SECOND);
    assert_eq!(runs(&mut two, SECOND), 0);
}

#[test]
fn events_for_relay_reach_the_other_schedulers_once() {
    let (mut client, mut scheduler, mut other) =
        (fleet_load(1, 1), fleet_load(2, 1), fleet_load(3, 1));
    place(&mut client, 1, SECOND);
    scheduler.apply(client.take_events(), true, SECOND);
    other.apply(scheduler.take_events(), false, SECOND);
    assert!(!other.has_events());
    assert_eq!(runs(&mut other, SECOND), 3);
}

#[test]
fn a_run_placed_by_another_router_is_ended_by_its_origin() {
    let (mut client, mut scheduler) = (fleet_load(1, 1), fleet_load(2, 1));
    let request = Request::new("a", (1, 5_000), (2, 2_000), 100);
    let (service, domain) = (service(), DomainName::from("d0"));
    let run = client.next_run();
    let req = request.placement_request(&service, &domain);
    let placement = scheduler
        .place(&req, run, 0.5, SECOND)
        .expect("a placement");
    client.adopt(&placement, &req, SECOND);
    assert_eq!(client.own_runs(), vec![run.number]);
    assert!(
        !client.has_events(),
        "the scheduler has published the start"
    );
    client.end(&placement, RunResult::Unknown, SECOND);
    scheduler.apply(client.take_events(), true, SECOND);
    assert_eq!(runs(&mut scheduler, SECOND), 0);
}

#[test]
fn no_requests_are_placed_on_a_draining_target() {
    let mut fleet_load = fleet_load(1, 2);
    let mut entries = vec![entry(0), entry(1)];
    entries[0].state = TargetState::Draining;
    fleet_load.set_targets(&entries, &table());
    for number in 0..5 {
        let placement = place(&mut fleet_load, number, SECOND);
        assert_eq!(placement.target, entry(1).name);
        fleet_load.end(&placement, RunResult::Unknown, SECOND);
    }
}

/// The wall clock of a target may jump between its starts, so that the time of its start only tells one
/// instance from another.
#[rstest]
#[case::forward(&[50_000, 55_000])]
#[case::back(&[50_000, 45_000])]
#[case::back_and_forward(&[50_000, 45_000, 48_000])]
#[case::since_1970(&[50_000, 0])]
fn a_target_that_started_again_has_no_runs_and_caches_no_prompts(#[case] starts: &[u64]) {
    let mut fleet_load = fleet_load(1, 1);
    for started_ms in starts {
        let mut restarted = entry(0);
        restarted.started_ms = *started_ms;
        let name = restarted.name.clone();
        fleet_load.set_targets(&[restarted], &table());
        let estimate = place(&mut fleet_load, 1, SECOND)
            .estimate
            .expect("an estimate");
        assert_eq!((estimate.runs, estimate.prefill_tokens), (0, 7_000));
        fleet_load.record_leaving(&name, started_ms + 1, SECOND);
        place(&mut fleet_load, 2, SECOND);
    }
}

/// Guards against a caller that reads nothing and whose target, which cannot write, seems to have
/// stalled; a target that another run waits for still does.
#[test]
fn a_run_that_is_not_read_does_not_make_its_target_seem_stalled() {
    let mut fleet_load = fleet_load(1, 1);
    let unread = place(&mut fleet_load, 1, SECOND);
    fleet_load.progress(&unread, SECOND);
    fleet_load.hold_run(&unread);
    assert_eq!(fleet_load.unusable(SECOND * 5).len(), 0);
    let awaited = place(&mut fleet_load, 2, SECOND * 5);
    assert_eq!(fleet_load.unusable(SECOND * 7).len(), 1);
    fleet_load.end(&awaited, RunResult::Unknown, SECOND * 7);
    assert_eq!(fleet_load.unusable(SECOND * 9).len(), 0);
    fleet_load.resume_run(&unread, SECOND * 9);
    assert_eq!(fleet_load.unusable(SECOND * 11).len(), 1);
    fleet_load.hold_run(&unread);
    fleet_load.end(&unread, RunResult::Unknown, SECOND * 11);
    fleet_load.record_stall(&unread.target, SECOND * 12);
    assert_eq!(fleet_load.unusable(SECOND * 12).len(), 1);
    let is_published = |e: &Event| matches!(e, Event::Stalled { .. });
    assert!(fleet_load.take_events().iter().any(is_published));
}

/// Guards against a request that an idle engine gets although it exceeds the engine's whole memory of
/// 400,000 tokens.
#[rstest]
#[case::fits(399_000, None)]
#[case::too_large(399_001, Some(Reason::NoRoom))]
fn an_idle_engine_gets_only_what_its_memory_holds(
    #[case] prompt_tokens: u32,
    #[case] refusal: Option<Reason>,
) {
    let mut fleet_load = fleet_load(1, 2);
    let mut request = Request::new("a", (1, 5_000), (1_001, 2_000), 1_000);
    request.generation.prompt_tokens = prompt_tokens;
    let (service, domain) = (service(), DomainName::from("d0"));
    let run = fleet_load.next_run();
    let req = request.placement_request(&service, &domain);
    let placed = fleet_load.place(&req, run, 0.5, SECOND);
    assert_eq!(placed.err().map(|r| r.reason), refusal);
}

#[test]
fn runs_whose_end_is_never_received_are_dropped() {
    let mut fleet_load = fleet_load(1, 1);
    place(&mut fleet_load, 1, SECOND);
    fleet_load.sweep(SECOND * 60);
    assert_eq!(runs(&mut fleet_load, SECOND * 60), 0);
}

/// A router that was paused or is partitioned reports all targets as stalled. The report must be
/// ignored while other routers observe progress.
#[test]
fn a_stall_report_is_ignored_while_other_routers_observe_progress() {
    let stalled = |fleet_load: &mut FleetLoad, now: Duration| {
        let event = Event::Stalled {
            target: entry(0).name,
        };
        fleet_load.apply(vec![event], false, now);
        fleet_load.unusable(now).len()
    };
    let mut fleet_load = fleet_load(1, 1);
    let placement = place(&mut fleet_load, 1, SECOND);
    fleet_load.progress(&placement, SECOND * 2);
    assert_eq!(stalled(&mut fleet_load, SECOND * 2 + SECOND / 10), 0);
    fleet_load.end(&placement, RunResult::Unknown, SECOND * 3);
    assert_eq!(
        stalled(&mut fleet_load, SECOND * 4),
        1,
        "no router has observed progress within the stall timeout"
    );
}

#[test]
fn a_router_that_was_paused_reports_no_stalls() {
    let mut fleet_load = fleet_load(1, 1);
    fleet_load.sweep(SECOND);
    place(&mut fleet_load, 1, SECOND);
    drop(fleet_load.take_events());
    fleet_load.sweep(SECOND * 4);
    assert!(!fleet_load.has_events(), "after a pause");
    fleet_load.sweep(SECOND * 4 + SECOND / 2);
    assert!(
        fleet_load.has_events(),
        "once it has had time to read its sockets"
    );
}

/// Guards against the ejection of all targets but one: after a configuration change, requests went
/// to engines that failed them, all engines but a new one were ejected, and the new one got all
/// requests.
#[test]
fn no_target_is_ejected_when_most_targets_fail() {
    let mut fleet_load = fleet_load(1, 6);
    let fail = |fleet_load: &mut FleetLoad, target: usize| {
        let result = RunResult::Failed;
        for number in 0..20 {
            let run = RunId { origin: 9, number };
            let target = entry(target).name;
            let event = Event::Ended {
                run,
                target,
                result,
            };
            fleet_load.apply(vec![event], false, SECOND);
        }
    };
    let count_used_targets = |fleet_load: &mut FleetLoad| {
        let placed: Vec<Placement> = (0..6).map(|n| place(fleet_load, n, SECOND)).collect();
        let targets: BTreeSet<_> = placed.iter().map(|p| p.target.clone()).collect();
        for placement in &placed {
            fleet_load.end(placement, RunResult::Unknown, SECOND);
        }
        targets.len()
    };
    assert_eq!(count_used_targets(&mut fleet_load), 6);
    fail(&mut fleet_load, 0);
    assert_eq!(
        count_used_targets(&mut fleet_load),
        5,
        "a single failing target is ejected"
    );
    for target in 1..5 {
        fail(&mut fleet_load, target);
    }
    assert_eq!(
        count_used_targets(&mut fleet_load),
        6,
        "when most targets fail, none is ejected"
    );
}

/// Guards against schedulers that treat an overloading customer as within its share, because they
/// do not know the demand of other customers whose requests were queued and then refused.
#[test]
fn a_refusal_after_queueing_publishes_the_demand() {
    let mut fleet_load = fleet_load(1, 1);
    let request = Request::new("a", (1, 30_000), (2, 30_000), 100);
    let (service, domain) = (service(), DomainName::from("d0"));
    let mut req = request.placement_request(&service, &domain);
    for number in 0..6 {
        let other = Request::new("b", (number + 10, 30_000), (number + 90, 30_000), 100);
        let run = fleet_load.next_run();
        drop(fleet_load.place(
            &other.placement_request(&service, &domain),
            run,
            0.5,
            SECOND,
        ));
    }
    drop(fleet_load.take_events());
    req.is_first_attempt = false;
    req.waited = SECOND / 2;
    let run = fleet_load.next_run();
    fleet_load
        .place(&req, run, 0.5, SECOND)
        .expect_err("a full engine");
    let events = fleet_load.take_events();
    let publishes_demand = |e: &Event| matches!(e, Event::Refused { cost, .. } if *cost > 60_000);
    assert!(events.iter().any(publishes_demand), "{events:?}");
}
