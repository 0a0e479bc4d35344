//! Test of weighted fair shares in a fleet of real processes, with two customers that are backlogged
//! at different routers.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use samphiresill_tests::Fleet;
use serde_json::json;

/// Concurrent callers of each customer: more than the fleet has slots, so that each customer is
/// backlogged.
const CALLERS_PER_CUSTOMER: usize = 24;
/// Cost of the largest request, in tokens.
const MAX_COST_TOKENS: u64 = 40;
/// Number of slots in the fleet.
const SLOTS: u64 = 16;
/// Maximum rate of a slot in tokens per second: a decoding step takes at least 5 ms.
const SLOT_TOKENS_PER_S: u64 = 200;
/// Time in milliseconds after which all schedulers have counted the generated tokens: two report
/// intervals.
const REPORT_DELAY_MS: u64 = 510;
/// Measuring time, which begins when the backlogs have built up.
const MEASURING_TIME: Duration = Duration::from_secs(8);

/// A customer with its API key, its share, the routers that its callers use, and the tokens that it
/// has received.
struct BackloggedCustomer {
    key: &'static str,
    share: u64,
    routers: &'static [usize],
    tokens: AtomicU64,
}

/// Sends one request after the other until `is_stopped` is set, and counts the generated tokens.
fn run_caller(
    fleet: &Fleet,
    customer: &BackloggedCustomer,
    caller_number: usize,
    is_stopped: &AtomicBool,
) {
    let router = customer.routers[caller_number % customer.routers.len()];
    let mut request_number = 0;
    while !is_stopped.load(Ordering::Relaxed) {
        request_number += 1;
        let tokens = 20 + (caller_number as u64 * 7 + request_number) % (MAX_COST_TOKENS - 19);
        let prompt = format!(
            "{} {caller_number} {request_number} len={tokens}",
            customer.key
        );
        let body = json!({"model": "letters", "prompt": prompt}).to_string();
        let response =
            fleet.request_with(router, customer.key, "POST", "/v1/completions", &body, None);
        assert_eq!(response.expect("no response").status, 200);
        customer.tokens.fetch_add(tokens, Ordering::Relaxed);
    }
}

#[test]
fn backlogged_customers_are_served_in_proportion_to_their_shares() {
    let fleet = Fleet::start("fairness", 3, 5_000);
    let customer = |key, share, routers| BackloggedCustomer {
        key,
        share,
        routers,
        tokens: AtomicU64::new(0),
    };
    // The callers of the customer with the small share use two routers, the others only one.
    let customers = [
        customer("counter-key", 4, &[1]),
        customer("warehouse-key", 1, &[0, 2]),
    ];
    let is_stopped = AtomicBool::new(false);
    let normalized_service = thread::scope(|scope| {
        for customer in &customers {
            for caller_number in 0..CALLERS_PER_CUSTOMER {
                let (fleet, is_stopped) = (&fleet, &is_stopped);
                scope.spawn(move || run_caller(fleet, customer, caller_number, is_stopped));
            }
        }
        let read_tokens = || {
            customers
                .each_ref()
                .map(|c| c.tokens.load(Ordering::Relaxed))
        };
        thread::sleep(Duration::from_secs(2));
        let before = read_tokens();
        thread::sleep(MEASURING_TIME);
        let after = read_tokens();
        is_stopped.store(true, Ordering::Relaxed);
        [0, 1].map(|i| (after[i] - before[i]) / customers[i].share)
    });
    let bound = 2 * MAX_COST_TOKENS + SLOTS * SLOT_TOKENS_PER_S * REPORT_DELAY_MS / 1_000;
    let gap = normalized_service[0].abs_diff(normalized_service[1]);
    println!("normalized service {normalized_service:?}, gap {gap}, bound {bound}");
    assert!(
        gap <= bound,
        "gap {gap} exceeds the bound {bound}, normalized service {normalized_service:?}"
    );
    assert!(
        normalized_service[0] > 2 * bound / 3,
        "too little service for a meaningful gap: {normalized_service:?}"
    );
}
