//! The share of each customer in every six seconds: replayed load patterns.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use samphiresill_core::name::CustomerName;

use super::simulation::{Request, Simulation};
use crate::fleet::shares::Shares;

/// Relative speeds of the engines.
const SPEEDS: [f64; 12] = [0.6, 1.0, 1.6, 0.6, 1.0, 1.6, 0.6, 1.0, 1.6, 0.6, 1.0, 1.6];
/// Seconds over which the share of a customer is measured.
const WINDOW_S: usize = 6;
/// Seconds of traffic in a replay.
const TRAFFIC_S: usize = 12;
/// Requests by which a customer may fall short, of its largest ones.
const SLACK_REQUESTS: u64 = 3;

/// `Customer` is the load pattern of one customer.
#[derive(Clone, Copy)]
struct Customer {
    name: &'static str,
    /// Requests per second, each with the second from which on it holds.
    rates: &'static [(f64, f64)],
    /// Range of the length of its own part of a prompt, in tokens.
    own_tokens: (u32, u32),
    /// Range of its shared prefixes.
    prefixes: (u64, u64),
}

impl Customer {
    fn rate(&self, at: Duration) -> f64 {
        let since = |(_, from): &&(f64, f64)| *from <= at.as_secs_f64();
        self.rates
            .iter()
            .rfind(since)
            .map_or(0.0, |(rate, _)| *rate)
    }

    fn next_request(&self, rng: &mut StdRng) -> Request {
        let (min, max) = self.own_tokens;
        let own = (
            rng.random_range(1 << 40..u64::MAX),
            rng.random_range(min..max),
        );
        let shared = (rng.random_range(self.prefixes.0..self.prefixes.1), 2_000);
        Request::new(self.name, shared, own, rng.random_range(50..300))
    }
}

/// `Pending` is a request that is queued, or that a caller will send once more.
struct Pending {
    due: Duration,
    request: Request,
    /// Since when it is queued; `None` when its caller has been refused.
    queued_since: Option<Duration>,
    is_retry: bool,
}

/// `Second` is what one customer asked for and got in one second, in weighted tokens.
#[derive(Clone, Copy, Debug, Default)]
struct Second {
    asked: u64,
    got: u64,
    has_waited: bool,
}

/// `Usage` is what one customer asked for and got in each second.
#[derive(Clone, Debug)]
struct Usage {
    seconds: Vec<Second>,
    largest: u64,
}

/// Replays the load of customers; each refused caller returns once. Returns the usage of each customer.
fn replay(customers: &[Customer], seed: u64) -> BTreeMap<String, Usage> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut simulation = Simulation::new(&SPEEDS, seed);
    let began = simulation.now;
    let mut pending: Vec<Pending> = Vec::new();
    let mut asked: Vec<(usize, &str, u64)> = Vec::new();
    let mut refused: BTreeSet<(usize, String)> = BTreeSet::new();
    while simulation.now < began + Duration::from_secs(TRAFFIC_S as u64) {
        let now = simulation.now;
        let second = now.saturating_sub(began).as_secs() as usize;
        for customer in customers {
            if rng.random::<f64>() < customer.rate(now.saturating_sub(began)) / 1_000.0 {
                let request = customer.next_request(&mut rng);
                asked.push((second, customer.name, request.generation.cost()));
                pending.push(Pending {
                    due: now,
                    request,
                    queued_since: None,
                    is_retry: false,
                });
            }
        }
        let due: Vec<Pending> = pending.extract_if(.., |p| p.due <= now).collect();
        for entry in due {
            let queued = entry.queued_since.map(|since| now.saturating_sub(since));
            let request = entry.request.clone();
            let Err(refusal) = simulation.offer_after(request, queued) else {
                continue;
            };
            if let Some(pause) = refusal.recheck_in {
                pending.push(Pending {
                    due: now + pause,
                    queued_since: entry.queued_since.or(Some(now)),
                    ..entry
                });
                continue;
            }
            refused.insert((second, entry.request.customer.to_string()));
            if !entry.is_retry {
                pending.push(Pending {
                    due: now + refusal.retry_after,
                    queued_since: None,
                    is_retry: true,
                    ..entry
                });
            }
        }
        simulation.step();
    }
    let empty = Usage {
        seconds: vec![Second::default(); TRAFFIC_S],
        largest: 0,
    };
    let named = |c: &Customer| (c.name.to_owned(), empty.clone());
    let mut usages: BTreeMap<String, Usage> = customers.iter().map(named).collect();
    for (second, name, cost) in asked {
        let usage = usages.get_mut(name).expect("a known customer");
        usage.seconds[second].asked += cost;
        usage.largest = usage.largest.max(cost);
    }
    for (second, name) in refused {
        let usage = usages.get_mut(&name).expect("a known customer");
        usage.seconds[second].has_waited = true;
    }
    for outcome in simulation.admitted() {
        let usage = usages.get_mut(&outcome.customer).expect("a known customer");
        let offered = outcome.offered_at.saturating_sub(began);
        let Some(first_event) = outcome.first_event else {
            continue;
        };
        let began_in = (offered + first_event).as_secs() as usize;
        if first_event > Duration::from_secs(1)
            && let Some(second) = usage.seconds.get_mut(offered.as_secs() as usize)
        {
            second.has_waited = true;
        }
        if let Some(second) = usage.seconds.get_mut(began_in) {
            second.got += outcome.cost;
        }
    }
    usages
}

