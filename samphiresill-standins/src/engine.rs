//! Stand-in for a model engine.
//!
//! It has continuous batching, a prefix cache, streams that can be resumed and cancelled, a delayed
//! load report, orders with fencing tokens, and fault injection.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tiny_http::{Method, Request};

use crate::fault::{FaultInjector, Faults};
use crate::{http, text};

/// `Options` holds the parameters of an engine.
#[derive(Clone, Debug)]
pub struct Options {
    /// Fixed duration of a decoding step, in microseconds.
    pub step_us: u64,
    /// Additional duration of a step for each sequence in the batch, in microseconds.
    pub sequence_us: u64,
    /// Prefill time of a prompt whose prefix is not cached, in microseconds per full 100 bytes.
    pub prefill_us: u64,
    /// Maximum number of sequences in a batch; further sequences are queued in order of arrival.
    pub max_batch: usize,
    /// Capacity of the prefix cache, in prefixes; the oldest entry is evicted first.
    pub cache_entries: usize,
    /// Whether orders with a fencing token below the highest one seen are rejected.
    pub checks_fencing: bool,
    /// Age of the state that the load report shows.
    pub load_lag: Duration,
}

/// Time after which a running sequence without a connected reader is cancelled.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which a finished sequence without a connected reader can still be resumed.
const FINISHED_RETENTION: Duration = Duration::from_secs(10);
/// Length of the prompt prefix that is the cache key, in characters.
const PREFIX_CHARS: usize = 64;

#[derive(Debug)]
struct Sequence {
    prompt: String,
    length: usize,
    generated_tokens: usize,
    readers: usize,
    idle_since: Instant,
    prefill_remaining_us: u64,
}

#[derive(Debug, Default)]
struct State {
    waiting: VecDeque<String>,
    running: Vec<String>,
    sequences: BTreeMap<String, Sequence>,
    cache: VecDeque<String>,
    load_samples: VecDeque<(Instant, usize, usize)>,
    generated: u64,
    started: u64,
    cancelled: u64,
    highest_fence: u64,
    orders: Vec<Value>,
}

/// `Engine` is a running engine stand-in.
#[derive(Debug)]
pub struct Engine {
    opts: Options,
    state: Mutex<State>,
    state_changed: Condvar,
    faults: FaultInjector,
}

impl Engine {
    /// Creates an engine and starts its batching thread.
    #[must_use]
    pub fn start(opts: Options) -> Arc<Self> {
        let engine = Arc::new(Self {
            opts,
            state: Mutex::default(),
            state_changed: Condvar::new(),
            faults: FaultInjector::default(),
        });
        let batching = Arc::clone(&engine);
        thread::spawn(move || batching.run_steps());
        engine
    }

