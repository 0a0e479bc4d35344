//! Tests of the balance of load in the model of many deciders.

use std::time::Duration;

use rstest::rstest;
use samphiresill_core::name::{ServiceName, TargetName};

use crate::fleet::balance::evenness::{Evenness, TargetSample};
use crate::fleet::balance::{Balance, Offer};
use crate::fleet::model::{self, Choice, Fault, Params};

const PARAMS: Params = Params {
    choice: Choice::Balanced,
    deciders: 6,
    engines: 60,
    age: Duration::from_millis(100),
    utilisation: 0.7,
    span: Duration::from_millis(2_500),
    loss: 0.0,
    fault: Fault::None,
    seed: 1,
};

/// Guards against engines that are overrun in turns because the deciders choose the same ones.
#[rstest]
#[case::schedulers(25, Fault::None, 0.7)]
#[case::old_views(100, Fault::None, 0.6)]
#[case::very_old_views(2_000, Fault::None, 0.5)]
#[case::callers_of_one_decider(25, Fault::Uneven, 0.85)]
#[case::hot_prefix(25, Fault::HotPrefix, 0.7)]
fn waits_are_even(#[case] age_ms: u64, #[case] fault: Fault, #[case] max_ratio: f64) {
    let age = Duration::from_millis(age_ms);
    let params = Params {
        age,
        fault,
        ..PARAMS
    };
    let balanced = model::run(params);
    let lowest = model::run(Params {
        choice: Choice::Lowest,
        ..params
    });
    assert!(
        balanced.largest_wait_ms < lowest.largest_wait_ms * max_ratio,
        "{balanced:?} {lowest:?}"
    );
    assert!(
        balanced.prefilled_per_request < lowest.prefilled_per_request * 1.05,
        "{balanced:?} {lowest:?}"
    );
}

/// Guards against waits that grow without bound when the exchange between deciders fails. The ratio
/// is to the present choice without the fault.
#[rstest]
#[case::stopped_view(Fault::StoppedView, 0.0)]
#[case::duplicated_out_of_order(Fault::Duplicated, 0.0)]
#[case::suspended_decider(Fault::Suspended, 0.0)]
#[case::half_of_the_deciders_die(Fault::HalfDead, 0.0)]
#[case::target_with_false_load(Fault::FalseLoad, 0.0)]
#[case::lost_frames(Fault::None, 0.2)]
fn faults_keep_waits_even(#[case] fault: Fault, #[case] loss: f64) {
    let params = Params {
        age: Duration::from_millis(50),
        span: Duration::from_secs(7),
        fault,
        loss,
        ..PARAMS
    };
    let balanced = model::run(params);
    let lowest = model::run(Params {
        choice: Choice::Lowest,
        ..params
    });
    assert!(
        balanced.largest_wait_ms < lowest.largest_wait_ms,
        "{balanced:?} {lowest:?}"
    );
    assert_eq!(balanced.refused, 0, "{balanced:?}");
}

/// `Case` is a choice of one decider among engines of the given costs.
struct Case {
    /// Costs in milliseconds and prompt tokens to prefill.
    offers: &'static [(f64, u32)],
    others: u64,
    age_ms: u64,
    /// Numbers of the engines that may be selected.
    allowed: &'static [usize],
}

/// Guards against requests that leave the engine with their prompt, or an engine that is much
/// cheaper, for the sake of evenness; and against a choice that is not random with old views.
#[rstest]
#[case::alone(Case { offers: &[(5.0, 100), (5.1, 100), (5.2, 100)], others: 0, age_ms: 0, allowed: &[0] })]
#[case::too_few_targets(Case { offers: &[(5.0, 100), (5.1, 100), (5.2, 100)], others: 1, age_ms: 500, allowed: &[0] })]
#[case::cached_prompt(Case { offers: &[(5.0, 100), (5.1, 9_000), (5.2, 9_000), (5.3, 9_000), (5.4, 9_000), (5.5, 9_000), (5.6, 9_000), (5.7, 9_000)], others: 1, age_ms: 500, allowed: &[0] })]
#[case::one_overloaded(Case { offers: &[(9_000.0, 100), (5.1, 100), (5.2, 100), (5.3, 100), (5.4, 100), (5.5, 100), (5.6, 100), (5.7, 100)], others: 1, age_ms: 2_000, allowed: &[1, 2, 3, 4, 5, 6, 7] })]
fn a_choice_is_among_similar_costs(#[case] case: Case) {
    let service = ServiceName::from("model");
    let names: Vec<TargetName> = (0..case.offers.len())
        .map(|n| TargetName::from(format!("e{n}")))
        .collect();
    let offers: Vec<Offer<'_>> = case
        .offers
        .iter()
        .zip(&names)
        .map(|((cost_ms, prefill_tokens), target)| Offer {
            target,
            cost_ms: *cost_ms,
            prefill_tokens: *prefill_tokens,
            rate: 100.0,
        })
        .collect();
    let now = Duration::from_secs(10);
    let mut balance = Balance::new(0);
    balance.set_services([(service.clone(), names.clone())].into());
    for other in 0..case.others {
        balance.record_view(
            other + 1,
            now.saturating_sub(Duration::from_millis(case.age_ms)),
        );
        // An older view that arrives late changes nothing.
        balance.record_view(other + 1, Duration::ZERO);
    }
    for _ in 0..50 {
        balance.record_start(&service, 5_000, true, now);
    }
    let choices: Vec<usize> = (0..10)
        .filter_map(|n| balance.choose(&service, &offers, f64::from(n) / 10.0, now))
        .collect();
    assert!(
        choices.iter().all(|c| case.allowed.contains(c)),
        "{choices:?}"
    );
}

/// Guards against an imbalance that is averaged away because targets are overrun in turns.
#[test]
fn targets_overrun_in_turns_are_uneven() {
    let mut evenness = Evenness::default();
    let service = ServiceName::from("model");
    for step in 0..40 {
        let now = Duration::from_millis(10_000 + step * 50);
        let busy = step as usize / 5 % 2;
        let sample = |n: usize| TargetSample {
            wait_ms: if n == busy { 300.0 } else { 0.0 },
            work: if n == busy { 1.0 } else { 0.2 },
            of_bound: if n == busy { 1.5 } else { 0.2 },
        };
        let targets = [0, 1].map(|n| (TargetName::from(format!("e{n}")), sample(n)));
        evenness.record(&service, &targets, Duration::from_millis(25), now);
    }
    let summary = evenness.take()[&service];
    assert!(summary.spans >= 7, "{summary:?}");
    assert!((summary.wait_imbalance - 2.0).abs() < 0.01, "{summary:?}");
    assert!((summary.overrun_fraction - 1.0).abs() < 0.01, "{summary:?}");
    assert!((summary.view_age_ms - 25.0).abs() < 0.01, "{summary:?}");
    assert!(evenness.take().is_empty());
}
