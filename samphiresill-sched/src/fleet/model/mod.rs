//! Model of many deciders that place requests on engines, with load events that arrive late.
//!
//! Every decider is a [`FleetLoad`], so that the decisions are those of the product. Events between
//! deciders are sent every 25 ms and arrive after the age of views that the model is given. The
//! engines prefill prompts in order of arrival.

mod engine;
mod params;
mod report;
mod setup;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use samphiresill_core::name::{DomainName, TargetName};
use samphiresill_core::routing::TargetEntry;

use self::engine::Engine;
pub use self::params::{Choice, Fault, Params};
pub use self::report::Report;
use self::report::Samples;
use self::setup::{alternative, entry, service, spec, table};
use super::event::{Event, RunResult};
use super::load::{FleetLoad, Placement};
use super::request::{Generation, PlacementRequest, PromptPart, RunId};
use super::streams::StreamOrigin;

/// Prefill rate of an engine of speed 1, in tokens per millisecond.
const TOKENS_PER_MS: f64 = 101.0;
/// Speeds of the engines in turn.
const SPEEDS: [f64; 2] = [0.55, 1.2];
/// Interval between frames with events.
const FLUSH_INTERVAL: Duration = Duration::from_millis(25);
/// Interval between lists of active runs, which repair lost events.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Time before the samples begin.
const WARM_UP: Duration = Duration::from_millis(1_500);
/// Number of shared prefixes and their length in tokens.
const PREFIXES: (u64, u32) = (40, 4_000);
/// Range of the length of the part of a prompt that is not shared, in tokens.
const OWN_TOKENS: std::ops::Range<u32> = 1_000..8_000;
/// Range of the length of the output, in tokens.
const OUTPUT_TOKENS: std::ops::Range<u32> = 60..200;

#[derive(Clone, Debug)]
enum Step {
    Arrival,
    FirstEvent {
        decider: usize,
        placement: Rc<Placement>,
    },
    Ended {
        decider: usize,
        placement: Rc<Placement>,
    },
    Flush,
    Deliver {
        from: usize,
        taken_at: Duration,
        events: Rc<Vec<Event>>,
    },
    Lists,
    Sample,
    Buried,
}

/// `Model` is a run of the model in progress.
struct Model {
    params: Params,
    now: Duration,
    deciders: Vec<FleetLoad>,
    engines: Vec<Engine>,
    names: BTreeMap<TargetName, usize>,
    steps: BTreeMap<u64, Step>,
    agenda: BinaryHeap<Reverse<(Duration, u64)>>,
    next_step: u64,
    /// Idle engines that have offered themselves, for each decider.
    offers: Vec<Vec<usize>>,
    rng: StdRng,
    next_prompt: u64,
    samples: Samples,
}

/// Runs the model and returns its figures.
#[must_use]
pub fn run(params: Params) -> Report {
    let mut model = Model::new(params);
    let end = WARM_UP + params.span;
    let first = [Step::Arrival, Step::Flush, Step::Lists, Step::Sample];
    for step in first {
        model.schedule(Duration::from_millis(1), step);
    }
    if params.fault == Fault::HalfDead {
        model.schedule(WARM_UP + Duration::from_secs(1), Step::Buried);
    }
    while let Some(Reverse((at, number))) = model.agenda.pop() {
        if at > end {
            break;
        }
        model.now = at;
        if let Some(step) = model.steps.remove(&number) {
            model.perform(step);
        }
    }
    model.samples.report()
}

impl Model {
    fn new(params: Params) -> Self {
        let count = if params.choice == Choice::Perfect {
            1
        } else {
            params.deciders
        };
        let entries: Vec<TargetEntry> = (0..params.engines).map(entry).collect();
        let table = table();
        let decider = |number: usize| {
            let mut load = FleetLoad::new(number as u64);
            load.set_targets(&entries, &table);
            let balance = load.balance_mut();
            if let Some(alternative) = alternative(&params, number) {
                balance.set_alternative(alternative);
            }
            for other in (0..count).filter(|o| *o != number) {
                balance.record_view(other as u64, Duration::ZERO);
            }
            load
        };
        Self {
            params,
            now: Duration::ZERO,
            deciders: (0..count).map(decider).collect(),
            engines: (0..params.engines)
                .map(|n| Engine::new(SPEEDS[n % SPEEDS.len()] * TOKENS_PER_MS, spec()))
                .collect(),
            names: (0..params.engines).map(|n| (entry(n).name, n)).collect(),
            steps: BTreeMap::new(),
            agenda: BinaryHeap::new(),
            next_step: 0,
            offers: vec![Vec::new(); count],
            rng: StdRng::seed_from_u64(params.seed),
            next_prompt: PREFIXES.0,
            samples: Samples::new(params.engines),
        }
    }