    /// Handles one HTTP request.
    pub fn handle(&self, mut req: Request) {
        let epoch = self.faults.epoch();
        let path = req.url().to_owned();
        match (req.method().clone(), path.as_str()) {
            (Method::Post, "/control") => {
                let faults: Faults =
                    serde_json::from_str(&http::read_body(&mut req)).unwrap_or_default();
                self.faults.set(faults);
                http::respond(req, 200, &json!({}));
            }
            (Method::Get, "/load") => http::respond(req, 200, &self.load_report()),
            (Method::Post, "/orders") => self.handle_order(req),
            (Method::Post, "/v1/chat/completions" | "/v1/completions") => {
                self.handle_completion(req, epoch);
            }
            (method, path) if path.starts_with("/v1/streams/") => {
                let id = path["/v1/streams/".len()..].to_owned();
                match method {
                    Method::Delete => {
                        self.cancel(&id);
                        http::respond(req, 200, &json!({}));
                    }
                    _ => self.handle_resume(req, &id, epoch),
                }
            }
            _ => http::respond(req, 404, &json!({"error": "no such path"})),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle_completion(&self, mut req: Request, epoch: u64) {
        let id = http::header(&req, "x-request-id").unwrap_or_else(|| "anonymous".into());
        if self.faults.get().refuse {
            return http::respond(req, 503, &json!({"error": "refused"}));
        }
        let body: Value = serde_json::from_str(&http::read_body(&mut req)).unwrap_or_default();
        let prompt = extract_prompt(&body);
        let max_tokens = body["max_tokens"].as_u64().unwrap_or(u64::MAX) as usize;
        self.enqueue(&id, prompt, max_tokens);
        self.stream_events(req, &id, 0, epoch);
    }

    fn handle_resume(&self, req: Request, id: &str, epoch: u64) {
        let last = http::header(&req, "last-event-id").and_then(|v| v.parse::<usize>().ok());
        if !self.lock().sequences.contains_key(id) {
            return http::respond(req, 404, &json!({"error": "no such stream"}));
        }
        self.stream_events(req, id, last.map_or(0, |n| n + 1), epoch);
    }

    fn enqueue(&self, id: &str, prompt: String, max_tokens: usize) {
        let mut state = self.lock();
        let prefix: String = prompt.chars().take(PREFIX_CHARS).collect();
        let is_cached = state.cache.iter().any(|p| *p == prefix);
        if !is_cached {
            state.cache.push_back(prefix);
            if state.cache.len() > self.opts.cache_entries {
                state.cache.pop_front();
            }
        }
        let prefill = self.opts.prefill_us * (prompt.len() as u64 / 100);
        let sequence = Sequence {
            length: text::unlimited_length(&prompt).min(max_tokens),
            prompt,
            generated_tokens: 0,
            readers: 0,
            idle_since: Instant::now(),
            prefill_remaining_us: if is_cached { 0 } else { prefill },
        };
        state.started += 1;
        state.sequences.insert(id.to_owned(), sequence);
        state.waiting.push_back(id.to_owned());
        self.state_changed.notify_all();
    }

    /// Streams the events of a sequence, starting at index `next`, as they are generated.
    fn stream_events(&self, req: Request, id: &str, mut next: usize, epoch: u64) {
        let Ok(mut out) = http::start_event_stream(req) else {
            return;
        };
        self.adjust_readers(id, 1);
        while let Some((events, finished)) = self.wait_for_events(id, next) {
            if self.faults.is_silent(epoch) {
                // The silenced connection stays open without sending anything.
                thread::sleep(Duration::from_mins(1));
                break;
            }
            next += events.len();
            let mut text: String = events.concat();
            if finished {
                text.push_str("data: [DONE]\n\n");
            }
            if http::send_chunk(&mut out, &text).is_err() || finished {
                break;
            }
        }
        self.adjust_readers(id, -1);
    }

    fn adjust_readers(&self, id: &str, delta: isize) {
        if let Some(sequence) = self.lock().sequences.get_mut(id) {
            sequence.readers = sequence.readers.saturating_add_signed(delta);
            sequence.idle_since = Instant::now();
        }
    }

    /// Waits until the event at index `next` is available or the sequence has finished.
    ///
    /// Returns all available events from `next` on and whether the sequence has finished, or
    /// `None` when the sequence no longer exists.
    fn wait_for_events(&self, id: &str, next: usize) -> Option<(Vec<String>, bool)> {
        let mut state = self.lock();
        loop {
            let sequence = state.sequences.get(id)?;
            let finished = sequence.generated_tokens >= sequence.length;
            if sequence.generated_tokens > next || finished {
                let events =
                    (next..sequence.generated_tokens).map(|i| format_event(&sequence.prompt, i));
                return Some((events.collect(), finished));
            }
            state = self
                .state_changed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }

    fn cancel(&self, id: &str) {
        let mut state = self.lock();
        if state
            .sequences
            .remove(id)
            .is_some_and(|s| s.generated_tokens < s.length)
        {
            state.cancelled += 1;
        }
        self.state_changed.notify_all();
    }

    fn handle_order(&self, mut req: Request) {
        let order: Value = serde_json::from_str(&http::read_body(&mut req)).unwrap_or_default();
        let fence = order["fence"].as_u64().unwrap_or(0);
        let mut state = self.lock();
        let is_stale = fence < state.highest_fence;
        if !(is_stale && self.opts.checks_fencing) {
            state.highest_fence = state.highest_fence.max(fence);
            state.orders.push(order);
            drop(state);
            return http::respond(req, 200, &json!({"ok": true}));
        }
        drop(state);
        http::respond(req, 412, &json!({"error": "old fencing number"}));
    }

    /// Returns the load as of [`Options::load_lag`] ago, and under `exact` the current values,
    /// which only tests read.
    fn load_report(&self) -> Value {
        let state = self.lock();
        let cutoff = Instant::now().checked_sub(self.opts.load_lag);
        let sample = state
            .load_samples
            .iter()
            .rev()
            .find(|(at, _, _)| cutoff.is_some_and(|c| *at <= c));
        let (running, waiting) = sample.map_or((0, 0), |(_, r, w)| (*r, *w));
        json!({
            "running": running, "waiting": waiting,
            "exact": {
                "running": state.running.len(), "waiting": state.waiting.len(),
                "generated": state.generated, "started": state.started,
                "cancelled": state.cancelled, "orders": state.orders,
            }
        })
    }

    fn run_steps(&self) {
        loop {
            let batch = self.fill_batch();
            self.faults.apply_delay();
            let duration_us = self.opts.step_us + self.opts.sequence_us * batch as u64;
            thread::sleep(Duration::from_micros(duration_us));
            self.step(duration_us);
        }
    }

    fn fill_batch(&self) -> usize {
        let mut state = self.lock();
        while state.waiting.is_empty() && state.running.is_empty() {
            state.evict_finished();
            let (next, _) = self
                .state_changed
                .wait_timeout(state, Duration::from_millis(200))
                .unwrap_or_else(PoisonError::into_inner);
            state = next;
        }
        while state.running.len() < self.opts.max_batch {
            let Some(id) = state.waiting.pop_front() else {
                break;
            };
            if state.sequences.contains_key(&id) {
                state.running.push(id);
            }
        }
        state.running.len()
    }

    fn step(&self, duration_us: u64) {
        let mut state = self.lock();
        let running = std::mem::take(&mut state.running);
        for id in running {
            let Some(sequence) = state.sequences.get_mut(&id) else {
                continue;
            };
            if sequence.readers == 0 && sequence.idle_since.elapsed() > ORPHAN_TIMEOUT {
                state.sequences.remove(&id);
                state.cancelled += 1;
                continue;
            }
            if sequence.prefill_remaining_us > 0 {
                sequence.prefill_remaining_us =
                    sequence.prefill_remaining_us.saturating_sub(duration_us);
                state.running.push(id);
                continue;
            }
            sequence.generated_tokens += 1;
            let is_unfinished = sequence.generated_tokens < sequence.length;
            state.generated += 1;
            if is_unfinished {
                state.running.push(id);
            }
        }
        state.evict_finished();
        let sample = (Instant::now(), state.running.len(), state.waiting.len());
        state.load_samples.push_back(sample);
        if state.load_samples.len() > 1_000 {
            state.load_samples.pop_front();
        }
        self.state_changed.notify_all();
    }
}

impl State {
    fn evict_finished(&mut self) {
        self.sequences.retain(|_, s| {
            s.generated_tokens < s.length
                || s.readers > 0
                || s.idle_since.elapsed() < FINISHED_RETENTION
        });
    }
}

/// Extracts the prompt of a chat or completion request.
///
/// Chat messages are joined into one line of role and content each.
#[must_use]
pub fn extract_prompt(body: &Value) -> String {
    match &body["messages"] {
        Value::Array(messages) => {
            let mut prompt = String::new();
            for message in messages {
                let role = message["role"].as_str().unwrap_or("");
                // Writing to a `String` is infallible.
                let _ = writeln!(prompt, "{role}: {}", message["content"]);
            }
            prompt
        }
        _ => body["prompt"].as_str().unwrap_or_default().to_owned(),
    }
}

fn format_event(prompt: &str, index: usize) -> String {
    let data = json!({"choices": [{"index": 0, "delta": {"content": text::token(prompt, index)}}]});
    format!("id: {index}\ndata: {data}\n\n")
}
