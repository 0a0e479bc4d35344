//! Which targets may get a request at all.

use std::collections::BTreeSet;
use std::time::Duration;

use rstest::rstest;
use samphiresill_core::name::{DomainName, TargetName};
use samphiresill_core::routing::{TargetEntry, TargetState};

use super::simulation::{Request, entry, fleet_load, service, table};
use crate::fleet::admission::Reason;
use crate::fleet::load::FleetLoad;
use crate::fleet::request::PlacementRequest;
use crate::fleet::streams::StreamOrigin;

const SECOND: Duration = Duration::from_secs(1);
/// Engines of the tests: `e0` to `e5`, in the failure domains `d0`, `d1`, `d2`, `d0`, `d1` and `d2`.
const ENGINES: usize = 6;

#[derive(Default)]
struct Case {
    draining: &'static [usize],
    leaving: &'static [usize],
    avoided: &'static [usize],
    tried: &'static [usize],
    evacuated: &'static [&'static str],
    /// Engines that get requests.
    eligible: &'static [usize],
}

fn domains(names: &[&str]) -> BTreeSet<DomainName> {
    names.iter().map(|n| DomainName::from(*n)).collect()
}

fn names(numbers: &[usize]) -> Vec<TargetName> {
    numbers.iter().map(|n| entry(*n).name).collect()
}

/// Places requests with different prompts, none of which ends, and returns the targets that got any.
fn used(fleet_load: &mut FleetLoad, avoided: &[usize], tried: &[usize]) -> BTreeSet<TargetName> {
    let (service, domain) = (service(), DomainName::from("d0"));
    let (avoided, tried) = (names(avoided), names(tried));
    let placed = (0..40).filter_map(|number| {
        let request = Request::new("a", (number, 5_000), (1_000 + number, 2_000), 100);
        let req = PlacementRequest {
            avoided: &avoided,
            tried: &tried,
            has_run: true,
            origin: &StreamOrigin::New,
            ..request.placement_request(&service, &domain)
        };
        let run = fleet_load.next_run();
        let placement = fleet_load.place(&req, run, 0.5, SECOND).ok()?;
        assert_eq!(placement.copy_from, None, "no prompt is repeated");
        Some(placement.target)
    });
    placed.collect()
}

/// Guards against requests to targets that are about to stop or whose failure domain is evacuated.
#[rstest]
#[case::all(Case { eligible: &[0, 1, 2, 3, 4, 5], ..Case::default() })]
#[case::draining(Case { draining: &[1], eligible: &[0, 2, 3, 4, 5], ..Case::default() })]
#[case::leaving(Case { leaving: &[2], eligible: &[0, 1, 3, 4, 5], ..Case::default() })]
#[case::avoided(Case { avoided: &[0], eligible: &[1, 2, 3, 4, 5], ..Case::default() })]
#[case::tried(Case { tried: &[0, 5], eligible: &[1, 2, 3, 4], ..Case::default() })]
#[case::evacuated(Case { evacuated: &["d0"], eligible: &[1, 2, 4, 5], ..Case::default() })]
#[case::two_evacuated(Case { evacuated: &["d0", "d2"], eligible: &[1, 4], ..Case::default() })]
#[case::unknown_evacuated(Case { evacuated: &["d9"], eligible: &[0, 1, 2, 3, 4, 5], ..Case::default() })]
#[case::together(Case { draining: &[1], leaving: &[2], avoided: &[4], evacuated: &["d0"], eligible: &[5], ..Case::default() })]
#[case::none_left(Case { draining: &[1, 4], evacuated: &["d0", "d2"], ..Case::default() })]
#[case::all_evacuated(Case { evacuated: &["d0", "d1", "d2"], ..Case::default() })]
fn only_eligible_targets_get_requests(#[case] case: Case) {
    let mut fleet_load = fleet_load(1, ENGINES);
    let mut entries: Vec<TargetEntry> = (0..ENGINES).map(entry).collect();
    for number in case.draining {
        entries[*number].state = TargetState::Draining;
    }
    fleet_load.set_targets(&entries, &table());
    for name in names(case.leaving) {
        fleet_load.record_leaving(&name, 0, SECOND);
    }
    fleet_load.set_evacuated(domains(case.evacuated), SECOND);
    let eligible: BTreeSet<TargetName> = names(case.eligible).into_iter().collect();
    assert_eq!(used(&mut fleet_load, case.avoided, case.tried), eligible);
}

/// Guards against a failure domain that stays out of use after its evacuation, and against an
/// evacuation that ends with a change of the directory.
#[test]
fn an_evacuation_ends_with_its_removal_only() {
    let mut fleet_load = fleet_load(1, ENGINES);
    let entries: Vec<TargetEntry> = (0..ENGINES).map(entry).collect();
    fleet_load.set_evacuated(domains(&["d0"]), SECOND);
    fleet_load.set_targets(&entries, &table());
    assert!(fleet_load.is_evacuated(&entry(3).name));
    assert!(!used(&mut fleet_load, &[], &[]).contains(&entry(3).name));
    fleet_load.set_evacuated(BTreeSet::new(), SECOND);
    assert!(!fleet_load.is_evacuated(&entry(3).name));
    assert_eq!(used(&mut fleet_load, &[], &[]).len(), ENGINES);
}

struct RetryCase {
    evacuated: &'static [&'static str],
    draining: bool,
    /// Whether callers are to return as late as they can.
    is_latest: bool,
}

/// Guards against callers that are told to return while the only targets are still evacuated: without
/// the rule, `Retry-After` is at most 0.75 s.
#[rstest]
#[case::evacuated(RetryCase { evacuated: &["d0"], draining: false, is_latest: true })]
#[case::draining(RetryCase { evacuated: &[], draining: true, is_latest: false })]
fn a_refusal_names_a_true_retry_time(#[case] case: RetryCase) {
    let mut fleet_load = fleet_load(1, 1);
    let mut only = entry(0);
    if case.draining {
        only.state = TargetState::Draining;
    }
    fleet_load.set_targets(&[only], &table());
    fleet_load.set_evacuated(domains(case.evacuated), SECOND);
    let request = Request::new("a", (1, 5_000), (2, 2_000), 100);
    let (service, domain) = (service(), DomainName::from("d0"));
    let run = fleet_load.next_run();
    let req = request.placement_request(&service, &domain);
    let refusal = fleet_load
        .place(&req, run, 0.5, SECOND)
        .expect_err("no target");
    assert_eq!(
        (refusal.reason, refusal.recheck_in),
        (Reason::NoTarget, None)
    );
    let is_latest = refusal.retry_after > req.time_left / 4;
    assert_eq!(is_latest, case.is_latest, "{:?}", refusal.retry_after);
    assert!(refusal.retry_after <= req.time_left / 3);
}
