//! Replays restarts of targets under overload: routers that exchange events with a delay place requests,
//! in steps of one millisecond, and the arrivals at cold targets are counted over sliding seconds.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use samphiresill_core::name::{DomainName, TargetName, VmName};
use samphiresill_core::routing::{ColdStart, ColdTime, RoutingTable, TargetEntry};
use samphiresill_core::units::RequestRate;

use super::simulation::{self, Request};
use crate::fleet::cold_start::share::ColdShare;
use crate::fleet::event::{Event, RunResult};
use crate::fleet::load::{FleetLoad, Placement};
use crate::fleet::quarantine::evidence::Suspect;

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
/// Time for which a target is cold.
const COLD_TIME: Duration = Duration::from_secs(3);
/// Length of a play in milliseconds, and when the targets first stop in it.
const PLAY_MS: u32 = 6_000;
const STOP_MS: u32 = 1_500;
const SCHEDULERS: usize = 6;

#[derive(Clone)]
struct Case {
    routers: usize,
    /// The last so many routers are cut off: they get no events and no entries, and place alone.
    cut_off: usize,
    /// The routers before them that place alone, because no scheduler replies to them.
    alone: usize,
    /// Requests per second of all callers.
    demand: f64,
    /// Requests per second that a cold target takes.
    rate: f64,
    is_limited: bool,
    /// Targets that restart.
    restarts: usize,
    /// Time for which they are down, in milliseconds.
    down_ms: u32,
    /// Interval between their restarts, in milliseconds.
    every_ms: u32,
    /// Whether they come back as another instance, whose entry tells its cold time.
    is_new_instance: bool,
    disturbance: Disturbance,
}

/// `Disturbance` is what happens to a scheduler.
#[derive(Clone, Copy, PartialEq)]
enum Disturbance {
    Nothing,
    /// It is suspended from shortly after the first stop on, for 3 s.
    Suspended,
    /// It starts anew 100 ms after the targets are back.
    Restarted,
}

impl Default for Case {
    fn default() -> Self {
        Self {
            routers: 6,
            cut_off: 0,
            alone: 0,
            demand: DEMAND,
            rate: 17.0,
            is_limited: true,
            restarts: 21,
            down_ms: 200,
            every_ms: u32::MAX,
            is_new_instance: true,
            disturbance: Disturbance::Nothing,
        }
    }
}

const TARGETS: usize = 24;
/// Usual requests per second of all callers, some 40 for each target.
const DEMAND: f64 = 960.0;

struct Run {
    router: usize,
    placement: Placement,
    sent_at: Duration,
    arrives_at: Duration,
    /// Start of the process that runs it; `None` before it arrives.
    process: Option<Duration>,
    ends_at: Duration,
}

struct Play {
    case: Case,
    rng: SmallRng,
    routers: Vec<FleetLoad>,
    table: RoutingTable,
    runs: Vec<Run>,
    /// Start of each target's process; `None` while it is down.
    started: Vec<Option<Duration>>,
    /// Entries as each router knows them, and those on their way.
    entries: Vec<Vec<TargetEntry>>,
    updates: Vec<(Duration, usize, TargetEntry)>,
    events: Vec<(Duration, usize, Vec<Event>)>,
    crash_reports: Vec<(Duration, usize, TargetName)>,
    /// Requests to repeat, with the targets tried and the time waited.
    repeats: Vec<(Duration, usize, Vec<TargetName>, Duration)>,
    /// Arrivals at cold processes, by target.
    arrivals: BTreeMap<usize, Vec<Duration>>,
    served: usize,
}

fn number(name: &TargetName) -> usize {
    name[1..].parse().expect("a number")
}

impl Play {
    fn new(case: &Case, seed: u64) -> Self {
        let mut table = simulation::table();
        let service = table.services.values_mut().next().expect("a service");
        service.cold_start = case.is_limited.then(|| ColdStart {
            duration: COLD_TIME,
            rate: RequestRate::from_per_second(case.rate).expect("a rate"),
        });
        let entries: Vec<TargetEntry> = (0..TARGETS).map(simulation::entry).collect();
        let routers = (0..case.routers as u64).map(|origin| {
            let mut router = FleetLoad::new(origin + 1);
            router.set_targets(&entries, &table);
            router
        });
        Self {
            rng: SmallRng::seed_from_u64(seed),
            routers: routers.collect(),
            table,
            runs: Vec::new(),
            started: vec![Some(Duration::ZERO); TARGETS],
            entries: vec![entries; case.routers],
            updates: Vec::new(),
            events: Vec::new(),
            crash_reports: Vec::new(),
            repeats: Vec::new(),
            arrivals: BTreeMap::new(),
            served: 0,
            case: case.clone(),
        }
    }

