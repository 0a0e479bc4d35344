//! Simulation of engines that prefill prompts in order of arrival, in chunks as part of decode
//! steps that generate one token of each stream.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use samphiresill_core::name::{CustomerName, DomainName, ServiceName, TargetName};
use samphiresill_core::routing::{
    CallerLimits, EngineSpec, RequestKind, Route, RoutingTable, Service, TargetEntry, TargetState,
};

use crate::fleet::admission::Refusal;
use crate::fleet::event::RunResult;
use crate::fleet::load::{FleetLoad, Placement};
use crate::fleet::request::{Generation, PlacementRequest, PromptPart, RunId};
use crate::fleet::streams::StreamOrigin;

/// Prefill rate of an engine of speed 1, in tokens per millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 48.0;
/// Maximum number of prompt tokens in one step.
const CHUNK_TOKENS: f64 = 2_048.0;
/// Time of a step of an engine of speed 1, as base time and time for each stream, in milliseconds.
const STEP_MS: (f64, f64) = (2.6, 0.12);
/// Tokens of one event of a stream, unless a test says otherwise.
const TOKENS_PER_EVENT: u32 = 6;
/// KV cache capacity of an engine, in tokens.
const MEMORY_TOKENS: u32 = 400_000;

/// The service of all engines.
pub fn service() -> ServiceName {
    ServiceName::from("model")
}

/// The configuration of the engines.
pub fn spec() -> EngineSpec {
    EngineSpec {
        slots: 64,
        kv_cache_tokens: MEMORY_TOKENS,
        tokens_per_event: TOKENS_PER_EVENT,
        kv_bytes_per_token: 18_432,
        link_mbps: 740_000,
    }
}

/// A routing table with one service.
pub fn table() -> RoutingTable {
    table_of(spec(), None)
}

fn table_of(spec: EngineSpec, pause_objective: Option<Duration>) -> RoutingTable {
    let route = Route {
        name: "route".into(),
        host: "host".into(),
        prefix: "/".into(),
        request_kind: RequestKind::Generation { is_resumable: true },
        timeout: Duration::from_secs(12),
        latency_objective: Duration::from_secs(1),
        event_interval_objective: pause_objective,
        max_attempts: 1,
        services: vec![(service(), 1)],
        allows_anonymous: true,
    };
    let service = Service {
        name: service(),
        health_path: "/health".into(),
        max_connections: 100,
        engine: Some(spec),
        cold_start: None,
    };
    let limits = CallerLimits {
        head_bytes: 8_192,
        body_bytes: 1 << 20,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
        fleet_tokens_per_s: None,
    };
    RoutingTable::new(1, vec![route], vec![service], BTreeMap::new(), limits)
}

/// The directory entry of an engine.
pub fn entry(number: usize) -> TargetEntry {
    TargetEntry {
        name: TargetName::from(format!("e{number}")),
        service: service(),
        address: ([127, 0, 0, 1], 9_000 + number as u16).into(),
        domain: DomainName::from(format!("d{}", number % 3)),
        slots: 64,
        state: TargetState::Ready,
        started_ms: 0,
        cold: None,
        version: None,
    }
}

/// The fleet load of a router with `count` idle engines.
pub fn fleet_load(origin: u64, count: usize) -> FleetLoad {
    fleet_load_of(origin, count, &table())
}

fn fleet_load_of(origin: u64, count: usize, table: &RoutingTable) -> FleetLoad {
    let mut fleet_load = FleetLoad::new(origin);
    let entries: Vec<TargetEntry> = (0..count).map(entry).collect();
    fleet_load.set_targets(&entries, table);
    fleet_load
}

/// `Request` is one request of a load pattern.
#[derive(Clone, Debug)]
pub struct Request {
    pub customer: CustomerName,
    pub generation: Generation,
    pub latency_objective: Duration,
    pub timeout: Duration,
}

impl Request {
    /// Creates a request whose prompt has a shared part and an own part, each given as ID and
    /// tokens.
    pub fn new(customer: &str, shared: (u64, u32), own: (u64, u32), output: u32) -> Self {
        let part = |(id, tokens)| PromptPart { id, tokens };
        Self {
            customer: customer.into(),
            generation: Generation {
                parts: vec![part(shared), part(own)],
                prompt_tokens: shared.1 + own.1,
                output_tokens: output,
            },
            latency_objective: Duration::from_secs(1),
            timeout: Duration::from_secs(12),
        }
    }

    pub fn placement_request<'a>(
        &'a self,
        service: &'a ServiceName,
        domain: &'a DomainName,
    ) -> PlacementRequest<'a> {
        PlacementRequest {
            customer: Some(&self.customer),
            service,
            generation: Some(&self.generation),
            latency_objective: self.latency_objective,
            time_left: self.timeout,
            domain,
            tried: &[],
            avoided: &[],
            is_first_attempt: true,
            waited: Duration::ZERO,
            has_run: false,
            origin: &StreamOrigin::New,
        }
    }
}

