//! The memory budget for buffered request bodies.

use bytes::Bytes;

use crate::body_budget::BodyBudget;

#[test]
fn a_body_beyond_the_budget_is_refused_until_others_are_dropped() {
    let budget = BodyBudget::new(1);
    let all = budget.free();
    let mut first = budget.new_reservation();
    assert!(first.grow(all / 2));
    assert!(first.grow(all / 4));
    let mut second = budget.new_reservation();
    assert!(!second.grow(all / 2), "only a quarter is left");
    assert!(second.grow(all / 8), "a refusal reserves nothing");
    let body = first.into_body(Bytes::from_static(b"abc"));
    assert_eq!(&body[..], b"abc");
    assert!(!second.grow(all / 2), "a body keeps its reservation");
    drop(body);
    assert!(second.grow(all / 2));
    drop(second);
    assert_eq!(budget.free(), all);
}

#[test]
fn a_body_larger_than_any_budget_is_refused() {
    let budget = BodyBudget::new(1);
    assert!(!budget.new_reservation().grow(usize::MAX));
}
