//! Stand-in for the platform: a transactional table service, an object store and the list of VMs,
//! which may be out of date.
//!
//! The protocol is JSON over HTTP: `POST /v1/transaction` with conditions and writes, `POST
//! /v1/get` with keys, `POST /v1/scan` with a prefix, `PUT` and `GET /v1/objects/KEY`, `PUT` and
//! `GET /v1/vms`. `POST /control` sets faults, and `GET /counters` returns the number of calls.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use serde::Deserialize;
use serde_json::{Value, json};
use tiny_http::{Method, Request};

use crate::http;

/// `Faults` is the body of a control call, which replaces all faults set before.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Every call is rejected with status 503.
    pub down: bool,
    /// Additional delay of each call, in milliseconds.
    pub slow_ms: u64,
    /// One in this many writes is applied but gets no response; 0 disables the fault.
    pub lose_reply_every: u64,
}

/// `RateLimits` holds the maximum call rates; calls above them are rejected with status 429.
#[derive(Clone, Copy, Debug)]
pub struct RateLimits {
    /// Transactions and other writes per second.
    pub writes: u32,
    /// Reads per second.
    pub reads: u32,
}

#[derive(Deserialize)]
struct Condition {
    key: String,
    /// Required version of the row; 0 requires that the row does not exist.
    version: u64,
}

#[derive(Deserialize)]
struct Write {
    key: String,
    value: Option<String>,
}

#[derive(Deserialize)]
struct Transaction {
    #[serde(default)]
    conditions: Vec<Condition>,
    writes: Vec<Write>,
}

#[derive(Deserialize)]
struct Scan {
    prefix: String,
    #[serde(default)]
    after: String,
    limit: usize,
}

#[derive(Clone, Debug)]
struct Row {
    version: u64,
    value: String,
}

#[derive(Debug)]
struct State {
    rows: BTreeMap<String, Row>,
    objects: BTreeMap<String, String>,
    vms: Value,
    faults: Faults,
    window_start: Instant,
    writes_in_window: u32,
    reads_in_window: u32,
    total_writes: u64,
    total_reads: u64,
    version: u64,
}

/// `Platform` is a running platform stand-in.
#[derive(Debug)]
pub struct Platform {
    state: Mutex<State>,
    limits: RateLimits,
}

impl Platform {
    /// Creates an empty platform.
    #[must_use]
    pub fn new(limits: RateLimits) -> Self {
        let state = State {
            rows: BTreeMap::new(),
            objects: BTreeMap::new(),
            vms: json!([]),
            faults: Faults::default(),
            window_start: Instant::now(),
            writes_in_window: 0,
            reads_in_window: 0,
            total_writes: 0,
            total_reads: 0,
            version: 0,
        };
        Self {
            state: Mutex::new(state),
            limits,
        }
    }

    /// Handles one HTTP request.
    pub fn handle(&self, mut req: Request) {
        let path = req.url().to_owned();
        let body = http::read_body(&mut req);
        match path.as_str() {
            "/control" => {
                self.lock().faults = serde_json::from_str(&body).unwrap_or_default();
                return http::respond(req, 200, &json!({}));
            }
            "/counters" => {
                let state = self.lock();
                let counters = json!({"writes": state.total_writes, "reads": state.total_reads});
                drop(state);
                return http::respond(req, 200, &counters);
            }
            _ => {}
        }
        let faults = self.lock().faults;
        if faults.down {
            return http::respond(req, 503, &json!({"error": "down"}));
        }
        thread::sleep(Duration::from_millis(faults.slow_ms));
        let is_write = path == "/v1/transaction" || *req.method() == Method::Put;
        if !self.lock().count_call(is_write, self.limits) {
            return http::respond(req, 429, &json!({"error": "rate limit"}));
        }
        let (status, response) = self.dispatch(&req, &path, body);
        let drop_interval = faults.lose_reply_every;
        if is_write && drop_interval > 0 && self.lock().total_writes.is_multiple_of(drop_interval) {
            return drop(req.into_writer());
        }
        http::respond(req, status, &response);
    }

    fn dispatch(&self, req: &Request, path: &str, body: String) -> (u16, Value) {
        let mut state = self.lock();
        let object = path.strip_prefix("/v1/objects/");
        match (req.method(), path, object) {
            (Method::Put, _, Some(key)) => {
                state.objects.insert(key.to_owned(), body);
                (200, json!({}))
            }
            (_, _, Some(key)) => match state.objects.get(key) {
                Some(object) => (200, json!({"value": object})),
                None => (404, json!({"error": "no such object"})),
            },
            (Method::Put, "/v1/vms", _) => {
                state.vms = serde_json::from_str(&body).unwrap_or_default();
                (200, json!({}))
            }
            (_, "/v1/vms", _) => (200, state.vms.clone()),
            (_, "/v1/transaction", _) => with_parsed_body(&body, |tx| state.transact(tx)),
            (_, "/v1/get", _) => with_parsed_body(&body, |keys: Vec<String>| {
                let found = keys.iter().filter_map(|k| state.rows.get_key_value(k));
                (200, found.map(|(k, row)| row_json(k, row)).collect())
            }),
            (_, "/v1/scan", _) => with_parsed_body(&body, |scan: Scan| {
                let start = scan.prefix.clone().max(scan.after.clone());
                let rows = state.rows.range(start..).filter(|(k, _)| **k != scan.after);
                let rows = rows
                    .take_while(|(k, _)| k.starts_with(&scan.prefix))
                    .take(scan.limit);
                (200, rows.map(|(k, row)| row_json(k, row)).collect())
            }),
            _ => (404, json!({"error": "no such path"})),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Counts a call, and returns whether it is within the rate limit of the current second.
    fn count_call(&mut self, is_write: bool, limits: RateLimits) -> bool {
        if self.window_start.elapsed() >= Duration::from_secs(1) {
            (
                self.window_start,
                self.writes_in_window,
                self.reads_in_window,
            ) = (Instant::now(), 0, 0);
        }
        let (used, total, limit) = if is_write {
            (
                &mut self.writes_in_window,
                &mut self.total_writes,
                limits.writes,
            )
        } else {
            (
                &mut self.reads_in_window,
                &mut self.total_reads,
                limits.reads,
            )
        };
        *used += 1;
        *total += 1;
        *used <= limit
    }

    /// Applies all writes of a transaction if all of its conditions hold, and none otherwise.
    fn transact(&mut self, tx: Transaction) -> (u16, Value) {
        for condition in &tx.conditions {
            let version = self.rows.get(&condition.key).map_or(0, |row| row.version);
            if version != condition.version {
                return (409, json!({"failed": condition.key, "version": version}));
            }
        }
        self.version += 1;
        for write in tx.writes {
            match write.value {
                Some(value) => {
                    self.rows.insert(
                        write.key,
                        Row {
                            version: self.version,
                            value,
                        },
                    );
                }
                None => drop(self.rows.remove(&write.key)),
            }
        }
        (200, json!({"version": self.version}))
    }
}

fn row_json(key: &str, row: &Row) -> Value {
    json!({"key": key, "version": row.version, "value": row.value})
}

fn with_parsed_body<T: for<'a> Deserialize<'a>>(
    body: &str,
    handle: impl FnOnce(T) -> (u16, Value),
) -> (u16, Value) {
    match serde_json::from_str(body) {
        Ok(value) => handle(value),
        Err(e) => (400, json!({"error": e.to_string()})),
    }
}
