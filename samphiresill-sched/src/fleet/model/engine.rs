//! An engine of the model: it prefills prompts in order of arrival and then streams their output.

use std::time::Duration;

use samphiresill_core::routing::EngineSpec;

use crate::fleet::prefix::PrefixCache;
use crate::fleet::request::Generation;

/// Token interval of an engine of 100 prompt tokens per millisecond without streams, and its
/// increase for each stream, in milliseconds.
const INTERVAL_MS: (f64, f64) = (3.0, 0.1);

/// `Times` is what an engine does with a request.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    pub prefilled: u32,
    pub first_event: Duration,
    pub ended: Duration,
}

/// `Engine` is the true state of an engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Prefill rate in tokens per millisecond.
    pub rate: f64,
    spec: EngineSpec,
    free_at: Duration,
    /// Ends of the streams, in order.
    ends: Vec<Duration>,
    cache: PrefixCache,
}

impl Engine {
    pub fn new(rate: f64, spec: EngineSpec) -> Self {
        Self {
            rate,
            spec,
            free_at: Duration::ZERO,
            ends: Vec::new(),
            cache: PrefixCache::default(),
        }
    }

    /// Returns the time until a new prompt would be prefilled.
    pub fn backlog(&self, now: Duration) -> Duration {
        self.free_at.saturating_sub(now)
    }

    /// Returns the requests on the engine relative to its slots.
    pub fn occupancy(&mut self, now: Duration) -> f64 {
        self.ends.retain(|end| *end > now);
        self.ends.len() as f64 / f64::from(self.spec.slots)
    }

    /// Adds a request; `is_copied` when the shared part of its prompt is copied from another engine.
    pub fn start(&mut self, generation: &Generation, is_copied: bool, now: Duration) -> Times {
        self.ends.retain(|end| *end > now);
        let shared = generation.parts.first().map_or(0, |p| p.tokens);
        let cached = self.cache.cached_tokens(&generation.parts);
        let cached = if is_copied {
            cached.max(shared)
        } else {
            cached
        };
        let prefilled = generation.prompt_tokens.saturating_sub(cached).max(1);
        let slots = self.spec.slots as usize;
        let slot_at = match self.ends.len().checked_sub(slots) {
            Some(index) => self.ends[index],
            None => now,
        };
        let prefill_ms = f64::from(prefilled) / self.rate;
        self.free_at = self.free_at.max(slot_at) + milliseconds(prefill_ms);
        let streams = self.ends.len() as f64;
        let interval_ms = (INTERVAL_MS.0 + INTERVAL_MS.1 * streams) * 100.0 / self.rate;
        let first_event =
            self.free_at + milliseconds(interval_ms * f64::from(self.spec.tokens_per_event));
        let ended = self.free_at + milliseconds(interval_ms * f64::from(generation.output_tokens));
        let ended = ended.max(first_event);
        let position = self.ends.partition_point(|end| *end <= ended);
        self.ends.insert(position, ended);
        let capacity = u64::from(self.spec.kv_cache_tokens);
        self.cache
            .touch(&generation.parts, capacity, first_event, now);
        Times {
            prefilled,
            first_event,
            ended,
        }
    }
}

fn milliseconds(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1_000.0)
}
