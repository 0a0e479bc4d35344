//! Framing of a response body: how its end is marked.

use derive_more::Display;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{StatusCode, http};

/// `Framing` is how the end of a target's response body is marked (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Framing {
    /// A last chunk marks the end.
    #[display("chunked")]
    Chunked,
    /// The head states the length, or that there is no body.
    #[display("length")]
    Length,
    /// The connection closes. A target that crashes closes it as well.
    #[display("close")]
    Close,
}

impl Framing {
    /// Returns the framing that the head of a response states.
    #[must_use]
    pub fn of(head: &http::response::Parts) -> Self {
        let has_no_body = head.status == StatusCode::NO_CONTENT;
        if head.headers.contains_key(TRANSFER_ENCODING) {
            Self::Chunked
        } else if has_no_body || head.headers.contains_key(CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::Close
        }
    }
}