#[derive(Clone, Debug)]
struct Job {
    index: usize,
    placement: Placement,
    prefill_tokens: f64,
    tokens_left: f64,
    /// Tokens generated for the event that is not complete yet.
    event_tokens: u32,
    events: u32,
    started_at: Duration,
    first_event: Option<Duration>,
    last_event: Duration,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    speed: f64,
    free_at: Duration,
    cached: BTreeSet<u64>,
    waiting: VecDeque<Job>,
    streams: Vec<Job>,
}

/// `Outcome` is the outcome of one request.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub customer: String,
    /// When the request was offered.
    pub offered_at: Duration,
    /// Cost of the request in weighted tokens.
    pub cost: u64,
    pub refused: Option<Refusal>,
    pub first_event: Option<Duration>,
    pub completed: Option<Duration>,
    pub longest_pause: Duration,
}

/// `Simulation` simulates one router and its engines, in steps of one millisecond.
pub struct Simulation {
    pub fleet_load: FleetLoad,
    pub now: Duration,
    pub outcomes: Vec<Outcome>,
    pub prefilled_tokens: f64,
    pub repeated_tokens: f64,
    prefilled_parts: BTreeSet<u64>,
    tokens_per_event: u32,
    pause_objective: Option<Duration>,
    engines: BTreeMap<TargetName, Engine>,
    requests: Vec<Request>,
    rng: StdRng,
}

impl Simulation {
    /// Creates a simulation of engines with these relative speeds.
    pub fn new(speeds: &[f64], seed: u64) -> Self {
        Self::with_events(speeds, seed, TOKENS_PER_EVENT)
    }

