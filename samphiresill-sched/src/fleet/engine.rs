//! Load of one model engine, and estimates of the latency of a new request there.
//!
//! Handles the load pattern in which long prompts delay all requests behind them: an engine
//! prefills prompts in order of arrival, so the wait follows from the prompt tokens ahead and the
//! prefill rate. The rate is learnt from the times of first tokens.
//!
//! Also handles the load pattern in which continuous prefill starves the running streams: an engine
//! generates one token of each stream per step, and a step that also prefills a chunk of a prompt
//! takes ten times as long. The token interval follows from the fraction of the time that is spent
//! on prefill. The first event of a stream holds several tokens, so its latency after the prefill
//! grows with the token interval.

use std::collections::BTreeMap;
use std::time::Duration;

use samphiresill_core::routing::EngineSpec;
use serde::{Deserialize, Serialize};

use super::interval_correction::IntervalCorrection;
use super::pause;
use super::prefill::PrefillModel;
use super::prefix::PrefixCache;
use super::request::{Generation, PromptPart, RunId};

/// Setup time of a KV cache copy between engines.
const COPY_SETUP: Duration = Duration::from_millis(3);
/// Prompt tokens that an engine prefills in one step (chunked prefill).
const CHUNK_TOKENS: f64 = 2_048.0;
/// Base time of a decode step, as the number of prompt tokens that the engine prefills in that
/// time, so that it follows the speed of the engine.
const STEP_TOKENS: f64 = 125.0;
/// Additional time of a decode step for each running stream, in the same unit.
const STEP_TOKENS_PER_RUN: f64 = 6.0;
/// Additional time of a decode step for each KV cache token that its streams attend to, in the same
/// unit.
const STEP_TOKENS_PER_CACHED_TOKEN: f64 = 0.000_185;
/// Time constant of the average prefill load, in milliseconds: long compared to the prefill of one
/// prompt, short compared to the duration of a stream.
const LOAD_TIME_CONSTANT_MS: f64 = 2_000.0;
/// Fraction of an engine's KV cache memory up to which requests are placed; above it, running
/// requests risk preemption as their output grows.
const MAX_MEMORY_FRACTION: f64 = 0.9;

/// `Run` is one request that runs or waits on an engine.
#[derive(Clone, Debug)]
struct Run {
    memory_tokens: u64,
    output_tokens: u64,
    /// Prompt tokens to prefill; `None` after the first event.
    prefill: Option<u32>,
    since: Duration,
    /// Token interval that the model expected at its start, in milliseconds.
    modelled_interval_ms: f64,
    /// Parts of the prompt that other requests may share.
    shared_parts: Vec<u64>,
    /// Fingerprint of the whole prompt.
    fingerprint: Option<u64>,
    /// Longest pause of its stream that the prompts placed since then are expected to cause.
    longest_pause: Duration,
}

/// `EngineLoad` is the load of one engine.
#[derive(Clone, Debug)]
pub struct EngineLoad {
    spec: EngineSpec,
    /// Objective for the longest pause of a stream, if its routes have one.
    pause_objective: Option<Duration>,
    runs: BTreeMap<RunId, Run>,
    prefixes: PrefixCache,
    /// Runs without a first event, in order of arrival, with their prompt tokens to prefill.
    pending: BTreeMap<(Duration, RunId), u32>,
    prefill_model: PrefillModel,
    interval_correction: IntervalCorrection,
    memory_tokens: u64,
    output_tokens: u64,
    /// Prompt tokens of recent requests, exponentially decayed as of `load_at`.
    load_tokens: f64,
    load_at: Duration,
    /// Time of the latest first event.
    first_event_at: Option<Duration>,
}

