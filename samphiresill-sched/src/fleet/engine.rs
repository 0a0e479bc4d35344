//! The load of one model engine, and how long a new prompt would wait there.
//!
//! Answers the load pattern in which long prompts delay everything behind them: an engine reads
//! prompts in order of arrival, so the wait follows from the prompt tokens ahead and the rate at
//! which it reads. The rate is learnt from the times of first tokens.
//!
//! Answers also the load pattern in which reading without a pause starves the streams that run:
//! an engine makes one token of each stream in a step, and a step that also reads a piece of a
//! prompt takes ten times as long. The pace of the streams follows from the part of the time that
//! is spent reading.

use std::collections::BTreeMap;
use std::time::Duration;

use samphiresill_core::routing::EngineSpec;
use serde::{Deserialize, Serialize};

use super::prefix::PrefixCache;
use super::work::{Generation, RunId};

/// Rate that is assumed until one has been learnt, in prompt tokens a millisecond.
const FIRST_RATE: f64 = 48.0;
/// Bounds of a learnt rate, in prompt tokens a millisecond.
const RATE_BOUNDS: (f64, f64) = (2.0, 500.0);
/// Time of reading over which the learnt rate is averaged, in milliseconds: some ten prompts.
const RATE_MEMORY_MS: f64 = 1_500.0;
/// Time of reading at the first rate that the average starts from, in milliseconds.
const FIRST_RATE_MS: f64 = 60.0;
/// Time from sending to the first event beside the reading, as the prompt tokens that an engine
/// reads in it: the time varies with the speed of the engine, the tokens do not (measured on idle
/// engines of three speeds).
const LATENCY_TOKENS: u32 = 1_050;
/// Time to begin a copy between engines.
const COPY_SETUP: Duration = Duration::from_millis(3);
/// Prompt tokens that an engine reads in one step.
const CHUNK_TOKENS: f64 = 2_048.0;
/// Time of a step without reading, as the prompt tokens that the engine would read in it: the
/// time varies with the speed of the engine, the tokens do not (from idle engines).
const STEP_TOKENS: f64 = 125.0;
/// The same for each stream that runs in the step.
const STEP_TOKENS_PER_RUN: f64 = 6.0;
/// The same for each token of memory that the streams of the step read again.
const STEP_TOKENS_PER_MEMORY: f64 = 0.000_185;
/// Time over which the reading of an engine is averaged, in milliseconds: long against one
/// prompt, short against the time that a stream has.
const LOAD_MEMORY_MS: f64 = 2_000.0;
/// Part of an engine's memory that requests are placed into; beyond it running requests risk
/// preemption as their output grows.
const MEMORY_FILL: f64 = 0.9;

/// `Run` is one request on an engine.
#[derive(Clone, Copy, Debug)]
struct Run {
    memory_tokens: u64,
    output_tokens: u64,
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
    /// Time spent reading of late, in milliseconds, and the tokens read in it.
    reading_ms: f64,
    read_tokens: f64,
    memory_tokens: u64,
    output_tokens: u64,
    unread_tokens: u64,
    /// Prompt tokens to read of late, faded out with age, as of `load_at`.
    load_tokens: f64,
    load_at: Duration,
    /// When the engine began to read the prompt that is at the head of its queue.
    head_since: Duration,
    /// Whether that prompt found the queue empty, so that its time has the latency in it.
    is_head_first: bool,
}

/// `Estimate` is what a request would meet on an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    /// Prompt tokens that are neither kept there nor copied.
    pub unread_tokens: u32,
    /// Prompt tokens that are copied from another engine.
    pub copied_tokens: u32,
    /// Time for the copy.
    pub copying: Duration,
    /// Time that the engine needs for the prompts ahead.
    pub wait: Duration,
    /// Time that the engine needs for this prompt.
    pub reading: Duration,
    /// Time to the first event beside wait and reading.
    pub latency: Duration,
    /// Requests that run or wait there.
    pub runs: usize,
    /// Learnt rate of reading, in prompt tokens a millisecond.
    pub rate: f64,
    /// Expected time for each token that is generated there without this request, in milliseconds.
    pub pace_before_ms: f64,
    /// The same with this request.
    pub pace_ms: f64,
}

