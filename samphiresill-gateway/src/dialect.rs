//! The interface to an adapter that encodes and decodes the names on the wire.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use hyper::{HeaderMap, StatusCode};
use samphiresill_core::name::{CustomerName, RequestId, TargetName};
use samphiresill_core::routing::RoutingTable;
use samphiresill_core::units::RequestRate;
use samphiresill_sched::fleet::request::{Generation, PromptPart};

/// `CallerHead` is the information in the headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// Id that the caller gave the request.
    pub request: Option<RequestId>,
    /// Deadline of the caller, counted from the start of the request.
    pub timeout: Option<Duration>,
    /// API key that identifies the customer.
    pub key: Option<Arc<str>>,
    /// Describes the generation; present for requests to model engines.
    pub generation: Option<Generation>,
    /// Id of the last event that the caller has received, when the caller itself resumes a stream.
    pub last_event: Option<Arc<str>>,
    /// The request that brought the first event of that stream.
    pub resumes: Option<RequestId>,
}

/// `ForwardMetadata` is sent to a target in addition to the caller's headers.
#[derive(Clone, Copy, Debug)]
pub struct ForwardMetadata<'a> {
    /// Name of the target that the request is sent to.
    pub target: &'a TargetName,
    /// Time within which the target must have completed its response.
    pub time_left: Duration,
    /// The customer that the API key identifies.
    pub customer: Option<&'a CustomerName>,
    /// Address of an engine with a longer cached prefix, from which the target should copy it.
    pub copy_from: Option<SocketAddr>,
    /// Id of the last event that was delivered, when another run resumes a stream.
    pub resume_after: Option<&'a str>,
}

/// `Echo` is the request that a response names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Echo {
    /// The request that was sent.
    Own,
    /// Another request.
    Foreign,
    /// No request.
    #[default]
    Absent,
}

/// `ResponseHead` is the information in the head of a target's response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// Which request the response belongs to.
    pub echo: Echo,
    /// Whether the target states that it did not execute that request.
    pub is_unexecuted: bool,
    /// Whether the response carries the target's signature.
    pub is_signed: bool,
    /// What the target tells about the load that it accepts.
    pub directives: Directives,
}

/// `Directives` are what a target tells in a response about the load that it accepts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Directives {
    /// The requests per second that the target takes from all routers together; `None` when it names
    /// no limit.
    pub rate_limit: Option<RequestRate>,
    /// Whether the target is about to stop and takes no further requests.
    pub is_leaving: bool,
    /// How long the target, which has turned the request away, wants no requests of this router.
    pub pause: Option<Duration>,
}

/// `DecodeError` is the reason why a document could not be decoded, and its location.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("{path}: {found}")]
pub struct DecodeError {
    /// Path of the faulty value in the document.
    pub path: String,
    /// What was found there.
    pub found: String,
}

/// `Dialect` encodes and decodes the names on the wire.
pub trait Dialect: Send + Sync {
    /// Decodes the headers of a caller's request.
    fn caller_head(&self, headers: &HeaderMap) -> CallerHead;
    /// Returns the headers for a target: the caller's, without those not meant for targets, and the
    /// metadata.
    fn target_headers(&self, caller: &HeaderMap, forward: &ForwardMetadata<'_>) -> HeaderMap;
    /// Decodes the head of a target's response to `request`.
    fn response_head(
        &self,
        request: &RequestId,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> ResponseHead;
    /// Path at which an engine lists the prompt parts in its cache.
    fn cache_list_path(&self) -> &'static str;
    /// Decodes the list of prompt parts in an engine's cache.
    ///
    /// # Errors
    /// When the document is not a valid list.
    fn cache_list(&self, document: &[u8]) -> Result<Vec<PromptPart>, DecodeError>;
    /// Decodes the operators' configuration.
    ///
    /// # Errors
    /// When the document is not a valid configuration.
    fn routing_table(&self, document: &[u8]) -> Result<RoutingTable, DecodeError>;
}