/// `Estimate` is the expected performance of a request on an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    /// Prompt tokens to prefill: neither cached on the engine nor copied.
    pub prefill_tokens: u32,
    /// Prompt tokens whose KV cache is copied from another engine.
    pub copied_tokens: u32,
    /// Duration of the copy.
    pub copying: Duration,
    /// Prefill time of the prompts ahead in the queue.
    pub wait: Duration,
    /// Prefill time of this prompt.
    pub prefill_time: Duration,
    /// Latency of the first event beyond wait, copy and prefill.
    pub latency: Duration,
    /// Requests that run or wait on the engine.
    pub runs: usize,
    /// Learnt prefill rate, in prompt tokens per millisecond.
    pub rate: f64,
    /// Expected token interval of the streams without this request, in milliseconds.
    pub current_interval_ms: f64,
    /// Expected token interval with this request, in milliseconds.
    pub token_interval_ms: f64,
}

impl Estimate {
    /// Returns the expected time to the first event.
    #[must_use]
    pub fn first_event(&self) -> Duration {
        self.wait + self.copying + self.prefill_time + self.latency
    }
}

impl EngineLoad {
    /// Creates the load of an idle engine with an empty cache.
    #[must_use]
    pub fn new(spec: EngineSpec) -> Self {
        Self {
            spec,
            pause_objective: None,
            runs: BTreeMap::new(),
            prefixes: PrefixCache::default(),
            pending: BTreeMap::new(),
            prefill_model: PrefillModel::default(),
            interval_correction: IntervalCorrection::default(),
            memory_tokens: 0,
            output_tokens: 0,
            load_tokens: 0.0,
            load_at: Duration::ZERO,
            first_event_at: None,
        }
    }

    /// Applies a changed configuration.
    pub fn set_spec(&mut self, spec: EngineSpec) {
        self.spec = spec;
    }

    /// Sets the objective for the longest pause of a stream.
    pub fn set_pause_objective(&mut self, objective: Option<Duration>) {
        self.pause_objective = objective;
    }

    /// Returns the learnt prefill rate, in prompt tokens per millisecond.
    #[must_use]
    pub fn prefill_rate(&self) -> f64 {
        self.prefill_model.rate()
    }

    /// Returns the number of requests that run or wait on the engine.
    #[must_use]
    pub fn runs(&self) -> usize {
        self.runs.len()
    }

    /// Returns whether the engine has a free slot and enough free memory for the request. An engine
    /// without runs accepts any request that its whole memory holds; others would crash it.
    #[must_use]
    pub fn has_capacity(&self, generation: &Generation) -> bool {
        let memory = f64::from(self.spec.kv_cache_tokens) * MAX_MEMORY_FRACTION;
        if self.runs.is_empty() {
            return generation.fits(&self.spec);
        }
        self.runs.len() < self.spec.slots as usize
            && (self.memory_tokens + generation.memory_tokens()) as f64 <= memory
    }

    /// Returns the length of the cached prefix of a prompt, in tokens.
    #[must_use]
    pub fn cached_tokens(&self, generation: &Generation) -> u32 {
        self.prefixes.cached_tokens(&generation.parts)
    }

    /// Returns the cached prompt parts, the most recently used first.
    #[must_use]
    pub fn cached_parts(&self) -> Vec<PromptPart> {
        self.prefixes.parts()
    }

    /// Adds prompt parts that the engine reports as cached.
    pub fn add_cached(&mut self, parts: &[PromptPart]) {
        self.prefixes.add_cached(parts, self.cache_capacity());
    }

    /// Returns the length of the prefix of a prompt that another engine can copy from this one now,
    /// in tokens.
    #[must_use]
    pub fn copyable_tokens(&self, generation: &Generation, now: Duration) -> u32 {
        self.prefixes.copyable_tokens(&generation.parts, now)
    }