    fn run(mut self) -> Self {
        for ms in 0..PLAY_MS {
            let now = 100 * SECOND + MS * ms;
            self.restart_targets(ms, now);
            self.deliver(now);
            if ms.is_multiple_of(25) {
                self.exchange(ms, now);
            }
            let is_restart = ms == STOP_MS + self.case.down_ms + 100;
            if self.case.disturbance == Disturbance::Restarted && is_restart {
                self.routers[0] = FleetLoad::new(10_000);
                self.routers[0].set_targets(&self.entries[0], &self.table);
                let told = self.routers[1].cold_events(now);
                self.routers[0].apply(told, false, now);
                self.runs.retain(|run| run.router != 0);
            }
            if self.rng.random_bool(self.case.demand / 1_000.0) {
                let router = self.rng.random_range(0..self.case.routers);
                self.place(router, Vec::new(), now, now);
            }
            let (due, later) = std::mem::take(&mut self.repeats)
                .into_iter()
                .partition(|(at, ..)| *at <= now);
            self.repeats = later;
            let due: Vec<(Duration, usize, Vec<TargetName>, Duration)> = due;
            for (_, router, tried, began) in due {
                self.place(router, tried, began, now);
            }
        }
        self
    }

    fn is_suspended(&self, router: usize, now: Duration) -> bool {
        let from = 100 * SECOND + MS * (STOP_MS + 50);
        self.case.disturbance == Disturbance::Suspended
            && router == 2
            && now >= from
            && now < from + 3 * SECOND
    }

    fn is_cut_off(&self, router: usize) -> bool {
        router >= self.case.routers - self.case.cut_off
    }

    /// Sends a request through its router, or through the scheduler that decides for it.
    fn place(&mut self, router: usize, tried: Vec<TargetName>, began: Duration, now: Duration) {
        let is_alone = router >= self.case.routers - self.case.cut_off - self.case.alone;
        let decider = if router < SCHEDULERS || is_alone {
            router
        } else {
            router % SCHEDULERS
        };
        if self.is_suspended(decider, now) || self.is_suspended(router, now) {
            return;
        }
        let id: u64 = self.rng.random();
        let request = Request::new("c", (id % 9, 300), (id, 100), 20);
        let (service, domain) = (simulation::service(), DomainName::from("d0"));
        let mut req = request.placement_request(&service, &domain);
        req.tried = &tried;
        req.waited = now.saturating_sub(began);
        req.is_first_attempt = tried.is_empty();
        req.has_run = !tried.is_empty();
        let run = self.routers[router].next_run();
        let jitter = self.rng.random();
        let placed = self.routers[decider].place(&req, run, jitter, now);
        match placed {
            Ok(placement) => {
                if decider != router {
                    self.routers[router].adopt(&placement, &req, now);
                }
                let arrives_at = now + MS * self.rng.random_range(1..50);
                self.runs.push(Run {
                    router,
                    placement,
                    sent_at: now,
                    arrives_at,
                    process: None,
                    ends_at: arrives_at + MS * self.rng.random_range(60..600),
                });
            }
            // A resumed stream waits; others are refused after a while, and repeated by their callers.
            Err(refusal) => {
                let pause = refusal.recheck_in.unwrap_or(refusal.retry_after);
                self.repeats.push((now + pause, router, tried, began));
            }
        }
    }

    /// Stops and starts the targets.
    fn restart_targets(&mut self, ms: u32, now: Duration) {
        if ms < STOP_MS {
            return;
        }
        let phase = (ms - STOP_MS) % self.case.every_ms;
        for target in 0..self.case.restarts {
            if phase == 0 {
                self.started[target] = None;
            }
            if phase == self.case.down_ms {
                self.started[target] = Some(now);
                if self.case.is_new_instance {
                    self.publish_entry(target, ms, now);
                }
            }
        }
    }

