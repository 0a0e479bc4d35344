//! The record of one run: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::net::Answer;

/// Exit code of a case that could not run.
pub const COULD_NOT_RUN: i32 = 2;

#[derive(Debug)]
pub struct Record {
    pub clock: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).unwrap_or_else(|e| give_up(&format!("no record: {e}")));
        Self {
            clock: Instant::now(),
            file: Mutex::new(file),
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
    crate::machine::kill_all();
    std::process::exit(COULD_NOT_RUN)
}