    /// Estimates the performance of a request that is sent now, when a prefix of `cached_elsewhere`
    /// tokens can be copied from another engine.
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
        // The last prompt token is always computed, because it produces the first output token.
        let prefill_tokens = generation
            .prompt_tokens
            .saturating_sub(cached + copied_tokens)
            .max(1);
        let token_interval_ms = self.token_interval_ms(generation, prefill_tokens, now);
        Estimate {
            prefill_tokens,
            copied_tokens,
            copying: self.copy_time(copied_tokens),
            wait: self.wait(now),
            prefill_time: self.prefill_model.duration(u64::from(prefill_tokens)),
            latency: self.first_event_latency(token_interval_ms),
            runs: self.runs.len(),
            rate: self.prefill_rate(),
            current_interval_ms: self.token_interval_ms(&Generation::default(), 0, now),
            token_interval_ms,
        }
    }

    /// Returns the number of running streams that a request with this estimate is expected to make
    /// late. Streams that are late already do not count.
    #[must_use]
    pub fn delayed_streams(&self, estimate: &Estimate) -> f64 {
        let Some(objective) = self.pause_objective else {
            return 0.0;
        };
        let queued = estimate.wait + estimate.latency;
        let pause = queued + estimate.prefill_time;
        let after = pause::risk(pause, objective);
        if after == 0.0 {
            return 0.0;
        }
        let before = |run: &Run| pause::risk(queued.max(run.longest_pause), objective);
        let runs = self.runs.values();
        runs.map(|run| (after - before(run)).max(0.0)).sum()
    }

    /// Records that a request was sent to the engine, with `prefill` prompt tokens to prefill. A
    /// report of a run that is known already changes nothing.
    pub fn start(&mut self, run: RunId, generation: &Generation, prefill: u32, now: Duration) {
        if self.runs.contains_key(&run) {
            return;
        }
        let memory_tokens = generation.memory_tokens();
        let entry = Run {
            memory_tokens,
            output_tokens: u64::from(generation.output_tokens),
            prefill: Some(prefill),
            since: now,
            modelled_interval_ms: self.modelled_interval_ms(generation, prefill, now),
            shared_parts: generation.shared_parts().collect(),
            fingerprint: generation.fingerprint(),
            longest_pause: Duration::ZERO,
        };
        let ready_at = now
            + self.wait(now)
            + self.prefill_model.duration(u64::from(prefill))
            + self.first_event_latency(entry.modelled_interval_ms * self.correction());
        let pause = ready_at.saturating_sub(now);
        for run in self.runs.values_mut() {
            run.longest_pause = run.longest_pause.max(pause);
        }
        self.runs.insert(run, entry);
        self.memory_tokens += memory_tokens;
        self.output_tokens += u64::from(generation.output_tokens);
        self.pending.insert((now, run), prefill);
        self.load_tokens = self.load_tokens(now) + f64::from(prefill);
        self.load_at = now;
        let capacity = self.cache_capacity();
        self.prefixes
            .touch(&generation.parts, capacity, ready_at, now);
    }

    /// Records the first event of a request.
    pub fn record_first_event(&mut self, run: RunId, now: Duration) {
        let Some(entry) = self.runs.get_mut(&run) else {
            return;
        };
        let Some(prefill) = entry.prefill.take() else {
            return;
        };
        let sent_at = entry.since;
        self.pending.remove(&(sent_at, run));
        // The prompt ahead was prefilled before its first event by the latency. The prompt has
        // queued when it was sent before that moment.
        let latency = self.current_latency(now);
        let ahead = self
            .first_event_at
            .filter(|at| at.saturating_sub(latency) > sent_at);
        let (began_at, latency) = ahead.map_or((sent_at, latency), |at| (at, Duration::ZERO));
        let took = now.saturating_sub(began_at);
        self.prefill_model.observe(prefill, took, latency);
        self.first_event_at = Some(now);
    }

    /// Records the mean interval between the events of a running stream.
    pub fn record_event_interval(&mut self, run: RunId, interval: Duration) {
        if let Some(entry) = self.runs.get(&run) {
            let ms =
                interval.as_secs_f64() * 1_000.0 / f64::from(self.spec.tokens_per_event.max(1));
            self.interval_correction
                .observe(ms, entry.modelled_interval_ms);
        }
    }

    /// Returns whether a request runs or waits on the engine without a first event.
    #[must_use]
    pub fn is_prefilling(&self, run: RunId) -> bool {
        self.runs.get(&run).is_some_and(|r| r.prefill.is_some())
    }

    /// Records the end of a request.
    pub fn end(&mut self, run: RunId) {
        let Some(entry) = self.runs.remove(&run) else {
            return;
        };
        self.memory_tokens -= entry.memory_tokens;
        self.output_tokens -= entry.output_tokens;
        self.pending.remove(&(entry.since, run));
    }

    /// Returns the shared parts of the prompt of a run that has begun its answer, and its fingerprint.
    #[must_use]
    pub fn answered_parts(&self, run: RunId) -> Option<(&[u64], Option<u64>)> {
        let run = self.runs.get(&run).filter(|r| r.prefill.is_none());
        run.map(|r| (&*r.shared_parts, r.fingerprint))
    }

    /// Returns the time at which a run was sent to the engine.
    #[must_use]
    pub fn since(&self, run: RunId) -> Option<Duration> {
        self.runs.get(&run).map(|r| r.since)
    }

    /// Returns the runs that were sent before `time`.
    pub fn started_before(&self, time: Duration) -> impl Iterator<Item = RunId> {
        let old = self.runs.iter().filter(move |(_, r)| r.since < time);
        old.map(|(id, _)| *id)
    }

    /// Returns the runs of an origin.
    pub fn runs_of(&self, origin: u64) -> impl Iterator<Item = RunId> {
        self.runs.range(RunId::all_of(origin)).map(|(id, _)| *id)
    }

    /// Returns the time until the engine has prefilled all prompts that were sent to it.
    fn wait(&self, now: Duration) -> Duration {
        let latency = self.current_latency(now);
        let mut idle_at = self
            .first_event_at
            .map_or(Duration::ZERO, |at| at.saturating_sub(latency));
        // A prompt whose first event has not arrived may be in prefill until the latency ago.
        let min_end = now.saturating_sub(latency);
        for ((sent_at, _), prefill) in &self.pending {
            let ends_at = idle_at.max(*sent_at) + self.prefill_model.duration(u64::from(*prefill));
            idle_at = ends_at.max(min_end);
        }
        idle_at.saturating_sub(now)
    }

    fn load_tokens(&self, now: Duration) -> f64 {
        let age_ms = now.saturating_sub(self.load_at).as_secs_f64() * 1_000.0;
        self.load_tokens * (-age_ms / LOAD_TIME_CONSTANT_MS).exp()
    }

    /// Returns the expected token interval after a request with `prefill` tokens to prefill is
    /// added, in milliseconds.
    fn token_interval_ms(&self, generation: &Generation, prefill: u32, now: Duration) -> f64 {
        self.modelled_interval_ms(generation, prefill, now) * self.correction()
    }

    fn correction(&self) -> f64 {
        self.interval_correction.factor()
    }

    /// Returns the time between the end of a prefill and the first event at a token interval.
    fn first_event_latency(&self, token_interval_ms: f64) -> Duration {
        let tokens = f64::from(self.spec.tokens_per_event.max(1));
        Duration::from_secs_f64(tokens * token_interval_ms / 1_000.0)
    }

    fn current_latency(&self, now: Duration) -> Duration {
        self.first_event_latency(self.token_interval_ms(&Generation::default(), 0, now))
    }

    /// Returns the token interval by the model of decode and prefill steps, in milliseconds.
    fn modelled_interval_ms(&self, generation: &Generation, prefill: u32, now: Duration) -> f64 {
        let runs = self.runs.len() as f64 + 1.0;
        let memory = (self.memory_tokens + generation.memory_tokens()) as f64;
        let step = STEP_TOKENS + STEP_TOKENS_PER_RUN * runs + STEP_TOKENS_PER_CACHED_TOKEN * memory;
        let rate = self.prefill_rate();
        let prefill_step_ms = CHUNK_TOKENS / rate;
        let decode_step_ms = prefill_step_ms * step / (CHUNK_TOKENS + step);
        let load = self.load_tokens(now) + f64::from(prefill);
        let prefill_fraction = (load / (rate * LOAD_TIME_CONSTANT_MS)).min(1.0);
        let steps_per_ms =
            prefill_fraction / prefill_step_ms + (1.0 - prefill_fraction) / decode_step_ms;
        1.0 / steps_per_ms
    }

    /// Returns the memory for cached prompt parts, in tokens: the memory without the output of
    /// running requests. Their prompts are among the cached parts.
    fn cache_capacity(&self) -> u64 {
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
}
