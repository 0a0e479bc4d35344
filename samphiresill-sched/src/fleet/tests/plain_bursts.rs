//! Bursts at a plain service with few places, replayed against simulated targets with queues of
//! limited length and several schedulers whose views are old.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use samphiresill_core::name::{DomainName, ServiceName, TargetName};

use super::simulation::{entry, table};
use crate::fleet::event::{Event, RunResult};
use crate::fleet::load::{FleetLoad, Placement};
use crate::fleet::request::PlacementRequest;
use crate::fleet::streams::StreamOrigin;

const MS: Duration = Duration::from_millis(1);
const TARGETS: usize = 4;
const SLOTS: usize = 6;
/// Maximum number of times that a request is sent.
const MAX_SENDS: usize = 3;
/// Age of the views of the schedulers, in milliseconds.
const VIEW_AGE_MS: u32 = 25;
const OBJECTIVE: Duration = Duration::from_millis(300);
const TIMEOUT: Duration = Duration::from_secs(3);

struct Job {
    scheduler: usize,
    arrived_at: Duration,
    sent_at: Duration,
    work_ms: f64,
    tried: Vec<TargetName>,
    is_first_attempt: bool,
    waiting_since: Duration,
}

#[derive(Default)]
struct SimulatedTarget {
    running: Vec<(f64, Job, Placement)>,
    queue: VecDeque<(Job, Placement)>,
    slow_until: Duration,
}

#[derive(Debug, Default)]
struct Outcomes {
    arrivals: u32,
    rejections: u32,
    on_time: u32,
    late: u32,
    refused: u32,
    refused_late: u32,
    expired: u32,
}

struct Burst {
    schedulers: usize,
    /// Requests that the queue of a target holds.
    max_queued: usize,
    /// Arrivals in a burst, in multiples of the capacity.
    factor: f64,
    length_ms: u32,
    pause_ms: u32,
    min_on_time: f64,
    min_served: f64,
}

struct Replay<'a> {
    case: &'a Burst,
    rng: StdRng,
    service: ServiceName,
    schedulers: Vec<FleetLoad>,
    targets: BTreeMap<TargetName, SimulatedTarget>,
    /// Requests that are about to be placed, by time and number.
    due: BTreeMap<(Duration, u32), Job>,
    out: Outcomes,
}

impl<'a> Replay<'a> {
    fn new(case: &'a Burst, seed: u64) -> Self {
        let service = ServiceName::from("desk");
        let entries: Vec<_> = (0..TARGETS)
            .map(|n| {
                let mut entry = entry(n);
                entry.service = service.clone();
                entry.slots = SLOTS as u32;
                entry
            })
            .collect();
        let scheduler = |n| {
            let mut scheduler = FleetLoad::new(n as u64 + 1);
            scheduler.set_targets(&entries, &table());
            scheduler
        };
        let names = entries.iter().map(|e| e.name.clone());
        Self {
            case,
            rng: StdRng::seed_from_u64(seed),
            service,
            schedulers: (0..case.schedulers).map(scheduler).collect(),
            targets: names.map(|n| (n, SimulatedTarget::default())).collect(),
            due: BTreeMap::new(),
            out: Outcomes::default(),
        }
    }

    fn run(mut self) -> Outcomes {
        for ms in 0..20_000_u32 {
            let now = Duration::from_secs(1) + ms * MS;
            if ms % VIEW_AGE_MS == 0 {
                self.exchange_events(now);
            }
            self.advance_targets(now);
            self.arrive(ms, now);
            while let Some(due) = self.due.first_entry().filter(|e| e.key().0 <= now) {
                let ((_, number), job) = due.remove_entry();
                self.attempt(number, job, now);
            }
        }
        self.out
    }

    fn exchange_events(&mut self, now: Duration) {
        let sent: Vec<Vec<Event>> = self
            .schedulers
            .iter_mut()
            .map(FleetLoad::take_events)
            .collect();
        for (to, scheduler) in self.schedulers.iter_mut().enumerate() {
            for (_, events) in sent.iter().enumerate().filter(|(from, _)| *from != to) {
                scheduler.apply(events.clone(), false, now);
            }
        }
    }

    fn advance_targets(&mut self, now: Duration) {
        for target in self.targets.values_mut() {
            // Slow for 600 ms at a time, 15% of the time.
            if target.slow_until <= now && self.rng.random::<f64>() < 0.15 / 0.85 / 600.0 {
                target.slow_until = now + 600 * MS;
            }
            let step = if target.slow_until > now { 0.4 } else { 1.0 };
            for (left, ..) in &mut target.running {
                *left -= step;
            }
            let (ended, running) = std::mem::take(&mut target.running)
                .into_iter()
                .partition(|(left, ..)| *left <= 0.0);
            target.running = running;
            for (_, job, placement) in ended {
                let ms = now.saturating_sub(job.sent_at).as_millis() as u32;
                self.schedulers[job.scheduler].end(&placement, RunResult::Answered { ms }, now);
                match now.saturating_sub(job.arrived_at) {
                    latency if latency <= OBJECTIVE => self.out.on_time += 1,
                    latency if latency <= TIMEOUT => self.out.late += 1,
                    _ => self.out.expired += 1,
                }
            }
            while target.running.len() < SLOTS
                && let Some((job, placement)) = target.queue.pop_front()
            {
                target.running.push((job.work_ms, job, placement));
            }
        }
    }

