//! The load of one model engine, and how long a new prompt would wait there.
//!
//! Answers the load pattern in which long prompts delay everything behind them: an engine prefills
//! prompts in order of arrival, so the wait follows from the prompt tokens ahead and the prefill
//! rate. The rate is learnt from the times of first tokens.
//!
//! Answers also the load pattern in which continuous prefill starves the streams that run: an
//! engine generates one token of each stream in a step, and a step that also prefills a chunk of a
//! prompt takes ten times as long. The interval between tokens follows from the part of the time
//! that is spent on prefill.

use std::collections::BTreeMap;
use std::time::Duration;

use samphiresill_core::routing::EngineSpec;
use serde::{Deserialize, Serialize};

use super::prefix::PrefixCache;
use super::work::{Generation, PromptPart, RunId};

/// Rate that is assumed until one has been learnt, in prompt tokens a millisecond.
const FIRST_RATE: f64 = 48.0;
/// Bounds of a learnt rate, in prompt tokens a millisecond.
const RATE_BOUNDS: (f64, f64) = (2.0, 500.0);
/// Prefill time over which the learnt rate is averaged, in milliseconds: some ten prompts.
const RATE_MEMORY_MS: f64 = 1_500.0;
/// Weight of the first rate in the average, in milliseconds of prefill time.
const FIRST_RATE_MS: f64 = 60.0;
/// Time from sending to the first event beside prefill, as the prompt tokens that an engine
/// prefills in it: the time varies with the speed of the engine, the tokens do not (measured on
/// idle engines of three speeds).
const LATENCY_TOKENS: u32 = 1_050;
/// Time to begin a copy between engines.
const COPY_SETUP: Duration = Duration::from_millis(3);
/// Prompt tokens that an engine prefills in one step.
const CHUNK_TOKENS: f64 = 2_048.0;
/// Time of a decode step, as the prompt tokens that the engine would prefill in it: the time
/// varies with the speed of the engine, the tokens do not (measured on idle engines).
const STEP_TOKENS: f64 = 125.0;
/// The same for each stream that runs in the step.
const STEP_TOKENS_PER_RUN: f64 = 6.0;
/// The same for each token of KV cache that the streams of the step attend to.
const STEP_TOKENS_PER_MEMORY: f64 = 0.000_185;
/// Time constant of the average prefill load, in milliseconds: long against one prompt, short
/// against the duration of a stream.
const LOAD_MEMORY_MS: f64 = 2_000.0;
/// Part of an engine's memory that requests are placed into; beyond it running requests risk
/// preemption as their output grows.
const MEMORY_FILL: f64 = 0.9;

/// `Run` is one request on an engine.
#[derive(Clone, Copy, Debug)]
struct Run {
    memory_tokens: u64,
    output_tokens: u64,
    /// Prompt tokens to prefill; nothing once the first token has come.
    prefill: Option<u32>,
    since: Duration,
}

/// `Engine` is the account of one engine.
#[derive(Clone, Debug)]
pub struct Engine {
    spec: EngineSpec,
    runs: BTreeMap<RunId, Run>,
    prefixes: PrefixCache,
    /// Recent prefill time, in milliseconds, and the tokens prefilled in it.
    prefill_ms: f64,
    prefilled_tokens: f64,
    memory_tokens: u64,
    output_tokens: u64,
    prefill_tokens: u64,
    /// Prompt tokens of recent requests, decayed with age, as of `load_at`.
    load_tokens: f64,
    load_at: Duration,
    /// When the prefill of the prompt at the head of the queue began.
    head_since: Duration,
    /// Whether that prompt found the queue empty, so that its time has the latency in it.
    is_head_first: bool,
}

/// `Estimate` is what a request can expect of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    /// Prompt tokens that are neither cached there nor copied.
    pub prefill_tokens: u32,
    /// Prompt tokens that are copied from another engine.
    pub copied_tokens: u32,
    /// Time for the copy.
    pub copying: Duration,
    /// Prefill time of the prompts ahead.
    pub wait: Duration,
    /// Prefill time of this prompt.
    pub prefill_time: Duration,
    /// Time to the first event beside wait and prefill.
    pub latency: Duration,
    /// Requests that run or wait there.
    pub runs: usize,
    /// Learnt prefill rate, in prompt tokens a millisecond.
    pub rate: f64,
    /// Expected interval between tokens of a stream without this request, in milliseconds.
    pub current_interval_ms: f64,
    /// The same with this request.
    pub token_interval_ms: f64,
}

