//! One request of a caller with its whole body, its route and its customer.

use std::sync::Arc;
use std::time::Duration;

use hyper::{HeaderMap, Method, Uri};
use samphiresill_attempt::failure::Nature;
use samphiresill_core::name::{CustomerName, RequestId, ServiceName};
use samphiresill_core::routing::{RequestKind, Route};
use samphiresill_sched::fleet::work::Generation;

use crate::body_budget::Body;

/// `Call` is one request of a caller.
#[derive(Debug)]
pub struct Call {
    /// Identity that the caller gave it.
    pub request: RequestId,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that serves it.
    pub service: ServiceName,
    /// The customer; nothing on routes that need no key.
    pub customer: Option<CustomerName>,
    /// Present for requests to model engines.
    pub generation: Option<Generation>,
    /// Last event that the caller has, when it resumes a stream itself.
    pub last_event: Option<Arc<str>>,
    /// Method, as sent.
    pub method: Method,
    /// Path and query, as sent.
    pub uri: Uri,
    /// Headers, as sent.
    pub headers: HeaderMap,
    /// Body, as sent.
    pub body: Body,
    /// Monotonic time at which the head of the request had arrived.
    pub started: Duration,
    /// Monotonic time at which it must have its final answer.
    pub ends: Duration,
}

impl Call {
    /// Time until the final answer is due.
    #[must_use]
    pub fn time_left(&self, now: Duration) -> Duration {
        self.ends.saturating_sub(now)
    }

    /// What may be repeated, in the terms of the table of failures.
    #[must_use]
    pub fn nature(&self) -> Nature {
        if self.route.request_kind.is_repeatable() {
            Nature::Idempotent
        } else {
            Nature::Once
        }
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(&self) -> bool {
        matches!(self.route.request_kind, RequestKind::Generation { .. })
    }
}
