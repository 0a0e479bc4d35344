//! The memory budget for buffered request bodies.

use bytes::Bytes;

use crate::body_budget::{BodyBudget, BodyBuffer};

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
    let body = first.attach(Bytes::from_static(b"abc"));
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

/// Guards against a large reservation that waits and collects all that is released meanwhile, so that
/// every small request was refused.
#[tokio::test]
async fn a_reservation_that_waits_keeps_no_smaller_one_out() {
    let budget = BodyBudget::new(1);
    let all = budget.free();
    let mut held = budget.new_reservation();
    assert!(held.grow(all / 2));
    let waiting = budget.clone();
    let waiting = tokio::spawn(async move { waiting.reserve(all).await });
    tokio::task::yield_now().await;
    let mut small = budget.new_reservation();
    assert!(small.grow(all / 4));
    drop((held, small));
    let reserved = waiting.await.expect("no panic").expect("a reservation");
    assert_eq!((reserved.size(), budget.free()), (all, 0));
    assert!(budget.reserve(all + 1).await.is_none());
}

/// Guards against a buffer that allocates more than it has reserved.
#[test]
fn a_buffer_reserves_what_it_allocates() {
    let budget = BodyBudget::new(1);
    let all = budget.free();
    let mut buf = BodyBuffer::new(budget.new_reservation());
    let mut length = 0;
    while buf.push(&[7; 1_000]) {
        length += 1_000;
        assert!(buf.len() == length && all - budget.free() >= length);
    }
    assert!(length > all - 1_000, "{length} of {all}");
    let body = buf.into_bytes();
    assert_eq!(body.len(), length);
    drop(body);
    assert_eq!(budget.free(), all);
}
