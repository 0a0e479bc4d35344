//! Fair shares through real processes: two customers backlogged at different routers.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use samphiresill_tests::Fleet;
use serde_json::json;

/// Callers of each customer; more than the fleet has slots.
const CALLERS: usize = 24;
/// Tokens of the largest request.
const MAX_COST: u64 = 40;
/// Slots of the fleet.
const SLOTS: u64 = 16;
/// Tokens that a slot generates in a second at the most: a step takes 5 ms or more.
const SLOT_RATE: u64 = 200;
/// Two intervals between reports, in milliseconds: service counts everywhere after them.
const REPORT_DELAY_MS: u64 = 510;
/// Time that is measured, after the backlogs have built up.
const LENGTH: Duration = Duration::from_secs(8);

/// One customer: its key, its share, the routers that its callers reach, what it has received.
struct Backlogged {
    key: &'static str,
    share: u64,
    routers: &'static [usize],
    tokens: AtomicU64,
}

/// Sends requests one after the other until the end, and counts what is generated.
fn call(fleet: &Fleet, customer: &Backlogged, number: usize, is_over: &AtomicBool) {
    let router = customer.routers[number % customer.routers.len()];
    let mut count = 0;
    while !is_over.load(Ordering::Relaxed) {
        count += 1;
        let tokens = 20 + (number as u64 * 7 + count) % (MAX_COST - 19);
        let prompt = format!("{} {number} {count} len={tokens}", customer.key);
        let body = json!({"model": "letters", "prompt": prompt}).to_string();
        let answer =
            fleet.request_with(router, customer.key, "POST", "/v1/completions", &body, None);
        assert_eq!(answer.expect("an answer").status, 200);
        customer.tokens.fetch_add(tokens, Ordering::Relaxed);
    }
}

#[test]
fn backlogged_customers_are_served_by_their_shares() {
    let fleet = Fleet::start("fairness", 3, 5_000);
    let customer = |key, share, routers| Backlogged {
        key,
        share,
        routers,
        tokens: AtomicU64::new(0),
    };
    // The small customer's callers reach two routers, the large one's only one.
    let customers = [
        customer("counter-key", 4, &[1]),
        customer("warehouse-key", 1, &[0, 2]),
    ];
    let is_over = AtomicBool::new(false);
    let by_share = thread::scope(|scope| {
        for customer in &customers {
            for number in 0..CALLERS {
                let (fleet, is_over) = (&fleet, &is_over);
                scope.spawn(move || call(fleet, customer, number, is_over));
            }
        }
        let read = || {
            customers
                .each_ref()
                .map(|c| c.tokens.load(Ordering::Relaxed))
        };
        thread::sleep(Duration::from_secs(2));
        let before = read();
        thread::sleep(LENGTH);
        let after = read();
        is_over.store(true, Ordering::Relaxed);
        [0, 1].map(|i| (after[i] - before[i]) / customers[i].share)
    });
    let bound = 2 * MAX_COST + SLOTS * SLOT_RATE * REPORT_DELAY_MS / 1_000;
    let gap = by_share[0].abs_diff(by_share[1]);
    println!("service by share {by_share:?}, gap {gap}, bound {bound}");
    assert!(gap <= bound, "gap {gap} over {bound}: {by_share:?}");
    assert!(
        by_share[0] > 2 * bound / 3,
        "too little was served to tell: {by_share:?}"
    );
}
