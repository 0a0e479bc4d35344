//! Logging goes on while nobody reads the log.

use std::io;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use flexi_logger::writers::LogWriter;
use samphiresill_telemetry::logging::queue::Queue;

/// Time in which a test's lines are written.
const PATIENCE: Duration = Duration::from_secs(10);

#[derive(Default)]
struct Shared {
    written: Mutex<(bool, Vec<u8>)>,
    opened: Condvar,
}

/// `Pipe` blocks its writer until it is opened, as a full pipe does.
#[derive(Clone, Default)]
struct Pipe(Arc<Shared>);

impl Pipe {
    fn open(&self) {
        self.0.written.lock().expect("no panic").0 = true;
        self.0.opened.notify_all();
    }

    fn text(&self) -> String {
        let state = self.0.written.lock().expect("no panic");
        String::from_utf8_lossy(&state.1).into_owned()
    }
}

impl io::Write for Pipe {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let state = self.0.written.lock().expect("no panic");
        let mut state = self.0.opened.wait_while(state, |s| !s.0).expect("no panic");
        state.1.extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_that_do_not_fit_are_counted_and_no_caller_waits() {
    let pipe = Pipe::default();
    let queue = Queue::start(Box::new(pipe.clone())).expect("a thread");
    let lines = 10_000;
    // Would never return if it waited for the pipe.
    for number in 0..lines {
        queue.push(format!("line {number}\n").into_bytes());
    }
    pipe.open();
    let began = Instant::now();
    let text = loop {
        // A flush that times out is tried again.
        if queue.flush().is_ok() && pipe.text().contains("log lines dropped") {
            break pipe.text();
        }
        assert!(began.elapsed() < PATIENCE, "{}", pipe.text());
    };
    let written: Vec<&str> = text.lines().filter(|l| l.starts_with("line ")).collect();
    let lost: usize = text
        .lines()
        .filter_map(|l| l.split_once(r#""lines":"#))
        .map(|(_, n)| n.trim_end_matches('}').parse::<usize>().expect("a number"))
        .sum();
    assert_eq!(written.len() + lost, lines);
    assert_eq!(written[..3], ["line 0", "line 1", "line 2"]);
}