    fn schedule(&mut self, at: Duration, step: Step) {
        self.agenda.push(Reverse((at, self.next_step)));
        self.steps.insert(self.next_step, step);
        self.next_step += 1;
    }

    fn has_fault(&self, fault: Fault) -> bool {
        self.params.fault == fault && self.now >= WARM_UP
    }

    fn is_suspended(&self, decider: usize) -> bool {
        let is_within = self.now < WARM_UP + Duration::from_secs(5);
        decider == 0 && self.has_fault(Fault::Suspended) && is_within
    }

    fn is_dead(&self, decider: usize) -> bool {
        decider % 2 == 1 && self.has_fault(Fault::HalfDead)
    }

    fn perform(&mut self, step: Step) {
        match step {
            Step::Arrival => self.arrive(),
            Step::FirstEvent { decider, placement } => {
                self.deciders[decider].progress(&placement, self.now);
                self.deliver_at_once(decider);
            }
            Step::Ended { decider, placement } => {
                let result = RunResult::Answered { ms: 1 };
                self.deciders[decider].end(&placement, result, self.now);
                let engine = self.names[&placement.target];
                if self.engines[engine].backlog(self.now).is_zero() {
                    self.offers[decider].retain(|e| *e != engine);
                    self.offers[decider].push(engine);
                }
                self.deliver_at_once(decider);
            }
            Step::Flush => {
                for decider in 0..self.deciders.len() {
                    self.flush(decider);
                }
                self.schedule(self.now + FLUSH_INTERVAL, Step::Flush);
            }
            Step::Deliver {
                from,
                taken_at,
                events,
            } => {
                for to in (0..self.deciders.len()).filter(|to| *to != from) {
                    let is_lost =
                        self.params.loss > 0.0 && self.rng.random::<f64>() < self.params.loss;
                    if is_lost || self.is_suspended(to) || self.is_dead(to) {
                        continue;
                    }
                    let load = &mut self.deciders[to];
                    load.balance_mut().record_view(from as u64, taken_at);
                    load.apply(events.to_vec(), false, self.now);
                }
            }
            Step::Lists => self.exchange_lists(),
            Step::Sample => {
                if self.now >= WARM_UP {
                    self.samples.sample(&mut self.engines, self.now);
                }
                self.schedule(self.now + report::SAMPLE_INTERVAL, Step::Sample);
            }
            Step::Buried => {
                let is_dead = |d: &usize| d % 2 == 1;
                let dead: Vec<usize> = (0..self.deciders.len()).filter(is_dead).collect();
                for load in self.deciders.iter_mut().step_by(2) {
                    for origin in &dead {
                        load.retain_runs(*origin as u64, None, false, self.now);
                    }
                }
            }
        }
    }

    /// Sends the events of a decider to the others; they arrive so late that the mean age of the
    /// views is as asked for.
    fn flush(&mut self, decider: usize) {
        if self.is_suspended(decider) || self.is_dead(decider) {
            return;
        }
        let events = self.deciders[decider].take_events();
        let is_stopped = decider == 0 && self.has_fault(Fault::StoppedView);
        if self.deciders.len() == 1 || is_stopped {
            return;
        }
        let delay = self.params.age.saturating_sub(FLUSH_INTERVAL / 2);
        let step = Step::Deliver {
            from: decider,
            taken_at: self.now,
            events: Rc::new(events),
        };
        if self.has_fault(Fault::Duplicated) {
            let late = self.now + delay + Duration::from_millis(200);
            self.schedule(late, step.clone());
        }
        self.schedule(self.now + delay, step);
    }

    /// Without an age of views, events arrive at once.
    fn deliver_at_once(&mut self, decider: usize) {
        if self.params.age.is_zero() {
            self.flush(decider);
        }
    }

    fn exchange_lists(&mut self) {
        if self.params.loss > 0.0 || self.params.fault != Fault::None {
            for from in 0..self.deciders.len() {
                let is_stopped = from == 0 && self.has_fault(Fault::StoppedView);
                if self.is_suspended(from) || self.is_dead(from) || is_stopped {
                    continue;
                }
                let active: BTreeSet<u32> = self.deciders[from].own_runs().into_iter().collect();
                for to in (0..self.deciders.len()).filter(|to| *to != from) {
                    if !self.is_suspended(to) {
                        self.deciders[to].retain_runs(from as u64, Some(&active), false, self.now);
                    }
                }
            }
        }
        self.schedule(self.now + LIST_INTERVAL, Step::Lists);
    }

