//! Answers to callers: a target's own, or a refusal of the gateway.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use super::stream::EventStream;
use crate::callers::ActiveRequest;

#[derive(Debug)]
enum Content {
    Full(Option<Bytes>),
    Stream(Box<EventStream>),
}

/// `ResponseBody` is the body of an answer to a caller; the request counts as active until it ends.
#[derive(Debug)]
pub struct ResponseBody {
    content: Content,
    active: Option<ActiveRequest>,
}

impl ResponseBody {
    /// A body that is known whole.
    #[must_use]
    pub fn full(bytes: Bytes) -> Self {
        Self {
            content: Content::Full(Some(bytes).filter(|b| !b.is_empty())),
            active: None,
        }
    }

    /// A body that arrives in pieces.
    #[must_use]
    pub fn stream(stream: EventStream) -> Self {
        Self {
            content: Content::Stream(Box::new(stream)),
            active: None,
        }
    }

    /// Counts the request as active until the body has ended.
    pub fn attach_request(&mut self, active: ActiveRequest) {
        self.active = Some(active);
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut self.content {
            Content::Full(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Content::Stream(stream) => stream
                .poll_chunk(cx)
                .map(|chunk| chunk.map(|c| c.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, Content::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Content::Stream(_) => SizeHint::default(),
        }
    }
}

/// An answer of the gateway itself.
#[must_use]
pub fn local(status: StatusCode, reason: &str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(Bytes::from(format!("{reason}\n"))));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

/// A refusal: the request has not run and will not run; the caller may retry after `delay`.
#[must_use]
pub fn refusal(reason: &str, delay: Duration) -> Response<ResponseBody> {
    let mut response = local(StatusCode::SERVICE_UNAVAILABLE, reason);
    let seconds = format!("{:.2}", delay.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}
