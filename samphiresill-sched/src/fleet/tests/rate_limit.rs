//! Tests of the limits that targets name: several schedulers that exchange events with delay place
//! requests on limited targets, in steps of one millisecond.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use samphiresill_core::name::{CustomerName, DomainName, ServiceName, TargetName};
use samphiresill_core::units::RequestRate;

use super::simulation::{Request, entry, service, table};
use crate::fleet::directive::rate_limit::LimitShare;
use crate::fleet::event::{Event, RunResult};
use crate::fleet::load::{FleetLoad, Placement};

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
/// Length of a play.
const PLAY_TIME: Duration = Duration::from_secs(16);
/// Time after which the limits must be kept: the smallest stability window of the operators.
const STABLE_AFTER: Duration = Duration::from_secs(3);
/// Window in which the operators count requests.
const WINDOW: Duration = Duration::from_secs(4);
/// Interval at which schedulers send their events, and after which these arrive.
const FLUSH_INTERVAL: u32 = 25;
/// Time from sending a request to the head of its response, which names the limit.
const RESPONSE_TIME: Duration = Duration::from_millis(60);
/// Time from sending a request to its end.
const RUN_TIME: Duration = Duration::from_millis(300);
/// Smallest fraction of a limit that is used while more requests wait.
const MIN_USE: f64 = 0.8;

struct Case {
    schedulers: usize,
    /// Requests per second that each target takes; `None` names no limit.
    limits: Vec<Option<f64>>,
    /// Requests per second of all callers.
    demand: f64,
    /// Whether the targets are engines, or instances of a plain service.
    are_engines: bool,
    /// Fraction of the datagrams with events that are lost.
    loss: f64,
    /// When the first scheduler starts again without a memory.
    restart_at: Option<Duration>,
    /// Whether the routers know only their own requests, because no scheduler replies.
    are_alone: bool,
}

impl Default for Case {
    fn default() -> Self {
        Self {
            schedulers: 6,
            limits: Vec::new(),
            demand: 80.0,
            are_engines: true,
            loss: 0.0,
            restart_at: None,
            are_alone: false,
        }
    }
}

/// `Play` is what becomes of the requests of a case.
struct Play {
    schedulers: Vec<FleetLoad>,
    service: ServiceName,
    rng: SmallRng,
    /// Requests in flight, by the scheduler that placed them, with the times at which they were sent.
    in_flight: Vec<(usize, Placement, Duration)>,
    /// Times at which requests reached each target.
    arrivals: BTreeMap<TargetName, Vec<Duration>>,
    refused: usize,
}

fn new_scheduler(origin: u64, case: &Case, service: &ServiceName) -> FleetLoad {
    let mut fleet_load = FleetLoad::new(origin);
    let entries = (0..case.limits.len()).map(|number| {
        let mut entry = entry(number);
        entry.service = service.clone();
        entry
    });
    fleet_load.set_targets(&entries.collect::<Vec<_>>(), &table());
    if case.are_alone {
        fleet_load.set_limit_share(LimitShare::OneOf(case.schedulers));
    }
    fleet_load
}

impl Play {
    fn run(case: &Case, seed: u64) -> Self {
        let service = if case.are_engines {
            service()
        } else {
            "desk".into()
        };
        let schedulers = 0..case.schedulers;
        let schedulers = schedulers.map(|n| new_scheduler(n as u64 + 1, case, &service));
        let mut play = Self {
            schedulers: schedulers.collect(),
            service,
            rng: SmallRng::seed_from_u64(seed),
            in_flight: Vec::new(),
            arrivals: BTreeMap::new(),
            refused: 0,
        };
        let mut now = SECOND;
        for ms in 0..PLAY_TIME.as_millis() as u32 {
            now += MS;
            if case.restart_at.is_some_and(|at| at + SECOND == now) {
                play.schedulers[0] = new_scheduler(1_000, case, &play.service);
                play.in_flight.retain(|(scheduler, ..)| *scheduler != 0);
            }
            if play.rng.random_bool(case.demand / 1_000.0) {
                play.send(ms, now);
            }
            play.receive(case, now);
            if ms % FLUSH_INTERVAL == 0 && !case.are_alone {
                play.exchange(case.loss, now);
            }
            if ms % 500 == 0 {
                play.schedulers.iter_mut().for_each(|s| s.sweep(now));
            }
        }
        play
    }