    fn arrive(&mut self) {
        let (generation, decider) = (self.next_generation(), self.random_decider());
        let mean_tokens = f64::from(OWN_TOKENS.start + OWN_TOKENS.end) / 2.0;
        let rate: f64 = self.engines.iter().map(|e| e.rate).sum();
        let per_ms = rate * self.params.utilisation / mean_tokens;
        let gap_ms = -(1.0 - self.rng.random::<f64>()).ln() / per_ms;
        let next = self.now + Duration::from_secs_f64(gap_ms / 1_000.0);
        self.schedule(next, Step::Arrival);
        let Some(placement) = self.place(&generation, decider) else {
            self.samples.refused += 1;
            return;
        };
        let number = self.names[&placement.target];
        let has_false_load = number == 0 && self.has_fault(Fault::FalseLoad);
        let is_copied = placement.copy_from.is_some();
        let engine = &mut self.engines[number];
        let times = engine.start(&generation, is_copied, self.now);
        if self.now >= WARM_UP {
            self.samples
                .record(times.prefilled, times.first_event.saturating_sub(self.now));
        }
        if self.params.choice == Choice::Random {
            return;
        }
        self.deliver_at_once(decider);
        let placement = Rc::new(placement);
        let first_event = if has_false_load {
            self.now + Duration::from_millis(2)
        } else {
            times.first_event
        };
        let step = Step::FirstEvent {
            decider,
            placement: Rc::clone(&placement),
        };
        self.schedule(first_event, step);
        self.schedule(times.ended, Step::Ended { decider, placement });
    }

    fn random_decider(&mut self) -> usize {
        let count = self.deciders.len();
        if self.params.fault == Fault::Uneven && self.rng.random::<bool>() {
            return 0;
        }
        let mut decider = self.rng.random_range(0..count);
        while self.is_suspended(decider) || self.is_dead(decider) {
            decider = self.rng.random_range(0..count);
        }
        decider
    }

    fn next_generation(&mut self) -> Generation {
        let is_hot = self.has_fault(Fault::HotPrefix) && self.rng.random::<bool>();
        // Prefix popularity falls with its number.
        let prefix = if is_hot {
            0
        } else {
            (self.rng.random::<f64>().powi(2) * PREFIXES.0 as f64) as u64
        };
        self.next_prompt += 1;
        let own = self.rng.random_range(OWN_TOKENS);
        Generation {
            parts: vec![
                PromptPart {
                    id: prefix,
                    tokens: PREFIXES.1,
                },
                PromptPart {
                    id: self.next_prompt,
                    tokens: own,
                },
            ],
            prompt_tokens: PREFIXES.1 + own,
            output_tokens: self.rng.random_range(OUTPUT_TOKENS),
        }
    }

    fn place(&mut self, generation: &Generation, decider: usize) -> Option<Placement> {
        let run = self.deciders[decider].next_run();
        if self.params.choice == Choice::Random {
            return Some(self.random_placement(run));
        }
        let (service, domain) = (service(), DomainName::from("d0"));
        let jitter = self.rng.random();
        let avoided = match self.params.choice {
            Choice::Offers => self.avoided_for_offer(decider),
            _ => Vec::new(),
        };
        let req = PlacementRequest {
            customer: None,
            service: &service,
            generation: Some(generation),
            latency_objective: Duration::from_millis(600),
            time_left: Duration::from_secs(20),
            domain: &domain,
            tried: &[],
            avoided: &avoided,
            is_first_attempt: true,
            waited: Duration::ZERO,
            // The model measures the choice; admission would hide its effect.
            has_run: true,
            origin: &StreamOrigin::New,
        };
        self.deciders[decider]
            .place(&req, run, jitter, self.now)
            .ok()
    }

    fn random_placement(&mut self, run: RunId) -> Placement {
        let entry = entry(self.rng.random_range(0..self.engines.len()));
        Placement {
            target: entry.name,
            address: entry.address,
            run,
            expected: Duration::ZERO,
            copy_from: Some(entry.address),
            estimate: None,
        }
    }

    /// Leaves only the engine that offered itself last, if any has.
    fn avoided_for_offer(&mut self, decider: usize) -> Vec<TargetName> {
        let Some(offered) = self.offers[decider].pop() else {
            return Vec::new();
        };
        let others = self.names.iter().filter(|(_, n)| **n != offered);
        others.map(|(name, _)| name.clone()).collect()
    }
}
