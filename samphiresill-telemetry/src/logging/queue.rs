//! A bounded queue between log statements and the output stream.
//!
//! When the reader of the log falls behind, a full pipe blocks its writer. A dedicated thread
//! therefore does the writing, and lines that do not fit in the queue are dropped and counted.
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

/// Capacity of the queue, in lines of about 300 bytes each.
const MAX_LINES: usize = 2_048;
/// Timeout of each step of a flush, within which the last lines are written at process exit.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

enum Entry {
    Line(Vec<u8>),
    /// Acknowledged after all preceding lines are written.
    Flush(Sender<()>),
}

/// `Queue` accepts log lines without blocking on the output stream.
pub struct Queue {
    entries: Sender<Entry>,
    dropped: Arc<AtomicU64>,
}

impl Queue {
    /// Starts the thread that writes queued lines to `out`.
    ///
    /// # Errors
    /// When the thread cannot be started.
    pub fn start(out: Box<dyn io::Write + Send>) -> io::Result<Self> {
        let (entries, receiver) = channel::bounded(MAX_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let writer_dropped = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_queued(out, &receiver, &writer_dropped))?;
        Ok(Self { entries, dropped })
    }

    /// Enqueues a line, or drops and counts it when the queue is full.
    pub fn push(&self, line: Vec<u8>) {
        if let Err(TrySendError::Full(_)) = self.entries.try_send(Entry::Line(line)) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
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
        let (acknowledge, acknowledged) = channel::bounded(1);
        let timed_out = || io::Error::from(io::ErrorKind::TimedOut);
        self.entries
            .send_timeout(Entry::Flush(acknowledge), FLUSH_TIMEOUT)
            .map_err(|_| timed_out())?;
        acknowledged
            .recv_timeout(FLUSH_TIMEOUT)
            .map_err(|_| timed_out())
    }

    fn shutdown(&self) {
        // A failed flush cannot be reported on the stream that failed.
        let _ = self.flush();
    }
}

/// Writes queued lines until all senders are dropped.
fn write_queued(
    mut out: Box<dyn io::Write + Send>,
    receiver: &Receiver<Entry>,
    dropped: &AtomicU64,
) {
    for entry in receiver {
        // A failed write cannot be reported on the stream that failed.
        let _ = match entry {
            Entry::Line(line) => out.write_all(&line),
            Entry::Flush(acknowledge) => {
                // The caller of the flush may have timed out.
                let _ = acknowledge.send(());
                out.flush()
            }
        };
        let lines = dropped.swap(0, Ordering::Relaxed);
        if lines > 0 {
            let text = r#""level":"WARN","text":"log lines dropped""#;
            let _ = writeln!(out, r#"{{{text},"kv":{{"lines":{lines}}}}}"#);
        }
        if receiver.is_empty() {
            let _ = out.flush();
        }
    }
}
