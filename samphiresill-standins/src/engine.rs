//! A model engine: continuous batching, a prefix cache, streams that resume and cancel, a load
//! report that lags, orders with fencing numbers, and faults.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tiny_http::{Method, Request};

use crate::fault::{FaultInjector, Faults};
use crate::{http, text};

/// `Options` shape one engine.
#[derive(Clone, Debug)]
pub struct Options {
    /// Time of a step with an empty batch, in microseconds.
    pub step_us: u64,
    /// Time that each sequence of the batch adds to a step, in microseconds.
    pub sequence_us: u64,
    /// Time to read a prompt that is not in the prefix cache, in microseconds per 100 bytes.
    pub prefill_us: u64,
    /// Sequences that run at once; later ones wait in order of arrival.
    pub max_batch: usize,
    /// Prompts whose prefixes stay in the cache.
    pub cache_entries: usize,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// How far the load report lags.
    pub load_lag: Duration,
}

/// How long a sequence runs on with no connection reading it.
const ORPHAN_LIFE: Duration = Duration::from_secs(3);
/// How long a finished sequence can still be resumed.
const FINISHED_LIFE: Duration = Duration::from_secs(10);
/// Bytes of a prompt that count as its prefix.
const PREFIX_BYTES: usize = 64;

#[derive(Debug)]
struct Sequence {
    prompt: String,
    length: usize,
    produced: usize,
    readers: usize,
    idle_since: Instant,
    prefill_left: u64,
}

#[derive(Debug, Default)]
struct State {
    waiting: VecDeque<String>,
    running: Vec<String>,
    sequences: BTreeMap<String, Sequence>,
    cache: VecDeque<String>,
    reported: VecDeque<(Instant, usize, usize)>,
    generated: u64,
    started: u64,
    cancelled: u64,
    highest_fence: u64,
    orders: Vec<Value>,
}

/// `Engine` is one running stand-in.
#[derive(Debug)]
pub struct Engine {
    opts: Options,
    state: Mutex<State>,
    stepped: Condvar,
    faults: FaultInjector,
}

impl Engine {
    /// Makes an engine and starts its batching thread.
    #[must_use]
    pub fn start(opts: Options) -> Arc<Self> {
        let engine = Arc::new(Self {
            opts,
            state: Mutex::default(),
            stepped: Condvar::new(),
            faults: FaultInjector::default(),
        });
        let stepper = Arc::clone(&engine);
        thread::spawn(move || stepper.step_forever());
        engine
    }

    /// Serves one HTTP request.
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
            (Method::Get, "/load") => http::respond(req, 200, &self.load()),
            (Method::Post, "/orders") => self.order(req),
            (Method::Post, "/v1/chat/completions" | "/v1/completions") => {
                self.complete(req, epoch);
            }
            (method, path) if path.starts_with("/v1/streams/") => {
                let id = path["/v1/streams/".len()..].to_owned();
                match method {
                    Method::Delete => {
                        self.cancel(&id);
                        http::respond(req, 200, &json!({}));
                    }
                    _ => self.resume(req, &id, epoch),
                }
            }
            _ => http::respond(req, 404, &json!({"error": "no such path"})),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn complete(&self, mut req: Request, epoch: u64) {
        let id = http::header(&req, "x-request-id").unwrap_or_else(|| "anonymous".into());
        if self.faults.get().refuse {
            return http::respond(req, 503, &json!({"error": "refused"}));
        }
        let body: Value = serde_json::from_str(&http::read_body(&mut req)).unwrap_or_default();
        let prompt = prompt_of(&body);
        let max_tokens = body["max_tokens"].as_u64().unwrap_or(u64::MAX) as usize;
        self.admit(&id, prompt, max_tokens);
        self.stream(req, &id, 0, epoch);
    }

    fn resume(&self, req: Request, id: &str, epoch: u64) {
        let last = http::header(&req, "last-event-id").and_then(|v| v.parse::<usize>().ok());
        if !self.lock().sequences.contains_key(id) {
            return http::respond(req, 404, &json!({"error": "no such stream"}));
        }
        self.stream(req, id, last.map_or(0, |n| n + 1), epoch);
    }

    fn admit(&self, id: &str, prompt: String, max_tokens: usize) {
        let mut state = self.lock();
        let prefix: String = prompt.chars().take(PREFIX_BYTES).collect();
        let hit = state.cache.iter().any(|p| *p == prefix);
        if !hit {
            state.cache.push_back(prefix);
            if state.cache.len() > self.opts.cache_entries {
                state.cache.pop_front();
            }
        }
        let prefill = self.opts.prefill_us * (prompt.len() as u64 / 100);
        let sequence = Sequence {
            length: text::unlimited_length(&prompt).min(max_tokens),
            prompt,
            produced: 0,
            readers: 0,
            idle_since: Instant::now(),
            prefill_left: if hit { 0 } else { prefill },
        };
        state.started += 1;
        state.sequences.insert(id.to_owned(), sequence);
        state.waiting.push_back(id.to_owned());
        self.stepped.notify_all();
    }

