//! The load of one model engine, and how long a new prompt would wait there.
//!
//! Answers the load pattern in which long prompts delay everything behind them: an engine reads
//! prompts in order of arrival, so the wait follows from the prompt tokens ahead and the rate at
//! which it reads. The rate is learnt from the times of first tokens.

use std::collections::BTreeMap;
use std::time::Duration;

use samphiresill_core::routing::EngineSpec;

use super::prefix::PrefixCache;
use super::work::{Generation, RunId};

/// Rate that is assumed until one has been learnt, in prompt tokens a millisecond.
const FIRST_RATE: f64 = 48.0;
/// Bounds of a learnt rate, in prompt tokens a millisecond.
const RATE_BOUNDS: (f64, f64) = (2.0, 500.0);
/// Weight of the newest sample in the learnt rate.
const NEWEST_WEIGHT: f64 = 0.2;
/// Prompt tokens below which a sample says little about the rate.
const MIN_SAMPLE_TOKENS: u32 = 400;
/// Time from the end of the prompt to the first event, beside the reading.
const FIRST_EVENT: Duration = Duration::from_millis(25);
/// Part of an engine's memory that requests are placed into; beyond it running requests risk
/// preemption as their output grows.
const MEMORY_FILL: f64 = 0.9;

/// `Run` is one request on an engine.
#[derive(Clone, Copy, Debug)]
struct Run {
    memory_tokens: u64,
    /// Prompt tokens to read; nothing once the first token has come.
    unread: Option<u32>,
    since: Duration,
}

/// `Engine` is the account of one engine.
#[derive(Clone, Debug)]
pub struct Engine {
    spec: EngineSpec,
    runs: BTreeMap<RunId, Run>,
    prefixes: PrefixCache,
    rate: f64,
    samples: u32,
    memory_tokens: u64,
    unread_tokens: u64,
    /// When the engine began to read the prompt that is at the head of its queue.
    head_since: Duration,
}

/// `Estimate` is what a request would meet on an engine.
#[derive(Clone, Copy, Debug)]
pub struct Estimate {
    /// Prompt tokens that are not kept there.
    pub unread_tokens: u32,
    /// Time that the engine needs for the prompts ahead.
    pub wait: Duration,
    /// Time that the engine needs for this prompt.
    pub reading: Duration,
    /// Requests that run or wait there.
    pub runs: usize,
}

impl Estimate {
    /// Expected time to the first event.
    #[must_use]
    pub fn first_event(&self) -> Duration {
        self.wait + self.reading + FIRST_EVENT
    }
}

impl Engine {
    /// An engine about which only its configuration is known.
    #[must_use]
    pub fn new(spec: EngineSpec) -> Self {
        Self {
            spec,
            runs: BTreeMap::new(),
            prefixes: PrefixCache::default(),
            rate: FIRST_RATE,
            samples: 0,
            memory_tokens: 0,
            unread_tokens: 0,
            head_since: Duration::ZERO,
        }
    }

    /// Takes a changed configuration.
    pub fn set_spec(&mut self, spec: EngineSpec) {
        self.spec = spec;
    }

    /// Learnt rate of reading, in prompt tokens a millisecond.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Requests that run or wait there.
    #[must_use]
    pub fn runs(&self) -> usize {
        self.runs.len()
    }

    /// Whether a slot and memory for the request are free.
    #[must_use]
    pub fn has_room(&self, generation: &Generation) -> bool {
        let memory = f64::from(self.spec.memory_tokens) * MEMORY_FILL;
        self.runs.is_empty()
            || (self.runs.len() < self.spec.slots as usize
                && (self.memory_tokens + generation.memory_tokens()) as f64 <= memory)
    }

    /// What a request would meet there now.
    #[must_use]
    pub fn estimate(&self, generation: &Generation, now: Duration) -> Estimate {
        let cached = self.prefixes.cached_tokens(&generation.parts);
        // The end of a prompt is always read, to produce the first token.
        let unread_tokens = generation.prompt_tokens.saturating_sub(cached).max(1);
        Estimate {
            unread_tokens,
            wait: self.wait(now),
            reading: self.time_for(u64::from(unread_tokens)),
            runs: self.runs.len(),
        }
    }

    /// Notes that a request was sent there.
    pub fn start(&mut self, run: RunId, generation: &Generation, now: Duration) {
        let unread = self.estimate(generation, now).unread_tokens;
        if self.unread_tokens == 0 {
            self.head_since = now;
        }
        let memory_tokens = generation.memory_tokens();
        let entry = Run {
            memory_tokens,
            unread: Some(unread),
            since: now,
        };
        if self.runs.insert(run, entry).is_none() {
            self.memory_tokens += memory_tokens;
            self.unread_tokens += u64::from(unread);
        }
        let spare = u64::from(self.spec.memory_tokens).saturating_sub(self.memory_tokens);
        self.prefixes.touch(&generation.parts, spare, now);
    }

    /// Notes the first event of a request.
    pub fn first_event(&mut self, run: RunId, now: Duration) {
        let Some(entry) = self.runs.get_mut(&run) else {
            return;
        };
        let Some(unread) = entry.unread.take() else {
            return;
        };
        let since = entry.since.max(self.head_since);
        self.unread_tokens -= u64::from(unread);
        self.head_since = now;
        self.learn(unread, now.saturating_sub(since));
    }

    /// Whether no event of a request has come yet.
    #[must_use]
    pub fn is_reading(&self, run: RunId) -> bool {
        self.runs.get(&run).is_some_and(|r| r.unread.is_some())
    }

    /// Notes that a request has left the engine.
    pub fn end(&mut self, run: RunId, now: Duration) {
        let Some(entry) = self.runs.remove(&run) else {
            return;
        };
        self.memory_tokens -= entry.memory_tokens;
        if let Some(unread) = entry.unread {
            self.unread_tokens -= u64::from(unread);
            self.head_since = now;
        }
    }

    /// Runs that an origin has there.
    pub fn runs_of(&self, origin: u64) -> impl Iterator<Item = RunId> {
        let first = RunId { origin, number: 0 };
        let last = RunId {
            origin,
            number: u32::MAX,
        };
        self.runs.range(first..=last).map(|(id, _)| *id)
    }

    fn wait(&self, now: Duration) -> Duration {
        if self.unread_tokens == 0 {
            return Duration::ZERO;
        }
        let head = self
            .runs
            .values()
            .filter_map(|r| r.unread.map(|u| (r.since, u)));
        let head_tokens = head.min().map_or(0, |(_, unread)| unread);
        let head_time = self.time_for(u64::from(head_tokens));
        let done = now.saturating_sub(self.head_since).min(head_time);
        self.time_for(self.unread_tokens).saturating_sub(done)
    }

    fn time_for(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.rate / 1_000.0)
    }

    fn learn(&mut self, tokens: u32, took: Duration) {
        if tokens < MIN_SAMPLE_TOKENS {
            return;
        }
        let reading_ms = took.saturating_sub(FIRST_EVENT).as_secs_f64() * 1_000.0;
        let sample = (f64::from(tokens) / reading_ms.max(1.0)).clamp(RATE_BOUNDS.0, RATE_BOUNDS.1);
        self.samples += 1;
        // The first samples count for more, so that a fast or slow engine shows at once.
        let weight = NEWEST_WEIGHT.max(1.0 / f64::from(self.samples + 1));
        self.rate += (sample - self.rate) * weight;
    }
}
