//! Boundaries of the events in a stream, so that only whole events are delivered.

use bytes::{Bytes, BytesMut};

/// Bytes of one event that are buffered at most.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// `Event` is one whole event of a stream, as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its bytes, with the empty line that ends it.
    pub bytes: Bytes,
    /// Its id, when it has one.
    pub id: Option<String>,
}

/// `EventSplitter` cuts a stream into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    scanned: usize,
}

impl EventSplitter {
    /// Takes in bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.event_end()?;
        let bytes = self.buf.split_to(end).freeze();
        self.scanned = 0;
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Whether bytes of an unfinished event are buffered.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Whether the unfinished event is longer than any event may be.
    #[must_use]
    pub fn is_event_too_long(&self) -> bool {
        self.buf.len() > MAX_EVENT_BYTES
    }

    /// Bytes up to and with the first empty line, with either kind of line end.
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

fn event_id(event: &[u8]) -> Option<String> {
    let mut lines = event.split(|b| *b == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let value = value.strip_suffix(b"\r").unwrap_or(value);
    Some(String::from_utf8_lossy(value).trim().to_owned())
}
