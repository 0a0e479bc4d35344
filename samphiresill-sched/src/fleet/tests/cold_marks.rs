//! When a target counts as cold, by its entries, signs of restarts and answers.

use std::time::Duration;

use rstest::rstest;
use samphiresill_core::name::{DomainName, TargetName};
use samphiresill_core::routing::{ColdStart, ColdTime};
use samphiresill_core::units::RequestRate;

use super::simulation;
use crate::fleet::cold_start::ColdStarts;

const START_MS: u64 = 100_000;

/// `Step` is what a router learns at a time; times are in milliseconds.
enum Step {
    /// An entry of the instance, which says that it stays cold for so long.
    Entry(u64, u64),
    /// A connection attempt that began at this time failed.
    Unreachable(u64),
    Broken,
    Crashed,
    /// An answer of a run that began at this time.
    Answer(u64),
    DomainReturns,
}

struct Case {
    steps: Vec<(u64, Step)>,
    /// When the target is found cold and warm.
    cold_at: Vec<u64>,
    warm_at: Vec<u64>,
}

/// Guards against targets that are taken for warm too early, or restricted for too long.
#[rstest]
#[case::its_entry(Case { steps: vec![(0, Step::Entry(1, 2_000))], cold_at: vec![1_999], warm_at: vec![2_000] })]
#[case::time_that_never_decreases(Case { steps: (0..9).map(|n| (n * 1_000, Step::Entry(1, 3_000))).collect(), cold_at: vec![], warm_at: vec![8_500] })]
#[case::huge_time(Case { steps: vec![(0, Step::Entry(1, 3_600_000))], cold_at: vec![2_999], warm_at: vec![3_000] })]
#[case::entry_ends_early(Case { steps: vec![(0, Step::Entry(1, 3_000)), (500, Step::Entry(1, 0))], cold_at: vec![], warm_at: vec![600] })]
#[case::warm_new_instance(Case { steps: vec![(0, Step::Crashed), (500, Step::Entry(1, 0))], cold_at: vec![], warm_at: vec![501] })]
#[case::no_answer_since(Case { steps: vec![(0, Step::Unreachable(0))], cold_at: vec![10, 60_000], warm_at: vec![] })]
#[case::first_answer(Case { steps: vec![(0, Step::Unreachable(0)), (800, Step::Answer(600)), (2_000, Step::Answer(1_900))], cold_at: vec![3_799], warm_at: vec![3_800] })]
#[case::up_and_down(Case { steps: vec![(0, Step::Unreachable(0)), (300, Step::Answer(200)), (700, Step::Unreachable(690)), (1_000, Step::Answer(900))], cold_at: vec![3_400, 3_999], warm_at: vec![4_000] })]
#[case::survivor(Case { steps: vec![(1_000, Step::Unreachable(900)), (1_500, Step::Answer(500))], cold_at: vec![], warm_at: vec![1_501] })]
#[case::answer_that_may_precede(Case { steps: vec![(1_000, Step::Crashed), (1_100, Step::Answer(500))], cold_at: vec![1_101, 9_000], warm_at: vec![] })]
#[case::run_that_began_while_an_attempt_waited(Case { steps: vec![(1_000, Step::Unreachable(750)), (1_500, Step::Answer(870))], cold_at: vec![1_501], warm_at: vec![] })]
#[case::broken(Case { steps: vec![(0, Step::Broken)], cold_at: vec![999], warm_at: vec![1_000] })]
#[case::broken_by_the_network(Case { steps: vec![(1_000, Step::Broken), (1_300, Step::Answer(100))], cold_at: vec![], warm_at: vec![1_301] })]
#[case::broken_by_a_crash(Case { steps: vec![(0, Step::Broken), (30, Step::Crashed)], cold_at: vec![5_000], warm_at: vec![] })]
#[case::late_break_after_a_crash(Case { steps: vec![(0, Step::Crashed), (50, Step::Broken)], cold_at: vec![5_000], warm_at: vec![] })]
#[case::back_from_evacuation(Case { steps: vec![(0, Step::DomainReturns)], cold_at: vec![2_999], warm_at: vec![3_000] })]
fn a_target_is_cold_while_its_marks_say_so(#[case] case: Case) {
    let at = |ms: u64| Duration::from_millis(START_MS + ms);
    let mut table = simulation::table();
    let service = table.services.values_mut().next().expect("a service");
    service.cold_start = Some(ColdStart {
        duration: Duration::from_secs(3),
        rate: RequestRate::from_per_second(17.0).expect("a rate"),
    });
    let first = simulation::entry(0);
    let name: TargetName = first.name.clone();
    let domain: DomainName = first.domain.clone();
    let mut cold_starts = ColdStarts::new(1);
    cold_starts.set_targets(std::slice::from_ref(&first), &table);
    for (ms, step) in case.steps {
        let now = at(ms);
        match step {
            Step::Entry(started_ms, remaining) => {
                let mut entry = first.clone();
                entry.started_ms = started_ms;
                entry.cold = (remaining > 0).then(|| ColdTime {
                    read_at: now,
                    remaining: Duration::from_millis(remaining),
                });
                cold_starts.set_targets(&[entry], &table);
            }
            Step::Unreachable(began) => cold_starts.record_unreachable(&name, at(began), now),
            Step::Broken => cold_starts.record_broken_connection(&name, now),
            Step::Crashed => cold_starts.record_crash(&name, now),
            Step::Answer(began) => cold_starts.record_answer(&name, at(began), now),
            Step::DomainReturns => cold_starts.expect(&domain, now),
        }
    }
    let is_cold = |ms: &u64| cold_starts.cold_targets(at(*ms)).contains_key(&name);
    let seen: Vec<bool> = case
        .cold_at
        .iter()
        .chain(&case.warm_at)
        .map(is_cold)
        .collect();
    let expected = |n: usize| n < case.cold_at.len();
    let expected: Vec<bool> = (0..seen.len()).map(expected).collect();
    assert_eq!(
        seen, expected,
        "at {:?} and {:?}",
        case.cold_at, case.warm_at
    );
}
