//! Shares of a stated throughput: replayed load patterns of a fleet whose operators state it.

use std::time::Duration;

use rand::RngExt;
use rstest::rstest;

use super::simulation::{Request, Simulation, entry, table};
use crate::fleet::admission::Reason;

const SPEEDS: [f64; 6] = [0.6, 1.0, 1.6, 0.6, 1.0, 1.6];

struct Overload {
    per_s: f64,
    /// Requests of the heavy customer for each one of the others.
    heavy: u32,
    tokens_per_s: u64,
    /// Maximum fraction of the requests of a customer that are refused as above its share, for the heavy
    /// customer and for each other one.
    max_above_share: (f64, f64),
    min_heavy_served: f64,
    /// Minimum fraction of the requests of each other customer that are served.
    min_others_served: f64,
}

/// Guards against a fair level that falls with the refusals that it causes: a customer within its share
/// of the stated throughput is refused as above it. Guards also against a stated throughput that the
/// fleet does not reach and that takes the precedence from customers far below their share.
#[rstest]
#[case::slight_overload(Overload { per_s: 30.0, heavy: 4, tokens_per_s: 400_000, max_above_share: (0.005, 0.005), min_heavy_served: 0.7, min_others_served: 0.93 })]
#[case::overload(Overload { per_s: 60.0, heavy: 4, tokens_per_s: 350_000, max_above_share: (0.7, 0.08), min_heavy_served: 0.22, min_others_served: 0.68 })]
#[case::stated_too_high(Overload { per_s: 60.0, heavy: 8, tokens_per_s: 450_000, max_above_share: (0.005, 0.005), min_heavy_served: 0.3, min_others_served: 0.7 })]
fn customers_get_their_share_of_the_stated_throughput(#[case] case: Overload) {
    for seed in [9, 10, 11] {
        let mut simulation = Simulation::new(&SPEEDS, seed);
        let entries: Vec<_> = (0..SPEEDS.len()).map(entry).collect();
        let mut table = table();
        table.limits.fleet_tokens_per_s = Some(case.tokens_per_s);
        simulation.fleet_load.set_targets(&entries, &table);
        simulation.run(case.per_s, Duration::from_secs(25), |rng| {
            let customer = match rng.random_range(0..3 + case.heavy) {
                0 => "a",
                1 => "b",
                2 => "c",
                _ => "heavy",
            };
            let own = (
                rng.random_range(1_000_000..u64::MAX),
                rng.random_range(2_000..11_000),
            );
            let shared = (rng.random_range(0..60), 4_900);
            Request::new(customer, shared, own, rng.random_range(200..600))
        });
        for customer in ["a", "b", "c", "heavy"] {
            let of = simulation
                .outcomes
                .iter()
                .filter(|o| o.customer == customer);
            let all = of.clone().count() as f64;
            let served = of.clone().filter(|o| o.completed.is_some()).count() as f64 / all;
            let is_above = |reason| reason == Reason::AboveShare;
            let above = of.filter(|o| o.refused.is_some_and(|r| is_above(r.reason)));
            let above_share = above.count() as f64 / all;
            println!("seed {seed}, {customer}: {served:.3} served, {above_share:.3} above share");
            let is_heavy = customer == "heavy";
            let (min_served, max_above_share) = if is_heavy {
                (case.min_heavy_served, case.max_above_share.0)
            } else {
                (case.min_others_served, case.max_above_share.1)
            };
            assert!(served >= min_served, "seed {seed}, {customer}: {served:.3}");
            assert!(
                above_share <= max_above_share,
                "seed {seed}, {customer}: {above_share:.3} above share"
            );
        }
    }
}