/// Returns the customers that waited in each second of a window and got less than half of what they
/// asked for, or of what the best served one got, whichever is less in each second.
fn shortfalls(usages: &BTreeMap<String, Usage>) -> Vec<String> {
    let mut found = Vec::new();
    for from in 0..=TRAFFIC_S - WINDOW_S {
        let window = from..from + WINDOW_S;
        let got =
            |usage: &Usage| -> u64 { usage.seconds[window.clone()].iter().map(|s| s.got).sum() };
        let best = usages.values().max_by_key(|u| got(u)).expect("a customer");
        for (name, usage) in usages {
            let seconds = &usage.seconds[window.clone()];
            if !seconds.iter().all(|s| s.has_waited) {
                continue;
            }
            let pairs = seconds.iter().zip(&best.seconds[window.clone()]);
            let owed: u64 = pairs
                .map(|(own, best)| own.asked.min(best.got))
                .sum::<u64>()
                / 2;
            if got(usage) + SLACK_REQUESTS * usage.largest < owed {
                found.push(format!(
                    "from {from} s: {name} was owed {owed}, got {}, the best {}",
                    got(usage),
                    got(best)
                ));
            }
        }
    }
    found
}

const fn small(name: &'static str, rates: &'static [(f64, f64)]) -> Customer {
    Customer {
        name,
        rates,
        own_tokens: (300, 6_000),
        prefixes: (0, 60),
    }
}

const fn large(name: &'static str, rates: &'static [(f64, f64)]) -> Customer {
    Customer {
        own_tokens: (10_000, 50_000),
        ..small(name, rates)
    }
}

const fn hot(customer: Customer) -> Customer {
    Customer {
        prefixes: (900, 901),
        ..customer
    }
}

const OTHERS: [Customer; 3] = [
    small("a", &[(40.0, 0.0)]),
    small("b", &[(40.0, 0.0)]),
    small("c", &[(10.0, 0.0)]),
];

/// Guards against a customer that waits in each of six seconds and gets less than half of what it asks
/// for and of what the best served one gets: with cold caches, after much or little service, with long
/// prompts, and with prompts that share a prefix.
#[rstest]
#[case::two_heavy(&[small("heavy", &[(300.0, 0.0)]), small("heavy2", &[(100.0, 0.0)])])]
#[case::heavy_after_three_seconds(&[
    small("heavy", &[(30.0, 0.0), (300.0, 3.0)]),
    small("heavy2", &[(30.0, 0.0), (300.0, 3.0)]),
    large("large", &[(5.0, 0.0)]),
])]
#[case::falls_to_the_others(&[small("heavy", &[(400.0, 0.0), (60.0, 3.0)])])]
#[case::falls_slowly(&[small("heavy", &[(500.0, 0.0), (300.0, 2.0), (100.0, 4.0), (50.0, 6.0)])])]
#[case::long_prompts(&[small("heavy", &[(300.0, 0.0)]), large("large", &[(8.0, 0.0)])])]
#[case::one_prefix(&[small("heavy", &[(300.0, 0.0)]), hot(small("hot", &[(60.0, 0.0)]))])]
#[case::long_prompts_of_one_prefix(&[
    small("heavy", &[(300.0, 0.0)]),
    hot(large("hot", &[(8.0, 0.0)])),
])]
fn each_customer_gets_its_share_in_six_seconds(#[case] customers: &[Customer]) {
    let customers: Vec<Customer> = customers.iter().chain(&OTHERS).copied().collect();
    for seed in 0..40 {
        let found = shortfalls(&replay(&customers, seed));
        assert!(found.is_empty(), "seed {seed}: {found:?}");
    }
}

/// `Phase` is what two customers are served in each tenth of a second, in weighted tokens.
struct Phase {
    ms: u32,
    heavy: u64,
    other: u64,
}

struct Imbalance {
    phases: &'static [Phase],
    /// Whether the heavy customer is then refused as above its share.
    is_above: bool,
}

const FLOOD: Phase = Phase {
    ms: 2_000,
    heavy: 200_000,
    other: 20_000,
};

/// Guards against a customer that is refused as above its share for seconds because of what it has got
/// before, while others get many times as much.
#[rstest]
#[case::during_the_flood(Imbalance { phases: &[FLOOD], is_above: true })]
#[case::just_after(Imbalance { phases: &[FLOOD, Phase { ms: 200, heavy: 4_000, other: 80_000 }], is_above: true })]
#[case::refused_for_a_second(Imbalance { phases: &[FLOOD, Phase { ms: 1_000, heavy: 4_000, other: 80_000 }], is_above: false })]
#[case::refused_for_two_seconds(Imbalance { phases: &[FLOOD, Phase { ms: 2_000, heavy: 4_000, other: 80_000 }], is_above: false })]
#[case::served_like_others(Imbalance { phases: &[FLOOD, Phase { ms: 1_000, heavy: 80_000, other: 80_000 }], is_above: true })]
#[case::always_more(Imbalance { phases: &[FLOOD, Phase { ms: 4_000, heavy: 200_000, other: 80_000 }], is_above: true })]
fn a_customer_that_got_much_is_not_refused_for_seconds(#[case] case: Imbalance) {
    const STEP: Duration = Duration::from_millis(100);
    let (heavy, other) = (CustomerName::from("heavy"), CustomerName::from("other"));
    let mut shares = Shares::default();
    let mut now = Duration::from_secs(100);
    for phase in case.phases {
        for _ in 0..phase.ms / 100 {
            now += STEP;
            // Both ask for more than they get.
            shares.add_demand(&heavy, 400_000, now);
            shares.add_demand(&other, 100_000, now);
            shares.add_service(&heavy, phase.heavy, now);
            shares.add_service(&other, phase.other, now);
        }
    }
    let ratio = shares.ratio(&heavy, now);
    assert_eq!(ratio > 1.0, case.is_above, "{ratio}");
}