    fn send(&mut self, number: u32, now: Duration) {
        let customer = format!("c{}", self.rng.random_range(0..4));
        let number = u64::from(number);
        let request = Request::new(&customer, (number % 9, 500), (1_000 + number, 500), 50);
        let domain = DomainName::from("d0");
        let mut req = request.placement_request(&self.service, &domain);
        req.time_left = 3 * SECOND;
        if *self.service != *service() {
            req.generation = None;
        }
        let index = self.rng.random_range(0..self.schedulers.len());
        let scheduler = &mut self.schedulers[index];
        let run = scheduler.next_run();
        match scheduler.place(&req, run, 0.5, now) {
            Ok(placement) => {
                let arrivals = self.arrivals.entry(placement.target.clone());
                arrivals.or_default().push(now);
                self.in_flight.push((index, placement, now));
            }
            Err(_) => self.refused += 1,
        }
    }

    /// Delivers the heads and the ends of responses.
    fn receive(&mut self, case: &Case, now: Duration) {
        let schedulers = &mut self.schedulers;
        self.in_flight.retain(|(index, placement, sent_at)| {
            let scheduler = &mut schedulers[*index];
            let age = now.saturating_sub(*sent_at);
            if age == RESPONSE_TIME {
                let number: usize = placement.target[1..].parse().expect("a number");
                let rate = case.limits[number].and_then(RequestRate::from_per_second);
                scheduler.progress(placement, now);
                scheduler.observe_limit(placement, rate, *sent_at, now);
            }
            if age == RUN_TIME {
                scheduler.end(placement, RunResult::Answered { ms: 300 }, now);
            }
            age < RUN_TIME
        });
    }

    fn exchange(&mut self, loss: f64, now: Duration) {
        let sent: Vec<Vec<Event>> = self
            .schedulers
            .iter_mut()
            .map(FleetLoad::take_events)
            .collect();
        for (from, events) in sent.iter().enumerate() {
            for (to, scheduler) in self.schedulers.iter_mut().enumerate() {
                if from != to && !self.rng.random_bool(loss) {
                    scheduler.apply(events.clone(), false, now);
                }
            }
        }
    }

    fn arrivals_from(&self, target: usize, from: Duration) -> Vec<Duration> {
        let arrivals = self.arrivals.get(&entry(target).name);
        let arrivals = arrivals.into_iter().flatten();
        arrivals.copied().filter(|at| *at >= from).collect()
    }

    /// The most requests that a target has got within the window, once the limits must be kept.
    fn most_in_window(&self, target: usize) -> usize {
        let arrivals = self.arrivals_from(target, SECOND + STABLE_AFTER);
        let in_window = |(n, from): (usize, &Duration)| {
            let later = arrivals[n..].iter();
            later.take_while(|at| **at < *from + WINDOW).count()
        };
        arrivals
            .iter()
            .enumerate()
            .map(in_window)
            .max()
            .unwrap_or(0)
    }
}

