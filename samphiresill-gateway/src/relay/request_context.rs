//! A request of a caller with its body, its route and its customer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};
use samphiresill_attempt::failure::RetryClass;
use samphiresill_core::name::{CustomerName, RequestId, ServiceName};
use samphiresill_core::routing::{RequestKind, Route};
use samphiresill_sched::fleet::request::Generation;
use samphiresill_sched::fleet::streams::{StreamId, StreamOrigin};

/// `RequestContext` is a request of a caller and what is needed to forward it.
#[derive(Debug)]
pub struct RequestContext {
    /// Id that the caller gave the request.
    pub request: RequestId,
    /// Route that the request matched.
    pub route: Arc<Route>,
    /// Service that was selected for the request.
    pub service: ServiceName,
    /// The customer; `None` on routes that need no API key.
    pub customer: Option<CustomerName>,
    /// Describes the generation; present for requests to model engines.
    pub generation: Option<Generation>,
    /// Id of the last event that the caller has received, when the caller itself resumes a stream.
    pub last_event: Option<Arc<str>>,
    /// The request that brought the first event of that stream.
    pub resumes: Option<RequestId>,
    /// Method as received.
    pub method: Method,
    /// Path and query as received.
    pub uri: Uri,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Body as received; it counts against the memory budget.
    pub body: Bytes,
    /// Monotonic time at which the request head arrived.
    pub started: Duration,
    /// Monotonic deadline of the final response.
    pub deadline: Duration,
}

impl RequestContext {
    /// Time left until the deadline.
    #[must_use]
    pub fn time_left(&self, now: Duration) -> Duration {
        self.deadline.saturating_sub(now)
    }

    /// Whether the request may be repeated, in the terms of the failure verdicts.
    #[must_use]
    pub fn retry_class(&self) -> RetryClass {
        if self.route.request_kind.is_repeatable() {
            RetryClass::Idempotent
        } else {
            RetryClass::Once
        }
    }

    /// The customer of a request to a model engine, and the cost of the request in weighted tokens.
    #[must_use]
    pub fn customer_cost(&self) -> Option<(&CustomerName, u64)> {
        Some((self.customer.as_ref()?, self.generation.as_ref()?.cost()))
    }

    /// Ids of the prompt's parts in order, in hexadecimal, for the log; `None` without a generation.
    #[must_use]
    pub fn prompt_parts(&self) -> Option<String> {
        let parts = &self.generation.as_ref()?.parts;
        let ids = parts.iter().map(|part| format!("{:x}", part.id));
        Some(ids.collect::<Vec<_>>().join(","))
    }

    /// Whether the response is a stream that another run may continue.
    #[must_use]
    pub fn is_resumable(&self) -> bool {
        self.route.request_kind == RequestKind::Generation { is_resumable: true }
    }

    /// Whether the caller resumes a stream that another request began.
    #[must_use]
    pub fn is_continuation(&self) -> bool {
        self.is_resumable() && (self.last_event.is_some() || self.resumes.is_some())
    }

    /// Where the stream began, as far as the caller says.
    #[must_use]
    pub fn origin(&self) -> StreamOrigin {
        match &self.resumes {
            _ if !self.is_continuation() => StreamOrigin::New,
            Some(request) => StreamOrigin::Of(StreamId::of(request)),
            None => StreamOrigin::Unknown,
        }
    }

    /// Whether the response is a stream of events.
    #[must_use]
    pub fn is_stream(&self) -> bool {
        matches!(self.route.request_kind, RequestKind::Generation { .. })
    }
}