    /// Creates a simulation of engines whose events hold `tokens_per_event` tokens.
    pub fn with_events(speeds: &[f64], seed: u64, tokens_per_event: u32) -> Self {
        let spec = EngineSpec {
            tokens_per_event,
            ..spec()
        };
        let engine = |(n, speed): (usize, &f64)| {
            let engine = Engine {
                speed: *speed,
                ..Engine::default()
            };
            (entry(n).name, engine)
        };
        Self {
            fleet_load: fleet_load_of(1, speeds.len(), &table_of(spec, None)),
            pause_objective: None,
            tokens_per_event,
            now: Duration::from_secs(1),
            outcomes: Vec::new(),
            prefilled_tokens: 0.0,
            repeated_tokens: 0.0,
            prefilled_parts: BTreeSet::new(),
            engines: speeds.iter().enumerate().map(engine).collect(),
            requests: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Sets the objective for the pauses of streams.
    pub fn set_pause_objective(&mut self, objective: Duration) {
        let spec = EngineSpec {
            tokens_per_event: self.tokens_per_event,
            ..spec()
        };
        let entries: Vec<TargetEntry> = (0..self.engines.len()).map(entry).collect();
        self.pause_objective = Some(objective);
        self.fleet_load
            .set_targets(&entries, &table_of(spec, self.pause_objective));
    }

    /// Sends `per_s` requests per second, created by `next`, for `duration`; then runs until all
    /// requests have ended.
    pub fn run(
        &mut self,
        per_s: f64,
        duration: Duration,
        mut next: impl FnMut(&mut StdRng) -> Request,
    ) {
        let end = self.now + duration;
        while self.now < end {
            let is_due = self.rng.random::<f64>() < per_s / 1_000.0;
            if is_due {
                let request = next(&mut self.rng);
                // Refusals are recorded in `outcomes`.
                drop(self.offer(request));
            }
            self.step();
        }
        let end = self.now + Duration::from_secs(15);
        while self.now < end {
            self.step();
        }
    }

    /// Places one request and records its outcome.
    pub fn offer(&mut self, request: Request) -> Result<Placement, Refusal> {
        self.offer_after(request, None)
    }

    /// Places one request that has been queued for `queued`, and records its outcome.
    pub fn offer_after(
        &mut self,
        request: Request,
        queued: Option<Duration>,
    ) -> Result<Placement, Refusal> {
        let (service, domain) = (service(), DomainName::from("d0"));
        let run: RunId = self.fleet_load.next_run();
        let jitter = self.rng.random();
        let req = PlacementRequest {
            is_first_attempt: queued.is_none(),
            waited: queued.unwrap_or_default(),
            ..request.placement_request(&service, &domain)
        };
        let placed = self.fleet_load.place(&req, run, jitter, self.now);
        let mut outcome = Outcome {
            customer: request.customer.to_string(),
            offered_at: self.now,
            cost: request.generation.cost(),
            ..Outcome::default()
        };
        match &placed {
            Ok(placement) => self.start(&request, placement.clone()),
            Err(refusal) => outcome.refused = Some(*refusal),
        }
        self.outcomes.push(outcome);
        self.requests.push(request);
        placed
    }

    fn start(&mut self, request: &Request, placement: Placement) {
        let parts = &request.generation.parts;
        let source = self.engines.values().enumerate();
        let copied: BTreeSet<u64> = match placement.copy_from {
            Some(address) => source
                .filter(|(n, _)| entry(*n).address == address)
                .flat_map(|(_, e)| e.cached.iter().copied())
                .collect(),
            None => BTreeSet::new(),
        };
        let engine = self
            .engines
            .get_mut(&placement.target)
            .expect("a known engine");
        let is_cached = |p: &&PromptPart| engine.cached.contains(&p.id) || copied.contains(&p.id);
        let cached: u32 = parts.iter().take_while(is_cached).map(|p| p.tokens).sum();
        let prefill_tokens = request.generation.prompt_tokens - cached;
        let shared = &parts[0];
        if cached == 0 && !self.prefilled_parts.insert(shared.id) {
            self.repeated_tokens += f64::from(shared.tokens);
        }
        self.prefilled_tokens += f64::from(prefill_tokens);
        engine.cached.extend(parts.iter().map(|p| p.id));
        engine.waiting.push_back(Job {
            index: self.outcomes.len(),
            placement,
            prefill_tokens: f64::from(prefill_tokens),
            tokens_left: f64::from(request.generation.output_tokens),
            event_tokens: 0,
            events: 0,
            started_at: self.now,
            first_event: None,
            last_event: Duration::ZERO,
        });
    }

    /// Advances all engines by one millisecond.
    pub fn step(&mut self) {
        self.now += Duration::from_millis(1);
        let now = self.now;
        for engine in self.engines.values_mut().filter(|e| e.free_at <= now) {
            let mut chunk = 0.0;
            while let Some(job) = engine.waiting.front_mut() {
                let part = job.prefill_tokens.min(CHUNK_TOKENS - chunk);
                job.prefill_tokens -= part;
                chunk += part;
                if job.prefill_tokens > 0.0 {
                    break;
                }
                let job = engine.waiting.pop_front().expect("a job at the head");
                engine.streams.push(job);
            }
            if engine.streams.is_empty() && chunk == 0.0 {
                continue;
            }
            let streams = engine.streams.len() as f64;
            let ms =
                (STEP_MS.0 + STEP_MS.1 * streams + chunk / PREFILL_TOKENS_PER_MS) / engine.speed;
            engine.free_at = now + Duration::from_secs_f64(ms / 1_000.0);
            for job in &mut engine.streams {
                job.tokens_left -= 1.0;
                job.event_tokens += 1;
                let has_ended = job.tokens_left <= 0.0;
                if job.event_tokens < self.tokens_per_event && !has_ended {
                    continue;
                }
                job.event_tokens = 0;
                job.events += 1;
                let outcome = &mut self.outcomes[job.index];
                let at = engine.free_at;
                let first_event = *job.first_event.get_or_insert(at);
                outcome.first_event = Some(first_event.saturating_sub(job.started_at));
                let pause = at.saturating_sub(job.last_event.max(first_event));
                outcome.longest_pause = outcome.longest_pause.max(pause);
                job.last_event = at;
                self.fleet_load.progress(&job.placement, at);
                if has_ended {
                    outcome.completed = Some(at.saturating_sub(job.started_at));
                    if job.events > 1 {
                        let interval = at.saturating_sub(first_event) / (job.events - 1);
                        self.fleet_load
                            .record_event_interval(&job.placement, interval, at);
                    }
                    let longest = outcome.longest_pause;
                    if self.pause_objective.is_some_and(|o| longest > o) {
                        self.fleet_load
                            .record_long_pause(&job.placement, longest, at);
                    }
                    self.fleet_load
                        .end(&job.placement, RunResult::Answered { ms: 1 }, at);
                }
            }
            engine.streams.retain(|j| j.tokens_left > 0.0);
            let is_expired =
                |j: &Job| now.saturating_sub(j.started_at) > self.requests[j.index].timeout;
            for job in engine.streams.iter().filter(|j| is_expired(j)) {
                self.fleet_load.end(&job.placement, RunResult::Unknown, now);
            }
            engine.streams.retain(|j| !is_expired(j));
        }
    }

    /// Returns the outcomes of the admitted requests.
    pub fn admitted(&self) -> impl Iterator<Item = &Outcome> {
        self.outcomes.iter().filter(|o| o.refused.is_none())
    }

    /// Returns the fraction of the admitted requests for which `test` holds.
    pub fn fraction_of_admitted(&self, test: impl Fn(&Outcome) -> bool) -> f64 {
        let admitted = self.admitted().count().max(1);
        self.admitted().filter(|o| test(o)).count() as f64 / admitted as f64
    }
}
