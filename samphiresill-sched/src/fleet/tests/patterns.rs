//! Load patterns, replayed against simulated engines that prefill prompts in order of arrival.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;
use rstest::rstest;

use super::simulation::{Request, Simulation};
use crate::fleet::admission::Reason;
use crate::fleet::queueing::QueueLimit;

const SPEEDS: [f64; 6] = [0.6, 1.0, 1.6, 0.6, 1.0, 1.6];

/// Returns a request with a long prompt, whose first part is one of `subjects` shared parts, and
/// some hundred output tokens.
fn long_prompt(rng: &mut StdRng, customer: &str, subjects: u64) -> Request {
    let shared = (rng.random_range(0..subjects), 4_900);
    let own = (
        rng.random_range(1_000_000..u64::MAX),
        rng.random_range(2_000..11_000),
    );
    Request::new(customer, shared, own, rng.random_range(200..600))
}

struct Overload {
    per_s: f64,
    /// Minimum fraction of the admitted requests that complete.
    min_completed: f64,
    /// Minimum fraction of the admitted requests that start within their latency objective.
    min_on_time: f64,
}

/// More long prompts arrive than can be prefilled: the admitted ones start and finish in time,
/// because the rest is refused at once.
#[rstest]
#[case::light_load(Overload { per_s: 8.0, min_completed: 0.97, min_on_time: 0.97 })]
#[case::full_load(Overload { per_s: 25.0, min_completed: 0.9, min_on_time: 0.9 })]
#[case::three_times_overload(Overload { per_s: 75.0, min_completed: 0.9, min_on_time: 0.9 })]
fn admitted_requests_finish_in_time(#[case] case: Overload) {
    let mut simulation = Simulation::new(&SPEEDS, 7);
    simulation.run(case.per_s, Duration::from_secs(25), |rng| {
        long_prompt(rng, "a", 60)
    });
    let completed = simulation.fraction_of_admitted(|o| o.completed.is_some());
    let on_time = simulation
        .fraction_of_admitted(|o| o.first_event.is_some_and(|f| f <= Duration::from_secs(1)));
    assert!(
        completed >= case.min_completed,
        "{completed:.3} of the admitted requests ended in time"
    );
    assert!(
        on_time >= case.min_on_time,
        "{on_time:.3} of the admitted requests started in time"
    );
}

struct LongEvents {
    tokens_per_event: u32,
    latency_objective_ms: u64,
}

/// Guards against a first-event latency that is taken as a constant: the tokens of the first event
/// take longer the more the engine is loaded, so that requests were admitted that start late.
#[rstest]
#[case::short_events(LongEvents { tokens_per_event: 6, latency_objective_ms: 500 })]
#[case::long_events(LongEvents { tokens_per_event: 16, latency_objective_ms: 500 })]
#[case::long_events_long_objective(LongEvents { tokens_per_event: 16, latency_objective_ms: 1_000 })]
fn first_events_of_many_tokens_are_on_time_under_overload(#[case] case: LongEvents) {
    let objective = Duration::from_millis(case.latency_objective_ms);
    let mut simulation = Simulation::with_events(&SPEEDS, 13, case.tokens_per_event);
    simulation.run(300.0, Duration::from_secs(20), |rng| {
        let own = (
            rng.random_range(1_000_000..u64::MAX),
            rng.random_range(300..3_000),
        );
        let shared = (rng.random_range(0..60), 500);
        let mut request = Request::new("a", shared, own, rng.random_range(50..300));
        request.latency_objective = objective;
        request
    });
    let on_time =
        simulation.fraction_of_admitted(|o| o.first_event.is_some_and(|f| f <= objective));
    assert!(
        on_time >= 0.9,
        "{on_time:.3} of the admitted requests started in time"
    );
}

/// Refusals do not leave engines idle: prefill uses the capacity that the streams leave.
#[test]
fn overload_leaves_no_engine_idle() {
    let mut simulation = Simulation::new(&SPEEDS, 11);
    simulation.run(75.0, Duration::from_secs(20), |rng| {
        long_prompt(rng, "a", 60)
    });
    let capacity: f64 = SPEEDS.iter().sum::<f64>() * 48.0 * 20_000.0;
    let fraction = simulation.prefilled_tokens / capacity;
    assert!(
        fraction > 0.5,
        "{fraction:.2} of the prefill capacity was used"
    );
}

