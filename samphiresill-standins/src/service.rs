//! Stand-in for a plain service for orders and stock that counts the executions of each order.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};
use tiny_http::{Method, Request};

use crate::fault::{FaultInjector, Faults};
use crate::http;

#[derive(Debug, Default)]
struct State {
    orders: Vec<String>,
    runs: BTreeMap<String, u64>,
}

/// `Service` is a running service stand-in.
#[derive(Debug, Default)]
pub struct Service {
    state: Mutex<State>,
    faults: FaultInjector,
}

impl Service {
    /// Handles one HTTP request.
    pub fn handle(&self, mut req: Request) {
        let epoch = self.faults.epoch();
        let path = req.url().to_owned();
        let body = http::read_body(&mut req);
        if path == "/control" {
            self.faults
                .set(serde_json::from_str::<Faults>(&body).unwrap_or_default());
            return http::respond(req, 200, &json!({}));
        }
        if path == "/runs" {
            return http::respond(req, 200, &json!(self.lock().runs));
        }
        if self.faults.get().refuse {
            return http::respond(req, 503, &json!({"error": "refused"}));
        }
        self.faults.apply_delay();
        let (status, response) = match req.method() {
            Method::Post => self.place_order(&body),
            _ => self.look_up(&path),
        };
        if self.faults.get().drop_answer {
            return drop(req.into_writer());
        }
        if self.faults.is_silent(epoch) {
            thread::sleep(Duration::from_mins(1));
        }
        http::respond(req, status, &response);
    }

    fn place_order(&self, body: &str) -> (u16, Value) {
        let mut state = self.lock();
        state.orders.push(body.to_owned());
        *state.runs.entry(body.to_owned()).or_default() += 1;
        (201, json!({"order": state.orders.len(), "body": body}))
    }

    fn look_up(&self, path: &str) -> (u16, Value) {
        let number = path
            .rsplit('/')
            .next()
            .and_then(|n| n.parse::<usize>().ok());
        let state = self.lock();
        match number.and_then(|n| state.orders.get(n.wrapping_sub(1))) {
            Some(order) => (200, json!({"path": path, "order": order})),
            None => (200, json!({"path": path, "in_stock": path.len()})),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
