//! Tests of the balance of load in the model of many deciders.

use std::time::Duration;

use rstest::rstest;

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
