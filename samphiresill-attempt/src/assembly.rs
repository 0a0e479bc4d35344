//! Assembly of an answer from the numbered pieces of one or more attempts.
//!
//! Invariants: pieces are delivered in order, each once; a second run is delivered only beyond a
//! prefix that equals what was delivered before.

use derive_more::Display;

/// `Fault` is why pieces cannot be assembled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Fault {
    /// A piece is missing between the last one and this one.
    #[display("a piece is missing")]
    Gap,
    /// A second run gave other text than the first.
    #[display("the second run differs from the first")]
    Differs,
}

/// `Assembly` holds the pieces of an answer as far as they were delivered.
#[derive(Clone, Debug, Default)]
pub struct Assembly {
    pieces: Vec<String>,
    replayed: Option<usize>,
}

impl Assembly {
    /// Number of the next piece to deliver.
    #[must_use]
    pub fn next_index(&self) -> usize {
        self.pieces.len()
    }

    /// Whether anything was delivered.
    #[must_use]
    pub fn has_delivered(&self) -> bool {
        !self.pieces.is_empty()
    }

    /// Whether every delivered piece was given again, as a second run has to.
    #[must_use]
    pub fn is_caught_up(&self) -> bool {
        self.replayed.is_none_or(|n| n >= self.pieces.len())
    }

    /// Begins a second run, whose first pieces must equal what was delivered.
    pub fn begin_replay(&mut self) {
        self.replayed = Some(0);
    }

    /// Forgets everything, for a run whose text has not gone to the caller.
    pub fn restart(&mut self) {
        *self = Self::default();
    }

    /// Takes in piece `index`; gives it back when it is to be delivered now.
    ///
    /// # Errors
    /// `Gap` when a piece before it is missing, `Differs` when a second run gives other text.
    pub fn accept(&mut self, index: usize, text: &str) -> Result<Option<&str>, Fault> {
        if let Some(replayed) = self.replayed
            && replayed < self.pieces.len()
        {
            return self.compare(replayed, index, text);
        }
        if index < self.pieces.len() {
            return Ok(None);
        }
        if index > self.pieces.len() {
            return Err(Fault::Gap);
        }
        self.pieces.push(text.to_owned());
        Ok(self.pieces.last().map(String::as_str))
    }

    /// The text so far.
    #[must_use]
    pub fn text(&self) -> String {
        self.pieces.concat()
    }

    fn compare(&mut self, at: usize, index: usize, text: &str) -> Result<Option<&str>, Fault> {
        if index < at {
            return Ok(None);
        }
        if index > at {
            return Err(Fault::Gap);
        }
        if self.pieces[at] != text {
            return Err(Fault::Differs);
        }
        self.replayed = Some(at + 1);
        Ok(None)
    }
}