    fn arrive(&mut self, ms: u32, now: Duration) {
        // Mean work 72 ms, and 1.225 times that with the slow times.
        let capacity_per_ms = (TARGETS * SLOTS) as f64 / (72.0 * 1.225);
        let case = self.case;
        let is_burst = ms % (case.length_ms + case.pause_ms) < case.length_ms;
        let per_ms = capacity_per_ms * if is_burst { case.factor } else { 0.4 };
        let count = per_ms as u32 + u32::from(self.rng.random::<f64>() < per_ms.fract());
        for _ in 0..count {
            self.out.arrivals += 1;
            let is_long = self.rng.random_range(0..20) == 0;
            let work_ms = if is_long { 300.0 } else { 60.0 };
            let job = Job {
                scheduler: self.rng.random_range(0..case.schedulers),
                arrived_at: now,
                sent_at: now,
                work_ms: work_ms * self.rng.random_range(0.8..1.2),
                tried: Vec::new(),
                is_first_attempt: true,
                waiting_since: now,
            };
            self.due.insert((now, self.out.arrivals), job);
        }
    }

    fn attempt(&mut self, number: u32, mut job: Job, now: Duration) {
        let scheduler = &mut self.schedulers[job.scheduler];
        let req = PlacementRequest {
            customer: None,
            service: &self.service,
            generation: None,
            latency_objective: OBJECTIVE,
            time_left: TIMEOUT.saturating_sub(now.saturating_sub(job.arrived_at)),
            domain: &DomainName::from("d0"),
            tried: &job.tried,
            avoided: &[],
            is_first_attempt: std::mem::take(&mut job.is_first_attempt),
            waited: now.saturating_sub(job.waiting_since),
            has_run: false,
            origin: &StreamOrigin::New,
        };
        let run = scheduler.next_run();
        let placement = match scheduler.place(&req, run, self.rng.random(), now) {
            Ok(placement) => placement,
            Err(refusal) => {
                if let Some(delay) = refusal.recheck_in {
                    self.due.insert((now + delay, number), job);
                } else {
                    self.out.refused += 1;
                    self.out.refused_late += u32::from(now > job.arrived_at + 50 * MS);
                }
                return;
            }
        };
        let target = self.targets.get_mut(&placement.target).expect("a target");
        job.sent_at = now;
        if target.running.len() < SLOTS {
            target.running.push((job.work_ms, job, placement));
        } else if target.queue.len() < self.case.max_queued {
            target.queue.push_back((job, placement));
        } else {
            self.out.rejections += 1;
            scheduler.end(&placement, RunResult::Rejected, now);
            job.tried.push(placement.target);
            job.waiting_since = now;
            if job.tried.len() < MAX_SENDS {
                self.due.insert((now + 2 * MS, number), job);
            } else {
                self.out.refused += 1;
            }
        }
    }
}

/// Guards against requests that are sent to targets whose queues are full, and against requests that
/// wait although they cannot be on time.
#[rstest]
#[case::half_a_second(Burst { schedulers: 6, max_queued: 24, factor: 3.0, length_ms: 500, pause_ms: 2_500, min_on_time: 0.55, min_served: 0.6 })]
#[case::twice_the_capacity(Burst { schedulers: 6, max_queued: 24, factor: 2.0, length_ms: 4_000, pause_ms: 4_000, min_on_time: 0.48, min_served: 0.58 })]
#[case::four_times_the_capacity(Burst { schedulers: 6, max_queued: 24, factor: 4.0, length_ms: 2_000, pause_ms: 5_000, min_on_time: 0.33, min_served: 0.4 })]
#[case::one_scheduler(Burst { schedulers: 1, max_queued: 24, factor: 3.0, length_ms: 2_000, pause_ms: 5_000, min_on_time: 0.42, min_served: 0.45 })]
fn targets_turn_few_requests_away_in_bursts(#[case] case: Burst) {
    for seed in 0..4 {
        let out = Replay::new(&case, seed).run();
        let of_all = |count: u32| f64::from(count) / f64::from(out.arrivals);
        println!("seed {seed}: {out:?}");
        assert!(of_all(out.rejections) < 0.02, "seed {seed}: {out:?}");
        assert!(
            of_all(out.on_time) > case.min_on_time,
            "seed {seed}: {out:?}"
        );
        let served = out.on_time + out.late;
        assert!(of_all(served) > case.min_served, "seed {seed}: {out:?}");
        assert!(of_all(out.refused_late) < 0.02, "seed {seed}: {out:?}");
        assert!(of_all(out.expired) < 0.01, "seed {seed}: {out:?}");
    }
}