impl Estimate {
    /// Expected time to the first event.
    #[must_use]
    pub fn first_event(&self) -> Duration {
        self.wait + self.copying + self.reading + self.latency
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
            reading_ms: FIRST_RATE_MS,
            read_tokens: FIRST_RATE * FIRST_RATE_MS,
            memory_tokens: 0,
            output_tokens: 0,
            unread_tokens: 0,
            load_tokens: 0.0,
            load_at: Duration::ZERO,
            head_since: Duration::ZERO,
            is_head_first: true,
        }
    }

    /// Takes a changed configuration.
    pub fn set_spec(&mut self, spec: EngineSpec) {
        self.spec = spec;
    }

    /// Learnt rate of reading, in prompt tokens a millisecond.
    #[must_use]
    pub fn rate(&self) -> f64 {
        (self.read_tokens / self.reading_ms).clamp(RATE_BOUNDS.0, RATE_BOUNDS.1)
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

    /// Tokens at the start of a prompt that are kept there.
    #[must_use]
    pub fn cached_tokens(&self, generation: &Generation) -> u32 {
        self.prefixes.cached_tokens(&generation.parts)
    }

    /// Tokens at the start of a prompt that another engine can copy from there now.
    #[must_use]
    pub fn copyable_tokens(&self, generation: &Generation, now: Duration) -> u32 {
        self.prefixes.copyable_tokens(&generation.parts, now)
    }

    /// What a request would meet there now, when another engine keeps `kept_elsewhere` tokens of
    /// its prompt.
    #[must_use]
    pub fn estimate(
        &self,
        generation: &Generation,
        kept_elsewhere: u32,
        now: Duration,
    ) -> Estimate {
        let cached = self.cached_tokens(generation);
        let copied_tokens = if self.spec.link_mbps > 0 {
            kept_elsewhere.saturating_sub(cached)
        } else {
            0
        };
        // The end of a prompt is always read, to produce the first token.
        let unread_tokens = generation
            .prompt_tokens
            .saturating_sub(cached + copied_tokens)
            .max(1);
        Estimate {
            unread_tokens,
            copied_tokens,
            copying: self.copy_time(copied_tokens),
            wait: self.wait(now),
            reading: self.time_for(u64::from(unread_tokens)),
            latency: self.time_for(u64::from(LATENCY_TOKENS)),
            runs: self.runs.len(),
            rate: self.rate(),
            pace_before_ms: self.pace_ms(&Generation::default(), 0, now),
            pace_ms: self.pace_ms(generation, unread_tokens, now),
        }
    }

    /// Notes that a request was sent there.
    pub fn start(&mut self, run: RunId, generation: &Generation, unread: u32, now: Duration) {
        if self.unread_tokens == 0 {
            self.head_since = now;
            self.is_head_first = true;
        }
        let memory_tokens = generation.memory_tokens();
        let entry = Run {
            memory_tokens,
            output_tokens: u64::from(generation.output_tokens),
            unread: Some(unread),
            since: now,
        };
        if self.runs.insert(run, entry).is_none() {
            self.memory_tokens += memory_tokens;
            self.output_tokens += u64::from(generation.output_tokens);
            self.unread_tokens += u64::from(unread);
            self.load_tokens = self.load_tokens(now) + f64::from(unread);
            self.load_at = now;
        }
        // The prompts that run are among the parts that are kept; what is generated is not.
        let spare = u64::from(self.spec.memory_tokens).saturating_sub(self.output_tokens);
        let read_at = now + self.wait(now) + self.time_for(u64::from(LATENCY_TOKENS));
        self.prefixes.touch(&generation.parts, spare, read_at, now);
    }

    /// Notes the first event of a request.
    pub fn first_event(&mut self, run: RunId, now: Duration) {
        let Some(entry) = self.runs.get_mut(&run) else {
            return;
        };
        let Some(unread) = entry.unread.take() else {
            return;
        };
        self.unread_tokens -= u64::from(unread);
        self.learn(unread, now.saturating_sub(self.head_since));
        self.head_since = now;
        self.is_head_first = false;
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
        self.output_tokens -= entry.output_tokens;
        if let Some(unread) = entry.unread {
            self.unread_tokens -= u64::from(unread);
            self.head_since = now;
        }
    }

    /// Since when a run has been there.
    #[must_use]
    pub fn since(&self, run: RunId) -> Option<Duration> {
        self.runs.get(&run).map(|r| r.since)
    }

    /// Runs that began before a time.
    pub fn begun_before(&self, time: Duration) -> impl Iterator<Item = RunId> {
        let old = self.runs.iter().filter(move |(_, r)| r.since < time);
        old.map(|(id, _)| *id)
    }

    /// Runs that an origin has there.
    pub fn runs_of(&self, origin: u64) -> impl Iterator<Item = RunId> {
        self.runs.range(RunId::all_of(origin)).map(|(id, _)| *id)
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

    fn load_tokens(&self, now: Duration) -> f64 {
        let age_ms = now.saturating_sub(self.load_at).as_secs_f64() * 1_000.0;
        self.load_tokens * (-age_ms / LOAD_MEMORY_MS).exp()
    }

    /// Expected time for a token of a stream if a request is added that reads `unread` tokens.
    fn pace_ms(&self, generation: &Generation, unread: u32, now: Duration) -> f64 {
        let runs = self.runs.len() as f64 + 1.0;
        let memory = (self.memory_tokens + generation.memory_tokens()) as f64;
        let step = STEP_TOKENS + STEP_TOKENS_PER_RUN * runs + STEP_TOKENS_PER_MEMORY * memory;
        let rate = self.rate();
        let reading_step_ms = CHUNK_TOKENS / rate;
        let plain_step_ms = reading_step_ms * step / (CHUNK_TOKENS + step);
        let load = self.load_tokens(now) + f64::from(unread);
        let reading_part = (load / (rate * LOAD_MEMORY_MS)).min(1.0);
        let steps_per_ms = reading_part / reading_step_ms + (1.0 - reading_part) / plain_step_ms;
        1.0 / steps_per_ms
    }

    fn copy_time(&self, tokens: u32) -> Duration {
        if tokens == 0 {
            return Duration::ZERO;
        }
        let bits = f64::from(tokens) * f64::from(self.spec.token_bytes) * 8.0;
        let link_bits_per_s = f64::from(self.spec.link_mbps.max(1)) * 1e6;
        COPY_SETUP + Duration::from_secs_f64(bits / link_bits_per_s)
    }

    fn time_for(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.rate() / 1_000.0)
    }

    /// Takes in that a prompt at the head of the queue was read. Prompts of one busy period are
    /// averaged, because several short ones can end in one step.
    fn learn(&mut self, tokens: u32, took: Duration) {
        let latency = if self.is_head_first {
            LATENCY_TOKENS
        } else {
            0
        };
        let ms = took.as_secs_f64() * 1_000.0;
        let kept = (-ms / RATE_MEMORY_MS).exp();
        self.reading_ms = self.reading_ms * kept + ms;
        self.read_tokens = self.read_tokens * kept + f64::from(tokens + latency);
    }
}
