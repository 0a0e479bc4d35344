//! Guards against log calls that block when nothing reads the log and its pipe is full.

use std::io;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use flexi_logger::writers::LogWriter;
use samphiresill_telemetry::logging::queue::Queue;

/// Time limit for writing the queued lines after the pipe is unblocked.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Default)]
struct PipeState {
    /// Whether the pipe is unblocked, and the bytes written so far.
    state: Mutex<(bool, Vec<u8>)>,
    unblocked: Condvar,
}

/// `BlockedPipe` blocks its writer, like a full pipe, until it is unblocked.
#[derive(Clone, Default)]
struct BlockedPipe(Arc<PipeState>);

impl BlockedPipe {
    fn unblock(&self) {
        self.0.state.lock().expect("no panic").0 = true;
        self.0.unblocked.notify_all();
    }

    fn text(&self) -> String {
        let state = self.0.state.lock().expect("no panic");
        String::from_utf8_lossy(&state.1).into_owned()
    }
}

impl io::Write for BlockedPipe {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let state = self.0.state.lock().expect("no panic");
        let mut state = self
            .0
            .unblocked
            .wait_while(state, |s| !s.0)
            .expect("no panic");
        state.1.extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_full_queue_drops_and_counts_lines_without_blocking() {
    let pipe = BlockedPipe::default();
    let queue = Queue::start(Box::new(pipe.clone())).expect("a thread");
    let lines = 10_000;
    // The loop would never end if a push waited for the pipe.
    for number in 0..lines {
        queue.push(format!("line {number}\n").into_bytes());
    }
    pipe.unblock();
    let started = Instant::now();
    let text = loop {
        // A flush that times out is retried.
        if queue.flush().is_ok() && pipe.text().contains("log lines dropped") {
            break pipe.text();
        }
        assert!(started.elapsed() < WRITE_TIMEOUT, "{}", pipe.text());
    };
    let written: Vec<&str> = text.lines().filter(|l| l.starts_with("line ")).collect();
    let dropped: usize = text
        .lines()
        .filter_map(|l| l.split_once(r#""lines":"#))
        .map(|(_, n)| n.trim_end_matches('}').parse::<usize>().expect("a number"))
        .sum();
    assert_eq!(written.len() + dropped, lines);
    assert_eq!(written[..3], ["line 0", "line 1", "line 2"]);
}
