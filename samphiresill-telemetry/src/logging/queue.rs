//! A bounded queue between log statements and the output stream.
//!
//! Answers the case in which the reader of the log falls behind: a full pipe blocks its writer, so a
//! separate thread writes, and lines that do not fit the queue are counted and dropped.
//!
//! Invariant: the queue holds at most [`MAX_LINES`] lines.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{self, Receiver, Sender, TrySendError};
use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, json_format};
use log::Record;

/// Capacity of the queue in lines, of some 300 bytes each.
const MAX_LINES: usize = 2_048;
/// Time for the last lines to be written when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

enum Item {
    Line(Vec<u8>),
    /// All lines before it are written.
    Flush(Sender<()>),
}

/// `Queue` accepts lines without blocking on the output stream.
pub struct Queue {
    items: Sender<Item>,
    lost: Arc<AtomicU64>,
}

impl Queue {
    /// Starts the thread that writes to `out`.
    ///
    /// # Errors
    /// When the thread cannot be started.
    pub fn start(out: Box<dyn io::Write + Send>) -> io::Result<Self> {
        let (items, queued) = channel::bounded(MAX_LINES);
        let lost = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&lost);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_all(out, &queued, &counted))?;
        Ok(Self { items, lost })
    }

    /// Adds a line, or drops it when the queue is full.
    pub fn push(&self, line: Vec<u8>) {
        if let Err(TrySendError::Full(_)) = self.items.try_send(Item::Line(line)) {
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl LogWriter for Queue {
    fn write(&self, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
        let mut line = Vec::with_capacity(256);
        json_format(&mut line, now, record)?;
        line.push(b'\n');
        self.push(line);
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        let (written, is_written) = channel::bounded(1);
        let timed_out = || io::Error::from(io::ErrorKind::TimedOut);
        self.items
            .send_timeout(Item::Flush(written), FLUSH_TIMEOUT)
            .map_err(|_| timed_out())?;
        is_written
            .recv_timeout(FLUSH_TIMEOUT)
            .map_err(|_| timed_out())
    }

    fn shutdown(&self) {
        // A failed flush cannot be reported on the same stream.
        let _ = self.flush();
    }
}

fn write_all(mut out: Box<dyn io::Write + Send>, queued: &Receiver<Item>, lost: &AtomicU64) {
    for item in queued {
        // A failed write cannot be reported on the same stream.
        let _ = match item {
            Item::Line(line) => out.write_all(&line),
            Item::Flush(written) => {
                // The receiver is gone after its timeout.
                let _ = written.send(());
                out.flush()
            }
        };
        let lines = lost.swap(0, Ordering::Relaxed);
        if lines > 0 {
            let text = r#""level":"WARN","text":"log lines dropped""#;
            let _ = writeln!(out, r#"{{{text},"kv":{{"lines":{lines}}}}}"#);
        }
        if queued.is_empty() {
            let _ = out.flush();
        }
    }
}
