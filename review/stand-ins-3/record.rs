//! The record of one run: what was sent, answered and run.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::net::Answer;

/// Exit code of a case that could not run.
pub const COULD_NOT_RUN: i32 = 2;

/// `Arrival` is a request as a server saw it.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub server: String,
    pub how: &'static str,
}

#[derive(Debug)]
pub struct Record {
    pub clock: Instant,
    file: Mutex<File>,
    arrivals: Mutex<BTreeMap<String, Vec<Arrival>>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).unwrap_or_else(|e| give_up(&format!("no record: {e}")));
        Self {
            clock: Instant::now(),
            file: Mutex::new(file),
            arrivals: Mutex::default(),
        }
    }

    pub fn now(&self) -> Duration {
        self.clock.elapsed()
    }

    pub fn unix_ms(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |d| d.as_millis() as u64)
    }

    pub fn line(&self, text: &str) {
        let at = self.now().as_secs_f64();
        let mut file = self.file.lock().expect("lock");
        let _ = writeln!(file, "{at:8.3} s  {text}");
    }

    pub fn arrival(&self, request: &str, server: &str, how: &'static str) {
        let arrival = Arrival { at: self.now(), server: server.to_owned(), how };
        self.arrivals.lock().expect("lock").entry(request.to_owned()).or_default().push(arrival);
        self.line(&format!("request {request} reaches server {server}: {how}"));
    }

    pub fn arrivals(&self, request: &str) -> Vec<Arrival> {
        self.arrivals.lock().expect("lock").get(request).cloned().unwrap_or_default()
    }

    pub fn all_arrivals(&self) -> BTreeMap<String, Vec<Arrival>> {
        self.arrivals.lock().expect("lock").clone()
    }

    pub fn answer(&self, request: &str, machine: usize, answer: &Answer) {
        let text = String::from_utf8_lossy(&answer.body);
        let body = text.lines().next().unwrap_or_default();
        let end = if answer.is_complete { "whole" } else { &*answer.error };
        self.line(&format!(
            "request {request}, sent to machine {machine} at {:.3} s, gets {} ({end}), {} events, first line: {body}",
            answer.sent_at.as_secs_f64(), answer.status, answer.events()
        ));
    }
}

pub fn give_up(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    std::process::exit(COULD_NOT_RUN)
}