    /// Sends the events of a sequence from `next` on, as far as they are produced.
    fn stream(&self, req: Request, id: &str, mut next: usize, epoch: u64) {
        let Ok(mut out) = http::start_event_stream(req) else {
            return;
        };
        self.count_reader(id, 1);
        while let Some((events, finished)) = self.wait_for(id, next) {
            if self.faults.is_silent(epoch) {
                // The connection stays open and carries nothing more.
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
        self.count_reader(id, -1);
    }

    fn count_reader(&self, id: &str, by: isize) {
        if let Some(sequence) = self.lock().sequences.get_mut(id) {
            sequence.readers = sequence.readers.saturating_add_signed(by);
            sequence.idle_since = Instant::now();
        }
    }

    /// Waits until events from `next` on exist; says whether they are the last.
    fn wait_for(&self, id: &str, next: usize) -> Option<(Vec<String>, bool)> {
        let mut state = self.lock();
        loop {
            let sequence = state.sequences.get(id)?;
            let finished = sequence.produced >= sequence.length;
            if sequence.produced > next || finished {
                let events = (next..sequence.produced).map(|i| event(&sequence.prompt, i));
                return Some((events.collect(), finished));
            }
            state = self
                .stepped
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }

    fn cancel(&self, id: &str) {
        let mut state = self.lock();
        if state
            .sequences
            .remove(id)
            .is_some_and(|s| s.produced < s.length)
        {
            state.cancelled += 1;
        }
        self.stepped.notify_all();
    }

    fn order(&self, mut req: Request) {
        let order: Value = serde_json::from_str(&http::read_body(&mut req)).unwrap_or_default();
        let fence = order["fence"].as_u64().unwrap_or(0);
        let mut state = self.lock();
        let is_old = fence < state.highest_fence;
        if !(is_old && self.opts.checks_fencing) {
            state.highest_fence = state.highest_fence.max(fence);
            state.orders.push(order);
            drop(state);
            return http::respond(req, 200, &json!({"ok": true}));
        }
        drop(state);
        http::respond(req, 412, &json!({"error": "old fencing number"}));
    }

    /// What a caller learns of the load: the state some time ago, and exact counters for tests.
    fn load(&self) -> Value {
        let state = self.lock();
        let visible = Instant::now().checked_sub(self.opts.load_lag);
        let seen = state
            .reported
            .iter()
            .rev()
            .find(|(at, _, _)| visible.is_some_and(|v| *at <= v));
        let (running, waiting) = seen.map_or((0, 0), |(_, r, w)| (*r, *w));
        json!({
            "running": running, "waiting": waiting,
            "exact": {
                "running": state.running.len(), "waiting": state.waiting.len(),
                "generated": state.generated, "started": state.started,
                "cancelled": state.cancelled, "orders": state.orders,
            }
        })
    }

    fn step_forever(&self) {
        loop {
            let batch = self.admit_waiting();
            self.faults.apply_delay();
            let micros = self.opts.step_us + self.opts.sequence_us * batch as u64;
            thread::sleep(Duration::from_micros(micros));
            self.step(micros);
        }
    }

    fn admit_waiting(&self) -> usize {
        let mut state = self.lock();
        while state.waiting.is_empty() && state.running.is_empty() {
            state.forget_finished();
            let (next, _) = self
                .stepped
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

    fn step(&self, micros: u64) {
        let mut state = self.lock();
        let running = std::mem::take(&mut state.running);
        for id in running {
            let Some(sequence) = state.sequences.get_mut(&id) else {
                continue;
            };
            if sequence.readers == 0 && sequence.idle_since.elapsed() > ORPHAN_LIFE {
                state.sequences.remove(&id);
                state.cancelled += 1;
                continue;
            }
            if sequence.prefill_left > 0 {
                sequence.prefill_left = sequence.prefill_left.saturating_sub(micros);
                state.running.push(id);
                continue;
            }
            sequence.produced += 1;
            let more = sequence.produced < sequence.length;
            state.generated += 1;
            if more {
                state.running.push(id);
            }
        }
        state.forget_finished();
        let report = (Instant::now(), state.running.len(), state.waiting.len());
        state.reported.push_back(report);
        if state.reported.len() > 1_000 {
            state.reported.pop_front();
        }
        self.stepped.notify_all();
    }
}

impl State {
    fn forget_finished(&mut self) {
        self.sequences.retain(|_, s| {
            s.produced < s.length || s.readers > 0 || s.idle_since.elapsed() < FINISHED_LIFE
        });
    }
}

/// The prompt of a chat or completion request, as the engine sees it.
#[must_use]
pub fn prompt_of(body: &Value) -> String {
    match &body["messages"] {
        Value::Array(messages) => {
            let mut prompt = String::new();
            for message in messages {
                let role = message["role"].as_str().unwrap_or("");
                // Writing to a string does not fail.
                let _ = writeln!(prompt, "{role}: {}", message["content"]);
            }
            prompt
        }
        _ => body["prompt"].as_str().unwrap_or_default().to_owned(),
    }
}

fn event(prompt: &str, index: usize) -> String {
    let data = json!({"choices": [{"index": 0, "delta": {"content": text::token(prompt, index)}}]});
    format!("id: {index}\ndata: {data}\n\n")
}
