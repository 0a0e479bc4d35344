//! The record of a run: a line for each thing that was sent, answered or run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(dir: &Path) -> Self {
        let file = File::create(dir.join("record.txt")).expect("record.txt can be written");
        Self {
            started: Instant::now(),
            file: Mutex::new(file),
        }
    }

    /// Seconds since the start of the run.
    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("no thread panics while it writes");
        writeln!(file, "{:8.3} {text}", self.seconds()).expect("record.txt can be written");
    }
}