/// No request is refused while engines have free capacity and no request waits.
#[test]
fn light_load_is_not_refused() {
    let mut simulation = Simulation::new(&SPEEDS, 3);
    simulation.run(6.0, Duration::from_secs(20), |rng| {
        long_prompt(rng, "a", 60)
    });
    let refused = simulation
        .outcomes
        .iter()
        .filter(|o| o.refused.is_some())
        .count();
    assert_eq!(refused, 0);
}

/// Many requests share prefixes: each prefix is prefilled once and then copied.
#[test]
fn shared_prefixes_are_not_prefilled_again() {
    let mut simulation = Simulation::new(&SPEEDS, 5);
    simulation.run(15.0, Duration::from_secs(20), |rng| {
        long_prompt(rng, "a", 20)
    });
    let fraction = simulation.repeated_tokens / simulation.prefilled_tokens;
    assert!(
        fraction < 0.03,
        "{fraction:.3} of the prefilled tokens were shared parts prefilled before"
    );
}

/// One customer sends eight times as much as each of three others: the others are served as usual.
#[test]
fn overload_by_one_customer_does_not_affect_others() {
    let mut simulation = Simulation::new(&SPEEDS, 9);
    simulation.run(60.0, Duration::from_secs(25), |rng| {
        let customer = match rng.random_range(0..11) {
            0 => "a",
            1 => "b",
            2 => "c",
            _ => "heavy",
        };
        long_prompt(rng, customer, 60)
    });
    let served = |customer: &str| {
        let requested = simulation
            .outcomes
            .iter()
            .filter(|o| o.customer == customer);
        let all = requested.clone().count() as f64;
        requested.filter(|o| o.completed.is_some()).count() as f64 / all
    };
    for customer in ["a", "b", "c"] {
        let fraction = served(customer);
        assert!(
            fraction > 0.85,
            "{fraction:.2} of the requests of {customer} were served"
        );
    }
    assert!(served("heavy") < 0.6, "the overload is refused");
}

/// Guards against an overload that refuses all customers below the fair level alike: one whose demand
/// is far below its share is served, although three others keep the engines at their bounds.
#[test]
fn a_customer_far_below_its_share_is_served_under_overload() {
    let mut simulation = Simulation::new(&SPEEDS, 29);
    simulation.run(76.0, Duration::from_secs(25), |rng| {
        let customer = match rng.random_range(0..76) {
            0 => "small",
            1..26 => "a",
            26..51 => "b",
            _ => "c",
        };
        long_prompt(rng, customer, 60)
    });
    let of_small = simulation.outcomes.iter().filter(|o| o.customer == "small");
    let all = of_small.clone().count();
    let served = of_small.filter(|o| o.completed.is_some()).count();
    assert!(served * 10 >= all * 9, "{served} of {all} were served");
}

/// Large prompts are not refused much more often than small ones: admission depends on the wait,
/// not on the size.
#[rstest]
#[case::events_of_one_token(1)]
#[case::events_of_six_tokens(6)]
fn large_prompts_are_not_starved(#[case] tokens_per_event: u32) {
    let mut simulation = Simulation::with_events(&SPEEDS, 13, tokens_per_event);
    let mut sizes = Vec::new();
    simulation.run(50.0, Duration::from_secs(25), |rng| {
        let is_large = rng.random_range(0..5) == 0;
        let own = if is_large { 20_000 } else { 4_000 };
        sizes.push(is_large);
        Request::new(
            "a",
            (rng.random_range(0..60), 4_900),
            (rng.random(), own),
            300,
        )
    });
    let fraction = |is_large: bool| {
        let of_size = simulation
            .outcomes
            .iter()
            .zip(&sizes)
            .filter(|(_, s)| **s == is_large);
        let all = of_size.clone().count() as f64;
        of_size.filter(|(o, _)| o.refused.is_none()).count() as f64 / all
    };
    assert!(
        fraction(true) > fraction(false) * 0.5,
        "{:.2} against {:.2}",
        fraction(true),
        fraction(false)
    );
}

