//! Server-sent events: splits a stream into events, and tells whether a stream ends within one.

use bytes::{Bytes, BytesMut};

/// Maximum number of buffered bytes of one event.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// `Event` is a complete event of a stream, as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Bytes of the event, including the empty line that terminates it.
    pub bytes: Bytes,
    /// Value of its `id` field, when it has one.
    pub id: Option<String>,
}

/// `EventSplitter` splits a stream of bytes into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    scanned: usize,
}

impl EventSplitter {
    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.event_end()?;
        let bytes = self.buf.split_to(end).freeze();
        self.scanned = 0;
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Removes and returns the buffered bytes after the last event.
    pub fn take_rest(&mut self) -> Bytes {
        self.scanned = 0;
        self.buf.split().freeze()
    }

    /// Number of buffered bytes.
    #[must_use]
    pub fn buffered(&self) -> usize {
        self.buf.len()
    }

    /// Whether the incomplete event exceeds the maximum size of an event.
    #[must_use]
    pub fn is_event_too_long(&self) -> bool {
        self.buf.len() > MAX_EVENT_BYTES
    }

    /// Length of the first event, including the empty line after it. Lines may end in LF or CRLF.
    fn event_end(&mut self) -> Option<usize> {
        let buf = &self.buf;
        let from = self.scanned.saturating_sub(3);
        for (index, byte) in buf.iter().enumerate().skip(from) {
            if *byte != b'\n' || index == 0 {
                continue;
            }
            let before = &buf[..index];
            if before.ends_with(b"\n") || before.ends_with(b"\n\r") {
                return Some(index + 1);
            }
        }
        self.scanned = buf.len();
        None
    }
}

/// `Line` is what the current line of a stream holds so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    #[default]
    Empty,
    Comment,
    Field,
}

/// `EventBoundary` follows a stream without buffering it. Lines may end in LF, CRLF or CR.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventBoundary {
    line: Line,
    is_after_cr: bool,
    has_open_event: bool,
    events: u64,
}

impl EventBoundary {
    /// Follows the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.advance(*byte);
        }
    }

    /// Whether the stream, if it ended here, would end within an event or within a line.
    #[must_use]
    pub fn is_within_event(&self) -> bool {
        self.has_open_event || self.line != Line::Empty
    }

    /// Number of complete events so far.
    #[must_use]
    pub fn events(&self) -> u64 {
        self.events
    }

    fn advance(&mut self, byte: u8) {
        let is_after_cr = std::mem::replace(&mut self.is_after_cr, byte == b'\r');
        match byte {
            b'\n' if is_after_cr => {}
            b'\n' | b'\r' => self.end_line(),
            b':' if self.line == Line::Empty => self.line = Line::Comment,
            _ if self.line == Line::Empty => {
                self.line = Line::Field;
                self.has_open_event = true;
            }
            _ => {}
        }
    }

    fn end_line(&mut self) {
        let is_blank = std::mem::take(&mut self.line) == Line::Empty;
        if is_blank && std::mem::take(&mut self.has_open_event) {
            self.events += 1;
        }
    }
}

fn event_id(event: &[u8]) -> Option<String> {
    let mut lines = event.split(|b| *b == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let value = value.strip_suffix(b"\r").unwrap_or(value);
    Some(String::from_utf8_lossy(value).trim().to_owned())
}