/// Routers together keep to the limit that a target names, and use it while requests wait.
#[rstest]
#[case::some_engines(Case { limits: vec![Some(5.3), Some(2.6), Some(4.4), None, None], ..Case::default() })]
#[case::one_scheduler(Case { schedulers: 1, limits: vec![Some(5.0), None], ..Case::default() })]
#[case::many_schedulers(Case { schedulers: 12, limits: vec![Some(2.0), Some(3.0), None], ..Case::default() })]
#[case::all_engines(Case { limits: vec![Some(5.0), Some(6.0), Some(2.0)], ..Case::default() })]
#[case::less_than_one_a_second(Case { limits: vec![Some(0.5), Some(0.25)], ..Case::default() })]
#[case::a_high_limit(Case { limits: vec![Some(30.0), None], demand: 150.0, ..Case::default() })]
#[case::plain_service(Case { limits: vec![Some(5.0), Some(3.0), None], are_engines: false, ..Case::default() })]
#[case::all_of_a_plain_service(Case { limits: vec![Some(5.0), Some(3.0)], are_engines: false, ..Case::default() })]
#[case::lost_datagrams(Case { limits: vec![Some(5.3), Some(2.6), None], loss: 0.1, ..Case::default() })]
#[case::a_restart(Case { limits: vec![Some(5.3), Some(2.6), None], restart_at: Some(Duration::from_secs(8)), ..Case::default() })]
#[case::without_schedulers(Case { schedulers: 40, limits: vec![Some(5.3), Some(12.0), None], demand: 400.0, are_alone: true, ..Case::default() })]
fn the_fleet_keeps_to_the_limits_of_targets(#[case] case: Case) {
    for seed in 0..5 {
        let play = Play::run(&case, seed);
        for (target, limit) in case.limits.iter().enumerate() {
            let Some(limit) = limit else { continue };
            let most = play.most_in_window(target) as f64;
            let allowed = limit * WINDOW.as_secs_f64() * 1.5 + 5.0;
            assert!(
                most <= allowed,
                "target {target}: {most} requests in 4 s at {limit} a second, seed {seed}"
            );
            let got = play.arrivals_from(target, SECOND + STABLE_AFTER).len() as f64;
            let due = limit * PLAY_TIME.saturating_sub(STABLE_AFTER).as_secs_f64();
            assert!(
                got >= due * MIN_USE - 1.0,
                "target {target} got {got} of {due} requests, seed {seed}"
            );
        }
    }
}

/// Once a target names no limit any more, it gets as many requests as before.
#[test]
fn a_limit_that_has_ended_binds_no_longer() {
    let mut scheduler = new_scheduler(
        1,
        &Case {
            limits: vec![None],
            ..Case::default()
        },
        &service(),
    );
    let customer = CustomerName::from("a");
    let domain = DomainName::from("d0");
    let request = Request::new(&customer, (1, 100), (2, 100), 10);
    let service = service();
    let rate = RequestRate::from_per_second(2.0);
    let mut place = |rate: Option<RequestRate>, now: Duration| {
        let run = scheduler.next_run();
        let req = request.placement_request(&service, &domain);
        let placement = scheduler.place(&req, run, 0.5, now).ok()?;
        scheduler.observe_limit(&placement, rate, now, now + 10 * MS);
        scheduler.end(&placement, RunResult::Answered { ms: 20 }, now + 20 * MS);
        Some(())
    };
    let served = |count: usize| count;
    let limited = (0..100).filter_map(|n| place(rate, SECOND + 30 * MS * n));
    assert!(
        served(limited.count()) < 12,
        "limited to 2 a second for 3 s"
    );
    assert!((0..2).any(|n| place(None, 6 * SECOND + 30 * MS * n).is_some()));
    let unlimited = (0..100).filter_map(|n| place(None, 7 * SECOND + 30 * MS * n));
    assert_eq!(served(unlimited.count()), 100);
}

/// A response that was on its way when the target named its limit does not end the limit, on no
/// router.
#[test]
fn an_earlier_response_does_not_end_a_limit() {
    let case = Case {
        limits: vec![None],
        ..Case::default()
    };
    let mut routers = [1, 2].map(|origin| new_scheduler(origin, &case, &service()));
    let [first, second] = &mut routers;
    let request = Request::new("a", (1, 100), (2, 100), 10);
    let (service, domain) = (service(), DomainName::from("d0"));
    let req = request.placement_request(&service, &domain);
    let place = |router: &mut FleetLoad, at| {
        let run = router.next_run();
        router.place(&req, run, 0.5, at).expect("a placement")
    };
    let rate = RequestRate::from_per_second(2.0);
    // The first router knows a limit of long ago, the second one none.
    let old = place(first, SECOND);
    first.observe_limit(&old, rate, SECOND, SECOND);
    first.take_events();
    let without_limit = place(first, 10 * SECOND);
    let with_limit = place(second, 10 * SECOND + MS);
    second.observe_limit(&with_limit, rate, 10 * SECOND + MS, 10 * SECOND + 40 * MS);
    first.observe_limit(&without_limit, None, 10 * SECOND, 10 * SECOND + 30 * MS);
    second.apply(first.take_events(), false, 10 * SECOND + 60 * MS);
    let limits = second.directives().limits();
    assert_eq!(limits.count(), 1, "the limit that was named last holds");
}