    /// The entry of a new instance reaches each router within 20 to 350 ms.
    fn publish_entry(&mut self, target: usize, ms: u32, now: Duration) {
        let mut entry = simulation::entry(target);
        entry.started_ms = u64::from(ms);
        for router in 0..self.case.routers - self.case.cut_off {
            let read_at = now + MS * self.rng.random_range(20..350);
            entry.cold = Some(ColdTime {
                read_at,
                remaining: COLD_TIME.saturating_sub(read_at.saturating_sub(now)),
            });
            self.updates.push((read_at, router, entry.clone()));
        }
    }

    /// Delivers what arrives now: entries, events, reports, requests and answers.
    fn deliver(&mut self, now: Duration) {
        for (at, router, entry) in std::mem::take(&mut self.updates) {
            if at > now || self.is_suspended(router, now) {
                self.updates.push((at, router, entry));
                continue;
            }
            let index = number(&entry.name);
            self.entries[router][index] = entry;
            self.routers[router].set_targets(&self.entries[router], &self.table);
        }
        for (at, router, events) in std::mem::take(&mut self.events) {
            if at > now || self.is_suspended(router, now) {
                self.events.push((at, router, events));
                continue;
            }
            let is_relayed = router < SCHEDULERS && at.subsec_nanos() % 2 == 1;
            self.routers[router].apply(events, is_relayed, now);
        }
        let suspects = [Suspect { part: 1, depth: 0 }];
        for (at, router, target) in std::mem::take(&mut self.crash_reports) {
            if at > now {
                self.crash_reports.push((at, router, target));
            } else if self.started[number(&target)].is_none() {
                self.routers[router].record_crash(&target, 1, &suspects, now);
            }
        }
        for mut run in std::mem::take(&mut self.runs) {
            if self.is_suspended(run.router, now) {
                self.runs.push(run);
                continue;
            }
            let target = number(&run.placement.target);
            let process = self.started[target];
            if run.process.is_none() && now >= run.arrives_at {
                let Some(started) = process else {
                    self.fail(&run, RunResult::Unreachable, now);
                    continue;
                };
                run.process = Some(started);
                if !started.is_zero() && now < started + COLD_TIME {
                    self.arrivals.entry(target).or_default().push(now);
                }
            } else if run.process.is_some() && run.process != process {
                self.routers[run.router].record_broken_connection(&run.placement, now);
                let report = (now + 20 * MS, run.router, run.placement.target.clone());
                self.crash_reports.push(report);
                self.fail(&run, RunResult::Failed, now);
                continue;
            } else if now >= run.ends_at {
                let ms = now.saturating_sub(run.sent_at).as_millis() as u32;
                let router = &mut self.routers[run.router];
                router.end(&run.placement, RunResult::Answered { ms }, now);
                self.served += 1;
                continue;
            } else if now == run.arrives_at + 50 * MS {
                self.routers[run.router].progress(&run.placement, now);
            }
            self.runs.push(run);
        }
    }

    /// Ends a run without an answer; the request is tried elsewhere.
    fn fail(&mut self, run: &Run, result: RunResult, now: Duration) {
        self.routers[run.router].end(&run.placement, result, now);
        let tried = vec![run.placement.target.clone()];
        self.repeats.push((now + MS, run.router, tried, now + MS));
    }