/// Retries of refused requests do not add to the demand of their customer: that would lower the
/// fair level for other customers.
#[test]
fn a_retry_is_not_counted_as_more_demand() {
    let ratio = |retries: usize| {
        let mut simulation = Simulation::new(&SPEEDS, 5);
        let mut rng: StdRng = rand::SeedableRng::seed_from_u64(5);
        for _ in 0..300 {
            // Refusals are recorded in `outcomes`.
            drop(simulation.offer(long_prompt(&mut rng, "b", 60)));
        }
        // The demand stays below half of the service, even if it were counted four times.
        for _ in 0..3 {
            let mut request = long_prompt(&mut rng, "a", 60);
            // The fleet is saturated for this objective, also for a customer without service.
            request.latency_objective = Duration::from_millis(300);
            for _ in 0..=retries {
                let refusal = simulation
                    .offer(request.clone())
                    .expect_err("a saturated fleet");
                assert!(refusal.recheck_in.is_none(), "{refusal:?}");
            }
        }
        simulation
            .fleet_load
            .share_ratio(&"b".into(), simulation.now)
    };
    let (without, with) = (ratio(0), ratio(3));
    assert!((1.0..2.0).contains(&without), "{without}");
    assert!(
        (without - with).abs() < 0.01,
        "{without} without retries, {with} with three"
    );
}

/// In a burst, requests are queued when capacity is expected within a fraction of their latency
/// objective; others are refused at once.
#[test]
fn a_burst_is_queued_as_far_as_capacity_is_expected_in_time() {
    let mut simulation = Simulation::new(&SPEEDS, 19);
    let mut rng: StdRng = rand::SeedableRng::seed_from_u64(19);
    let (mut queued, mut refused) = (0, 0);
    for _ in 0..60 {
        match simulation.offer(long_prompt(&mut rng, "a", 60)) {
            Ok(_) => {}
            Err(refusal) if refusal.recheck_in.is_some() => queued += 1,
            Err(_) => refused += 1,
        }
    }
    assert!(queued > 0, "some are queued");
    assert!(
        refused > queued,
        "{refused} were refused at once, {queued} queued"
    );
    for refusal in simulation.outcomes.iter().filter_map(|o| o.refused) {
        let delay = refusal.recheck_in.unwrap_or_default();
        assert!(delay < Duration::from_millis(100), "{delay:?}");
    }
}

/// Refusals of queued requests lower the queueing limit until requests are refused at once.
#[test]
fn refusals_after_queueing_end_queueing() {
    let mut queue_limit = QueueLimit::default();
    let recheck_in = |limit: &QueueLimit| {
        let capacity_in = Duration::from_millis(50);
        limit.recheck_in(Duration::from_secs(1), Duration::ZERO, capacity_in, 0.5)
    };
    assert!(recheck_in(&queue_limit).is_some());
    for _ in 0..20 {
        queue_limit.observe(false);
    }
    assert!(recheck_in(&queue_limit).is_none());
    for _ in 0..30 {
        queue_limit.recover();
    }
    assert!(recheck_in(&queue_limit).is_some(), "the limit recovers");
}

/// Retry delays are spread, within the delay that callers honour.
#[test]
fn retries_are_spread() {
    let mut simulation = Simulation::new(&SPEEDS, 17);
    simulation.run(90.0, Duration::from_secs(10), |rng| {
        long_prompt(rng, "a", 60)
    });
    let refusals: Vec<_> = simulation
        .outcomes
        .iter()
        .filter_map(|o| o.refused)
        .collect();
    assert!(refusals.len() > 100);
    let delays: std::collections::BTreeSet<u128> = refusals
        .iter()
        .map(|r| r.retry_after.as_millis() / 50)
        .collect();
    assert!(delays.len() > 5, "{delays:?}");
    for refusal in refusals {
        assert!(refusal.retry_after <= Duration::from_secs(4), "{refusal:?}");
        assert!(
            matches!(refusal.reason, Reason::Wait | Reason::AboveShare),
            "{refusal:?}"
        );
    }
}

struct Speed {
    speed: f64,
    tokens_per_ms: f64,
}

/// The prefill rate of an engine is learnt from the times of first tokens.
#[rstest]
#[case::slow(Speed { speed: 0.6, tokens_per_ms: 28.8 })]
#[case::medium(Speed { speed: 1.0, tokens_per_ms: 48.0 })]
#[case::fast(Speed { speed: 1.6, tokens_per_ms: 76.8 })]
fn the_prefill_rate_of_an_engine_is_learnt(#[case] case: Speed) {
    let mut simulation = Simulation::new(&[case.speed], 21);
    simulation.run(2.5, Duration::from_secs(6), |rng| long_prompt(rng, "a", 5));
    let probe = Request::new("a", (0, 4_900), (99, 3_000), 10);
    let placement = simulation
        .offer(probe)
        .expect("an idle engine accepts a request");
    let rate = placement.estimate.expect("an engine's estimate").rate;
    let ratio = rate / case.tokens_per_ms;
    assert!(
        (0.75..1.35).contains(&ratio),
        "learnt {rate:.1}, true {}",
        case.tokens_per_ms
    );
}
