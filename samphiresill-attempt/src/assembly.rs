//! Reassembly of a response from the numbered pieces of one or more attempts.
//!
//! Invariants: pieces are delivered in order and exactly once; pieces of a second run are only
//! delivered after its prefix has matched everything delivered before.

use derive_more::Display;

/// `AssemblyError` is the reason why the pieces cannot be reassembled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum AssemblyError {
    /// A piece between the last one and this one is missing.
    #[display("a piece is missing")]
    Gap,
    /// The text of a second run differs from that of the first.
    #[display("the second run differs from the first")]
    Differs,
}

/// `Assembly` holds the pieces delivered so far.
#[derive(Clone, Debug, Default)]
pub struct Assembly {
    pieces: Vec<String>,
    replayed: Option<usize>,
}

impl Assembly {
    /// Returns the index of the next piece to deliver.
    #[must_use]
    pub fn next_index(&self) -> usize {
        self.pieces.len()
    }

    /// Returns whether any piece was delivered.
    #[must_use]
    pub fn has_delivered(&self) -> bool {
        !self.pieces.is_empty()
    }

    /// Returns whether a second run has repeated every delivered piece, or no second run has begun.
    #[must_use]
    pub fn is_caught_up(&self) -> bool {
        self.replayed.is_none_or(|n| n >= self.pieces.len())
    }

    /// Begins a second run, which must first repeat the delivered pieces.
    pub fn begin_replay(&mut self) {
        self.replayed = Some(0);
    }

    /// Discards all pieces, for a new run after nothing was sent to the caller.
    pub fn restart(&mut self) {
        *self = Self::default();
    }

    /// Adds piece `index`, and returns it if it is to be delivered now.
    ///
    /// # Errors
    /// Returns `Gap` if an earlier piece is missing, and `Differs` if a second run produces
    /// different text.
    pub fn accept(&mut self, index: usize, text: &str) -> Result<Option<&str>, AssemblyError> {
        if let Some(replayed) = self.replayed
            && replayed < self.pieces.len()
        {
            return self.compare(replayed, index, text);
        }
        if index < self.pieces.len() {
            return Ok(None);
        }
        if index > self.pieces.len() {
            return Err(AssemblyError::Gap);
        }
        self.pieces.push(text.to_owned());
        Ok(self.pieces.last().map(String::as_str))
    }

    /// Returns the text delivered so far.
    #[must_use]
    pub fn text(&self) -> String {
        self.pieces.concat()
    }

    fn compare(
        &mut self,
        at: usize,
        index: usize,
        text: &str,
    ) -> Result<Option<&str>, AssemblyError> {
        if index < at {
            return Ok(None);
        }
        if index > at {
            return Err(AssemblyError::Gap);
        }
        if self.pieces[at] != text {
            return Err(AssemblyError::Differs);
        }
        self.replayed = Some(at + 1);
        Ok(None)
    }
}
