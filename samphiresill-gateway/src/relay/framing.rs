//! Framing of a response body: how its end is marked.

use derive_more::Display;
use hyper::HeaderMap;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};

/// `Framing` is how the end of a target's response body is marked (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Framing {
    /// A last chunk marks the end.
    #[display("chunked")]
    Chunked,
    /// The length is stated in the head.
    #[display("length")]
    Length,
    /// The connection closes. A target that crashes closes it as well.
    #[display("close")]
    Close,
}

impl Framing {
    /// Returns the framing that the headers of a response state.
    #[must_use]
    pub fn of(headers: &HeaderMap) -> Self {
        if headers.contains_key(TRANSFER_ENCODING) {
            Self::Chunked
        } else if headers.contains_key(CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::Close
        }
    }
}