impl Estimate {
    /// Expected time to the first event.
    #[must_use]
    pub fn first_event(&self) -> Duration {
        self.wait + self.copying + self.prefill_time + self.latency
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
            prefill_ms: FIRST_RATE_MS,
            prefilled_tokens: FIRST_RATE * FIRST_RATE_MS,
            memory_tokens: 0,
            output_tokens: 0,
            prefill_tokens: 0,
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

    /// Learnt prefill rate, in prompt tokens a millisecond.
    #[must_use]
    pub fn rate(&self) -> f64 {
        (self.prefilled_tokens / self.prefill_ms).clamp(RATE_BOUNDS.0, RATE_BOUNDS.1)
    }

    /// Requests that run or wait there.
    #[must_use]
    pub fn runs(&self) -> usize {
        self.runs.len()
    }

    /// Whether a slot and memory for the request are free.
    #[must_use]
    pub fn has_room(&self, generation: &Generation) -> bool {
        let memory = f64::from(self.spec.kv_cache_tokens) * MEMORY_FILL;
        self.runs.is_empty()
            || (self.runs.len() < self.spec.slots as usize
                && (self.memory_tokens + generation.memory_tokens()) as f64 <= memory)
    }

    /// Tokens at the start of a prompt that are cached there.
    #[must_use]
    pub fn cached_tokens(&self, generation: &Generation) -> u32 {
        self.prefixes.cached_tokens(&generation.parts)
    }

    /// Prompt parts that are cached there, the most recently used first.
    #[must_use]
    pub fn cached_parts(&self) -> Vec<PromptPart> {
        self.prefixes.parts()
    }

    /// Adds prompt parts that the engine reports as cached.
    pub fn add_cached(&mut self, parts: &[PromptPart]) {
        self.prefixes.add_cached(parts, self.spare_memory());
    }

    /// Tokens at the start of a prompt that another engine can copy from there now.
    #[must_use]
    pub fn copyable_tokens(&self, generation: &Generation, now: Duration) -> u32 {
        self.prefixes.copyable_tokens(&generation.parts, now)
    }

    /// What a request can expect there now, when another engine caches `cached_elsewhere` tokens
    /// of its prompt.
    #[must_use]
    pub fn estimate(
        &self,
        generation: &Generation,
        cached_elsewhere: u32,
        now: Duration,
    ) -> Estimate {
        let cached = self.cached_tokens(generation);
        let copied_tokens = if self.spec.link_mbps > 0 {
            cached_elsewhere.saturating_sub(cached)
        } else {
            0
        };
        // The last token of a prompt is always computed, to produce the first one of the answer.
        let prefill_tokens = generation
            .prompt_tokens
            .saturating_sub(cached + copied_tokens)
            .max(1);
        Estimate {
            prefill_tokens,
            copied_tokens,
            copying: self.copy_time(copied_tokens),
            wait: self.wait(now),
            prefill_time: self.time_for(u64::from(prefill_tokens)),
            latency: self.time_for(u64::from(LATENCY_TOKENS)),
            runs: self.runs.len(),
            rate: self.rate(),
            current_interval_ms: self.token_interval_ms(&Generation::default(), 0, now),
            token_interval_ms: self.token_interval_ms(generation, prefill_tokens, now),
        }
    }

    /// Records that a request was sent there.
    pub fn start(&mut self, run: RunId, generation: &Generation, prefill: u32, now: Duration) {
        if self.prefill_tokens == 0 {
            self.head_since = now;
            self.is_head_first = true;
        }
        let memory_tokens = generation.memory_tokens();
        let entry = Run {
            memory_tokens,
            output_tokens: u64::from(generation.output_tokens),
            prefill: Some(prefill),
            since: now,
        };
        if self.runs.insert(run, entry).is_none() {
            self.memory_tokens += memory_tokens;
            self.output_tokens += u64::from(generation.output_tokens);
            self.prefill_tokens += u64::from(prefill);
            self.load_tokens = self.load_tokens(now) + f64::from(prefill);
            self.load_at = now;
        }
        let spare = self.spare_memory();
        let ready_at = now + self.wait(now) + self.time_for(u64::from(LATENCY_TOKENS));
        self.prefixes.touch(&generation.parts, spare, ready_at, now);
    }

    /// Records the first event of a request.
    pub fn first_event(&mut self, run: RunId, now: Duration) {
        let Some(entry) = self.runs.get_mut(&run) else {
            return;
        };
        let Some(prefill) = entry.prefill.take() else {
            return;
        };
        self.prefill_tokens -= u64::from(prefill);
        self.learn(prefill, now.saturating_sub(self.head_since));
        self.head_since = now;
        self.is_head_first = false;
    }

    /// Whether no event of a request has come yet.
    #[must_use]
    pub fn is_prefilling(&self, run: RunId) -> bool {
        self.runs.get(&run).is_some_and(|r| r.prefill.is_some())
    }

    /// Records that a request has left the engine.
    pub fn end(&mut self, run: RunId, now: Duration) {
        let Some(entry) = self.runs.remove(&run) else {
            return;
        };
        self.memory_tokens -= entry.memory_tokens;
        self.output_tokens -= entry.output_tokens;
        if let Some(prefill) = entry.prefill {
            self.prefill_tokens -= u64::from(prefill);
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
        if self.prefill_tokens == 0 {
            return Duration::ZERO;
        }
        let head = self
            .runs
            .values()
            .filter_map(|r| r.prefill.map(|u| (r.since, u)));
        let head_tokens = head.min().map_or(0, |(_, prefill)| prefill);
        let head_time = self.time_for(u64::from(head_tokens));
        let done = now.saturating_sub(self.head_since).min(head_time);
        self.time_for(self.prefill_tokens).saturating_sub(done)
    }

    fn load_tokens(&self, now: Duration) -> f64 {
        let age_ms = now.saturating_sub(self.load_at).as_secs_f64() * 1_000.0;
        self.load_tokens * (-age_ms / LOAD_MEMORY_MS).exp()
    }

    /// Expected interval between tokens if a request with `prefill` tokens to prefill is added.
    fn token_interval_ms(&self, generation: &Generation, prefill: u32, now: Duration) -> f64 {
        let runs = self.runs.len() as f64 + 1.0;
        let memory = (self.memory_tokens + generation.memory_tokens()) as f64;
        let step = STEP_TOKENS + STEP_TOKENS_PER_RUN * runs + STEP_TOKENS_PER_MEMORY * memory;
        let rate = self.rate();
        let prefill_step_ms = CHUNK_TOKENS / rate;
        let decode_step_ms = prefill_step_ms * step / (CHUNK_TOKENS + step);
        let load = self.load_tokens(now) + f64::from(prefill);
        let prefill_part = (load / (rate * LOAD_MEMORY_MS)).min(1.0);
        let steps_per_ms = prefill_part / prefill_step_ms + (1.0 - prefill_part) / decode_step_ms;
        1.0 / steps_per_ms
    }

    /// Memory for prompts, in tokens: those of running requests are among the cached parts, generated
    /// tokens are not.
    fn spare_memory(&self) -> u64 {
        u64::from(self.spec.kv_cache_tokens).saturating_sub(self.output_tokens)
    }

    fn copy_time(&self, tokens: u32) -> Duration {
        if tokens == 0 {
            return Duration::ZERO;
        }
        let bits = f64::from(tokens) * f64::from(self.spec.kv_bytes_per_token) * 8.0;
        let link_bits_per_s = f64::from(self.spec.link_mbps.max(1)) * 1e6;
        COPY_SETUP + Duration::from_secs_f64(bits / link_bits_per_s)
    }

    fn time_for(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.rate() / 1_000.0)
    }

    /// Takes in the prefill time of the prompt at the head of the queue. Prompts of one busy
    /// period are averaged, because several short ones can end in one step.
    fn learn(&mut self, tokens: u32, took: Duration) {
        let latency = if self.is_head_first {
            LATENCY_TOKENS
        } else {
            0
        };
        let ms = took.as_secs_f64() * 1_000.0;
        let decay = (-ms / RATE_MEMORY_MS).exp();
        self.prefill_ms = self.prefill_ms * decay + ms;
        self.prefilled_tokens = self.prefilled_tokens * decay + f64::from(tokens + latency);
    }
}