    /// Sends the events of all routers, and renews their shares.
    fn exchange(&mut self, ms: u32, now: Duration) {
        let vm = |n: usize| VmName::from(format!("g{n}"));
        for router in 0..self.case.routers {
            if self.is_suspended(router, now) {
                continue;
            }
            let was_suspended =
                self.case.disturbance == Disturbance::Suspended && router == 2 && ms > STOP_MS;
            let was_restarted =
                self.case.disturbance == Disturbance::Restarted && router == 0 && ms > STOP_MS;
            let routers = self.case.routers;
            let share = if router < SCHEDULERS && !was_suspended && !was_restarted {
                let others = (0..SCHEDULERS).filter(|n| *n != router);
                ColdShare::Scheduler {
                    own: vm(router),
                    others: others.map(vm).collect(),
                    divisor: SCHEDULERS,
                    routers,
                }
            } else {
                ColdShare::Alone { routers }
            };
            self.routers[router].set_cold_share(share, now);
            if ms.is_multiple_of(500) {
                self.routers[router].sweep(now);
            }
            if router < SCHEDULERS {
                let news = self.routers[router].take_cold_news(now);
                let clients = (SCHEDULERS..routers - self.case.cut_off)
                    .filter(|client| client % SCHEDULERS == router && !news.is_empty());
                for client in clients {
                    self.events.push((now + 5 * MS, client, news.clone()));
                }
            }
            let events = self.routers[router].take_events();
            if events.is_empty() || self.is_cut_off(router) {
                continue;
            }
            // Odd times of arrival mark events that the receiver relays.
            let delay = MS * self.rng.random_range(1..10);
            if router < SCHEDULERS {
                for to in (0..SCHEDULERS).filter(|to| *to != router) {
                    self.events.push((now + delay, to, events.clone()));
                }
            } else {
                let relayed = now + delay + Duration::from_nanos(1);
                self.events.push((relayed, router % SCHEDULERS, events));
            }
        }
    }

    /// The most requests that a cold target has got within one second.
    fn most_in_a_second(&self) -> usize {
        let most = |arrivals: &Vec<Duration>| {
            let in_window = |(n, from): (usize, &Duration)| {
                let later = arrivals[n..].iter();
                later.take_while(|at| **at < *from + SECOND).count()
            };
            arrivals.iter().enumerate().map(in_window).max()
        };
        self.arrivals.values().filter_map(most).max().unwrap_or(0)
    }
}

/// Guards against cold targets that get more requests than they take, and crash again.
#[rstest]
#[case::six_routers(Case::default())]
#[case::at_once(Case { down_ms: 5, ..Case::default() })]
#[case::a_fleet(Case { routers: 91, ..Case::default() })]
#[case::some_cut_off(Case { routers: 91, cut_off: 30, demand: 480.0, ..Case::default() })]
#[case::all_clients_alone(Case { routers: 91, alone: 85, ..Case::default() })]
#[case::a_fleet_at_once(Case { routers: 91, down_ms: 5, ..Case::default() })]
#[case::a_large_fleet(Case { routers: 330, alone: 110, ..Case::default() })]
#[case::all_targets(Case { restarts: TARGETS, ..Case::default() })]
#[case::same_instance(Case { is_new_instance: false, ..Case::default() })]
#[case::up_and_down(Case { restarts: 3, is_new_instance: false, down_ms: 150, every_ms: 700, ..Case::default() })]
#[case::new_instances_up_and_down(Case { restarts: 3, down_ms: 150, every_ms: 700, ..Case::default() })]
#[case::a_low_rate(Case { rate: 2.0, ..Case::default() })]
#[case::suspended(Case { disturbance: Disturbance::Suspended, ..Case::default() })]
#[case::scheduler_restarts(Case { disturbance: Disturbance::Restarted, is_new_instance: false, ..Case::default() })]
fn no_cold_target_gets_more_than_it_takes(#[case] case: Case) {
    for seed in 0..2 {
        let play = Play::new(&case, seed).run();
        let most = play.most_in_a_second() as f64;
        let bound = case.rate * 1.5 + 5.0;
        assert!(
            most <= bound,
            "{most} requests in a second, seed {seed}, served {}",
            play.served
        );
    }
}

/// The replay detects the absence of the limit.
#[test]
fn without_the_limit_cold_targets_get_too_many_requests() {
    let case = Case {
        is_limited: false,
        ..Case::default()
    };
    let most = Play::new(&case, 0).run().most_in_a_second();
    assert!(most > 31, "{most} requests in a second");
}

/// The limit is used: targets that are all cold serve at least 60% of their rate together.
#[test]
fn cold_targets_are_used() {
    let case = Case {
        restarts: TARGETS,
        ..Case::default()
    };
    let play = Play::new(&case, 0).run();
    let arrivals: usize = play.arrivals.values().map(Vec::len).sum();
    let due = case.rate * COLD_TIME.as_secs_f64() * TARGETS as f64;
    assert!(arrivals as f64 > due * 0.6, "{arrivals} of {due}");
}
